//! Stand-ins for the platform's store, its backends and clients, and the cases that use them.
//!
//! `stand-in CASE FOLDER RECORD` plays one case: it starts the daemons, keeps their settings and logs in `FOLDER`, and
//! writes what was sent, answered and run to `RECORD`. It exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. `TROUBLE=0` in the environment leaves the disruption out.

mod backend;
mod client;
mod daemon;
mod http;
mod left_behind;
mod parked_at_stop;
mod random;
mod record;
mod repeated_rejection;
mod rules;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// Exit codes.
const HELD: u8 = 0;
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

/// How a case is played.
pub struct Setting {
    /// Folder for the daemons' settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption is brought about.
    pub has_trouble: bool,
}

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record_path] = &arguments[..] else {
        eprintln!("usage: stand-in CASE FOLDER RECORD");
        return ExitCode::from(NOT_RUN);
    };
    let setting = Setting {
        folder: folder.into(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let record = record::Record::start();
    let verdict = match case.as_str() {
        "left-behind" => left_behind::play(&setting, &record),
        "parked-at-stop" => parked_at_stop::play(&setting, &record),
        "repeated-rejection" => repeated_rejection::play(&setting, &record),
        _ => Verdict::NotRun(format!("there is no case {case}")),
    };
    let (code, text) = match verdict {
        Verdict::Held => (HELD, "the rule held".to_owned()),
        Verdict::Broken => (BROKEN, "the rule was broken".to_owned()),
        Verdict::NotRun(why) => (NOT_RUN, format!("the case could not run: {why}")),
    };
    record.summarize(&text);
    match record.write(record_path) {
        Ok(()) => ExitCode::from(code),
        Err(error) => {
            eprintln!("{record_path}: {error}");
            ExitCode::from(NOT_RUN)
        }
    }
}
