//! Whether the next attempt goes to a server to find out about it.

use crate::Time;
use std::time::Duration;

/// How often the pause between two probes without an answer doubles.
const DOUBLINGS: u32 = 6;

/// Probes of a server that has attempts overdue.
///
/// Each probe is an attempt that had to be made anyway, so that probing adds no load; but it is lost
/// time for its request where the server hangs. The pauses therefore grow.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Probe {
    wanted: bool,
    /// Probes since the last answer.
    unanswered: u32,
    /// Time before which none is wanted.
    not_before: Time,
}

impl Probe {
    pub(crate) fn is_wanted(&self) -> bool {
        self.wanted
    }

    /// Takes in that an attempt was found overdue by the `silence_timeout` with the server.
    pub(crate) fn want(&mut self, silence_timeout: Duration, now: Time) {
        if now < self.not_before {
            return;
        }
        self.wanted = true;
        let pause = silence_timeout * 2_u32.pow(self.unanswered.min(DOUBLINGS));
        self.unanswered = self.unanswered.saturating_add(1);
        self.not_before = now + pause;
    }

    /// Takes in that an attempt was sent.
    pub(crate) fn sent(&mut self) {
        self.wanted = false;
    }

    /// Takes in that an attempt was answered.
    pub(crate) fn answered(&mut self) {
        self.unanswered = 0;
    }
}
