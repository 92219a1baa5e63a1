//! A home that is one of many, all of which are homes of the same backend servers.

mod session;

use monsoonring_configuration::document::{Class, Kind, Route, SoftDeadline};
use monsoonring_decision::attempt::{ConnectFailure, Failure, Refusal};
use monsoonring_decision::home::action::Send;
use monsoonring_decision::home::event::Request;
use monsoonring_decision::home::{Event, Params};
use monsoonring_decision::outcome::{Outcome, Reason};
use monsoonring_decision::placement::Division;
use session::{Session, VERSION, ms, refused, report, request, route, server};
use std::sync::Arc;

const HOSTS: usize = 9;

/// Params of a search over many shards: two servers may run a part, most shards are enough.
fn search(min_coverage: f64) -> Params {
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

fn asked(session: &Session, id: u128, terms: Params) -> Request {
    Request {
        params: Some(terms),
        ..request(id, session.now)
    }
}

/// Feeds a request on these terms.
fn begin(session: &mut Session, id: u128, terms: Params) {
    let request = asked(session, id, terms);
    session.on(Event::Request(request));
}

/// Has a server fail an attempt that it ran.
fn fail(session: &mut Session, send: &Send) {
    let report = report(&[VERSION]);
    session.fail(send.attempt, Failure::ServerError { report });
}

/// Params of a request that may run once.
fn once() -> Params {
    Params {
        kind: Kind::Execute,
        max_runs: 2,
        soft_deadline: None,
        min_coverage: 0.0,
        work: 0,
        urgency: None,
    }
}

fn without_hedges(groups: usize, replicas: usize) -> Route {
    let mut route = route(groups, replicas);
    route.hedge.budget_percent = 0.0;
    route
}

// Symptom: hundreds of harmless requests are refused for a minute each, on a day on which the
//          network resets connections.
// Events:  two servers reset the connection of the same request while it was alone there, as far as
//          this host knows; both go on to serve.
// Cause:   each reset was taken for the death of a server, though others kept it busy and well.
#[test]
fn lost_connections_of_living_servers_are_no_crash() {
    let mut session = Session::everyone(without_hedges(2, 2), HOSTS);
    begin(&mut session, 1, search(1.0));
    for attempt in [session.sends[0].attempt, session.sends[1].attempt] {
        session.fail(attempt, Failure::Lost);
    }
    assert!(!session.logged("suspect"));
    session.answer_from(2);
    assert_eq!(session.answered(1).coverage, 1.0);
    let again = Request {
        fingerprint: 1,
        ..asked(&session, 2, search(1.0))
    };
    let sent = session.sends.len();
    session.on(Event::Request(again));
    assert_eq!(session.sends.len(), sent + 2, "the same request runs again");
}

// Symptom: replica after replica goes down, each a moment after the same request reached it.
// Events:  a request crashes its server, which can't be connected to from then on; it is sent again.
// Cause:   nobody refuses it.
#[test]
fn lost_connections_of_dead_servers_are_crashes() {
    let mut session = Session::everyone(without_hedges(1, 3), HOSTS);
    for id in 1..=2 {
        let request = Request {
            fingerprint: 666,
            ..asked(&session, id, search(1.0))
        };
        session.on(Event::Request(request));
        let send = session.sends.last().cloned().expect("it was sent");
        session.refusing.insert(send.backend_server);
        session.fail(send.attempt, Failure::Lost);
        if !session.is_finished(id) {
            session.on(Event::Abandoned(id));
        }
        session.pass(ms(1_000));
    }
    let third = Request {
        fingerprint: 666,
        ..asked(&session, 3, search(1.0))
    };
    session.on(Event::Request(third));
    let outcome = session.outcome(3);
    let reason = Reason::Suspect;
    assert!(
        matches!(outcome, Outcome::NotRun { reason: found, .. } if *found == reason),
        "{outcome:?}"
    );
}

// Symptom: 88,026 connections in 50 s, of which servers reset 76,458 as too many, while each took a
//          work slot for 6 ms.
// Events:  a server takes a connection and ends it at once, as others hold all that it accepts.
// Cause:   the end of a connection that was idle was taken for a reason to open the next at once.
#[test]
fn connection_ended_at_once_is_not_opened_again_at_once() {
    let mut session = Session::everyone(without_hedges(1, 1), HOSTS);
    session.pending.insert(server(0, 0));
    begin(&mut session, 1, search(1.0));
    begin(&mut session, 2, search(1.0));
    let opened = session.opens.len();
    let (connection, _) = *session.opens.last().expect("one more is wanted");
    session.on(Event::ConnectFailed(connection, ConnectFailure::Closed));
    session.pass(ms(50));
    assert_eq!(session.opens.len(), opened, "the server is left alone");
    session.pass(ms(1_500));
    assert!(session.opens.len() > opened, "and asked again later");
}

// Symptom: one request runs on three servers where its operator allows two.
// Events:  a part is hedged, and both attempts are lost.
// Cause:   hedges were not counted among the attempts.
#[test]
fn runs_at_most_counts_hedges() {
    let mut session = Session::everyone(route(1, 3), HOSTS);
    begin(&mut session, 1, search(1.0));
    session.pass(ms(400));
    assert_eq!(session.sends.len(), 2, "the slow attempt was hedged");
    for attempt in [session.sends[0].attempt, session.sends[1].attempt] {
        session.fail(attempt, Failure::Lost);
    }
    session.pass(ms(400));
    assert_eq!(session.sends.len(), 2);
    assert!(matches!(session.outcome(1), Outcome::Failed { .. }));
}

// Symptom: a request that two full servers turned away fails although a third one has room.
// Events:  both refuse it, and say that they did not run it.
// Cause:   refusals were counted as runs.
#[test]
fn runs_at_most_does_not_count_refusals() {
    let mut session = Session::everyone(without_hedges(1, 3), HOSTS);
    begin(&mut session, 1, search(1.0));
    for sent in 0..2 {
        let attempt = session.sends[sent].attempt;
        session.fail(attempt, refused(Refusal::Shedding));
    }
    session.answer_from(2);
    assert_eq!(session.answered(1).coverage, 1.0);
}

// Symptom: an answer from three shards of ten passes for a success.
// Events:  the other shards are down; the caller can do nothing with less than nine.
// Cause:   any coverage above nothing was an answer.
#[test]
fn answer_below_the_least_coverage_is_a_failure() {
    let mut session = Session::everyone(without_hedges(2, 1), HOSTS);
    begin(&mut session, 1, search(0.75));
    let (one, other) = (session.sends[0].clone(), session.sends[1].clone());
    session.answer(&one);
    session.fail(
        other.attempt,
        Failure::ServerError {
            report: report(&[]),
        },
    );
    session.pass(ms(1_000));
    assert!(matches!(session.outcome(1), Outcome::Failed { .. }));
}

#[test]
fn answer_at_the_least_coverage_leaves_at_the_soft_deadline() {
    let mut session = Session::everyone(without_hedges(4, 1), HOSTS);
    begin(&mut session, 1, search(0.75));
    for send in session.sends.clone().iter().take(3) {
        session.answer(send);
    }
    session.pass(ms(99));
    assert!(!session.is_finished(1), "the last shard may still come");
    session.pass(ms(2));
    assert_eq!(session.answered(1).coverage, 0.75);
}

// Symptom: whenever servers are replaced, each attempt that they still work on is sent a second
//          time, beyond what the servers' owners allow.
// Events:  a server says that it is leaving while it works on a part; its group goes on without it.
// Cause:   the part was dealt out again, as if its keys had moved to another group.
#[test]
fn part_at_a_leaving_server_is_waited_for() {
    let whole = without_hedges(2, 2);
    let mut session = Session::everyone(whole.clone(), HOSTS);
    begin(&mut session, 1, search(1.0));
    let leaving = session.sends[0].clone();
    let mut rest = whole;
    rest.groups[0]
        .backend_servers
        .retain(|server| *server != leaving.backend_server);
    session.on(Event::Route(Arc::new(rest)));
    assert_eq!(session.sends.len(), 2, "nothing is sent again");
    session.answer_from(0);
    assert_eq!(session.answered(1).coverage, 1.0);
    begin(&mut session, 2, search(1.0));
    let next = &session.sends[2..];
    assert!(
        next.iter()
            .all(|send| send.backend_server != leaving.backend_server)
    );
}

// Symptom: a server gets twice the extra attempts that its owners allow for its group, while the
//          other nine groups get none.
// Events:  one group of ten loses every attempt.
// Cause:   all groups' first attempts filled one budget.
#[test]
fn retries_of_one_group_are_bounded_by_its_own_requests() {
    let mut session = Session::everyone(without_hedges(10, 3), HOSTS);
    let percent = 10.0;
    let mut bounded = without_hedges(10, 3);
    bounded.retry.budget_percent = percent;
    session.on(Event::Route(Arc::new(bounded)));
    for id in 1..=200 {
        let sent = session.sends.len();
        begin(&mut session, id, search(0.5));
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
    let extra = session.sent_to(0).len() - 200;
    let most = 200.0 * percent / 100.0 + 58.0 / HOSTS as f64;
    assert!(extra as f64 <= most, "{extra} extra attempts of {most}");
}

// Symptom: a request that may run once and one that may run often share servers, and the first is
//          hedged.
// Events:  both kinds of route lead to one service.
// Cause:   the kind was the home's and not the request's.
#[test]
fn kinds_share_a_home() {
    let mut session = Session::everyone(route(1, 2), HOSTS);
    let once = Request {
        class: Class::Normal,
        ..asked(&session, 1, once())
    };
    session.on(Event::Request(once));
    begin(&mut session, 2, search(1.0));
    session.pass(ms(500));
    let of_first = session.sends.iter().filter(|send| send.request == 1);
    assert_eq!(of_first.count(), 1, "never hedged");
    session.fail(session.sends[0].attempt, Failure::Lost);
    assert!(matches!(session.outcome(1), Outcome::Unknown { .. }));
}

// Symptom: while half of the servers of a shard turn away what they get, the shard is missing in most
//          answers, although its servers' owners allow one extra attempt in five.
// Events:  one attempt in two is refused, for many requests on end.
// Cause:   each failure shrank the budget, to a hundredth in the end, and what hedges did not need
//          was not there for retries.
#[test]
fn retries_go_on_while_many_attempts_fail() {
    let mut bounded = route(1, 3);
    bounded.hedge.budget_percent = 10.0;
    bounded.retry.budget_percent = 10.0;
    let mut session = Session::everyone(bounded, HOSTS);
    for id in 1..=400 {
        let sent = session.sends.len();
        begin(&mut session, id, search(1.0));
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
    assert!((78..=87).contains(&extra), "{extra} of 80 and a burst of 6");
}

// Symptom: an answer holds two parts of one shard and none of another, and calls itself complete.
// Events:  a server ends and its address goes to a server of another shard of the same set, while a
//          hedge for the first shard waits for a connection to that address.
// Cause:   servers are known by their addresses, and the attempt was sent to whoever has it now.
#[test]
fn hedge_queued_at_an_address_that_moved_is_taken_back() {
    let whole = route(2, 2);
    let mut session = Session::everyone(whole.clone(), HOSTS);
    let (asked_first, moved) = (server(0, 0), server(0, 1));
    begin(&mut session, 1, search(1.0));
    let of_part = session.sends.iter().find(|send| send.ranges[0].start == 0);
    let at = of_part
        .map(|send| send.backend_server)
        .expect("it was sent");
    let moved = if at == moved { asked_first } else { moved };
    // The hedge finds its server's only connection gone, and waits for another.
    session.pending.insert(moved);
    for (connection, server) in session.opens.clone() {
        if server == moved {
            session.on(Event::Closed(connection));
        }
    }
    session.pass(ms(300));
    assert!(session.logged("hedge"), "{}", session.transcript);
    let mut swapped = whole;
    swapped.groups[0]
        .backend_servers
        .retain(|one| *one != moved);
    swapped.groups[1].backend_servers.push(moved);
    session.on(Event::Route(Arc::new(swapped)));
    for (connection, server) in session.opens.clone() {
        if server == moved {
            session.on(Event::Opened(connection));
        }
    }
    let wrong = |send: &&Send| send.backend_server == moved && send.ranges[0].start == 0;
    assert_eq!(
        session.sends.iter().filter(wrong).count(),
        0,
        "{}",
        session.transcript
    );
}

// Symptom: shards are missing in most answers while two of three servers of each turn away or break
//          off 60 % of what they get, and the third is idle.
// Events:  servers fail part of their requests while their health is good, for seconds.
// Cause:   a success in between made a server as good as any other.
#[test]
fn servers_that_fail_often_are_left_for_one_that_does_not() {
    let mut session = Session::everyone(without_hedges(1, 3), HOSTS);
    let good = server(0, 2);
    let mut met = Vec::new();
    for id in 1..=300 {
        let sent = session.sends.len();
        begin(&mut session, id, search(1.0));
        let mut at = sent;
        while let Some(send) = session.sends.get(at).cloned() {
            let fails = send.backend_server != good && send.attempt % 5 < 3;
            session.pass(ms(10));
            match fails {
                true => fail(&mut session, &send),
                false => session.answer(&send),
            }
            at += 1;
        }
        met.push(session.sends[sent].backend_server);
    }
    let settled = &met[20..];
    let well = settled.iter().filter(|server| **server == good).count();
    assert!(
        well * 10 >= settled.len() * 9,
        "{well} of {}",
        settled.len()
    );
    assert!(well < settled.len(), "the others are tried again");
}

// Symptom: of the repair tickets of eight seconds one after the other waits for its deadline, and
//          ends in doubt.
// Events:  a server goes dark: connections stay open and nothing comes back.
// Cause:   a server with an overdue attempt was asked next, to find out how it stands, also by
//          requests that may not run anywhere else afterwards.
#[test]
fn only_attempts_avoid_servers_with_overdue_ones() {
    let mut session = Session::everyone(route(1, 3), HOSTS);
    for id in 1..=60 {
        begin(&mut session, id, once());
        let send = session.sends.last().cloned().expect("it was sent");
        session.pass(ms(5));
        session.on(Event::Executed(send.attempt, "{}".into(), report(&[])));
    }
    begin(&mut session, 100, once());
    let dark = session.sends.last().expect("it was sent").backend_server;
    session.pass(ms(300));
    let sent = session.sends.len();
    for id in 101..=120 {
        begin(&mut session, id, once());
        let send = session.sends.last().cloned().expect("it was sent");
        session.pass(ms(5));
        if send.backend_server != dark {
            session.on(Event::Executed(send.attempt, "{}".into(), report(&[])));
        }
    }
    let there = session.sends[sent..]
        .iter()
        .filter(|send| send.backend_server == dark);
    assert_eq!(there.count(), 0);
}

// Symptom: after all hosts lost power, two of them had no connection to any server of one shard for
//          eight seconds, and left it out of each answer.
// Events:  one route leads to all shards, another to just one of them; the servers of that one are
//          held connections to by two homes of each host, and count those of before the loss too.
// Cause:   each home kept a connection ready without need, and the pauses between tries doubled to
//          seconds.
#[test]
fn home_of_shared_servers_connects_on_demand() {
    let division = Division::among_all_hosts(HOSTS, 58.0).on_demand();
    let mut session = Session::divided(without_hedges(1, 2), division);
    assert_eq!(session.opens.len(), 0);
    begin(&mut session, 1, search(1.0));
    session.answer_from(0);
    assert_eq!(session.answered(1).coverage, 1.0);
    assert_eq!(session.opens.len(), 1);
}

#[test]
fn connection_ended_at_once_is_tried_again_within_half_a_second() {
    let mut session = Session::everyone(without_hedges(1, 1), HOSTS);
    session.pending.insert(server(0, 0));
    session.on(Event::Closed(1));
    for _ in 0..10 {
        let (connection, _) = *session.opens.last().expect("it was opened");
        session.on(Event::ConnectFailed(connection, ConnectFailure::Closed));
        let opened = session.opens.len();
        session.pass(ms(450));
        assert!(session.opens.len() > opened, "{}", session.transcript);
    }
}

// Symptom: a third of all bytes cross between data centres although each has a replica of each shard.
// Events:  a second request comes while the first is at the nearby server, which has three slots.
// Cause:   an idle server far away was taken before a nearby one with one attempt.
#[test]
fn servers_nearby_are_taken_until_they_have_two_attempts() {
    let mut session = Session::everyone(without_hedges(1, 3), HOSTS);
    let near = server(0, 1);
    let far = [server(0, 0), server(0, 2)].into_iter().collect();
    session.on(Event::RemoteServers(far));
    for id in 1..=3 {
        begin(&mut session, id, search(1.0));
    }
    let at: Vec<bool> = session
        .sends
        .iter()
        .map(|send| send.backend_server == near)
        .collect();
    assert_eq!(at, [true, true, false]);
}
