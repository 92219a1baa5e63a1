//! A home that shares its backend servers with the homes on many other hosts.

mod session;

use monsoonring_configuration::document::{Class, Kind, SoftDeadline};
use monsoonring_decision::attempt::{ConnectFailure, Failure, Refusal};
use monsoonring_decision::home::action::Send;
use monsoonring_decision::home::event::Request;
use monsoonring_decision::home::{Event, Params};
use monsoonring_decision::outcome::{Outcome, Reason};
use monsoonring_decision::placement::Division;
use session::{Session, VERSION, ms, refused, report, request, route, server, without_hedges};
use std::sync::Arc;
use test_case::test_case;

const HOSTS: usize = 9;

/// Returns the parameters of a search that may run each part twice and needs `min_coverage`.
fn search_params(min_coverage: f64) -> Params {
    Params {
        kind: Kind::Search,
        max_runs: 2,
        soft_deadline: Some(SoftDeadline {
            after_ms: 100,
            coverage: min_coverage,
        }),
        min_coverage,
        work: 0,
        urgency: None,
    }
}

fn new_request(session: &Session, id: u128, params: Params) -> Request {
    Request {
        params: Some(params),
        ..request(id, session.now)
    }
}

/// Submits a request with these parameters to the home.
fn submit(session: &mut Session, id: u128, params: Params) {
    let request = new_request(session, id, params);
    session.handle(Event::Request(request));
}

/// Makes an attempt fail with a server error.
fn fail(session: &mut Session, send: &Send) {
    let report = report(&[VERSION]);
    session.fail(send.attempt, Failure::ServerError { report });
}

/// Returns the parameters of a non-idempotent request.
fn execute_params() -> Params {
    Params {
        kind: Kind::Execute,
        max_runs: 2,
        soft_deadline: None,
        min_coverage: 0.0,
        work: 0,
        urgency: None,
    }
}

// Guards against the refusal of harmless requests on a network that resets connections: a reset is
// no crash while the server accepts connections.
#[test]
fn connection_lost_server_reachable_is_no_crash() {
    let mut session = Session::with_hosts(without_hedges(2, 2), HOSTS);
    submit(&mut session, 1, search_params(1.0));
    for attempt in [session.sends[0].attempt, session.sends[1].attempt] {
        session.fail(attempt, Failure::Lost);
    }
    assert!(!session.has_logged("suspect"));
    session.answer_from(2);
    assert_eq!(session.answer_to(1).coverage, 1.0);
    let repeated = Request {
        fingerprint: 1,
        ..new_request(&session, 2, search_params(1.0))
    };
    let sent = session.sends.len();
    session.handle(Event::Request(repeated));
    assert_eq!(session.sends.len(), sent + 2, "the same request runs again");
}

// Guards against a request that takes down one replica after the other because nothing refuses it.
#[test]
fn connection_lost_server_unreachable_is_a_crash() {
    let mut session = Session::with_hosts(without_hedges(1, 3), HOSTS);
    for id in 1..=2 {
        let request = Request {
            fingerprint: 666,
            ..new_request(&session, id, search_params(1.0))
        };
        session.handle(Event::Request(request));
        let send = session.sends.last().cloned().expect("the request was sent");
        session.refusing.insert(send.backend_server);
        session.fail(send.attempt, Failure::Lost);
        if !session.is_finished(id) {
            session.handle(Event::Abandoned(id));
        }
        session.advance(ms(1_000));
    }
    let third = Request {
        fingerprint: 666,
        ..new_request(&session, 3, search_params(1.0))
    };
    session.handle(Event::Request(third));
    let outcome = session.outcome(3);
    let reason = Reason::Suspect;
    assert!(
        matches!(outcome, Outcome::NotRun { reason: actual, .. } if *actual == reason),
        "{outcome:?}"
    );
}

// Guards against a crashing request that the log can't tell from a harmless one.
#[test]
fn connection_lost_logs_evidence_with_fingerprint() {
    let mut session = Session::with_hosts(without_hedges(1, 2), HOSTS);
    submit(&mut session, 1, search_params(1.0));
    let send = session.sends[0].clone();
    session.refusing.insert(send.backend_server);
    session.fail(send.attempt, Failure::Lost);
    session.answer_from(1);
    let evidence = session.log.iter();
    let evidence = evidence.filter(|decision| decision.label == "crash_evidence");
    let reasons: Vec<String> = evidence
        .map(|decision| decision.rationale.to_string())
        .collect();
    let of = "fingerprint 0000000000000001";
    assert_eq!(
        reasons,
        [
            format!("connection lost, {of}: 0 crashes confirmed, 1 not, weight 0.00"),
            format!("connect failed, {of}: 1 crashes confirmed, 0 not, weight 1.00"),
            format!("a replica answered, {of}: 0 crashes confirmed, 0 not, weight 0.00"),
        ]
    );
}

