//! The operators' page must document each setting and each log message.

use clap::CommandFactory;
use monsoonring_daemon::settings::Settings;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Logging macros whose first literal is the message.
const MACROS: [&str; 5] = ["info!(", "warn!(", "debug!(", "error!(", "crit!("];

#[test]
fn page_has_each_setting() {
    let command = Settings::command();
    for argument in command.get_arguments() {
        let Some(flag) = argument.get_long() else {
            continue;
        };
        let variable = argument.get_env().and_then(|name| name.to_str());
        if argument.is_hide_set() {
            let is_policy = flag.starts_with("policy-") && variable.is_none();
            assert!(
                is_policy,
                "--{flag} is hidden, but is no `--policy-` setting without a variable"
            );
            continue;
        }
        let variable = variable.expect("each visible setting has an environment variable");
        let row = format!("| `--{flag}` | `{variable}` |");
        assert!(PAGE.contains(&row), "the page has no row {row}");
    }
    assert!(
        PAGE.contains("`--policy-`"),
        "the page mentions the hidden `--policy-` settings"
    );
}

/// Returns the messages in the page's table of log lines.
fn documented() -> BTreeSet<String> {
    let table = PAGE
        .split("| `msg` |")
        .nth(1)
        .expect("the page has the table of log lines");
    let rows = table
        .lines()
        .skip(2)
        .take_while(|line| line.starts_with('|'));
    let cells = rows.filter_map(|row| row.split('|').nth(1));
    let messages = cells.flat_map(|cell| cell.split(','));
    messages
        .map(|message| message.trim().trim_matches('`').to_owned())
        .collect()
}

/// Collects the messages of all log lines in the sources below a directory.
fn collect_messages(directory: &Path, found: &mut BTreeSet<String>) {
    for entry in fs::read_dir(directory).expect("the source directory can be read") {
        let path = entry.expect("the directory entry can be read").path();
        if path.is_dir() {
            collect_messages(&path, found);
            continue;
        }
        let text = fs::read_to_string(&path).expect("the source file can be read");
        for name in MACROS {
            let calls = text.split(name).skip(1);
            let messages = calls.filter_map(|call| call.split('"').nth(1));
            found.extend(messages.map(str::to_owned));
        }
    }
}

#[test]
fn page_documents_exactly_the_log_messages() {
    let mut lines = BTreeSet::new();
    for sources in ["src", "../monsoonringd/src", "../../platform/src"] {
        let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join(sources);
        collect_messages(&sources, &mut lines);
    }
    assert_eq!(documented(), lines);
}
