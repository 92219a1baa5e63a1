//! Tests of what responses prove about a request.

use super::{Answer, attempt_text, decode_answer, header};
use hyper::Response;
use hyper::http::response::Parts;
use monsoonring_decision::attempt::Failure;
use monsoonring_decision::home::action::Send;
use std::time::Duration;
use test_case::test_case;

const ATTEMPT: u64 = 7;
const OTHER_ATTEMPT: u64 = 8;

fn send(execute_key: Option<&str>) -> Send {
    Send {
        attempt: ATTEMPT,
        connection: 1,
        backend_server: ([127, 0, 0, 1], 9000).into(),
        request: 1,
        ranges: Vec::new(),
        index_version: None,
        deadline: Duration::from_secs(1),
        body: "{}".into(),
        execute_key: execute_key.map(Into::into),
    }
}

fn head(status: u16, attempt: Option<u64>, not_run: Option<&str>) -> Parts {
    let mut response = Response::builder().status(status);
    if let Some(attempt) = attempt {
        response = response.header(header::ATTEMPT, attempt_text(attempt));
    }
    if let Some(reason) = not_run {
        response = response.header(header::NOT_RUN, reason);
    }
    response
        .body(())
        .expect("the response head is valid")
        .into_parts()
        .0
}

fn failure(head: &Parts) -> Failure {
    let failure = match decode_answer(&send(Some("key")), head, b"{}") {
        Answer::Failed(failure) => Some(failure),
        _ => None,
    };
    failure.expect("the answer is a failure")
}

// A refusal of another attempt must not count as proof that this attempt did not run; the request
// would be sent to a second server and run twice.
#[test_case(Some(OTHER_ATTEMPT), "shedding"; "of_another_attempt")]
#[test_case(None, "shedding"; "without_attempt_id")]
#[test_case(Some(OTHER_ATTEMPT), "connections"; "of_another_attempt_for_connections")]
fn answer_foreign_refusal_proves_nothing(attempt: Option<u64>, reason: &str) {
    assert_eq!(
        failure(&head(503, attempt, Some(reason))),
        Failure::Mismatched
    );
}

#[test_case(Some(ATTEMPT), "shedding"; "same_attempt")]
#[test_case(None, "connections"; "connection_limit_before_the_request_was_read")]
fn answer_own_refusal_proves_not_run(attempt: Option<u64>, reason: &str) {
    let failure = failure(&head(503, attempt, Some(reason)));
    assert!(matches!(failure, Failure::Refused { .. }), "{failure:?}");
}

// A 504 means that the server gave up while the request was running, not that it ran and failed; a
// caller that is told "failed" would submit the request again.
#[test]
fn answer_timeout_while_running_is_cancelled() {
    let failure = failure(&head(504, Some(ATTEMPT), None));
    assert!(matches!(failure, Failure::Cancelled { .. }), "{failure:?}");
}

#[test]
fn answer_internal_error_is_server_error() {
    let failure = failure(&head(500, Some(ATTEMPT), None));
    assert!(
        matches!(failure, Failure::ServerError { .. }),
        "{failure:?}"
    );
}
