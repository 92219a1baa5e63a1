//! Deferred retries: which searches get retries while the retry budget is scarce.

mod session;

use monsoonring_configuration::document::{Kind, SoftDeadline};
use monsoonring_decision::attempt::Failure;
use monsoonring_decision::home::action::Send;
use monsoonring_decision::home::event::Request;
use monsoonring_decision::home::{Event, Params};
use monsoonring_decision::outcome::Outcome;
use monsoonring_decision::placement::Division;
use monsoonring_decision::reply::Report;
use session::{Session, ms, request, route};
use std::sync::Arc;
use test_case::test_case;

const GROUPS: usize = 10;

/// Searches before the tested one; each group's retry budget is a tenth of them.
const WARM_UP_SEARCHES: u128 = 100;

/// Retries per group that these searches spend.
const RETRIES_PER_GROUP: u128 = 8;

const MIN_COVERAGE: f64 = 0.89;

/// Soft deadline after the start of a search, in milliseconds.
const SOFT_DEADLINE_MS: u64 = 100;

/// Longest deferral of a failed part, in milliseconds.
const MAX_DEFER_MS: u64 = 35;

fn params() -> Params {
    Params {
        kind: Kind::Search,
        max_runs: 2,
        soft_deadline: Some(SoftDeadline {
            after_ms: SOFT_DEADLINE_MS,
            coverage: MIN_COVERAGE,
        }),
        min_coverage: MIN_COVERAGE,
        work: 0,
        urgency: None,
    }
}

/// Starts a search and returns its attempts, one for each group.
fn start_search(session: &mut Session, id: u128) -> Vec<Send> {
    let from = session.sends.len();
    let request = Request {
        params: Some(params()),
        ..request(id, session.now)
    };
    session.handle(Event::Request(request));
    session.sends[from..].to_vec()
}

fn fail(session: &mut Session, send: &Send) {
    let report = Report::default();
    session.fail(send.attempt, Failure::ServerError { report });
}

/// Returns a session in which the retry budget of each group is nearly spent.
fn with_scarce_budget() -> Session {
    let mut route = route(GROUPS, 3);
    route.hedge.budget_percent = 0.0;
    route.retry.budget_percent = 10.0;
    let mut session = Session::with_division(route, Division::among_all_hosts(1, 0.0));
    for id in 1..=WARM_UP_SEARCHES {
        let sends = start_search(&mut session, id);
        let sent = session.sends.len();
        let failing_group = (id > WARM_UP_SEARCHES - RETRIES_PER_GROUP * GROUPS as u128)
            .then_some(id as usize % GROUPS);
        for (group, send) in sends.iter().enumerate() {
            match failing_group == Some(group) {
                true => fail(&mut session, send),
                false => session.answer(send),
            }
        }
        session.answer_from(sent);
        assert!(session.is_finished(id));
    }
    session
}

// Guards against retries granted in the order of failures: most would go to searches that fail
// anyway.
#[test]
fn fail_few_parts_are_retried() {
    let mut session = with_scarce_budget();
    let sends = start_search(&mut session, 1_000);
    let sent = session.sends.len();
    sends[..2].iter().for_each(|send| fail(&mut session, send));
    assert_eq!(session.sends.len(), sent, "both parts are deferred");
    sends[2..].iter().for_each(|send| session.answer(send));
    assert_eq!(session.sends.len(), sent + 2, "both parts are retried");
    session.answer_from(sent);
    assert!((session.answer_to(1_000).coverage - 1.0).abs() < f64::EPSILON);
}

#[test]
fn fail_many_parts_are_not_retried() {
    let mut session = with_scarce_budget();
    let sends = start_search(&mut session, 1_000);
    let sent = session.sends.len();
    sends[1..].iter().for_each(|send| fail(&mut session, send));
    session.answer(&sends[0]);
    assert_eq!(session.sends.len(), sent, "no retry is spent");
    assert!(matches!(session.outcome(1_000), Outcome::Failed { .. }));
}

// The answer can do without one group of ten, despite rounding errors in the coverage.
#[test]
fn fail_parts_beyond_the_dispensable_are_retried() {
    let mut session = with_scarce_budget();
    let from = session.sends.len();
    let params = Params {
        min_coverage: 0.9,
        ..params()
    };
    session.handle(Event::Request(Request {
        params: Some(params),
        ..request(1_000, session.now)
    }));
    let sends = session.sends[from..].to_vec();
    let sent = session.sends.len();
    sends[..5].iter().for_each(|send| fail(&mut session, send));
    sends[5..].iter().for_each(|send| session.answer(send));
    assert!(
        session.sends.len() >= sent + 4,
        "four of the five failed parts are retried"
    );
}

// Guards against a search that is late because its deferred parts wait for a paused server.
#[test]
fn fail_beside_slow_parts_has_bounded_deferral() {
    let mut session = with_scarce_budget();
    let sends = start_search(&mut session, 1_000);
    let sent = session.sends.len();
    sends[..2].iter().for_each(|send| fail(&mut session, send));
    session.advance(ms(MAX_DEFER_MS - 1));
    assert_eq!(session.sends.len(), sent);
    session.advance(ms(1));
    assert_eq!(session.sends.len(), sent + 2);
}

// Guards against a search that keeps its caller waiting after it can no longer reach the minimum
// coverage.
#[test]
fn give_up_too_many_parts_ends_the_search() {
    let mut route = route(GROUPS, 3);
    route.hedge.budget_percent = 0.0;
    route.retry.budget_percent = 0.0;
    let mut session = Session::with_division(route, Division::among_all_hosts(1, 0.0));
    let sends = start_search(&mut session, 1);
    sends[..2].iter().for_each(|send| fail(&mut session, send));
    session.advance(ms(MAX_DEFER_MS));
    assert!(matches!(session.outcome(1), Outcome::Failed { .. }));
    assert_eq!(
        session.cancels.len(),
        GROUPS - 2,
        "the other attempts are cancelled"
    );
}

// Guards against retries outside the budget when a new configuration arrives while parts are
// deferred.
#[test_case(0 ; "its own group")]
#[test_case(5 ; "another group")]
fn route_change_keeps_parts_deferred(changed: usize) {
    let mut session = with_scarce_budget();
    let sends = start_search(&mut session, 1_000);
    let sent = session.sends.len();
    sends[..2].iter().for_each(|send| fail(&mut session, send));
    let mut route = route(GROUPS, 3);
    route.hedge.budget_percent = 0.0;
    route.retry.budget_percent = 10.0;
    route.groups[changed].backend_servers.truncate(2);
    session.handle(Event::Route(Arc::new(route)));
    let resent = &session.sends[sent..];
    let failed = [sends[0].ranges.clone(), sends[1].ranges.clone()];
    assert!(resent.iter().all(|send| !failed.contains(&send.ranges)));
}
