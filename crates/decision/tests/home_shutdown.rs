//! Requests in progress while their daemon exits.

mod session;

use monsoonring_configuration::document::Route;
use monsoonring_decision::home::Event;
use monsoonring_decision::home::event::Request;
use monsoonring_decision::outcome::{Outcome, Reason};
use monsoonring_decision::reply::Report;
use session::{Session, VERSION, gate_desk, ms, request, route, tickets};
use std::time::Duration;
use test_case::test_case;

/// Deadline of the requests, long after the end of the shutdown.
const DEADLINE: Duration = Duration::from_secs(15);

/// Time from the beginning of the shutdown to its end.
const SHUTDOWN: Duration = Duration::from_secs(5);

/// Time that a server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(200);

/// More requests than the servers can run at once.
const REQUESTS: u128 = 100;

fn new_request(session: &Session, id: u128) -> Request {
    Request {
        deadline: session.now + DEADLINE,
        ..request(id, session.now)
    }
}

fn submit(session: &mut Session, ids: std::ops::Range<u128>) {
    for id in ids {
        let request = new_request(session, id);
        session.handle(Event::Request(request));
    }
}

fn shut_down(session: &mut Session) {
    let end = session.now + SHUTDOWN;
    session.handle(Event::Shutdown(end));
}

/// Returns a session with more requests than its servers can run, of which some wait.
fn overloaded(route: Route) -> Session {
    let mut session = Session::admitting_all(route);
    submit(&mut session, 0..REQUESTS);
    assert!(!waiting(&session).is_empty(), "some requests wait");
    session
}

/// Returns the requests that were admitted and not sent yet.
fn waiting(session: &Session) -> Vec<u128> {
    let submitted = session.transcript.lines().filter_map(|line| {
        let (_, id) = line.split_once("<- request ")?;
        id.parse().ok()
    });
    let is_waiting = |id: &u128| !session.is_finished(*id) && !has_been_sent(session, *id);
    submitted.filter(is_waiting).collect()
}

fn has_been_sent(session: &Session, id: u128) -> bool {
    session.sends.iter().any(|send| send.request == id)
}

fn is_refused(session: &Session, id: u128) -> bool {
    let outcome = session
        .finishes
        .iter()
        .find(|(finished, _)| *finished == id);
    matches!(
        outcome,
        Some((_, Outcome::NotRun { reason: Reason::Stopping, retry_after: Some(delay) })) if delay.is_zero()
    )
}

/// Completes the attempts that were sent at least [`SERVICE_TIME`] ago, one tick after the other.
fn run_for(session: &mut Session, time: Duration) {
    let end = session.now + time;
    let mut sent_at: Vec<Duration> = vec![session.now; session.sends.len()];
    let mut next = session
        .sends
        .iter()
        .position(|send| !session.is_finished(send.request))
        .unwrap_or(session.sends.len());
    while session.now < end {
        session.advance(ms(10));
        sent_at.resize(session.sends.len(), session.now);
        while next < session.sends.len() && sent_at[next] + SERVICE_TIME <= session.now {
            let attempt = session.sends[next].attempt;
            session.handle(Event::Executed(attempt, "7".into(), Report::default()));
            sent_at.resize(session.sends.len(), session.now);
            next += 1;
        }
    }
}

// Guards against requests that wait in a daemon and lose their connection without an answer when it
// exits, although they provably did not run.
#[test_case(tickets(1); "execution at one server")]
#[test_case(tickets(3); "execution at three servers")]
#[test_case(route(1, 1); "search of one group")]
#[test_case(route(4, 2); "search of four groups")]
fn shutdown_waiting_requests_are_not_run(route: Route) {
    let mut session = overloaded(route);
    let waiting = waiting(&session);
    shut_down(&mut session);
    session.advance(SHUTDOWN);
    assert!(waiting.iter().all(|id| is_refused(&session, *id)));
    assert_eq!(session.home.in_progress(), 0);
}

