//! Searches at a home: fan-out, deadline and partial replies.

mod session;

use monsoonring_configuration::Range;
use monsoonring_decision::home::Event;
use monsoonring_decision::outcome::{Outcome, Reason};
use session::{Session, VERSION, ms, route};

#[test]
fn search_every_group_answers_complete() {
    let mut session = Session::polled(route(4, 3), &[VERSION]);
    session.submit(1);
    assert_eq!(session.sends.len(), 4, "one attempt for each group");
    session.answer_from(0);
    let answer = session.answer_to(1);
    assert_eq!(answer.index_version, VERSION);
    assert_eq!(answer.coverage, 1.0);
    assert!(answer.missing.is_empty());
    let keys: Vec<u64> = answer.items.iter().map(|item| item.key).collect();
    assert_eq!(keys, [0, 100, 200, 300]);
}

#[test]
fn search_unknown_versions_pins_the_first_reply() {
    let mut session = Session::new(route(2, 2));
    session.submit(1);
    assert!(
        session
            .sends
            .iter()
            .all(|send| send.index_version.is_none())
    );
    session.answer_from(0);
    assert_eq!(session.answer_to(1).index_version, VERSION);
}

#[test]
fn search_deadline_with_a_silent_group_is_partial() {
    // Guards against a search that exceeds its deadline because of a silent group, and against a
    // partial answer that does not name the missing keys.
    let mut session = Session::polled(route(4, 1), &[VERSION]);
    session.submit(1);
    for send in session.sends.clone().iter().skip(1) {
        session.answer(send);
    }
    assert!(!session.is_finished(1));
    session.advance(ms(1000));
    let missing = session.sends[0].ranges.clone();
    let answer = session.answer_to(1);
    assert_eq!(answer.coverage, 0.75);
    assert_eq!(answer.missing, missing);
}

#[test]
fn search_without_replies_fails_at_the_deadline() {
    let mut session = Session::polled(route(2, 1), &[VERSION]);
    session.submit(1);
    session.advance(ms(1000));
    let failed = Outcome::Failed {
        reason: Reason::Deadline,
        retry_after: None,
    };
    assert_eq!(session.outcome(1), &failed);
}

#[test]
fn search_abandoned_cancels_its_attempts() {
    let mut session = Session::polled(route(2, 1), &[VERSION]);
    session.submit(1);
    session.handle(Event::Abandoned(1));
    assert_eq!(session.cancels.len(), 2);
    assert!(session.is_finished(1));
    session.answer_from(0);
    session.outcome(1);
}

#[test]
fn search_partial_reply_requests_the_remaining_keys() {
    let mut session = Session::polled(route(1, 2), &[VERSION]);
    session.submit(1);
    let first = session.sends[0].clone();
    let half = [Range::new(0, 40)];
    session.handle(Event::Reply(first.attempt, session::reply(&half, VERSION)));
    let remainder = session.sends[1].clone();
    assert_ne!(remainder.backend_server, first.backend_server);
    assert_eq!(remainder.ranges, [Range::new(40, 100)]);
    session.answer(&remainder);
    assert_eq!(session.answer_to(1).coverage, 1.0);
}