// Guards against a reconnect storm at a server that is at its connection limit and closes each new
// connection.
#[test]
fn connection_rejected_is_not_reopened_immediately() {
    let mut session = Session::with_hosts(without_hedges(1, 1), HOSTS);
    session.pending.insert(server(0, 0));
    submit(&mut session, 1, search_params(1.0));
    submit(&mut session, 2, search_params(1.0));
    let opened = session.opens.len();
    let (connection, _) = *session
        .opens
        .last()
        .expect("another connection was requested");
    session.handle(Event::ConnectFailed(connection, ConnectFailure::Closed));
    session.advance(ms(50));
    assert_eq!(
        session.opens.len(),
        opened,
        "no reconnect before the pause is over"
    );
    session.advance(ms(1_500));
    assert!(session.opens.len() > opened, "reconnects after the pause");
}

// Guards against a request that runs on more servers than `max_runs` allows, because hedges are not
// counted.
#[test]
fn max_runs_counts_hedges() {
    let mut session = Session::with_hosts(route(1, 3), HOSTS);
    submit(&mut session, 1, search_params(1.0));
    session.advance(ms(400));
    assert_eq!(session.sends.len(), 2, "the slow attempt was hedged");
    for attempt in [session.sends[0].attempt, session.sends[1].attempt] {
        session.fail(attempt, Failure::Lost);
    }
    session.advance(ms(400));
    assert_eq!(session.sends.len(), 2);
    assert!(matches!(session.outcome(1), Outcome::Failed { .. }));
}

// Guards against the failure of a request that servers refused without running it while another
// server is available.
#[test]
fn max_runs_does_not_count_refusals() {
    let mut session = Session::with_hosts(without_hedges(1, 3), HOSTS);
    submit(&mut session, 1, search_params(1.0));
    for sent in 0..2 {
        let attempt = session.sends[sent].attempt;
        session.fail(attempt, refused(Refusal::Shedding));
    }
    session.answer_from(2);
    assert_eq!(session.answer_to(1).coverage, 1.0);
}

// Guards against an answer with less than the minimum coverage that passes for a success.
#[test]
fn answer_below_min_coverage_is_a_failure() {
    let mut session = Session::with_hosts(without_hedges(2, 1), HOSTS);
    submit(&mut session, 1, search_params(0.75));
    let (first, second) = (session.sends[0].clone(), session.sends[1].clone());
    session.answer(&first);
    session.fail(
        second.attempt,
        Failure::ServerError {
            report: report(&[]),
        },
    );
    session.advance(ms(1_000));
    assert!(matches!(session.outcome(1), Outcome::Failed { .. }));
}

#[test]
fn answer_at_min_coverage_is_sent_at_the_soft_deadline() {
    let mut session = Session::with_hosts(without_hedges(4, 1), HOSTS);
    submit(&mut session, 1, search_params(0.75));
    for send in session.sends.clone().iter().take(3) {
        session.answer(send);
    }
    session.advance(ms(99));
    assert!(!session.is_finished(1), "the last shard may still reply");
    session.advance(ms(2));
    assert_eq!(session.answer_to(1).coverage, 0.75);
}

// Guards against a second attempt, outside the retry budget, for each part that a leaving server
// still works on.
#[test]
fn part_at_a_leaving_server_is_not_resent() {
    let full = without_hedges(2, 2);
    let mut session = Session::with_hosts(full.clone(), HOSTS);
    submit(&mut session, 1, search_params(1.0));
    let leaving = session.sends[0].clone();
    let mut remaining = full;
    remaining.groups[0]
        .backend_servers
        .retain(|server| *server != leaving.backend_server);
    session.handle(Event::Route(Arc::new(remaining)));
    assert_eq!(session.sends.len(), 2, "nothing is resent");
    session.answer_from(0);
    assert_eq!(session.answer_to(1).coverage, 1.0);
    submit(&mut session, 2, search_params(1.0));
    let next = &session.sends[2..];
    assert!(
        next.iter()
            .all(|send| send.backend_server != leaving.backend_server)
    );
}

