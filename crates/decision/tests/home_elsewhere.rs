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
use session::{KEYS, Session, VERSION, ms, reply, request, route};
use std::sync::Arc;
use test_case::test_case;

const GROUPS: usize = 8;

/// Groups that the other home looks through: the last ones.
const ELSEWHERE: usize = 4;

/// An answer may lack one group of eight.
const LEAST: f64 = 0.85;

/// Time up to the soft deadline, in milliseconds.
const SOFT: u64 = 100;

fn keys_of(groups: &[usize]) -> KeySet {
    let range = |group: &usize| Range::new(*group as u64 * KEYS, (*group as u64 + 1) * KEYS);
    groups.iter().map(range).collect()
}

fn elsewhere() -> Vec<usize> {
    (GROUPS - ELSEWHERE..GROUPS).collect()
}

fn terms() -> Params {
    Params {
        kind: Kind::Search,
        max_runs: 2,
        soft_deadline: Some(SoftDeadline {
            after_ms: SOFT,
            coverage: LEAST,
        }),
        min_coverage: LEAST,
        work: 0,
        urgency: None,
    }
}

/// Begins a search of which the other home looks through its groups.
fn begin(session: &mut Session) {
    let request = Request {
        params: Some(terms()),
        scope: Scope {
            only: None,
            delegated: keys_of(&elsewhere()),
        },
        ..request(1, session.now)
    };
    session.on(Event::Request(request));
}

/// The other home tells that it has looked through these groups.
fn gathered(session: &mut Session, groups: &[usize]) {
    let covered = keys_of(groups);
    let reply = reply(covered.ranges(), VERSION);
    session.on(Event::DelegatedReply(1, reply));
}

/// Returns the groups that servers here were asked for.
fn asked(session: &Session) -> Vec<usize> {
    let group = |send: &Send| (send.ranges[0].start / KEYS) as usize;
    let mut groups: Vec<usize> = session.sends.iter().map(group).collect();
    groups.sort_unstable();
    groups.dedup();
    groups
}

#[test]
fn gathered_whole_part_makes_a_whole_answer() {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    begin(&mut session);
    assert_eq!(asked(&session), (0..GROUPS - ELSEWHERE).collect::<Vec<_>>());
    session.answer_from(0);
    assert!(!session.is_finished(1), "the other part is missing");
    gathered(&mut session, &elsewhere());
    let answer = session.answered(1);
    assert_eq!(answer.coverage, 1.0);
    assert!(answer.missing.is_empty());
    assert_eq!(
        answer.items.len(),
        GROUPS - ELSEWHERE + 1,
        "one range came from there"
    );
}

#[test]
fn gathered_first_waits_for_what_is_asked_here() {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    begin(&mut session);
    gathered(&mut session, &elsewhere());
    assert!(!session.is_finished(1));
    session.answer_from(0);
    assert_eq!(session.answered(1).coverage, 1.0);
}

// Symptom: an answer calls itself whole and lacks a shard, or is refused although it has enough.
// Events:  the other home covers all of its groups but one.
// Cause:   what it lacks was not counted with what is missing here.
#[test]
fn gathered_in_part_says_what_is_missing() {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    begin(&mut session);
    gathered(&mut session, &elsewhere()[1..]);
    session.answer_from(0);
    let answer = session.answered(1);
    assert_eq!(answer.missing, keys_of(&elsewhere()[..1]).ranges());
    assert_eq!(answer.coverage, 7.0 / 8.0);
}

// Symptom: servers are asked for a shard more often than a request may run.
// Events:  the connection to the other home ends after it has been asked.
// Cause:   it may have asked as many servers as the request may run on.
#[test]
fn not_gathered_begun_is_not_asked_here() {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    begin(&mut session);
    session.on(Event::DelegationFailed(1, Progress::MaybeStarted));
    session.pass(ms(1));
    assert_eq!(asked(&session), (0..GROUPS - ELSEWHERE).collect::<Vec<_>>());
    let Outcome::Failed { reason, .. } = session.outcome(1) else {
        unreachable!("half of the data can't be had: {:?}", session.outcome(1));
    };
    assert_eq!(*reason, Reason::Lost);
}

