//! Golden files of `monsoonring explain --log`.

use std::path::Path;
use std::process::Command;
use test_case::test_case;

fn explain(request: &str, json: bool) -> String {
    let logs = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/logs");
    let mut command = Command::new(env!("CARGO_BIN_EXE_monsoonring"));
    command.args(["explain", "--request", request, "--log"]);
    command
        .arg(logs.join("edge-1.log"))
        .arg("--log")
        .arg(logs.join("edge-2.log"));
    command.args(json.then_some("--json"));
    let output = command.output().expect("run the command");
    format!(
        "{}--- errors\n{}--- code {}\n",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
        output.status.code().expect("exit code")
    )
}

#[test_case("client_id", "c1", false)]
#[test_case("client_id_json", "c1", true)]
#[test_case("own_id", "0b", false)]
#[test_case("unknown", "c9", false)]
#[test_case("handed_on", "c4", false)]
fn explain_logs(name: &str, request: &str, json: bool) {
    insta::assert_snapshot!(format!("explain_logs_{name}"), explain(request, json));
}