// Guards against a retry budget that is shared by all groups and spent on the one group that fails.
#[test]
fn retries_of_one_group_are_bounded_by_its_own_requests() {
    let mut session = Session::with_hosts(without_hedges(10, 3), HOSTS);
    let percent = 10.0;
    let mut bounded = without_hedges(10, 3);
    bounded.retry.budget_percent = percent;
    session.handle(Event::Route(Arc::new(bounded)));
    for id in 1..=200 {
        let sent = session.sends.len();
        submit(&mut session, id, search_params(0.5));
        let mut at = sent;
        while let Some(send) = session.sends.get(at).cloned() {
            match send.ranges[0].start {
                0 => session.fail(
                    send.attempt,
                    Failure::ServerError {
                        report: report(&[VERSION]),
                    },
                ),
                _ => session.answer(&send),
            }
            at += 1;
        }
    }
    let extra = session.sends_to(0).len() - 200;
    let limit = 200.0 * percent / 100.0 + 58.0 / HOSTS as f64;
    assert!(extra as f64 <= limit, "{extra} extra attempts of {limit}");
}

// Guards against a hedge for a non-idempotent request that shares a home with searches.
#[test]
fn kinds_share_a_home() {
    let mut session = Session::with_hosts(route(1, 2), HOSTS);
    let execute_params = Request {
        class: Class::Normal,
        ..new_request(&session, 1, execute_params())
    };
    session.handle(Event::Request(execute_params));
    submit(&mut session, 2, search_params(1.0));
    session.advance(ms(500));
    let of_first = session.sends.iter().filter(|send| send.request == 1);
    assert_eq!(of_first.count(), 1, "never hedged");
    session.fail(session.sends[0].attempt, Failure::Lost);
    assert!(matches!(session.outcome(1), Outcome::Unknown { .. }));
}

// Guards against a retry budget that shrinks with each failure until none is left, while one
// attempt in two fails.
#[test]
fn retries_continue_while_many_attempts_fail() {
    let mut bounded = route(1, 3);
    bounded.hedge.budget_percent = 10.0;
    bounded.retry.budget_percent = 10.0;
    let mut session = Session::with_hosts(bounded, HOSTS);
    for id in 1..=400 {
        let sent = session.sends.len();
        submit(&mut session, id, search_params(1.0));
        let mut at = sent;
        while let Some(send) = session.sends.get(at).cloned() {
            let is_refused = at == sent && id % 2 == 0;
            match is_refused {
                true => fail(&mut session, &send),
                false => session.answer(&send),
            }
            at += 1;
        }
    }
    let extra = session.sends.len() - 400;
    assert!(
        (78..=87).contains(&extra),
        "{extra} extra attempts, budget 80 and a burst of 6"
    );
}

// Guards against an answer with data of the wrong shard: a hedge waits for a connection to an
// address that is reassigned to another group in the meantime.
#[test]
fn hedge_queued_at_a_reassigned_address_is_withdrawn() {
    let full = route(2, 2);
    let mut session = Session::with_hosts(full.clone(), HOSTS);
    let (original, moved) = (server(0, 0), server(0, 1));
    submit(&mut session, 1, search_params(1.0));
    let of_part = session.sends.iter().find(|send| send.ranges[0].start == 0);
    let primary = of_part
        .map(|send| send.backend_server)
        .expect("it was sent");
    let moved = if primary == moved { original } else { moved };
    // The hedge has to wait for a connection because its server's only one is closed.
    session.pending.insert(moved);
    for (connection, server) in session.opens.clone() {
        if server == moved {
            session.handle(Event::Closed(connection));
        }
    }
    session.advance(ms(300));
    assert!(session.has_logged("hedge"), "{}", session.transcript);
    let mut reassigned = full;
    reassigned.groups[0]
        .backend_servers
        .retain(|server| *server != moved);
    reassigned.groups[1].backend_servers.push(moved);
    session.handle(Event::Route(Arc::new(reassigned)));
    for (connection, server) in session.opens.clone() {
        if server == moved {
            session.handle(Event::Opened(connection));
        }
    }
    let misrouted = |send: &&Send| send.backend_server == moved && send.ranges[0].start == 0;
    assert_eq!(
        session.sends.iter().filter(misrouted).count(),
        0,
        "{}",
        session.transcript
    );
}

// Guards against servers that fail most requests but keep their share of the load because of a
// success now and then.
#[test]
fn servers_that_often_fail_are_avoided() {
    let mut session = Session::with_hosts(without_hedges(1, 3), HOSTS);
    let good = server(0, 2);
    let mut first_choices = Vec::new();
    for id in 1..=300 {
        let sent = session.sends.len();
        submit(&mut session, id, search_params(1.0));
        let mut at = sent;
        while let Some(send) = session.sends.get(at).cloned() {
            let fails = send.backend_server != good && send.attempt % 5 < 3;
            session.advance(ms(10));
            match fails {
                true => fail(&mut session, &send),
                false => session.answer(&send),
            }
            at += 1;
        }
        first_choices.push(session.sends[sent].backend_server);
    }
    let settled = &first_choices[20..];
    let sent_to_good = settled.iter().filter(|server| **server == good).count();
    assert!(
        sent_to_good * 10 >= settled.len() * 9,
        "{sent_to_good} of {}",
        settled.len()
    );
    assert!(sent_to_good < settled.len(), "the other servers are probed");
}

