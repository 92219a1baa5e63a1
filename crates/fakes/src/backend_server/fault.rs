//! Faults injected into a number of replies.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A fault in the reply to a request that ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The reply is delayed by this time, regardless of the deadline.
    Late(Duration),
    /// Half of the body arrives, then the connection closes.
    Truncated,
    /// The reply has an attempt id that no client sent.
    ForeignAttempt,
    /// The reply has the attempt id of the previous reply.
    DuplicateAttempt,
    /// The reply is read from, and labelled with, a different index version than the pinned one.
    WrongIndexVersion,
    /// The reply is `500` without `monsoonring-not-run`: the request ran and failed.
    Failed,
    /// The connection closes without a reply although the request ran.
    Lost,
}

/// Pending faults, in the order in which they were added.
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

    /// Takes the fault of the next reply.
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
