//! One snapshot and true coverage while versions and placement change.

mod session;

use monsoonring_configuration::Range;
use monsoonring_configuration::document::Route;
use monsoonring_decision::attempt::{Failure, Refusal};
use monsoonring_decision::home::Event;
use monsoonring_decision::outcome::Outcome;
use session::{KEYS, Session, VERSION, ms, refused, reply, report, route, server};
use std::sync::Arc;

const NEWER: u64 = VERSION + 1;

#[test]
fn reply_of_another_version_is_discarded() {
    // Symptom: a hydrant that was condemned last month stands in an answer next to its successor.
    // Events: a server that was asked for version 6 answers from version 7.
    // Cause: it switched over between the request and the work; only its reply's own name tells.
    let mut session = Session::polled(route(2, 2), &[VERSION]);
    session.ask(1);
    let first = session.sends[0].clone();
    session.on(Event::Reply(first.attempt, reply(&first.ranges, NEWER)));
    assert!(session.logged("discard"));
    session.answer_from(1);
    let answer = session.answered(1);
    assert_eq!((answer.index_version, answer.coverage), (VERSION, 1.0));
    let again = session
        .sends
        .iter()
        .filter(|send| send.ranges == first.ranges);
    assert_eq!(again.count(), 2, "the keys were asked for again");
}

#[test]
fn reply_without_a_version_is_discarded() {
    let mut session = Session::polled(route(1, 2), &[VERSION]);
    session.ask(1);
    let first = session.sends[0].clone();
    let mut nameless = reply(&first.ranges, VERSION);
    nameless.index_version = None;
    session.on(Event::Reply(first.attempt, nameless));
    assert!(session.logged("discard"));
    assert!(!session.is_finished(1));
}

#[test]
fn reply_below_the_minimum_version_is_discarded() {
    let mut low = route(1, 1);
    low.minimum_index_version = NEWER;
    let mut session = Session::new(low);
    session.ask(1);
    let first = session.sends[0].clone();
    session.on(Event::Reply(first.attempt, reply(&first.ranges, VERSION)));
    assert!(!matches!(session.outcome(1), Outcome::Answered(_)));
}

fn gone(served: &[u64]) -> Failure {
    refused(Refusal::IndexVersion {
        served: served.to_vec(),
    })
}

/// Group 0 has answered at the pinned version when group 1 turns out to have dropped it.
fn vanish_after_one_answer(carried: &[u64]) -> Session {
    let mut session = Session::polled(route(2, 1), &[VERSION]);
    session.ask(1);
    let kept = session.sent_to(0)[0].clone();
    let mut answer = reply(&kept.ranges, VERSION);
    answer.report = report(carried);
    session.on(Event::Reply(kept.attempt, answer));
    let lost = session.sent_to(1)[0].attempt;
    session.fail(lost, gone(&[NEWER]));
    session
}

#[test]
fn version_vanished_begins_again_at_a_newer_one() {
    // Symptom: an answer with a hole although every server is well, for as long as a roll-out lasts.
    // Events: one group has dropped the pinned version when it is asked; both have the newer one.
    // Cause: a pin holds for the whole query, and nobody serves it any more.
    let mut session = vanish_after_one_answer(&[VERSION, NEWER]);
    session.answer_from(2);
    let answer = session.answered(1);
    assert_eq!((answer.index_version, answer.coverage), (NEWER, 1.0));
    let sends = session.sends[2..].iter();
    let versions: Vec<_> = sends.map(|send| send.index_version).collect();
    assert_eq!(
        versions,
        [Some(NEWER); 2],
        "both groups again, the merged one too"
    );
}

#[test]
fn version_vanished_without_a_better_one_is_partial_at_once() {
    let session = vanish_after_one_answer(&[VERSION]);
    let answer = session.answered(1);
    assert_eq!((answer.index_version, answer.coverage), (VERSION, 0.5));
    assert_eq!(answer.missing, [Range::new(KEYS, 2 * KEYS)]);
}

