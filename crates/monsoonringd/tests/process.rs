//! Exit codes of the daemon process.

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
fn process_invalid_variable_exits_with_2() {
    let output = daemon()
        .envs(variables())
        .env("MONSOONRING_STOP_BOUND_MS", "1")
        .output()
        .expect("start the daemon");
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(
        stderr.contains("--stop-bound-ms (MONSOONRING_STOP_BOUND_MS)"),
        "{stderr}"
    );
}

#[test]
fn process_sigterm_exits_with_0() {
    let mut process = daemon()
        .envs(variables())
        .args(["--drain-wait-ms=1", "--log-format=json"])
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the daemon");
    let stderr = process.stderr.take().expect("piped stderr");
    let mut lines = BufReader::new(stderr).lines();
    let first = lines.next().expect("first line").expect("read stderr");
    assert!(first.contains("\"msg\":\"serving\""), "{first}");
    let id = i32::try_from(process.id()).expect("process id fits an i32");
    let id = nix::unistd::Pid::from_raw(id);
    nix::sys::signal::kill(id, nix::sys::signal::Signal::SIGTERM).expect("send SIGTERM");
    assert_eq!(process.wait().expect("wait for the daemon").code(), Some(0));
    let last = lines.map_while(Result::ok).last().expect("last line");
    assert!(last.contains("\"msg\":\"stopped\""), "{last}");
}

#[test]
fn process_platform_missing_field_exits_with_2_and_names_it() {
    let directory = tempfile::tempdir().expect("create a directory");
    let path = directory.path().join("boot.conf");
    std::fs::write(&path, "nodeName=edge-1\nzone=lac\n").expect("write the settings");
    let output = daemon()
        .arg("platform")
        .env("MONSOONRING_BOOT", &path)
        .output()
        .expect("start the daemon");
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("field listen.front is missing"), "{stderr}");
}