#[test]
fn not_gathered_declined_is_asked_here() {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    begin(&mut session);
    session.on(Event::DelegationFailed(1, Progress::NotStarted));
    assert_eq!(asked(&session), (0..GROUPS).collect::<Vec<_>>());
    session.answer_from(0);
    assert_eq!(session.answered(1).coverage, 1.0);
}

// Symptom: a caller is told that its search has not run, and servers worked on it.
// Events:  nothing could be sent here, the other home was asked, and the time is over.
// Cause:   only what was sent from here counted as run.
#[test]
fn deadline_with_a_part_elsewhere_may_have_run() {
    let route = route(GROUPS, 1);
    let servers = route.groups.iter().flat_map(|group| &group.backend_servers);
    let servers: Vec<_> = servers.copied().collect();
    let mut session = Session::pending(route, &servers);
    begin(&mut session);
    session.pass(ms(1_100));
    assert!(session.sends.is_empty());
    let outcome = session.outcome(1);
    assert!(matches!(outcome, Outcome::Failed { .. }), "{outcome:?}");
}

// Symptom: a record twice in an answer, or one of a shard that is not named.
// Events:  the other home tells of keys that it was not asked for, or tells twice.
// Cause:   what came was merged as it came.
#[test]
fn gathered_what_was_not_asked_is_not_merged() {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    begin(&mut session);
    gathered(
        &mut session,
        &(GROUPS - ELSEWHERE - 1..GROUPS).collect::<Vec<_>>(),
    );
    session.answer_from(0);
    let outcome = session.outcome(1);
    assert!(matches!(outcome, Outcome::Failed { .. }), "{outcome:?}");
}

#[test]
fn gathered_twice_counts_once() {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    begin(&mut session);
    gathered(&mut session, &elsewhere()[1..]);
    gathered(&mut session, &elsewhere());
    session.answer_from(0);
    assert_eq!(
        session.answered(1).missing,
        keys_of(&elsewhere()[..1]).ranges()
    );
}

// Symptom: an answer leaves half empty at its soft deadline, or waits on although it has enough.
// Events:  the other home is late.
// Cause:   the soft deadline looked at what was asked here.
#[test_case(&[4, 5, 6], true; "enough_is_in")]
#[test_case(&[4, 5], false; "too_little_is_in")]
fn soft_deadline_goes_by_the_whole(covered: &[usize], ends: bool) {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    begin(&mut session);
    session.answer_from(0);
    session.pass(ms(SOFT + 1));
    assert!(!session.is_finished(1), "half is missing");
    gathered(&mut session, covered);
    assert!(session.is_finished(1));
    assert_eq!(matches!(session.outcome(1), Outcome::Answered(_)), ends);
}

// Symptom: answers of half the data where the other half comes a moment later.
// Events:  half is enough for an answer; the other home leaves its soft deadline a moment before this one's.
// Cause:   what is in at the soft deadline left without it.
#[test_case(4, 1.0; "comes_in_time")]
#[test_case(6, 0.5; "does_not_come")]
fn soft_deadline_waits_a_moment_for_the_other_home(after: u64, coverage: f64) {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    let soft_deadline = Some(SoftDeadline {
        after_ms: SOFT,
        coverage: 0.5,
    });
    let request = Request {
        params: Some(Params {
            soft_deadline,
            min_coverage: 0.5,
            ..terms()
        }),
        scope: Scope {
            only: None,
            delegated: keys_of(&elsewhere()),
        },
        ..request(1, session.now)
    };
    session.on(Event::Request(request));
    session.answer_from(0);
    session.pass(ms(SOFT + after));
    if !session.is_finished(1) {
        gathered(&mut session, &elsewhere());
    }
    assert_eq!(session.answered(1).coverage, coverage);
}

// Symptom: a shard is asked for twice while an index is repartitioned.
// Events:  the servers of the route change while the other home looks through its part.
// Cause:   keys that nobody here was asked for were dealt out again.
#[test]
fn route_changes_leave_the_part_elsewhere() {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    begin(&mut session);
    session.on(Event::Route(Arc::new(route(GROUPS, 3))));
    assert_eq!(asked(&session), (0..GROUPS - ELSEWHERE).collect::<Vec<_>>());
    gathered(&mut session, &elsewhere());
    session.answer_from(0);
    assert_eq!(session.answered(1).coverage, 1.0);
}

