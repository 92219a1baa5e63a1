//! Tests the intervals and timeouts derived from the bound on how long a change may take.

use monsoonring_decision::gateway::timing::{MIN_WATCH, Timing};
use std::time::Duration;
use test_case::test_case;

/// Time within which a silent connection has to be replaced in a usual deployment.
const WINDOW: Duration = Duration::from_millis(4_000);

/// Returns the timing for a bound in milliseconds, with a window that doesn't bind.
fn timing(bound: u64) -> Timing {
    let bound = Duration::from_millis(bound);
    Timing::new(bound, bound * 2)
}

// The pause that batches changes takes only a small part of the bound.
#[test_case(3_000; "three_seconds")]
#[test_case(5_000; "five_seconds")]
fn batch_pause_leaves_most_of_the_bound(bound: u64) {
    let pause = timing(bound).batch_pause();
    let bound = Duration::from_millis(bound);
    assert!(pause <= bound / 4 && pause >= bound / 10, "{pause:?}");
}

// Guards against calling the store too often while nothing changes.
#[test]
fn watch_without_changes_makes_few_calls() {
    let period = Duration::from_secs(34);
    let calls = period.as_nanos().div_ceil(
        Timing::new(Duration::from_secs(3), WINDOW)
            .watch(Duration::ZERO)
            .as_nanos(),
    );
    assert!(calls <= 12, "{calls} calls");
}

// A reader gets the reply to its watch before it counts as stale. Otherwise it would decline polls, and each poller
// would call the store.
#[test_case(3_000; "three_seconds")]
#[test_case(5_000; "five_seconds")]
#[test_case(12_000; "twelve_seconds")]
fn freshness_covers_the_time_between_replies(bound: u64) {
    let timing = timing(bound);
    let pause = timing.batch_pause();
    let interval = pause + timing.reader_watch(pause);
    let spare = timing.freshness().saturating_sub(interval);
    assert!(spare >= Duration::from_millis(bound) / 20, "{spare:?}");
}

// A reader that loses the store declines polls early enough for pollers to call the store within the bound.
#[test_case(3_000; "three_seconds")]
#[test_case(5_000; "five_seconds")]
fn freshness_ends_before_the_bound(bound: u64) {
    let timing = timing(bound);
    let bound = Duration::from_millis(bound);
    assert!(
        timing.freshness() + timing.poll() <= bound,
        "{:?}",
        timing.freshness()
    );
    assert!(
        timing.poll_timeout() < bound / 2,
        "{:?}",
        timing.poll_timeout()
    );
    assert!(
        timing.reader_watch(Duration::ZERO) + timing.watch_margin() <= bound,
        "a lost reply is detected within the bound"
    );
}

/// Time that the silent connection and the recovery take at most besides what the timing sets: the first backoff with its
/// jitter, connecting and a call.
const RECONNECT: Duration = Duration::from_millis(150);

// Guards against a host that is behind although a silent connection was due to be replaced. Each summand of the age on
// its own: a watch, a pause before it, loading all items before it, and the path through a reader.
#[test_case(3_000, 4_000; "usual")]
#[test_case(5_000, 4_000; "bound_above_the_window")]
#[test_case(12_000, 4_000; "bound_far_above_the_window")]
#[test_case(3_000, 8_000; "long_window")]
#[test_case(3_000, 2_000; "short_window")]
#[test_case(1_000, 1_500; "short_bound_and_window")]
#[test_case(500, 1_000; "second_window")]
fn silent_connection_is_replaced_within_the_window(bound: u64, window: u64) {
    let (bound, window) = (Duration::from_millis(bound), Duration::from_millis(window));
    let timing = Timing::new(bound, window);
    let after = |age: Duration| age + timing.watch(age) + timing.watch_margin() + RECONNECT;
    assert!(
        after(Duration::ZERO) <= window,
        "{:?}",
        after(Duration::ZERO)
    );
    let pause = timing.batch_pause();
    assert!(
        after(pause) <= window,
        "after a pause of {pause:?}: {:?}",
        after(pause)
    );
    let reader = pause + timing.reader_watch(pause) + timing.watch_margin() + RECONNECT;
    assert!(reader <= window, "at a reader: {reader:?}");
    let through_reader = timing.freshness() + timing.poll_timeout() + RECONNECT;
    assert!(
        through_reader <= window,
        "through a reader: {through_reader:?}"
    );
    assert!(timing.longest_age() <= window, "{:?}", timing.longest_age());
    assert!(timing.is_within_window());
    assert!(
        timing.poll() >= Duration::from_millis(25),
        "{:?}",
        timing.poll()
    );
}

// Guards against a window that no timing can keep and that nobody is told of.
#[test]
fn window_that_is_too_short_is_reported() {
    let timing = Timing::new(Duration::from_secs(3), Duration::from_millis(500));
    assert!(!timing.is_within_window(), "{:?}", timing.longest_age());
}

// A host whose knowledge is old already, for instance after a long read, asks with a short watch.
#[test]
fn watch_of_an_old_position_is_short() {
    let timing = Timing::new(Duration::from_secs(3), WINDOW);
    let age = Duration::from_secs(10);
    assert_eq!(timing.watch(age), MIN_WATCH);
    assert_eq!(timing.reader_watch(age), MIN_WATCH);
}
