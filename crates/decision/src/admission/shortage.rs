//! Times in which requests are refused for want of room, for the log: one line when such a time begins, one when it is over.

use crate::Time;
use derive_more::Display;
use std::time::Duration;

/// Time without a refusal after which there is room again. A surge refuses some and lets others in many times a second.
const OVER_AFTER: Duration = Duration::from_secs(1);

/// What changed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Change {
    /// Requests are refused from now on.
    #[display("requests are refused for want of room")]
    Began,
    /// None has been for a while.
    #[display("room again after {refused} refusals in {lasted:.1?}")]
    Ended {
        /// Requests that were refused meanwhile.
        refused: u64,
        /// From the first refusal to the last one.
        lasted: Duration,
    },
}

/// Whether requests are being refused for want of room.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    began: Option<Time>,
    last: Time,
    refused: u64,
}

impl Shortage {
    /// Takes in that a request was refused for want of room.
    pub fn refused(&mut self, now: Time) -> Option<Change> {
        self.last = now;
        self.refused += 1;
        let is_new = self.began.is_none();
        self.began.get_or_insert(now);
        is_new.then_some(Change::Began)
    }

    /// Takes in that a request was let in.
    pub fn admitted(&mut self, now: Time) -> Option<Change> {
        let began = self.began?;
        if now < self.last + OVER_AFTER {
            return None;
        }
        let ended = Change::Ended {
            refused: self.refused,
            lasted: self.last.saturating_sub(began),
        };
        *self = Self::default();
        Some(ended)
    }
}
