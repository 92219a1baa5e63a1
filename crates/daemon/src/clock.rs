//! The process's monotonic clock.
//!
//! Decisions take the time as a duration since the start of the process.

use monsoonring_configuration::id::Incarnation;
use monsoonring_decision::Time;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock that starts at zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Time {
        self.start.elapsed()
    }

    /// Converts an instant to a time; instants before the start become zero.
    pub fn time(&self, instant: Instant) -> Time {
        instant.saturating_duration_since(self.start)
    }

    /// Converts a time to an instant.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + time
    }
}

/// Returns the start number of this process, in milliseconds since the Unix epoch. It is higher
/// than that of any earlier process on this address, unless the host's clock has gone back by more
/// than a restart takes.
pub(crate) fn start_number() -> Incarnation {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
