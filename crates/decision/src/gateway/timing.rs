//! Intervals and timeouts for polling the store and its readers.
//!
//! The store counts every call, and its rate limits grow more slowly than the fleet. Since a change
//! ends a pending watch immediately, the length of a watch only matters for lost answers and
//! silently dropped connections. All times are therefore derived from the bound within which a
//! change has to be in force.

use std::time::Duration;

/// Timeout of a watch on the store.
const WATCH_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Timeout of a watch on a reader, as a fraction of the bound. A change that a reader misses
/// reaches none of the hosts that poll it, so readers detect a lost watch sooner.
const READER_WATCH_FRACTION: f64 = 0.4;

/// Age of the store's last answer, as a fraction of the bound, up to which a reader counts as up to
/// date. It covers the batch pause and one watch. After that, hosts poll the store and have the
/// rest of the bound to do so.
const FRESHNESS_FRACTION: f64 = 0.7;

/// Duration of a long poll of a reader, as a fraction of the bound. A frozen reader is detected
/// after it.
const POLL_FRACTION: f64 = 0.25;

/// Time beyond the long poll after which a reader is considered unreachable.
const POLL_SLACK: Duration = Duration::from_millis(250);

/// Pause for batching changes, as a fraction of the bound. Changes arrive in bursts, for example
/// during a rolling restart, and each would otherwise cost every host a call.
const BATCH_FRACTION: f64 = 0.2;

/// Polling intervals and timeouts, derived from the bound on the propagation of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    bound: Duration,
}

impl Timing {
    /// Creates the timing for a bound.
    pub fn new(bound: Duration) -> Self {
        Self { bound }
    }

    /// Returns the timeout of a watch on the store.
    pub fn watch(self) -> Duration {
        WATCH_TIMEOUT
    }

    /// Returns the timeout of a watch on the store for a reader.
    pub fn reader_watch(self) -> Duration {
        self.bound.mul_f64(READER_WATCH_FRACTION).min(WATCH_TIMEOUT)
    }

    /// Returns how long an answer of the store keeps a reader up to date.
    pub fn freshness(self) -> Duration {
        self.bound.mul_f64(FRESHNESS_FRACTION)
    }

    /// Returns the duration of a long poll of a reader.
    pub fn poll(self) -> Duration {
        self.bound.mul_f64(POLL_FRACTION)
    }

    /// Returns the timeout of a long poll, after which the reader counts as unreachable.
    pub fn poll_timeout(self) -> Duration {
        self.poll() + POLL_SLACK
    }

    /// Returns the pause after a watch that returned changes.
    pub fn batch_pause(self) -> Duration {
        self.bound.mul_f64(BATCH_FRACTION)
    }
}
