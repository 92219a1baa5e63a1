//! Golden files of `monsoonring check`.

use monsoonring_configuration::Document;
use monsoonring_configuration::check::parse;
use monsoonring_configuration::example::{BEET, HYDRANT};
use std::fs;
use std::io::Write;
use std::process::{Command, Stdio};
use tempfile::TempDir;
use test_case::test_case;

fn command(directory: &TempDir, arguments: &[&str], input: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_monsoonring"))
        .current_dir(directory)
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the command");
    let mut stdin = child.stdin.take().expect("piped stdin");
    stdin.write_all(input.as_bytes()).expect("write");
    drop(stdin);
    let output = child.wait_with_output().expect("wait for the command");
    format!(
        "exit {}\n--- output\n{}--- notices\n{}",
        output.status.code().expect("exit code"),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

/// Creates a directory with the documents `old.json` and `new.json`.
fn documents(old: &str, new: &str) -> TempDir {
    let directory = TempDir::new().expect("create a directory");
    fs::write(directory.path().join("old.json"), old).expect("write");
    fs::write(directory.path().join("new.json"), new).expect("write");
    directory
}

/// Returns the hydrant example as JSON after an edit.
fn edited(edit: fn(&mut Document)) -> String {
    let mut document = parse(HYDRANT.as_bytes()).expect("parse the example");
    edit(&mut document);
    serde_json::to_string(&document).expect("serialize")
}

fn with_faults(document: &mut Document) {
    document.routes[0].deadline_ms = 0;
    document.routes[0].callers.push("nobody".into());
    let first = document.routes[0].groups[0].keys;
    document.routes[0].groups[1].keys.start = first.start;
}

fn with_changes(document: &mut Document) {
    document.routes[0].deadline_ms += 40;
    document.routes[0].capacity.slots += 1;
    document.routes[1].callers.clear();
    document.routes[1]
        .callers
        .push(document.callers[0].name.clone());
    document.routes[0].groups[0].backend_servers.pop();
}

#[test_case(HYDRANT ; "hydrant")]
#[test_case(BEET ; "beet")]
fn check_example_is_valid(document: &str) {
    let directory = documents("", document);
    let text = command(&directory, &["check", "new.json"], "");
    assert!(text.starts_with("exit 0\n"), "{text}");
}

#[test]
fn check_reads_standard_input() {
    let text = command(&documents("", ""), &["check", "-"], HYDRANT);
    assert!(text.starts_with("exit 0\n"), "{text}");
}

#[test]
fn check_lists_every_fault() {
    let directory = documents("", &edited(with_faults));
    insta::assert_snapshot!("faults", command(&directory, &["check", "new.json"], ""));
    let json = command(&directory, &["check", "new.json", "--json"], "");
    insta::assert_snapshot!("faults_json", json);
}

#[test]
fn check_against_shows_changes_and_effects() {
    let directory = documents(HYDRANT, &edited(with_changes));
    let arguments = ["check", "new.json", "--against", "old.json"];
    insta::assert_snapshot!("difference", command(&directory, &arguments, ""));
    let json = [&arguments[..], &["--json"]].concat();
    insta::assert_snapshot!("difference_json", command(&directory, &json, ""));
}

#[test]
fn check_against_itself_shows_no_change() {
    let directory = documents(HYDRANT, HYDRANT);
    let text = command(
        &directory,
        &["check", "new.json", "--against", "old.json"],
        "",
    );
    insta::assert_snapshot!("no_change", text);
}

#[test]
fn check_against_a_faulty_document_names_it() {
    let directory = documents(&edited(with_faults), HYDRANT);
    let text = command(
        &directory,
        &["check", "new.json", "--against", "old.json"],
        "",
    );
    assert!(
        text.starts_with("exit 1\n") && text.contains("old.json: routes"),
        "{text}"
    );
    assert!(!text.contains("Changes:"), "{text}");
}

#[test_case(&["check", "absent.json"] ; "document")]
#[test_case(&["check", "new.json", "--against", "absent.json"] ; "other document")]
fn check_absent_file_fails(arguments: &[&str]) {
    let text = command(&documents(HYDRANT, HYDRANT), arguments, "");
    assert!(
        text.starts_with("exit 2\n") && text.contains("absent.json"),
        "{text}"
    );
}
