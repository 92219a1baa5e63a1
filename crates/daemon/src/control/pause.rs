//! Detects that the process was paused, before the control task notices.
//!
//! After a pause, all threads resume together. A request that waited in a socket may be read before
//! the control task's next tick and would use outdated state: servers that have left, a
//! configuration that is no longer in force. Therefore each request checks the time of the last
//! tick.
//!
//! The age of requests that waited in sockets is unknown, because they carry the remaining time at
//! sending instead of an absolute deadline. They are read shortly after the process resumes, so
//! requests are refused for [`RESUME_DELAY`], even if members and configuration are refreshed
//! sooner.

use crate::clock::Clock;
use monsoonring_decision::Time;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Time after a pause in which requests are refused. Covers reading the backlog of the sockets.
const RESUME_DELAY: Duration = Duration::from_millis(500);

/// Detects pauses from the time since the control task's last tick.
#[derive(Debug)]
pub(crate) struct Detector {
    clock: Clock,
    /// Time without a tick above which the process counts as paused.
    threshold: Duration,
    /// Time of the last tick, in milliseconds since the daemon started.
    last_tick: AtomicU64,
    /// End of the delay after a pause, in milliseconds since the daemon started.
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

    /// Records a tick. Must be called after the tick's changes are published.
    pub(super) fn record_tick(&self) {
        let now = milliseconds(self.clock.now());
        self.last_tick.store(now, Ordering::Release);
    }

    /// Records a pause that the control task detected, which starts the delay.
    pub(super) fn record_pause(&self) {
        let until = milliseconds(self.clock.now() + RESUME_DELAY);
        self.refuse_until.store(until, Ordering::Release);
    }

    /// Returns the reason if no new requests may be accepted.
    pub(super) fn check_ready(&self) -> Result<(), &'static str> {
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
