//! The process's exit codes.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

const KEY: &str = "00000000000000000000000000000000000000000000000000000000000000ff";

fn variables() -> Vec<(&'static str, &'static str)> {
    vec![
        ("MONSOONRING_LISTEN", "127.0.0.1:0"),
        ("MONSOONRING_OPERATOR_LISTEN", "127.0.0.1:0"),
        ("MONSOONRING_PEER_LISTEN", "127.0.0.1:0"),
        ("MONSOONRING_DATA_CENTRE", "tunis-1"),
        ("MONSOONRING_CONFIGURATION_SERVICE", "127.0.0.1:1"),
        ("MONSOONRING_HOST_LIST", "127.0.0.1:2"),
        ("MONSOONRING_KEY", KEY),
    ]
}

fn daemon() -> Command {
    Command::new(env!("CARGO_BIN_EXE_monsoonringd"))
}

#[test]
fn process_wrong_variable_ends_with_code_2() {
    let output = daemon()
        .envs(variables())
        .env("MONSOONRING_STOP_BOUND_MS", "1")
        .output()
        .expect("it starts");
    assert_eq!(output.status.code(), Some(2));
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(
        said.contains("--stop-bound-ms (MONSOONRING_STOP_BOUND_MS)"),
        "{said}"
    );
}

#[test]
fn process_signal_ends_with_code_0() {
    let mut process = daemon()
        .envs(variables())
        .args(["--drain-wait-ms=1", "--log-format=json"])
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let errors = process.stderr.take().expect("it is piped");
    let mut lines = BufReader::new(errors).lines();
    let first = lines.next().expect("a line").expect("it is readable");
    assert!(first.contains("\"msg\":\"serving\""), "{first}");
    let id = i32::try_from(process.id()).expect("ids are small");
    let id = nix::unistd::Pid::from_raw(id);
    nix::sys::signal::kill(id, nix::sys::signal::Signal::SIGTERM).expect("it lives");
    assert_eq!(process.wait().expect("it ends").code(), Some(0));
    let last = lines.map_while(Result::ok).last().expect("more lines");
    assert!(last.contains("\"msg\":\"stopped\""), "{last}");
}

#[test]
fn process_platform_without_a_field_ends_with_code_2_and_its_name() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("boot.conf");
    std::fs::write(&path, "nodeName=edge-1\nzone=lac\n").expect("it is written");
    let output = daemon()
        .arg("platform")
        .env("MONSOONRING_BOOT", &path)
        .output()
        .expect("it starts");
    assert_eq!(output.status.code(), Some(2));
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(said.contains("field listen.front is missing"), "{said}");
}