// Guards against non-idempotent requests that are sent to a silent server to probe it: each would
// end as `Unknown` at its deadline.
#[test]
fn execute_avoids_servers_with_overdue_attempts() {
    let mut session = Session::with_hosts(route(1, 3), HOSTS);
    for id in 1..=60 {
        submit(&mut session, id, execute_params());
        let send = session.sends.last().cloned().expect("it was sent");
        session.advance(ms(5));
        session.handle(Event::Executed(send.attempt, "{}".into(), report(&[])));
    }
    submit(&mut session, 100, execute_params());
    let silent = session.sends.last().expect("it was sent").backend_server;
    session.advance(ms(300));
    let sent = session.sends.len();
    for id in 101..=120 {
        submit(&mut session, id, execute_params());
        let send = session.sends.last().cloned().expect("it was sent");
        session.advance(ms(5));
        if send.backend_server != silent {
            session.handle(Event::Executed(send.attempt, "{}".into(), report(&[])));
        }
    }
    let sent_to_silent = session.sends[sent..]
        .iter()
        .filter(|send| send.backend_server == silent);
    assert_eq!(sent_to_silent.count(), 0);
}

// Guards against a home that can't get a connection to a shared server because each home keeps one
// ready without needing it.
#[test]
fn home_of_shared_servers_connects_on_demand() {
    let division = Division::among_all_hosts(HOSTS, 58.0).on_demand();
    let mut session = Session::with_division(without_hedges(1, 2), division);
    assert_eq!(session.opens.len(), 0);
    submit(&mut session, 1, search_params(1.0));
    session.answer_from(0);
    assert_eq!(session.answer_to(1).coverage, 1.0);
    assert_eq!(session.opens.len(), 1);
}

#[test]
fn connection_rejected_is_retried_within_half_a_second() {
    let mut session = Session::with_hosts(without_hedges(1, 1), HOSTS);
    session.pending.insert(server(0, 0));
    session.handle(Event::Closed(1));
    for _ in 0..10 {
        let (connection, _) = *session.opens.last().expect("a connection was requested");
        session.handle(Event::ConnectFailed(connection, ConnectFailure::Closed));
        let opened = session.opens.len();
        session.advance(ms(450));
        assert!(session.opens.len() > opened, "{}", session.transcript);
    }
}

// Guards against requests that cross to another data centre although a nearby server has free slots.
#[test]
fn nearby_servers_are_preferred_up_to_two_attempts() {
    let mut session = Session::with_hosts(without_hedges(1, 3), HOSTS);
    let near = server(0, 1);
    let remote = [server(0, 0), server(0, 2)].into_iter().collect();
    session.handle(Event::RemoteServers(remote));
    for id in 1..=3 {
        submit(&mut session, id, search_params(1.0));
    }
    let went_nearby: Vec<bool> = session
        .sends
        .iter()
        .map(|send| send.backend_server == near)
        .collect();
    assert_eq!(went_nearby, [true, true, false]);
}

// Guards against more runs of a part than its route allows: a change of the servers plans the parts
// of a search again, also those that have failed.
#[test_case(1; "one_run")]
#[test_case(2; "two_runs")]
fn part_failed_is_not_run_again_after_a_change_of_servers(max_runs: u32) {
    let mut session = Session::with_hosts(without_hedges(2, 2), HOSTS);
    let params = Params {
        max_runs,
        ..search_params(0.5)
    };
    submit(&mut session, 1, params);
    for _ in 0..max_runs {
        let sends = session.sends_to(0);
        fail(&mut session, sends.last().expect("the part was sent"));
    }
    let runs = session.sends_to(0).len();
    assert_eq!(runs, max_runs as usize);
    session.handle(Event::Route(Arc::new(without_hedges(2, 3))));
    session.advance(ms(50));
    session.handle(Event::Route(Arc::new(without_hedges(2, 4))));
    session.advance(ms(50));
    assert_eq!(session.sends_to(0).len(), runs, "the part is run again");
    session.answer_from(1);
    assert_eq!(session.answer_to(1).coverage, 0.5);
}
