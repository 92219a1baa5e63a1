//! Cold backend servers, which bear a bounded number of requests a second.
//!
//! A server that has just started, or lost its caches, crashes when it gets too many requests in one second,
//! summed over all homes. Nothing is shared that could count them, so each home has a fixed number that it may send
//! in any second ([`Division::cold`](crate::placement::Division::cold)), and all numbers together stay below the
//! bound. Without that a data centre that comes back cold would be sent its full load at once by every home, and
//! its servers would go down together just when they are needed.

use crate::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Time over which a server counts what it gets, and a little: a request may take a moment less on its way than the
/// one before it.
const WINDOW: Duration = Duration::from_millis(1_050);

/// A bound on what a server gets while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Until when it is cold.
    pub until: Time,
    /// Requests that it max_rate in each second, from all homes together.
    pub max_rate: f64,
}

/// What one home sends to a cold server.
#[derive(Clone, Debug)]
pub(crate) struct Warming {
    cold: ColdLimit,
    /// Attempts that are meant for it and have not left.
    queued: usize,
    /// When those left that it may still count.
    sent: VecDeque<Time>,
    /// Until when nothing may be sent, as it is not known what was sent in the second before.
    closed_until: Option<Time>,
}

impl Warming {
    /// Begins with a server to which nothing was sent yet.
    pub(crate) fn new(cold: ColdLimit) -> Self {
        Self {
            cold,
            queued: 0,
            sent: VecDeque::new(),
            closed_until: None,
        }
    }

    /// Begins with a server that was in use, and for which `queued` attempts wait: it may count what it got before it
    /// was known to be cold.
    pub(crate) fn in_use(cold: ColdLimit, queued: usize, now: Time) -> Self {
        Self {
            queued,
            closed_until: Some(now + WINDOW),
            ..Self::new(cold)
        }
    }

    /// Takes over what is known of it now.
    pub(crate) fn set(&mut self, cold: ColdLimit) {
        self.cold = cold;
    }

    pub(crate) fn cold(&self) -> ColdLimit {
        self.cold
    }

    pub(crate) fn is_over(&self, now: Time) -> bool {
        self.cold.until <= now
    }

    /// Tells whether one more attempt may be made, where this home may send `share` in a second.
    pub(crate) fn is_open(&self, share: usize, now: Time) -> bool {
        if self.is_over(now) {
            return true;
        }
        let counted = self.sent.iter().filter(|at| now < **at + WINDOW).count();
        self.closed_until.is_none_or(|until| until <= now) && self.queued + counted < share
    }

    /// An attempt waits for a connection.
    pub(crate) fn queue(&mut self) {
        self.queued += 1;
    }

    /// An attempt has left.
    pub(crate) fn send(&mut self, now: Time) {
        self.withdraw();
        self.tick(now);
        self.sent.push_back(now);
    }

    /// Forgets what the server counts no more.
    pub(crate) fn tick(&mut self, now: Time) {
        self.sent.retain(|at| now < *at + WINDOW);
        self.closed_until.take_if(|until| *until <= now);
    }

    /// An attempt that waited does not leave any more.
    pub(crate) fn withdraw(&mut self) {
        self.queued = self.queued.saturating_sub(1);
    }

    /// Returns when one more attempt may be possible at the earliest, where none is now.
    pub(crate) fn next_open(&self) -> Time {
        let leaves = self.sent.front().map(|at| *at + WINDOW);
        let next = leaves.into_iter().chain(self.closed_until);
        next.fold(self.cold.until, Time::min)
    }
}
