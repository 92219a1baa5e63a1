//! What is due, and when.

use crate::attempt::AttemptId;
use crate::{RequestId, Time};
use std::collections::BTreeSet;

/// Something that comes due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A request has to end.
    Deadline(RequestId),
    /// A partial answer to a search has become better than a later one.
    Soft(RequestId),
    /// Failed parts of a search have waited long enough for the others.
    Rescue(RequestId),
    /// An attempt is slow, or its connection is to be looked at, or is given up.
    Attempt(AttemptId),
    /// A back-off ends, or a cancellation was never confirmed.
    Fleet,
}

/// Timers in the order in which they come due.
#[derive(Debug, Default)]
pub(super) struct Queue {
    due: BTreeSet<(Time, Timer)>,
    /// The earliest wake-up that the driver was asked for and that has not come.
    promised: Option<Time>,
}

impl Queue {
    pub(super) fn set(&mut self, at: Time, timer: Timer) {
        self.due.insert((at, timer));
    }

    pub(super) fn clear(&mut self, at: Time, timer: Timer) {
        self.due.remove(&(at, timer));
    }

    /// Takes the earliest timer that is due.
    pub(super) fn pop(&mut self, now: Time) -> Option<Timer> {
        let (at, _) = self.due.first()?;
        if *at > now {
            return None;
        }
        self.due.pop_first().map(|(_, timer)| timer)
    }

    /// Returns the wake-up to ask the driver for, if it is earlier than what was asked for before.
    /// `other` is what else is due outside this queue.
    pub(super) fn wake(&mut self, other: Option<Time>, now: Time) -> Option<Time> {
        self.promised = self.promised.filter(|at| *at > now);
        let own = self.due.first().map(|(at, _)| *at);
        let next = [own, other].into_iter().flatten().min()?;
        if self.promised.is_some_and(|at| at <= next) {
            return None;
        }
        self.promised = Some(next);
        Some(next)
    }
}
