//! Error messages for missing and invalid settings.

mod support;

use monsoonring_daemon::settings::Settings;
use test_case::test_case;

const KEY: &str = "00000000000000000000000000000000000000000000000000000000000000ff";

#[test]
fn read_without_arguments_lists_required_settings() {
    let error = Settings::read(["monsoonringd"]).expect_err("required settings are missing");
    insta::assert_snapshot!(error.to_string().replace("; ", ";\n"));
}

#[test]
fn read_all_wrong_reports_every_error() {
    let arguments = [
        "monsoonringd",
        "--listen=0.0.0.0:80",
        "--operator-listen=0.0.0.0:80",
        "--peer-listen=0.0.0.0:81",
        "--data-centre=",
        "--configuration-service=127.0.0.1:0",
        "--host-list=0.0.0.0:5",
        "--peers=127.0.0.1:7,127.0.0.2:0",
        "--key",
        KEY,
        "--previous-key",
        KEY,
        "--stop-bound-ms=5",
        "--max-connections=0",
        "--max-header-bytes=100",
        "--header-timeout-ms=0",
        "--body-timeout-ms=0",
        "--idle-timeout-ms=0",
        "--write-timeout-ms=0",
    ];
    let error = Settings::read(arguments).expect_err("the settings are invalid");
    insta::assert_snapshot!(error.to_string().replace("; ", ";\n"));
}

#[test_case("--listen=here", "--listen (MONSOONRING_LISTEN): invalid socket address syntax, not `here`"; "address")]
#[test_case("--peers=1.2.3.4", "--peers (MONSOONRING_PEERS): invalid socket address syntax, not `1.2.3.4`"; "peer_address")]
#[test_case("--key=5ecre7", "--key (MONSOONRING_KEY): a key has 64 hexadecimal digits, not 6"; "key_is_not_echoed")]
#[test_case("--seed=-1", "--seed (MONSOONRING_SEED): invalid digit found in string, not `-1`"; "number")]
#[test_case("--log-level=loud", "--log-level (MONSOONRING_LOG_LEVEL): must be one of error, warning, info, debug, not `loud`"; "log_level")]
#[test_case("--nothing=1", "--nothing: there is no such setting"; "unknown_flag")]
fn read_wrong(argument: &str, message: &str) {
    let error = Settings::read(["monsoonringd", argument]).expect_err("the argument is invalid");
    assert_eq!(error.to_string(), format!("wrong settings: {message}"));
}

#[test]
fn read_previous_key_without_key_is_refused() {
    // Guards against a daemon without authentication when only the previous key is given during a
    // key rotation.
    let arguments = [
        "monsoonringd",
        "--listen=127.0.0.1:0",
        "--operator-listen=127.0.0.1:0",
        "--peer-listen=127.0.0.1:0",
        "--data-centre=tunis-1",
        "--configuration-service=127.0.0.1:1",
        "--host-list=127.0.0.1:2",
        "--previous-key",
        KEY,
    ];
    let error = Settings::read(arguments).expect_err("the key is missing");
    let message = "wrong settings: --previous-key (MONSOONRING_PREVIOUS_KEY): needs --key";
    assert_eq!(error.to_string(), message);
}

#[test]
fn debug_form_hides_keys() {
    let debug = format!("{:?}", support::settings(&["--previous-key", KEY]));
    assert!(!debug.contains("255") && !debug.contains("ff"), "{debug}");
}
