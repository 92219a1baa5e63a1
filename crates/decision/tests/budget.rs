//! Budgets for extra attempts: hedges and retries.

use monsoonring_decision::Time;
use monsoonring_decision::budget::{Budget, Window};
use proptest::prelude::*;
use std::time::Duration;
use test_case::test_case;

const NOW: Time = Time::ZERO;

#[derive(Clone, Copy, Debug)]
enum Step {
    First,
    Extra,
    Success,
    Failure,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::First),
        Just(Step::Extra),
        Just(Step::Success),
        Just(Step::Failure),
    ]
}

// Guards against a budget that is spent on slightly slow attempts, so that none is left to hedge
// those at a server that becomes slow.
#[test]
fn take_deferrable_leaves_the_reserve() {
    let mut budget = Budget::new(5.0);
    assert!(
        budget.take_deferrable(NOW),
        "a single request can be hedged"
    );
    for _ in 0..1_000 {
        budget.deposit(NOW);
        budget.take_deferrable(NOW);
    }
    assert!(!budget.take_deferrable(NOW));
    let reserve = (0..).take_while(|_| budget.take(NOW)).count();
    assert!(
        (9..=11).contains(&reserve),
        "reserve of a fifth of 50, got {reserve}"
    );
}

proptest! {
    #[test]
    fn take_in_any_order_stays_within_percentage(
        percent in 0.0..50.0_f64,
        steps in prop::collection::vec(step(), 0..400),
    ) {
        let mut budget = Budget::new(percent);
        let (mut firsts, mut extras) = (0_u32, 0_u32);
        for step in steps {
            match step {
                Step::First => { firsts += 1; budget.deposit(NOW); }
                Step::Extra => extras += u32::from(budget.take(NOW)),
                Step::Success => budget.succeeded(NOW),
                Step::Failure => budget.failed(NOW),
            }
            let limit = Budget::INITIAL + percent / 100.0 * f64::from(firsts);
            prop_assert!(f64::from(extras) <= limit + 1e-6);
        }
    }
}

/// Returns the retries per hundred first attempts when `failing_percent` of these fail and each
/// failure requests a retry.
fn retries_per_hundred(failing_percent: u32) -> u32 {
    let mut budget = Budget::new(10.0);
    let mut retries = 0;
    for first in 0..10_000_u32 {
        budget.deposit(NOW);
        if first * 37 % 100 < failing_percent {
            budget.failed(NOW);
            retries += u32::from(budget.take(NOW));
        } else {
            budget.succeeded(NOW);
        }
    }
    retries / 100
}

// Guards against retries that keep an overloaded server slow: the budget must shrink when most
// attempts fail.
#[test_case(5, 4, 5; "few failures are all retried")]
#[test_case(50, 0, 2; "half failing leaves a fifth of the budget at most")]
#[test_case(100, 0, 0; "all failing leaves almost none")]
fn failed_often_shrinks_budget(failing_percent: u32, at_least: u32, at_most: u32) {
    let retries = retries_per_hundred(failing_percent);
    assert!(
        (at_least..=at_most).contains(&retries),
        "{retries} retries per hundred first attempts"
    );
}

#[test]
fn take_without_percentage_is_refused() {
    let mut budget = Budget::new(0.0);
    (0..1_000).for_each(|_| budget.deposit(NOW));
    assert!(!budget.take(NOW));
}

// Guards against thousands of retries in one second of failures because unused tokens accumulated.
#[test]
fn deposit_many_keeps_bounded_tokens() {
    let mut budget = Budget::new(10.0);
    (0..1_000_000).for_each(|_| budget.deposit(NOW));
    assert!(budget.available() <= 100.0, "{}", budget.available());
}

/// Length of the window in which extra attempts are bounded.
const WINDOW: Duration = Duration::from_secs(10);

fn in_window(times: &[Duration], now: Duration) -> usize {
    let from = now.saturating_sub(WINDOW);
    times.iter().filter(|time| **time >= from).count()
}

// Guards against more extra attempts in a window than the owners of the backend servers allow, due
// to budget carried over from an earlier window.
proptest! {
    #[test]
    fn window_any_events_bound_extras_in_any_ten_seconds(
        events in proptest::collection::vec((0_u8..10, 0_u64..400), 1..600),
    ) {
        let (percent, slack) = (18.0, 4.0);
        let mut window = Window::new(percent, slack, WINDOW);
        let (mut firsts, mut extras) = (Vec::new(), Vec::new());
        let mut now = Duration::ZERO;
        for (event, pause) in events {
            now += Duration::from_millis(pause);
            let taken = match event {
                0..4 => {
                    window.record_first(now);
                    firsts.push(now);
                    false
                }
                4..6 => window.take_deferrable(now),
                6..9 => window.take(now),
                _ => {
                    if extras.pop().is_some() {
                        window.give_back();
                    }
                    false
                }
            };
            if taken {
                extras.push(now);
                let allowed = percent / 100.0 * in_window(&firsts, now) as f64 + slack;
                prop_assert!(in_window(&extras, now) as f64 <= allowed);
            }
        }
    }
}

// Guards against first attempts that count for good, and allow as many extra ones, after a pause in the requests.
#[test_case(5_000; "shorter than the window")]
#[test_case(10_200; "slightly longer than the window")]
#[test_case(30_000; "much longer than the window")]
fn window_after_a_pause_counts_recent_first_attempts_only(pause_ms: u64) {
    let now = Duration::from_millis(10_000 + pause_ms);
    let mut window = Window::new(18.0, 4.0, WINDOW);
    for number in 0..1_000_u64 {
        window.record_first(Duration::from_millis(number * 10));
    }
    let recent = (0..1_000_u64).filter(|number| Duration::from_millis(number * 10) + WINDOW >= now);
    let allowed = 0.18 * recent.count() as f64 + 4.0;
    assert!(
        window.available(now) <= allowed,
        "{}",
        window.available(now)
    );
}

// Guards against unanswered searches in a burst of failures although the window still allows the
// retries.
#[test]
fn window_unused_budget_is_available_in_a_burst() {
    let mut window = Window::new(18.0, 4.0, WINDOW);
    let mut answered = 0;
    for number in 0..1_000_u64 {
        let now = Duration::from_millis(number * 10);
        window.record_first(now);
        let fails = number >= 600 && number % 5 < 2;
        answered += u32::from(!fails || window.take(now));
    }
    assert_eq!(answered, 1_000);
}

// Guards against a hard-coded percentage or window length.
#[test_case::test_case(18.0, 10; "a_fifth_in_ten_seconds")]
#[test_case::test_case(9.0, 10; "a_tenth_in_ten_seconds")]
#[test_case::test_case(18.0, 4; "a_fifth_in_four_seconds")]
fn window_any_bound_is_kept(percent: f64, seconds: u64) {
    let length = Duration::from_secs(seconds);
    let mut window = Window::new(percent, 4.0, length);
    let (mut firsts, mut extras) = (Vec::new(), Vec::new());
    for number in 0..6_000 {
        let now = Duration::from_millis(number * 10);
        window.record_first(now);
        firsts.push(now);
        if !window.take(now) {
            continue;
        }
        extras.push(now);
        let from = now.saturating_sub(length);
        let since = |times: &[Duration]| times.iter().filter(|at| **at >= from).count();
        let allowed = percent / 100.0 * since(&firsts) as f64 + 4.0;
        assert!(since(&extras) as f64 <= allowed, "after {now:?}");
    }
    assert!(extras.len() as f64 > 0.8 * percent / 100.0 * firsts.len() as f64);
}