#[test]
fn version_vanished_again_gives_the_better_covered_of_both() {
    // Symptom: beginning again turns half an answer into none.
    // Events: the pinned version vanishes; at the newer one nobody answers before the deadline.
    // Cause: what was merged at the first version is thrown away by the second start.
    let mut session = vanish_after_one_answer(&[VERSION, NEWER]);
    session.pass(ms(1000));
    let answer = session.answered(1);
    assert_eq!((answer.index_version, answer.coverage), (VERSION, 0.5));
}

#[test]
fn roll_out_of_a_version_costs_no_coverage() {
    // Symptom: holes in answers during each roll-out.
    // Events: servers take over version 7 one by one, then drop version 6 one by one.
    // Cause: pinning 7 before every group has it, or 6 after a group has dropped it.
    let mut session = Session::polled(route(3, 3), &[VERSION]);
    let order = || (0..3).flat_map(|replica| (0..3).map(move |group| server(group, replica)));
    let steps = order()
        .map(|server| (server, vec![VERSION, NEWER]))
        .chain(order().map(|server| (server, vec![NEWER])));
    let mut served = std::collections::BTreeMap::new();
    for (id, (server, versions)) in steps.enumerate() {
        session.on(Event::Polled(server, Some(report(&versions))));
        served.insert(server, versions);
        let from = session.sends.len();
        session.ask(id as u128);
        for index in from..session.sends.len() {
            let send = session.sends[index].clone();
            let holds = served.get(&send.backend_server).cloned();
            let holds = holds.unwrap_or_else(|| vec![VERSION]);
            let pinned = send.index_version.expect("a version is known");
            assert!(
                holds.contains(&pinned),
                "{pinned} asked of a server with {holds:?}"
            );
            let mut full = reply(&send.ranges, pinned);
            full.report = report(&holds);
            session.on(Event::Reply(send.attempt, full));
        }
        assert_eq!(session.answered(id as u128).coverage, 1.0);
    }
    assert_eq!(session.home.index_version(), Some(NEWER));
}

/// Group 0 split at key 50; its upper half is on a new group with other servers.
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
fn split_after_the_request_left_asks_the_new_group_for_its_half() {
    // Symptom: an answer lacks what was moved while the query ran.
    // Events: a group is split; the old server answers with the half that it has kept.
    // Cause: the rest is asked of the placement at the start of the query.
    let mut session = Session::polled(route(1, 2), &[VERSION]);
    session.ask(1);
    let old = session.sends[0].clone();
    session.on(Event::Route(Arc::new(split())));
    session.on(Event::Reply(
        old.attempt,
        reply(&[Range::new(0, 50)], VERSION),
    ));
    session.answer_from(1);
    assert_eq!(session.answered(1).coverage, 1.0);
    let upper = session
        .sends
        .iter()
        .find(|send| send.backend_server == server(5, 0));
    assert_eq!(
        upper.expect("the new group was asked").ranges,
        [Range::new(50, 100)]
    );
}

#[test]
fn split_old_server_answers_all_counts_once_and_cancels() {
    // Symptom: keys count twice after a split, and servers work for nothing.
    // Events: a group is split and its halves are asked; then the old server answers for all of it.
    // Cause: two attempts are out for the same keys under different parts.
    let mut session = Session::polled(route(1, 2), &[VERSION]);
    session.ask(1);
    let old = session.sends[0].clone();
    session.on(Event::Route(Arc::new(split())));
    assert!(session.sends.len() > 1);
    session.answer(&old);
    let answer = session.answered(1);
    assert_eq!((answer.coverage, answer.items.len()), (1.0, 1));
    assert_eq!(session.cancels.len(), session.sends.len() - 1);
}

#[test]
fn merged_groups_in_mid_query_cover_all() {
    let mut session = Session::polled(route(2, 1), &[VERSION]);
    session.ask(1);
    let mut merged = route(1, 2);
    merged.groups[0].keys = Range::new(0, 200);
    merged.keys = Range::new(0, 200);
    session.answer(&session.sends[0].clone());
    session.on(Event::Route(Arc::new(merged)));
    session.answer_from(2);
    assert_eq!(session.answered(1).coverage, 1.0);
    assert_eq!(
        session.sends[2].ranges,
        [Range::new(100, 200)],
        "only what is missing"
    );
}
