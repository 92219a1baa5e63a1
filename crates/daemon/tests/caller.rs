//! The callers' HTTP interface: refusals, outcomes, and the calls that reach the service.

mod support;

use monsoonring_configuration::document::Class;
use monsoonring_daemon::service::Execution;
use monsoonring_decision::outcome::{Answer, Outcome, Reason};
use std::fmt::Write;
use std::time::Duration;
use support::Daemon;
use support::http::{exchange, get, post, search};
use support::service::{Fake, answer};
use test_case::test_case;

const QUERY: &str = "/routes/hydrants/query";
const EXECUTE: &str = "/routes/tickets/execute";
const DISPATCH: &str = "monsoonring-caller: dispatch";
const CLERK: &str = "monsoonring-caller: clerk";
const KEY: &str = "idempotency-key: k1";
const ISSUED_KEY: &str = "idempotency-key: m1.127.0.0.1~7000.1.0.1000.00";

#[test_case(&get("/elsewhere"), 404, "path"; "unknown_path_is_not_found")]
#[test_case(&get(QUERY), 405, "method"; "get_of_a_query_is_not_allowed")]
#[test_case(&post("/ready", &[], ""), 405, "method"; "post_of_ready_is_not_allowed")]
#[test_case(&post(QUERY, &[], "1"), 401, "caller"; "without_caller_is_unidentified")]
#[test_case(&post(QUERY, &["monsoonring-caller: x"], "1"), 401, "caller"; "unknown_caller_is_unidentified")]
#[test_case(&post(QUERY, &[CLERK], "1"), 401, "caller"; "missing_token_is_unidentified")]
#[test_case(&post(QUERY, &[CLERK, "authorization: Bearer wrong"], "1"), 401, "caller"; "wrong_token_is_unidentified")]
#[test_case(&post(QUERY, &[DISPATCH, DISPATCH], "1"), 400, "header"; "caller_given_twice_is_refused")]
#[test_case(&post(QUERY, &["monsoonring-caller: planner"], "1"), 403, "authorisation"; "route_of_other_callers_is_forbidden")]
#[test_case(&post("/routes/none/query", &[DISPATCH], "1"), 404, "route"; "unknown_route_is_not_found")]
#[test_case(&post("/routes/tickets/query", &[DISPATCH], "1"), 404, "route"; "query_of_an_execute_route_is_not_found")]
#[test_case(&post("/routes/hydrants/execute", &[DISPATCH, KEY], "1"), 404, "route"; "execute_of_a_search_route_is_not_found")]
#[test_case(&post(QUERY, &[DISPATCH, "monsoonring-deadline-ms: soon"], "1"), 400, "header"; "deadline_unparsable_is_refused")]
#[test_case(&post(QUERY, &[DISPATCH, "monsoonring-deadline-ms: -5"], "1"), 400, "header"; "deadline_negative_is_refused")]
#[test_case(&post(QUERY, &[DISPATCH, "monsoonring-deadline-ms: 0"], "1"), 504, "deadline"; "deadline_passed_is_not_run")]
#[test_case(&post(QUERY, &[DISPATCH], "{\"a\":"), 400, "body"; "body_malformed_is_refused")]
#[test_case(&post(QUERY, &[DISPATCH], ""), 400, "body"; "body_empty_is_refused")]
#[test_case(&post(QUERY, &[DISPATCH], &"[".repeat(60)), 400, "body"; "body_unclosed_is_refused")]
#[test_case(&post(QUERY, &[DISPATCH], &"1".repeat(65)), 413, "body_size"; "body_above_the_limit_is_refused")]
#[test_case(&chunked(&"1".repeat(65)), 413, "body_size"; "body_of_unknown_length_above_the_limit_is_refused")]
#[test_case(&post(EXECUTE, &[DISPATCH], "1"), 400, "header"; "execute_without_key_is_refused")]
#[test_case(&post(EXECUTE, &[DISPATCH, "idempotency-key: a b"], "1"), 400, "header"; "execute_with_a_key_with_spaces_is_refused")]
#[test_case(&post(EXECUTE, &[DISPATCH, KEY, "monsoonring-send: 0"], "1"), 400, "header"; "execute_with_send_zero_is_refused")]
#[tokio::test]
async fn request(request: &str, status: u16, kind: &str) {
    // Guards against refusals without a problem document, and against refused requests that reach
    // the service nevertheless.
    let daemon = Daemon::start(Fake::default(), &[]).await;
    let response = exchange(daemon.caller_address, request).await;
    assert_eq!(
        (response.status, response.problem()),
        (status, (kind.into(), "not_run".into()))
    );
    assert!(
        daemon.service.received_calls().is_empty(),
        "a refused request must not reach the service"
    );
    daemon.signal();
    daemon.stopped().await;
}

