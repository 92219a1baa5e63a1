//! A short soak of the real daemon, and tests of the soak's own checks.

#[path = "soak/mod.rs"]
mod soak;

use soak::check::{self, Records};
use soak::support::client::Reply;
use std::path::Path;
use std::time::Duration;

/// Seeds of every test run. Add seeds that failed.
const SEEDS: [u64; 2] = [1, 2];

/// Duration of the load for each seed.
const LOAD_TIME: Duration = Duration::from_secs(4);

#[tokio::test(flavor = "multi_thread")]
async fn soak_short_has_no_violations() {
    let binary = Path::new(env!("CARGO_BIN_EXE_monsoonringd"));
    for seed in SEEDS {
        let folder = tempfile::tempdir().expect("create a directory");
        let report = soak::run_seed(seed, LOAD_TIME, binary, folder.path()).await;
        let report = report.expect("set up the soak");
        assert_eq!(report.violations, [], "seed {seed}: {report:?}");
        assert!(report.answers.contains_key(&200), "{report:?}");
    }
}

fn records() -> Records {
    [("s0", "b"), ("s1", "a")]
        .map(|(service, letter)| (service.to_owned(), vec![letter.repeat(16)]))
        .into()
}

fn reply(signatures: &str, missing: usize, body: &str) -> Reply {
    Reply::merged(signatures, missing, body.to_owned())
}

#[test]
fn search_correct_answers_pass() {
    let (a, b) = ("a".repeat(16), "b".repeat(16));
    let whole = reply("i-s0-0/x, i-s1-1/x", 0, &format!("{b}{a}"));
    assert_eq!(check::search("x", &whole, &records()), Ok(()));
    assert_eq!(
        check::search("x", &reply("i-s1-0/x", 1, &a), &records()),
        Ok(())
    );
}

#[test_case::test_case("i-s0-0/y, i-s1-0/x", 0, "answers reach the right caller"; "part_of_another_request")]
#[test_case::test_case("i-s0-0/x, i-s0-1/x", 0, "one shard set per answer"; "two_parts_of_one_shard")]
#[test_case::test_case("i-s0-0/x, i-s9-1/x", 0, "one shard set per answer"; "part_of_another_shard_set")]
#[test_case::test_case("i-s0-0/x", 0, "accurate coverage"; "missing_shard_not_reported")]
#[test_case::test_case("", 2, "one shard set per answer"; "no_parts")]
#[test_case::test_case("i-s0-0/x", 1, "complete answers"; "records_of_another_part")]
fn search_wrong_answer_is_detected(signatures: &str, missing: usize, invariant: &str) {
    let body = format!("{}{}", "b".repeat(16), "a".repeat(16));
    let result = check::search("x", &reply(signatures, missing, &body), &records());
    assert_eq!(
        result.map_err(|violation| violation.invariant),
        Err(invariant)
    );
}

#[test_case::test_case(Some(200), 1, Ok(()); "executed")]
#[test_case::test_case(None, 1, Ok(()); "in_doubt")]
#[test_case::test_case(Some(503), 0, Ok(()); "not_run")]
#[test_case::test_case(Some(502), 2, Err("at most once"); "run_twice")]
#[test_case::test_case(Some(503), 1, Err("not run means never run"); "not_run_but_ran")]
#[test_case::test_case(Some(200), 0, Err("complete answers"); "success_without_a_run")]
fn at_most_once_compares_status_and_runs(
    status: Option<u16>,
    runs: usize,
    expected: Result<(), &str>,
) {
    let result = check::at_most_once("x", status, runs);
    assert_eq!(result.map_err(|violation| violation.invariant), expected);
}
