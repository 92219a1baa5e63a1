//! Searches that delegate some of their groups to another home.

mod session;

use monsoonring_configuration::Range;
use monsoonring_configuration::document::{Kind, SoftDeadline};
use monsoonring_decision::home::Params;
use monsoonring_decision::home::action::Send;
use monsoonring_decision::home::event::{Event, Progress, Request, Scope};
use monsoonring_decision::outcome::{Outcome, Reason};
use monsoonring_decision::query::coverage::KeySet;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use session::{KEYS_PER_GROUP, Session, VERSION, ms, reply, request, route};
use std::sync::Arc;
use test_case::test_case;

const GROUPS: usize = 8;

/// Number of groups that the other home searches, the last ones of the route.
const DELEGATED_COUNT: usize = 4;

/// An answer may miss one of the eight groups.
const MIN_COVERAGE: f64 = 0.85;

/// Soft deadline after the start of the search, in milliseconds.
const SOFT_DEADLINE_MS: u64 = 100;

fn keys_of(groups: &[usize]) -> KeySet {
    let range = |group: &usize| {
        Range::new(
            *group as u64 * KEYS_PER_GROUP,
            (*group as u64 + 1) * KEYS_PER_GROUP,
        )
    };
    groups.iter().map(range).collect()
}

fn delegated_groups() -> Vec<usize> {
    (GROUPS - DELEGATED_COUNT..GROUPS).collect()
}

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

/// Starts a search that delegates the last groups to the other home.
fn start_search(session: &mut Session) {
    let request = Request {
        params: Some(params()),
        scope: Scope {
            only: None,
            delegated: keys_of(&delegated_groups()),
        },
        ..request(1, session.now)
    };
    session.handle(Event::Request(request));
}

/// Delivers the other home's reply, which covers `groups`.
fn receive_delegated_reply(session: &mut Session, groups: &[usize]) {
    let covered = keys_of(groups);
    let reply = reply(covered.ranges(), VERSION);
    session.handle(Event::DelegatedReply(1, reply));
}

/// Returns the groups for which this home has sent attempts.
fn requested_groups(session: &Session) -> Vec<usize> {
    let group = |send: &Send| (send.ranges[0].start / KEYS_PER_GROUP) as usize;
    let mut groups: Vec<usize> = session.sends.iter().map(group).collect();
    groups.sort_unstable();
    groups.dedup();
    groups
}

#[test]
fn delegated_reply_complete_gives_complete_answer() {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    start_search(&mut session);
    assert_eq!(
        requested_groups(&session),
        (0..GROUPS - DELEGATED_COUNT).collect::<Vec<_>>()
    );
    session.answer_from(0);
    assert!(!session.is_finished(1), "the delegated groups are missing");
    receive_delegated_reply(&mut session, &delegated_groups());
    let answer = session.answer_to(1);
    assert_eq!(answer.coverage, 1.0);
    assert!(answer.missing.is_empty());
    assert_eq!(
        answer.items.len(),
        GROUPS - DELEGATED_COUNT + 1,
        "the delegated reply has one range"
    );
}

#[test]
fn delegated_reply_first_waits_for_local_parts() {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    start_search(&mut session);
    receive_delegated_reply(&mut session, &delegated_groups());
    assert!(!session.is_finished(1));
    session.answer_from(0);
    assert_eq!(session.answer_to(1).coverage, 1.0);
}

// Guards against an answer that claims to be complete, or is refused, because the keys that the
// delegated reply misses are not counted.
#[test]
fn delegated_reply_partial_reports_missing_keys() {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    start_search(&mut session);
    receive_delegated_reply(&mut session, &delegated_groups()[1..]);
    session.answer_from(0);
    let answer = session.answer_to(1);
    assert_eq!(answer.missing, keys_of(&delegated_groups()[..1]).ranges());
    assert_eq!(answer.coverage, 7.0 / 8.0);
}

// Guards against a shard that is searched more often than `max_runs` allows: the other home may
// have sent its attempts before the connection to it ended.
#[test]
fn delegation_failed_maybe_started_is_not_retried_locally() {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    start_search(&mut session);
    session.handle(Event::DelegationFailed(1, Progress::MaybeStarted));
    session.advance(ms(1));
    assert_eq!(
        requested_groups(&session),
        (0..GROUPS - DELEGATED_COUNT).collect::<Vec<_>>()
    );
    let Outcome::Failed { reason, .. } = session.outcome(1) else {
        unreachable!("half of the groups are lost: {:?}", session.outcome(1));
    };
    assert_eq!(*reason, Reason::Lost);
}

