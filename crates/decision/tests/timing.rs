//! How often a host asks the store, and how long a change may be on its way.

use monsoonring_decision::gateway::timing::Timing;
use std::time::Duration;
use test_case::test_case;

/// Time beyond its wait after which a watch of the store counts as failed.
const WATCH_SLACK: Duration = Duration::from_millis(800);

// A change is gathered for, read, and in force well within its bound, whatever that is.
#[test_case(3_000; "three_seconds")]
#[test_case(5_000; "five_seconds")]
fn gather_leaves_most_of_the_bound(bound: u64) {
    let bound = Duration::from_millis(bound);
    let gathered = Timing::new(bound).batch_pause();
    assert!(
        gathered <= bound / 4 && gathered >= bound / 10,
        "{gathered:?}"
    );
}

// Symptom: calls to the store cost a tenth of a calm day's worth at 89 hosts, as each has a watch waiting.
// Events:  a calm day; each host asks the store.
// Cause:   a watch that waits is a call, and one that ends starts the next.
#[test]
fn watch_calls_of_a_calm_time_are_few() {
    let day = Duration::from_secs(34);
    let calls = day
        .as_nanos()
        .div_ceil(Timing::new(Duration::from_secs(3)).watch().as_nanos());
    assert!(calls <= 12, "{calls} calls");
}

// A reader that is up to date is sure of it all the time: it gathers, watches, and is answered before it would
// decline, or each of those who ask would ask the store.
#[test_case(3_000; "three_seconds")]
#[test_case(5_000; "five_seconds")]
#[test_case(12_000; "twelve_seconds")]
fn sure_lasts_from_answer_to_answer(bound: u64) {
    let pace = Timing::new(Duration::from_millis(bound));
    let apart = pace.batch_pause() + pace.reader_watch();
    let spare = pace.freshness().saturating_sub(apart);
    assert!(spare >= Duration::from_millis(bound) / 20, "{spare:?}");
}

// One whose way to the store has gone silent says so in time for the others to ask themselves.
#[test_case(3_000; "three_seconds")]
#[test_case(5_000; "five_seconds")]
fn sure_ends_well_before_the_bound(bound: u64) {
    let bound = Duration::from_millis(bound);
    let pace = Timing::new(bound);
    assert!(
        pace.freshness() + pace.poll() <= bound,
        "{:?}",
        pace.freshness()
    );
    assert!(pace.poll_timeout() < bound / 2, "{:?}", pace.poll_timeout());
    assert!(
        pace.reader_watch() + WATCH_SLACK <= bound,
        "a lost answer is found out in time"
    );
}
