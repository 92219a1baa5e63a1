//! Searches at a home, driven by events.

mod session;

use monsoonring_configuration::Range;
use monsoonring_decision::home::Event;
use monsoonring_decision::outcome::{Outcome, Reason};
use session::{Session, VERSION, ms, route};

#[test]
fn search_every_group_answers_complete() {
    let mut session = Session::polled(route(4, 3), &[VERSION]);
    session.ask(1);
    assert_eq!(session.sends.len(), 4, "one attempt for each group");
    session.answer_from(0);
    let answer = session.answered(1);
    assert_eq!(answer.index_version, VERSION);
    assert_eq!(answer.coverage, 1.0);
    assert!(answer.missing.is_empty());
    let keys: Vec<u64> = answer.items.iter().map(|item| item.key).collect();
    assert_eq!(keys, [0, 100, 200, 300]);
}

#[test]
fn search_versions_unknown_is_pinned_by_the_first_reply() {
    let mut session = Session::new(route(2, 2));
    session.ask(1);
    assert!(
        session
            .sends
            .iter()
            .all(|send| send.index_version.is_none())
    );
    session.answer_from(0);
    assert_eq!(session.answered(1).index_version, VERSION);
}

#[test]
fn search_deadline_with_a_hole_is_partial_and_says_which() {
    // Symptom: a dispatcher waits past the deadline, or takes a partial answer for a complete one.
    // Events: one group of four never answers.
    // Cause: a straggler whose replicas are slow too; the home has to end the query by itself.
    let mut session = Session::polled(route(4, 1), &[VERSION]);
    session.ask(1);
    for send in session.sends.clone().iter().skip(1) {
        session.answer(send);
    }
    assert!(!session.is_finished(1));
    session.pass(ms(1000));
    let hole = session.sends[0].ranges.clone();
    let answer = session.answered(1);
    assert_eq!(answer.coverage, 0.75);
    assert_eq!(answer.missing, hole);
}

#[test]
fn search_nothing_came_is_failed_at_the_deadline() {
    let mut session = Session::polled(route(2, 1), &[VERSION]);
    session.ask(1);
    session.pass(ms(1000));
    let failed = Outcome::Failed {
        reason: Reason::Deadline,
        retry_after: None,
    };
    assert_eq!(session.outcome(1), &failed);
}

#[test]
fn search_abandoned_cancels_what_was_sent() {
    let mut session = Session::polled(route(2, 1), &[VERSION]);
    session.ask(1);
    session.on(Event::Abandoned(1));
    assert_eq!(session.cancels.len(), 2);
    assert!(session.is_finished(1));
    session.answer_from(0);
    session.outcome(1);
}

#[test]
fn search_reply_to_a_part_asks_for_the_rest() {
    let mut session = Session::polled(route(1, 2), &[VERSION]);
    session.ask(1);
    let first = session.sends[0].clone();
    let half = [Range::new(0, 40)];
    session.on(Event::Reply(first.attempt, session::reply(&half, VERSION)));
    let rest = session.sends[1].clone();
    assert_ne!(rest.backend_server, first.backend_server);
    assert_eq!(rest.ranges, [Range::new(40, 100)]);
    session.answer(&rest);
    assert_eq!(session.answered(1).coverage, 1.0);
}