#[test]
fn delegation_failed_not_started_is_searched_locally() {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    start_search(&mut session);
    session.handle(Event::DelegationFailed(1, Progress::NotStarted));
    assert_eq!(requested_groups(&session), (0..GROUPS).collect::<Vec<_>>());
    session.answer_from(0);
    assert_eq!(session.answer_to(1).coverage, 1.0);
}

// Guards against `NotRun` for a search that the other home may have run, although this home sent
// nothing.
#[test]
fn deadline_with_delegated_keys_may_have_run() {
    let route = route(GROUPS, 1);
    let servers = route.groups.iter().flat_map(|group| &group.backend_servers);
    let servers: Vec<_> = servers.copied().collect();
    let mut session = Session::pending(route, &servers);
    start_search(&mut session);
    session.advance(ms(1_100));
    assert!(session.sends.is_empty());
    let outcome = session.outcome(1);
    assert!(matches!(outcome, Outcome::Failed { .. }), "{outcome:?}");
}

// Guards against duplicate records, and records of shards that were not requested, in an answer.
#[test]
fn delegated_reply_with_other_keys_is_not_merged() {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    start_search(&mut session);
    receive_delegated_reply(
        &mut session,
        &(GROUPS - DELEGATED_COUNT - 1..GROUPS).collect::<Vec<_>>(),
    );
    session.answer_from(0);
    let outcome = session.outcome(1);
    assert!(matches!(outcome, Outcome::Failed { .. }), "{outcome:?}");
}

#[test]
fn delegated_reply_duplicated_counts_once() {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    start_search(&mut session);
    receive_delegated_reply(&mut session, &delegated_groups()[1..]);
    receive_delegated_reply(&mut session, &delegated_groups());
    session.answer_from(0);
    assert_eq!(
        session.answer_to(1).missing,
        keys_of(&delegated_groups()[..1]).ranges()
    );
}

// Guards against a soft deadline that counts only the keys searched by this home: the answer would
// be too small, or later than necessary.
#[test_case(&[4, 5, 6], true; "min_coverage_reached")]
#[test_case(&[4, 5], false; "below_min_coverage")]
fn soft_deadline_counts_delegated_keys(covered: &[usize], ends: bool) {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    start_search(&mut session);
    session.answer_from(0);
    session.advance(ms(SOFT_DEADLINE_MS + 1));
    assert!(!session.is_finished(1), "half is missing");
    receive_delegated_reply(&mut session, covered);
    assert!(session.is_finished(1));
    assert_eq!(matches!(session.outcome(1), Outcome::Answered(_)), ends);
}

// Guards against answers with half of the data because the other home, which has the same soft
// deadline, replies slightly later.
#[test_case(4, 1.0; "reply_in_time")]
#[test_case(6, 0.5; "no_reply")]
fn soft_deadline_waits_briefly_for_the_other_home(after: u64, coverage: f64) {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    let soft_deadline = Some(SoftDeadline {
        after_ms: SOFT_DEADLINE_MS,
        coverage: 0.5,
    });
    let request = Request {
        params: Some(Params {
            soft_deadline,
            min_coverage: 0.5,
            ..params()
        }),
        scope: Scope {
            only: None,
            delegated: keys_of(&delegated_groups()),
        },
        ..request(1, session.now)
    };
    session.handle(Event::Request(request));
    session.answer_from(0);
    session.advance(ms(SOFT_DEADLINE_MS + after));
    if !session.is_finished(1) {
        receive_delegated_reply(&mut session, &delegated_groups());
    }
    assert_eq!(session.answer_to(1).coverage, coverage);
}

// Guards against a second search of the delegated keys when the route changes in the meantime.
#[test]
fn route_change_keeps_delegated_keys() {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    start_search(&mut session);
    session.handle(Event::Route(Arc::new(route(GROUPS, 3))));
    assert_eq!(
        requested_groups(&session),
        (0..GROUPS - DELEGATED_COUNT).collect::<Vec<_>>()
    );
    receive_delegated_reply(&mut session, &delegated_groups());
    session.answer_from(0);
    assert_eq!(session.answer_to(1).coverage, 1.0);
}

