//! When the driver of a home feeds it the time.
//!
//! A home asks for a wake-up only when it needs an earlier one than it was promised, and takes a
//! promise as kept by whatever event comes at that time or later. The driver has to see it in the
//! same way. If it kept the old time beside the new one, and then woke up for the old one, it would
//! drop the new one too: seen as hedges and retries that are sent hundreds of milliseconds late,
//! though only on a busy process, where events overtake ticks.

use crate::Time;

/// The earliest wake-up that a home was promised.
#[derive(Clone, Copy, Debug, Default)]
pub struct Wakeup(Option<Time>);

impl Wakeup {
    /// Takes in that the home wants to be woken, by [`Action::Wake`](super::Action::Wake).
    pub fn schedule(&mut self, at: Time) {
        self.0 = Some(self.0.map_or(at, |promised| promised.min(at)));
    }

    /// Takes in that an event, of whatever kind, is about to be fed at `now`.
    pub fn on_event(&mut self, now: Time) {
        self.0 = self.0.filter(|promised| *promised > now);
    }

    /// Returns when to feed a tick, if nothing else is fed before.
    pub fn next(&self) -> Option<Time> {
        self.0
    }
}
