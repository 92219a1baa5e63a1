//! Whether this process has slept, for those who must know before the control task does.
//!
//! A process that was stopped for minutes goes on in all its threads at once. The control task
//! finds out at its next tick, but a request that waited in a socket may be read before that, and
//! would go out on what was known minutes ago: to servers that left, under a configuration that is
//! no longer in force. One would see such work right after a pause, before the line `paused`. So
//! each request looks at the time of the last tick itself.
//!
//! Requests that waited in the sockets were sent before or during the pause, and nobody can tell how
//! long ago: what remains of their deadlines was written down when they were sent. They are read
//! within moments of the wake. For that long no new work is taken, however soon the refresh is done.

use crate::clock::Clock;
use monsoonring_decision::Time;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Time in which a process that goes on reads what waited in its sockets.
const RESUME_DELAY: Duration = Duration::from_millis(500);

/// The last tick of the control task, and the end of the rest after a pause.
#[derive(Debug)]
pub(crate) struct Detector {
    clock: Clock,
    /// Gap between two ticks above which the process counts as having been paused.
    threshold: Duration,
    /// Milliseconds since the start.
    last_tick: AtomicU64,
    refuse_until: AtomicU64,
}

impl Detector {
    pub(super) fn new(clock: Clock, threshold: Duration) -> Self {
        Self {
            clock,
            threshold,
            last_tick: AtomicU64::new(milliseconds(clock.now())),
            refuse_until: AtomicU64::new(0),
        }
    }

    /// Notes a tick, after what follows from it has been published.
    pub(super) fn record_tick(&self) {
        let now = milliseconds(self.clock.now());
        self.last_tick.store(now, Ordering::Release);
    }

    /// Notes that the process was paused.
    pub(super) fn record_pause(&self) {
        let until = milliseconds(self.clock.now() + RESUME_DELAY);
        self.refuse_until.store(until, Ordering::Release);
    }

    /// Returns why no new work may be taken, if that is so.
    pub(super) fn ready(&self) -> Result<(), &'static str> {
        let now = milliseconds(self.clock.now());
        let last_tick = self.last_tick.load(Ordering::Acquire);
        if now.saturating_sub(last_tick) > milliseconds(self.threshold) {
            return Err("paused");
        }
        if now < self.refuse_until.load(Ordering::Acquire) {
            return Err("resumed a moment ago");
        }
        Ok(())
    }
}

fn milliseconds(time: Time) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