// Guards against double execution: a refused send under a key that may have been sent before must
// not report "not run", since an earlier send may have executed.
#[test_case(&post("/routes/none/execute", &[DISPATCH, ISSUED_KEY], "1"), 404, "unknown"; "under_issued_key_is_unknown")]
#[test_case(&post(EXECUTE, &["monsoonring-caller: x", ISSUED_KEY], "1"), 401, "unknown"; "of_unknown_caller_is_unknown")]
#[test_case(&post(EXECUTE, &[DISPATCH, ISSUED_KEY, "monsoonring-deadline-ms: 0"], "1"), 504, "unknown"; "too_late_is_unknown")]
#[test_case(&post(EXECUTE, &[DISPATCH, ISSUED_KEY], "{"), 400, "unknown"; "with_broken_body_is_unknown")]
#[test_case(&post("/routes/none/execute", &[DISPATCH, KEY, "monsoonring-send: 2"], "1"), 404, "unknown"; "second_under_own_key_is_unknown")]
#[test_case(&post("/routes/none/execute", &[DISPATCH, KEY, "monsoonring-send: 1"], "1"), 404, "not_run"; "first_under_own_key_is_not_run")]
#[test_case(&post("/routes/none/query", &[DISPATCH, ISSUED_KEY], "1"), 404, "not_run"; "search_is_not_run")]
#[tokio::test]
async fn refused_send(request: &str, status: u16, outcome: &str) {
    let daemon = Daemon::start(Fake::default(), &[]).await;
    let response = exchange(daemon.caller_address, request).await;
    let (_, reported) = response.problem();
    assert_eq!((response.status, reported.as_str()), (status, outcome));
    daemon.signal();
    daemon.stopped().await;
}

#[tokio::test]
async fn refused_send_before_the_first_configuration_is_unknown() {
    let service = Fake {
        configuration: None,
        ..Fake::default()
    };
    let daemon = Daemon::start(service, &[]).await;
    let response = exchange(
        daemon.caller_address,
        &post(EXECUTE, &[DISPATCH, ISSUED_KEY], "1"),
    )
    .await;
    let expected = ("starting".into(), "unknown".into());
    assert_eq!((response.status, response.problem()), (503, expected));
    daemon.signal();
    daemon.stopped().await;
}

fn chunked(body: &str) -> String {
    let head = search("").replace("content-length: 0", "transfer-encoding: chunked");
    format!("{head}{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
}

#[tokio::test]
async fn request_before_the_first_configuration_is_not_run() {
    let service = Fake {
        configuration: None,
        ..Fake::default()
    };
    let daemon = Daemon::start(service, &[]).await;
    let response = exchange(daemon.caller_address, &search("1")).await;
    assert_eq!(response.problem(), ("starting".into(), "not_run".into()));
    assert_eq!(response.header("retry-after"), Some("1"));
    assert_eq!(
        exchange(daemon.caller_address, &get("/ready")).await.status,
        503
    );
    assert_eq!(
        exchange(daemon.caller_address, &get("/health"))
            .await
            .status,
        200
    );
}

#[tokio::test]
async fn search_reaches_the_service_as_sent() {
    let daemon = Daemon::start(Fake::default(), &[]).await;
    let headers = [
        CLERK,
        "authorization: bearer secret",
        "monsoonring-deadline-ms: 5000",
    ];
    let response = exchange(
        daemon.caller_address,
        &post(QUERY, &headers, " {\"b\":1, \"a\":2}"),
    )
    .await;
    assert_eq!(response.status, 200);
    let calls = daemon.service.received_calls();
    let call = calls.first().expect("the request reached the service");
    assert_eq!((&*call.caller, call.class), ("clerk", Class::Normal));
    assert_eq!(&*call.body, " {\"b\":1, \"a\":2}");
    assert_eq!(
        response.header("monsoonring-request"),
        Some(&*format!("{:032x}", call.request))
    );
}

#[test_case("{\"a\":1,\"b\":[2]}", "{ \"b\": [2],\n\"a\": 1 }", true; "ignores_order_and_space")]
#[test_case("{\"a\":1}", "{\"a\":2}", false; "differs_by_value")]
#[test_case("[1,[2]]", "[[1],2]", false; "differs_by_nesting")]
#[test_case("\"1\"", "1", false; "differs_by_type")]
#[tokio::test]
async fn fingerprint(first: &str, second: &str, same: bool) {
    let daemon = Daemon::start(Fake::default(), &[]).await;
    for body in [first, second] {
        assert_eq!(
            exchange(daemon.caller_address, &search(body)).await.status,
            200
        );
    }
    let fingerprints: Vec<u64> = daemon
        .service
        .received_calls()
        .iter()
        .map(|call| call.fingerprint)
        .collect();
    assert_eq!(fingerprints[0] == fingerprints[1], same);
}

#[tokio::test]
async fn request_ids_of_one_trace_differ() {
    // Guards against mixed-up answers when a caller sends two requests with one `traceparent`:
    // the trace id must not serve as request id.
    let daemon = Daemon::start(Fake::default(), &[]).await;
    let trace = "traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    for body in ["1", "2"] {
        let request = post(QUERY, &[DISPATCH, trace], body);
        assert_eq!(exchange(daemon.caller_address, &request).await.status, 200);
    }
    let calls = daemon.service.received_calls();
    assert_ne!(
        calls[0].request, calls[1].request,
        "requests of one trace have different ids"
    );
}

