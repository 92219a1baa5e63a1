//! Answers stay at one index version, with correct coverage, while versions and placement change.

mod session;

use monsoonring_configuration::Range;
use monsoonring_configuration::document::Route;
use monsoonring_decision::attempt::{Failure, Refusal};
use monsoonring_decision::home::Event;
use monsoonring_decision::outcome::Outcome;
use session::{KEYS_PER_GROUP, Session, VERSION, ms, refused, reply, report, route, server};
use std::sync::Arc;

const NEWER: u64 = VERSION + 1;

#[test]
fn reply_at_another_version_is_discarded() {
    // Guards against an answer that mixes index versions because a server switched versions before
    // it ran the attempt.
    let mut session = Session::polled(route(2, 2), &[VERSION]);
    session.submit(1);
    let first = session.sends[0].clone();
    session.handle(Event::Reply(first.attempt, reply(&first.ranges, NEWER)));
    assert!(session.has_logged("discard"));
    session.answer_from(1);
    let answer = session.answer_to(1);
    assert_eq!((answer.index_version, answer.coverage), (VERSION, 1.0));
    let resent = session
        .sends
        .iter()
        .filter(|send| send.ranges == first.ranges);
    assert_eq!(resent.count(), 2, "the keys were requested again");
}

#[test]
fn reply_without_a_version_is_discarded() {
    let mut session = Session::polled(route(1, 2), &[VERSION]);
    session.submit(1);
    let first = session.sends[0].clone();
    let mut without_version = reply(&first.ranges, VERSION);
    without_version.index_version = None;
    session.handle(Event::Reply(first.attempt, without_version));
    assert!(session.has_logged("discard"));
    assert!(!session.is_finished(1));
}

#[test]
fn reply_below_the_minimum_version_is_discarded() {
    let mut with_minimum = route(1, 1);
    with_minimum.minimum_index_version = NEWER;
    let mut session = Session::new(with_minimum);
    session.submit(1);
    let first = session.sends[0].clone();
    session.handle(Event::Reply(first.attempt, reply(&first.ranges, VERSION)));
    assert!(!matches!(session.outcome(1), Outcome::Answered(_)));
}

fn version_not_served(served: &[u64]) -> Failure {
    refused(Refusal::IndexVersion {
        served: served.to_vec(),
    })
}

/// Returns a session in which group 0 has answered at the pinned version and reported the versions
/// `reported`, and group 1 has refused because it dropped the pinned version.
fn drop_version_after_one_answer(reported: &[u64]) -> Session {
    let mut session = Session::polled(route(2, 1), &[VERSION]);
    session.submit(1);
    let first = session.sends_to(0)[0].clone();
    let mut answer = reply(&first.ranges, VERSION);
    answer.report = report(reported);
    session.handle(Event::Reply(first.attempt, answer));
    let failed = session.sends_to(1)[0].attempt;
    session.fail(failed, version_not_served(&[NEWER]));
    session
}

#[test]
fn version_dropped_restarts_at_a_newer_one() {
    // Guards against incomplete answers during a roll-out, when a group has dropped the pinned
    // version and all groups serve a newer one.
    let mut session = drop_version_after_one_answer(&[VERSION, NEWER]);
    session.answer_from(2);
    let answer = session.answer_to(1);
    assert_eq!((answer.index_version, answer.coverage), (NEWER, 1.0));
    let sends = session.sends[2..].iter();
    let versions: Vec<_> = sends.map(|send| send.index_version).collect();
    assert_eq!(
        versions,
        [Some(NEWER); 2],
        "both groups are searched again, including the one that answered"
    );
}

#[test]
fn version_dropped_without_a_newer_one_is_partial() {
    let session = drop_version_after_one_answer(&[VERSION]);
    let answer = session.answer_to(1);
    assert_eq!((answer.index_version, answer.coverage), (VERSION, 0.5));
    assert_eq!(
        answer.missing,
        [Range::new(KEYS_PER_GROUP, 2 * KEYS_PER_GROUP)]
    );
}