#[test]
fn only_limits_the_searched_groups() {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    let request = Request {
        params: Some(params().for_groups(DELEGATED_COUNT as u64, GROUPS)),
        scope: Scope {
            only: Some(keys_of(&delegated_groups())),
            delegated: KeySet::default(),
        },
        ..request(1, session.now)
    };
    session.handle(Event::Request(request));
    assert_eq!(requested_groups(&session), delegated_groups());
    let sends = session.sends.clone();
    sends[1..].iter().for_each(|send| session.answer(send));
    session.advance(ms(SOFT_DEADLINE_MS + 1));
    let answer = session.answer_to(1);
    assert_eq!(answer.coverage, 0.75, "share of the requested groups");
    assert_eq!(answer.missing, keys_of(&delegated_groups()[..1]).ranges());
}

#[test_case(0.95, 21, 42, 19.0 / 21.0; "two_of_21")]
#[test_case(0.95, 31, 63, 28.0 / 31.0; "three_of_31")]
#[test_case(0.5, 4, 10, 0.0; "all_of_4")]
#[test_case(1.0, 4, 10, 1.0; "none_of_4")]
fn for_groups_may_miss_as_many_groups(of_all: f64, groups: u64, total: usize, expected: f64) {
    let params = Params {
        min_coverage: of_all,
        ..params()
    };
    let coverage = params.for_groups(groups, total).min_coverage;
    assert!((coverage - expected).abs() < 1e-9, "{coverage}");
}

// With replies in any order: a search ends once, reports its coverage correctly, searches delegated
// keys locally only after the other home declined them, and never reports `NotRun` for work that may
// have run.
#[test]
fn search_with_delegation_random_events_keeps_invariants() {
    for seed in 0..500 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
        start_search(&mut session);
        let mut local: Vec<usize> = (0..GROUPS - DELEGATED_COUNT).collect();
        local.shuffle(&mut rng);
        local.truncate(rng.random_range(0..=local.len()));
        let delegated_result = rng.random_range(0..4);
        let covered: Vec<usize> = delegated_groups()
            .into_iter()
            .filter(|_| rng.random_bool(0.8))
            .collect();
        let result_after = rng.random_range(0..=local.len());
        let mut declined = false;
        for step in 0..=local.len() {
            if step == result_after {
                match delegated_result {
                    0 => receive_delegated_reply(&mut session, &covered),
                    1 => session.handle(Event::DelegationFailed(1, Progress::MaybeStarted)),
                    2 => {
                        declined = !session.is_finished(1);
                        session.handle(Event::DelegationFailed(1, Progress::NotStarted));
                    }
                    _ => {}
                }
            }
            let sent = local
                .get(step)
                .map(|group| session.sends_to(*group)[0].clone());
            sent.into_iter().for_each(|send| session.answer(&send));
            session.advance(ms(rng.random_range(0..60)));
        }
        session.advance(ms(2_000));
        let outcome = session.outcome(1).clone();
        let sent_to_delegated = requested_groups(&session)
            .into_iter()
            .any(|group| group >= GROUPS - DELEGATED_COUNT);
        assert!(
            !sent_to_delegated || declined,
            "seed {seed}: delegated keys were searched twice"
        );
        assert!(
            !matches!(outcome, Outcome::NotRun { .. }),
            "seed {seed}: {outcome:?}"
        );
        if let Outcome::Answered(answer) = outcome {
            let received = if delegated_result == 0 {
                &covered[..]
            } else {
                &[]
            };
            let answered: Vec<usize> = local.iter().chain(received).copied().collect();
            let missing: KeySet = answer.missing.iter().copied().collect();
            let key_space = KeySet::from(Range::new(0, GROUPS as u64 * KEYS_PER_GROUP));
            let included = key_space.difference(&missing);
            // The search may end at its soft deadline before all replies have arrived, but an answer
            // never includes keys without a reply.
            assert!(
                included.difference(&keys_of(&answered)).is_empty(),
                "seed {seed}"
            );
            assert_eq!(
                answer.coverage,
                included.len() as f64 / key_space.len() as f64,
                "seed {seed}"
            );
            assert!(answer.coverage >= MIN_COVERAGE, "seed {seed}");
        }
    }
}