#[test]
fn only_is_all_that_is_asked_for() {
    let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
    let request = Request {
        params: Some(terms().for_groups(ELSEWHERE as u64, GROUPS)),
        scope: Scope {
            only: Some(keys_of(&elsewhere())),
            delegated: KeySet::default(),
        },
        ..request(1, session.now)
    };
    session.on(Event::Request(request));
    assert_eq!(asked(&session), elsewhere());
    let sends = session.sends.clone();
    sends[1..].iter().for_each(|send| session.answer(send));
    session.pass(ms(SOFT + 1));
    let answer = session.answered(1);
    assert_eq!(answer.coverage, 0.75, "of what it was asked for");
    assert_eq!(answer.missing, keys_of(&elsewhere()[..1]).ranges());
}

#[test_case(0.95, 21, 42, 19.0 / 21.0; "as_many_as_the_whole_may_lack")]
#[test_case(0.95, 31, 63, 28.0 / 31.0; "three")]
#[test_case(0.5, 4, 10, 0.0; "all_of_it")]
#[test_case(1.0, 4, 10, 1.0; "none")]
fn of_part_lacks_as_many_groups(least: f64, part: u64, of: usize, expected: f64) {
    let terms = Params {
        min_coverage: least,
        ..terms()
    };
    let found = terms.for_groups(part, of).min_coverage;
    assert!((found - expected).abs() < 1e-9, "{found}");
}

// Whatever comes in whatever order: a search ends once, what it says of its coverage is true, keys elsewhere are asked
// for here only after they were declined, and nothing is said not to have run that may have.
#[test]
fn search_beside_another_home_keeps_its_promises() {
    for seed in 0..500 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut session = Session::polled(route(GROUPS, 2), &[VERSION]);
        begin(&mut session);
        let mut here: Vec<usize> = (0..GROUPS - ELSEWHERE).collect();
        here.shuffle(&mut rng);
        here.truncate(rng.random_range(0..=here.len()));
        let told = rng.random_range(0..4);
        let covered: Vec<usize> = elsewhere()
            .into_iter()
            .filter(|_| rng.random_bool(0.8))
            .collect();
        let tell_after = rng.random_range(0..=here.len());
        let mut declined = false;
        for step in 0..=here.len() {
            if step == tell_after {
                match told {
                    0 => gathered(&mut session, &covered),
                    1 => session.on(Event::DelegationFailed(1, Progress::MaybeStarted)),
                    2 => {
                        declined = !session.is_finished(1);
                        session.on(Event::DelegationFailed(1, Progress::NotStarted));
                    }
                    _ => {}
                }
            }
            let sent = here
                .get(step)
                .map(|group| session.sent_to(*group)[0].clone());
            sent.into_iter().for_each(|send| session.answer(&send));
            session.pass(ms(rng.random_range(0..60)));
        }
        session.pass(ms(2_000));
        let outcome = session.outcome(1).clone();
        let asked_there = asked(&session)
            .into_iter()
            .any(|group| group >= GROUPS - ELSEWHERE);
        assert!(!asked_there || declined, "seed {seed}: asked twice");
        assert!(
            !matches!(outcome, Outcome::NotRun { .. }),
            "seed {seed}: {outcome:?}"
        );
        if let Outcome::Answered(answer) = outcome {
            let there = if told == 0 { &covered[..] } else { &[] };
            let known: Vec<usize> = here.iter().chain(there).copied().collect();
            let missing: KeySet = answer.missing.iter().copied().collect();
            let all = KeySet::from(Range::new(0, GROUPS as u64 * KEYS));
            let held = all.difference(&missing);
            // It may have left at its soft deadline, before all was in, but it holds nothing that did not come.
            assert!(held.difference(&keys_of(&known)).is_empty(), "seed {seed}");
            assert_eq!(
                answer.coverage,
                held.len() as f64 / all.len() as f64,
                "seed {seed}"
            );
            assert!(answer.coverage >= LEAST, "seed {seed}");
        }
    }
}