#[test]
fn version_dropped_unanswered_restart_keeps_the_first_coverage() {
    // Guards against the loss of a partial answer when a restart at a newer version gets no
    // replies.
    let mut session = drop_version_after_one_answer(&[VERSION, NEWER]);
    session.advance(ms(1000));
    let answer = session.answer_to(1);
    assert_eq!((answer.index_version, answer.coverage), (VERSION, 0.5));
}

#[test]
fn version_roll_out_keeps_full_coverage() {
    // Guards against incomplete answers during a roll-out: a version must be pinned neither before
    // every group has it nor after one has dropped it.
    let mut session = Session::polled(route(3, 3), &[VERSION]);
    let order = || (0..3).flat_map(|replica| (0..3).map(move |group| server(group, replica)));
    let roll_out = order()
        .map(|server| (server, vec![VERSION, NEWER]))
        .chain(order().map(|server| (server, vec![NEWER])));
    let mut served = std::collections::BTreeMap::new();
    for (id, (server, versions)) in roll_out.enumerate() {
        session.handle(Event::Polled(server, Some(report(&versions))));
        served.insert(server, versions);
        let from = session.sends.len();
        session.submit(id as u128);
        for index in from..session.sends.len() {
            let send = session.sends[index].clone();
            let server_versions = served.get(&send.backend_server).cloned();
            let server_versions = server_versions.unwrap_or_else(|| vec![VERSION]);
            let pinned = send.index_version.expect("a version is known");
            assert!(
                server_versions.contains(&pinned),
                "{pinned} requested from a server with {server_versions:?}"
            );
            let mut full = reply(&send.ranges, pinned);
            full.report = report(&server_versions);
            session.handle(Event::Reply(send.attempt, full));
        }
        assert_eq!(session.answer_to(id as u128).coverage, 1.0);
    }
    assert_eq!(session.home.index_version(), Some(NEWER));
}

/// Returns a route with group 0 split at key 50 and its upper half moved to a new group.
fn split() -> Route {
    let mut split = route(1, 2);
    let mut upper = split.groups[0].clone();
    split.groups[0].keys = Range::new(0, 50);
    upper.keys = Range::new(50, 100);
    upper.name = "g0b".into();
    upper.backend_servers = vec![server(5, 0)];
    split.groups.push(upper);
    split
}

#[test]
fn split_during_a_search_requests_keys_from_the_new_group() {
    // Guards against an answer that misses keys which moved to a new group while the search ran.
    let mut session = Session::polled(route(1, 2), &[VERSION]);
    session.submit(1);
    let old = session.sends[0].clone();
    session.handle(Event::Route(Arc::new(split())));
    session.handle(Event::Reply(
        old.attempt,
        reply(&[Range::new(0, 50)], VERSION),
    ));
    session.answer_from(1);
    assert_eq!(session.answer_to(1).coverage, 1.0);
    let upper = session
        .sends
        .iter()
        .find(|send| send.backend_server == server(5, 0));
    assert_eq!(
        upper.expect("the new group got an attempt").ranges,
        [Range::new(50, 100)]
    );
}

#[test]
fn split_reply_of_the_old_server_counts_once_and_cancels() {
    // Guards against keys that are counted twice, and attempts that are not cancelled, when the old
    // server still answers for all keys of a split group.
    let mut session = Session::polled(route(1, 2), &[VERSION]);
    session.submit(1);
    let old = session.sends[0].clone();
    session.handle(Event::Route(Arc::new(split())));
    assert!(session.sends.len() > 1);
    session.answer(&old);
    let answer = session.answer_to(1);
    assert_eq!((answer.coverage, answer.items.len()), (1.0, 1));
    assert_eq!(session.cancels.len(), session.sends.len() - 1);
}

#[test]
fn groups_merged_during_a_search_cover_all_keys() {
    let mut session = Session::polled(route(2, 1), &[VERSION]);
    session.submit(1);
    let mut merged = route(1, 2);
    merged.groups[0].keys = Range::new(0, 200);
    merged.keys = Range::new(0, 200);
    session.answer(&session.sends[0].clone());
    session.handle(Event::Route(Arc::new(merged)));
    session.answer_from(2);
    assert_eq!(session.answer_to(1).coverage, 1.0);
    assert_eq!(
        session.sends[2].ranges,
        [Range::new(100, 200)],
        "only the missing keys"
    );
}
