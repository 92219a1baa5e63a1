//! Faults that are switched on for a number of replies.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What is wrong with the reply to a request that ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It comes this much later, whatever the deadline says.
    Late(Duration),
    /// Half of the body arrives, then the connection ends.
    Truncated,
    /// It carries an attempt id that was never sent.
    ForeignAttempt,
    /// It carries the attempt id of the reply before it.
    DuplicateAttempt,
    /// It is taken from, and says that it is taken from, another index version than the pinned one.
    WrongIndexVersion,
    /// `500` without `monsoonring-not-run`: the request ran and failed.
    Failed,
    /// The connection ends without a reply, although the request ran.
    Lost,
}

/// Faults that are still to come, in the order in which they were switched on.
#[derive(Default)]
pub(crate) struct Plan {
    pending: Mutex<VecDeque<(Fault, u64)>>,
}

impl Plan {
    pub(crate) fn add(&self, fault: Fault, count: u64) {
        if count > 0 {
            self.lock().push_back((fault, count));
        }
    }

    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    /// The fault of the next reply.
    pub(crate) fn next(&self) -> Option<Fault> {
        let mut pending = self.lock();
        let (fault, count) = pending.front_mut()?;
        let fault = *fault;
        *count -= 1;
        if *count == 0 {
            pending.pop_front();
        }
        Some(fault)
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<(Fault, u64)>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
