//! Timers of a home, ordered by due time.

use crate::attempt::AttemptId;
use crate::{Fingerprint, RequestId, Time};
use std::collections::BTreeSet;

/// What to do when a timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// End a request.
    Deadline(RequestId),
    /// Return a partial answer to a search if its coverage suffices.
    SoftDeadline(RequestId),
    /// Refuse a request that has not been sent, because the daemon exits soon.
    LastSend(RequestId),
    /// End all requests, because the daemon exits.
    Shutdown,
    /// Decide on the deferred parts of a search.
    Deferral(RequestId),
    /// Hedge an attempt, or check or give up its connection.
    Attempt(AttemptId),
    /// Resume the parts of a request in quarantine.
    Quarantine(Fingerprint),
    /// End a back-off, or check for unconfirmed cancellations.
    Fleet,
}

/// Timers in the order in which they are due.
#[derive(Debug, Default)]
pub(super) struct Queue {
    due: BTreeSet<(Time, Timer)>,
    /// The earliest outstanding wake-up that the driver was asked for.
    promised: Option<Time>,
}

impl Queue {
    pub(super) fn set(&mut self, at: Time, timer: Timer) {
        self.due.insert((at, timer));
    }

    pub(super) fn clear(&mut self, at: Time, timer: Timer) {
        self.due.remove(&(at, timer));
    }

    /// Removes and returns the earliest due timer.
    pub(super) fn pop(&mut self, now: Time) -> Option<Timer> {
        let (at, _) = self.due.first()?;
        if *at > now {
            return None;
        }
        self.due.pop_first().map(|(_, timer)| timer)
    }

    /// Returns the wake-up to request from the driver; `None` if an earlier one is outstanding.
    /// `external` is due outside this queue.
    pub(super) fn next_wake(&mut self, external: Option<Time>, now: Time) -> Option<Time> {
        self.promised = self.promised.filter(|at| *at > now);
        let queued = self.due.first().map(|(at, _)| *at);
        let next = [queued, external].into_iter().flatten().min()?;
        if self.promised.is_some_and(|at| at <= next) {
            return None;
        }
        self.promised = Some(next);
        Some(next)
    }
}
