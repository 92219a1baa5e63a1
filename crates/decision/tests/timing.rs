//! Tests the intervals and timeouts derived from the bound on how long a change may take.

use monsoonring_decision::gateway::timing::Timing;
use std::time::Duration;
use test_case::test_case;

/// Time that a watch may exceed its wait before it counts as failed.
const WATCH_SLACK: Duration = Duration::from_millis(800);

// The pause that batches changes takes only a small part of the bound.
#[test_case(3_000; "three_seconds")]
#[test_case(5_000; "five_seconds")]
fn batch_pause_leaves_most_of_the_bound(bound: u64) {
    let bound = Duration::from_millis(bound);
    let pause = Timing::new(bound).batch_pause();
    assert!(pause <= bound / 4 && pause >= bound / 10, "{pause:?}");
}

// Guards against calling the store too often while nothing changes.
#[test]
fn watch_without_changes_makes_few_calls() {
    let period = Duration::from_secs(34);
    let calls = period
        .as_nanos()
        .div_ceil(Timing::new(Duration::from_secs(3)).watch().as_nanos());
    assert!(calls <= 12, "{calls} calls");
}

// A reader gets the reply to its watch before it counts as stale. Otherwise it would decline polls, and each poller
// would call the store.
#[test_case(3_000; "three_seconds")]
#[test_case(5_000; "five_seconds")]
#[test_case(12_000; "twelve_seconds")]
fn freshness_covers_the_time_between_replies(bound: u64) {
    let timing = Timing::new(Duration::from_millis(bound));
    let interval = timing.batch_pause() + timing.reader_watch();
    let spare = timing.freshness().saturating_sub(interval);
    assert!(spare >= Duration::from_millis(bound) / 20, "{spare:?}");
}

// A reader that loses the store declines polls early enough for pollers to call the store within the bound.
#[test_case(3_000; "three_seconds")]
#[test_case(5_000; "five_seconds")]
fn freshness_ends_before_the_bound(bound: u64) {
    let bound = Duration::from_millis(bound);
    let timing = Timing::new(bound);
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
        timing.reader_watch() + WATCH_SLACK <= bound,
        "a lost reply is detected within the bound"
    );
}
