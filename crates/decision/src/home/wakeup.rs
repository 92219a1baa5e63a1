//! When the driver of a home sends it the next [`Event::Tick`](super::Event::Tick).
//!
//! A home requests a wake-up only if it is earlier than the outstanding one, and treats any event
//! at or after that time as the wake-up. The driver has to follow the same rule. If it kept a
//! superseded wake-up as well, it would drop the new one when the old one comes due, and hedges and
//! retries would be sent late on a busy process, where events overtake ticks.

use crate::Time;

/// The earliest outstanding wake-up that a home requested.
#[derive(Clone, Copy, Debug, Default)]
pub struct Wakeup(Option<Time>);

impl Wakeup {
    /// Records the time of an [`Action::Wake`](super::Action::Wake).
    pub fn schedule(&mut self, at: Time) {
        self.0 = Some(self.0.map_or(at, |promised| promised.min(at)));
    }

    /// Records that an event of any kind is about to be sent to the home at `now`.
    pub fn on_event(&mut self, now: Time) {
        self.0 = self.0.filter(|promised| *promised > now);
    }

    /// Returns when to send a tick if no other event comes first.
    pub fn next(&self) -> Option<Time> {
        self.0
    }
}
