//! How often a host asks the store that lists configuration and backend servers, and the hosts that read it for
//! others.
//!
//! The store counts each call, a waiting watch as one, and its rates grow more slowly than the fleet. What
//! changed ends a wait at once in any case: what its length guards against is an answer that was lost, or an
//! end that has gone silent. So all of it is a part of the time within which a change has to be in force.

use std::time::Duration;

/// Time that a watch of the store waits.
const WATCH_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The same at a host that reads for others, as a part of the bound. What it doesn't notice reaches none of
/// them, so that it has to notice sooner, and the few calls more are few hosts'.
const READER_WATCH_FRACTION: f64 = 0.4;

/// Part of the bound for which an answer of the store vouches for what a reader knows: changes are gathered, a
/// watch waits, and a little. Past it the others ask the store, and have three tenths left for it.
const FRESHNESS_FRACTION: f64 = 0.7;

/// Part of the bound that a question to a reader waits. One that is frozen is noticed after it.
const POLL_FRACTION: f64 = 0.25;

/// Time beyond the wait after which a reader that does not answer counts as silent.
const POLL_SLACK: Duration = Duration::from_millis(250);

/// Part of the time within which a change has to be in force that changes are gathered for. They come in
/// batches, as when servers are replaced one after the other, and each would cost every host a call.
const BATCH_FRACTION: f64 = 0.2;

/// How long things take for a host, where changes have to be in force within a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    bound: Duration,
}

impl Timing {
    /// Makes the pace for a bound.
    pub fn new(bound: Duration) -> Self {
        Self { bound }
    }

    /// Returns how long a watch of the store may wait.
    pub fn watch(self) -> Duration {
        WATCH_TIMEOUT
    }

    /// Returns how long a watch of the store may wait at a host that others ask.
    pub fn reader_watch(self) -> Duration {
        self.bound.mul_f64(READER_WATCH_FRACTION).min(WATCH_TIMEOUT)
    }

    /// Returns the time for which an answer of the store vouches for what a reader knows.
    pub fn freshness(self) -> Duration {
        self.bound.mul_f64(FRESHNESS_FRACTION)
    }

    /// Returns how long a question to a reader may wait there.
    pub fn poll(self) -> Duration {
        self.bound.mul_f64(POLL_FRACTION)
    }

    /// Returns the time within which a reader answers such a question.
    pub fn poll_timeout(self) -> Duration {
        self.poll() + POLL_SLACK
    }

    /// Returns the pause after a watch that brought changes.
    pub fn batch_pause(self) -> Duration {
        self.bound.mul_f64(BATCH_FRACTION)
    }
}
