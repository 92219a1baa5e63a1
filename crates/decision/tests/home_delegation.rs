//! Searches of which another home looks through a part.

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

/// Groups that the other home looks through: the last ones.
const DELEGATED_COUNT: usize = 4;

/// An answer may lack one group of eight.
const MIN_COVERAGE: f64 = 0.85;

/// Time up to the soft deadline, in milliseconds.
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

/// Begins a search of which the other home looks through its groups.
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

/// The other home tells that it has looked through these groups.
fn receive_delegated_reply(session: &mut Session, groups: &[usize]) {
    let covered = keys_of(groups);
    let reply = reply(covered.ranges(), VERSION);
    session.handle(Event::DelegatedReply(1, reply));
}

/// Returns the groups that servers here were asked for.
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
    assert!(!session.is_finished(1), "the other part is missing");
    receive_delegated_reply(&mut session, &delegated_groups());
    let answer = session.answer_to(1);
    assert_eq!(answer.coverage, 1.0);
    assert!(answer.missing.is_empty());
    assert_eq!(
        answer.items.len(),
        GROUPS - DELEGATED_COUNT + 1,
        "one range came from there"
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

// Symptom: an answer calls itself whole and lacks a shard, or is refused although it has enough.
// Events:  the other home covers all of its groups but one.
// Cause:   what it lacks was not counted with what is missing here.
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

// Symptom: servers are asked for a shard more often than a request may run.
// Events:  the connection to the other home ends after it has been asked.
// Cause:   it may have asked as many servers as the request may run on.
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
        unreachable!("half of the data can't be had: {:?}", session.outcome(1));
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

// Symptom: a caller is told that its search has not run, and servers worked on it.
// Events:  nothing could be sent here, the other home was asked, and the time is over.
// Cause:   only what was sent from here counted as run.
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

// Symptom: a record twice in an answer, or one of a shard that is not named.
// Events:  the other home tells of keys that it was not asked for, or tells twice.
// Cause:   what came was merged as it came.
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

// Symptom: an answer leaves half empty at its soft deadline, or waits on although it has enough.
// Events:  the other home is late.
// Cause:   the soft deadline looked at what was asked here.
#[test_case(&[4, 5, 6], true; "enough_is_in")]
#[test_case(&[4, 5], false; "too_little_is_in")]
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

// Symptom: answers of half the data where the other half comes a moment later.
// Events:  half is enough for an answer; the other home leaves its soft deadline a moment before this one's.
// Cause:   what is in at the soft deadline left without it.
#[test_case(4, 1.0; "comes_in_time")]
#[test_case(6, 0.5; "does_not_come")]
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

// Symptom: a shard is asked for twice while an index is repartitioned.
// Events:  the servers of the route change while the other home looks through its part.
// Cause:   keys that nobody here was asked for were dealt out again.
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
    assert_eq!(answer.coverage, 0.75, "of what it was asked for");
    assert_eq!(answer.missing, keys_of(&delegated_groups()[..1]).ranges());
}

#[test_case(0.95, 21, 42, 19.0 / 21.0; "as_many_as_the_whole_may_lack")]
#[test_case(0.95, 31, 63, 28.0 / 31.0; "three")]
#[test_case(0.5, 4, 10, 0.0; "all_of_it")]
#[test_case(1.0, 4, 10, 1.0; "none")]
fn for_groups_may_miss_as_many_groups(of_all: f64, groups: u64, total: usize, expected: f64) {
    let params = Params {
        min_coverage: of_all,
        ..params()
    };
    let coverage = params.for_groups(groups, total).min_coverage;
    assert!((coverage - expected).abs() < 1e-9, "{coverage}");
}

// Whatever comes in whatever order: a search ends once, what it says of its coverage is true, keys elsewhere are asked
// for here only after they were declined, and nothing is said not to have run that may have.
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
        assert!(!sent_to_delegated || declined, "seed {seed}: asked twice");
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
            // It may have left at its soft deadline, before all was in, but it holds nothing that did not come.
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