// Guards against "not run" for a request that a server may be running when the daemon exits.
#[test]
fn shutdown_running_execution_is_unknown_at_its_end() {
    let mut session = Session::polled(tickets(1), &[VERSION]);
    submit(&mut session, 0..1);
    shut_down(&mut session);
    session.advance(SHUTDOWN - ms(1));
    assert!(!session.is_finished(0), "the server has until the end");
    session.advance(ms(1));
    let reason = Reason::Stopping;
    assert_eq!(session.outcome(0), &Outcome::Unknown { reason });
}

// Guards against the loss of results that suffice for an answer.
#[test]
fn shutdown_search_with_enough_coverage_is_answered() {
    let mut session = Session::polled(gate_desk(2, 1), &[VERSION]);
    submit(&mut session, 0..1);
    let first = session.sends[0].clone();
    session.answer(&first);
    let end = session.now + ms(50);
    session.handle(Event::Shutdown(end));
    session.advance(ms(50));
    assert_eq!(session.answer_to(0).coverage, 0.5);
}

// Guards against requests that wait until the daemon exits although it is known at once that they
// can't be served.
#[test]
fn shutdown_hopeless_requests_are_refused_at_once() {
    let mut session = overloaded(tickets(1));
    run_for(&mut session, Duration::from_secs(1));
    submit(&mut session, REQUESTS..10 * REQUESTS);
    let waiting = waiting(&session);
    shut_down(&mut session);
    let is_refused_at_once = |id: &&u128| is_refused(&session, **id);
    let refused = waiting.iter().filter(is_refused_at_once).count();
    assert!(refused > 0, "the last of the queue can't be served in time");
    assert!(refused < waiting.len(), "those in front can");
    run_for(&mut session, SHUTDOWN);
    let is_executed = |id: &&u128| matches!(session.outcome(**id), Outcome::Executed(_));
    let executed = waiting.iter().filter(is_executed).count();
    let refused = waiting
        .iter()
        .filter(|id| is_refused(&session, **id))
        .count();
    assert!(executed > 0, "those in front are served meanwhile");
    assert_eq!(executed + refused, waiting.len());
}

// Guards against a non-idempotent request that is sent so late that the daemon exits before its
// result is known.
#[test]
fn shutdown_execution_is_not_sent_when_it_would_outlast_the_daemon() {
    let mut session = overloaded(tickets(1));
    run_for(&mut session, Duration::from_secs(2));
    submit(&mut session, REQUESTS..2 * REQUESTS);
    shut_down(&mut session);
    run_for(&mut session, SHUTDOWN);
    let unknown = session
        .finishes
        .iter()
        .filter(|(_, outcome)| matches!(outcome, Outcome::Unknown { .. }));
    assert_eq!(unknown.count(), 0);
}

// Guards against a planned stop that refuses requests while load balancers still send them here.
#[test]
fn shutdown_new_request_is_served_if_there_is_time() {
    let mut session = Session::polled(tickets(1), &[VERSION]);
    submit(&mut session, 0..10);
    run_for(&mut session, Duration::from_secs(3));
    shut_down(&mut session);
    submit(&mut session, 10..11);
    assert!(has_been_sent(&session, 10));
    session.advance(SHUTDOWN - SERVICE_TIME / 2);
    submit(&mut session, 11..12);
    assert!(is_refused(&session, 11), "its result would come too late");
}

// Guards against requests that wait for the end of a stop that was cut short by a second signal.
#[test]
fn shutdown_brought_forward_ends_all_requests() {
    let mut session = overloaded(tickets(1));
    shut_down(&mut session);
    let now = session.now;
    session.handle(Event::Shutdown(now));
    assert_eq!(session.home.in_progress(), 0);
    submit(&mut session, REQUESTS..REQUESTS + 1);
    assert!(is_refused(&session, REQUESTS));
}
