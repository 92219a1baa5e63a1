//! The soak of the real program for a short time, and its checks held against wrong answers.

#[path = "soak/mod.rs"]
mod soak;

use soak::check::{self, Records};
use soak::support::client::Reply;
use std::path::Path;
use std::time::Duration;

/// Seeds played in each run, and those that ever failed.
const SEEDS: [u64; 2] = [1, 2];

const TIME: Duration = Duration::from_secs(4);

#[tokio::test(flavor = "multi_thread")]
async fn soak_short_breaks_no_promise() {
    let binary = Path::new(env!("CARGO_BIN_EXE_monsoonringd"));
    for seed in SEEDS {
        let folder = tempfile::tempdir().expect("a directory");
        let report = soak::play(seed, TIME, binary, folder.path()).await;
        let report = report.expect("it is set up");
        assert_eq!(report.violations, [], "seed {seed}: {report:?}");
        assert!(report.answers.contains_key(&200), "{report:?}");
    }
}

fn records() -> Records {
    [("s0", "b"), ("s1", "a")]
        .map(|(service, letter)| (service.to_owned(), vec![letter.repeat(16)]))
        .into()
}

fn told(signatures: &str, missing: usize, body: &str) -> Reply {
    Reply::merged(signatures, missing, body.to_owned())
}

#[test]
fn search_right_answers_pass() {
    let (a, b) = ("a".repeat(16), "b".repeat(16));
    let whole = told("i-s0-0/x, i-s1-1/x", 0, &format!("{b}{a}"));
    assert_eq!(check::search("x", &whole, &records()), Ok(()));
    assert_eq!(
        check::search("x", &told("i-s1-0/x", 1, &a), &records()),
        Ok(())
    );
}

#[test_case::test_case("i-s0-0/y, i-s1-0/x", 0, "answers to the right caller"; "another_callers_part")]
#[test_case::test_case("i-s0-0/x, i-s0-1/x", 0, "one snapshot an answer"; "two_parts_of_one_shard")]
#[test_case::test_case("i-s0-0/x, i-s9-1/x", 0, "one snapshot an answer"; "a_part_of_another_set")]
#[test_case::test_case("i-s0-0/x", 0, "coverage told truly"; "a_missing_shard_not_told")]
#[test_case::test_case("", 2, "one snapshot an answer"; "nothing")]
#[test_case::test_case("i-s0-0/x", 1, "whole answers"; "records_of_another_part")]
fn search_wrong_answer_is_found(signatures: &str, missing: usize, promise: &str) {
    let body = format!("{}{}", "b".repeat(16), "a".repeat(16));
    let found = check::search("x", &told(signatures, missing, &body), &records());
    assert_eq!(found.map_err(|violation| violation.promise), Err(promise));
}

#[test_case::test_case(Some(200), 1, Ok(()); "executed")]
#[test_case::test_case(None, 1, Ok(()); "in_doubt")]
#[test_case::test_case(Some(503), 0, Ok(()); "not_run")]
#[test_case::test_case(Some(502), 2, Err("at most once"); "run_twice")]
#[test_case::test_case(Some(503), 1, Err("not run is true"); "not_run_that_ran")]
#[test_case::test_case(Some(200), 0, Err("whole answers"); "an_answer_without_a_run")]
fn once_is_judged_by_what_servers_ran(
    status: Option<u16>,
    runs: usize,
    expected: Result<(), &str>,
) {
    let found = check::once("x", status, runs);
    assert_eq!(found.map_err(|violation| violation.promise), expected);
}
