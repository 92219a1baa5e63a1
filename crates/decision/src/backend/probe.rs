//! Probes of a server that has overdue attempts.

use crate::Time;
use std::time::Duration;

/// Maximum number of doublings of the pause between probes.
const MAX_DOUBLINGS: u32 = 6;

/// Decides whether the next attempt should go to a server as a probe.
///
/// Probes are ordinary attempts, so they add no load, but each one may stall its request. Pauses
/// between probes without a reply grow exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Probe {
    requested: bool,
    /// Probes since the last reply.
    unanswered: u32,
    /// Time before which no further probe is requested.
    not_before: Time,
}

impl Probe {
    pub(crate) fn is_requested(&self) -> bool {
        self.requested
    }

    /// Requests a probe after an attempt has exceeded the silence timeout.
    pub(crate) fn request(&mut self, silence_timeout: Duration, now: Time) {
        if now < self.not_before {
            return;
        }
        self.requested = true;
        let pause = silence_timeout * 2_u32.pow(self.unanswered.min(MAX_DOUBLINGS));
        self.unanswered = self.unanswered.saturating_add(1);
        self.not_before = now + pause;
    }

    /// Records that an attempt was sent, which serves as the probe.
    pub(crate) fn sent(&mut self) {
        self.requested = false;
    }

    /// Records a reply, which resets the pause.
    pub(crate) fn answered(&mut self) {
        self.unanswered = 0;
    }
}
