//! Which searches get the further attempts when there are not enough for all.

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

/// Searches that were answered whole before; each group then allows a tenth of them.
const WARM_UP_SEARCHES: u128 = 100;

/// Further attempts that searches took which would have had an answer without them.
const RETRIES_PER_GROUP: u128 = 8;

const MIN_COVERAGE: f64 = 0.89;

/// Time up to the soft deadline, and the longest time that a failed part waits for the others.
const SOFT_DEADLINE_MS: u64 = 100;
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

/// Begins a search and returns its attempts, one for each group.
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

/// Returns a home at which the further attempts of each group are nearly used up.
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

// Symptom: while servers fail two requests of five, one search in three is answered, although the
// further attempts that their owners allow would do for more.
// Events: most searches lose three shards or more; each takes the first attempts that it gets.
// Cause: further attempts are handed out as failures come, most of them to searches that are lost all
// the same.
#[test]
fn fail_few_parts_are_retried() {
    let mut session = with_scarce_budget();
    let sends = start_search(&mut session, 1_000);
    let sent = session.sends.len();
    sends[..2].iter().for_each(|send| fail(&mut session, send));
    assert_eq!(session.sends.len(), sent, "both wait for the others");
    sends[2..].iter().for_each(|send| session.answer(send));
    assert_eq!(session.sends.len(), sent + 2, "both are asked again");
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
    assert_eq!(session.sends.len(), sent, "nothing is spent on it");
    assert!(matches!(session.outcome(1_000), Outcome::Failed { .. }));
}

// A tenth of ten groups is one, whatever rounding makes of it.
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
    assert!(session.sends.len() >= sent + 4, "four of them decide");
}

// Symptom: a search is late because its failed parts wait for a server that pauses.
// Events: two parts fail at once, the servers of two others pause for longer than the objective.
// Cause: the wait has no end.
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

// Symptom: a caller is held until its deadline by a search that can't be answered any more.
// Events: so many parts are given up that the rest can't reach the least coverage; others are slow.
// Cause: a search ends only when nothing of it is in progress.
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
        "the others are cancelled"
    );
}

// Symptom: servers get more further attempts than their owners allow whenever some are replaced.
// Events: parts wait for the others of their search; a new configuration comes.
// Cause: what nobody works on is dealt out again, and what is dealt out costs no budget.
#[test_case(0 ; "of its own group")]
#[test_case(5 ; "of another group")]
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