#[tokio::test]
async fn key_with_and_without_quotes_is_the_same() {
    // Guards against double execution when a caller sends its key once quoted, as the
    // `Idempotency-Key` draft specifies, and once unquoted.
    let daemon = Daemon::start(Fake::default(), &[]).await;
    for key in ["idempotency-key: \"k1\"", KEY] {
        let request = post(EXECUTE, &[DISPATCH, key, "monsoonring-send: 2"], "1");
        assert_eq!(exchange(daemon.caller_address, &request).await.status, 200);
    }
    let executed = daemon
        .service
        .executed
        .lock()
        .expect("the mutex is not poisoned")
        .clone();
    assert_eq!(executed, vec![("k1".to_owned(), Some(2)); 2]);
}

fn outcomes() -> Vec<Outcome> {
    let reasons = [
        Reason::Deadline,
        Reason::Overload,
        Reason::Unavailable,
        Reason::Suspect,
        Reason::Stopping,
        Reason::Abandoned,
        Reason::BackendServer,
        Reason::Lost,
        Reason::Fence,
    ];
    let complete = Answer {
        coverage: 1.0,
        missing: Vec::new(),
        ..answer()
    };
    let mut outcomes = vec![Outcome::Answered(complete), Outcome::Answered(answer())];
    for reason in reasons {
        let retry_after = (reason == Reason::Overload).then_some(Duration::from_millis(1_200));
        outcomes.push(Outcome::NotRun {
            reason,
            retry_after,
        });
        outcomes.push(Outcome::Failed {
            reason,
            retry_after,
        });
        outcomes.push(Outcome::Unknown { reason });
    }
    outcomes
}

#[tokio::test]
async fn outcome_each_is_reported() {
    let mut session = String::new();
    for outcome in outcomes() {
        let title = match &outcome {
            Outcome::Answered(answer) => format!("Answered with coverage {}", answer.coverage),
            outcome => format!("{outcome:?}"),
        };
        let daemon = Daemon::start(Fake::with_outcome(outcome), &[]).await;
        let response = exchange(daemon.caller_address, &search("1")).await;
        write!(session, "# {title}\n{}\n", response.golden())
            .expect("writing to a string succeeds");
    }
    insta::assert_snapshot!(session);
}

#[tokio::test]
async fn execution_each_is_reported() {
    let offered = Some("issued-9".to_owned());
    let conflict = Execution {
        conflict: true,
        ..Outcome::NotRun {
            reason: Reason::Fence,
            retry_after: None,
        }
        .into()
    };
    let executions = [
        Fake::default().execution,
        Execution {
            offered_key: offered.clone(),
            ..Fake::default().execution
        },
        Execution {
            offered_key: offered,
            ..Outcome::Unknown {
                reason: Reason::Lost,
            }
            .into()
        },
        conflict,
    ];
    let mut session = String::new();
    for execution in executions {
        let daemon = Daemon::start(
            Fake {
                execution,
                ..Fake::default()
            },
            &[],
        )
        .await;
        let keys = exchange(
            daemon.caller_address,
            &post("/routes/tickets/keys", &[DISPATCH], ""),
        )
        .await;
        let response = exchange(
            daemon.caller_address,
            &post(EXECUTE, &[DISPATCH, KEY], "{}"),
        )
        .await;
        write!(session, "{}\n{}\n", keys.golden(), response.golden())
            .expect("writing to a string succeeds");
    }
    insta::assert_snapshot!(session);
}
