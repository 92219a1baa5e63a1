//! Periods in which requests are refused for overload, for the log: one line at the start of a period, one at its end.

use crate::Time;
use derive_more::Display;
use std::time::Duration;

/// Time without a refusal that ends a period. In an overload refusals and admissions alternate many times a second.
const OVER_AFTER: Duration = Duration::from_secs(1);

/// What changed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Change {
    /// The first refusal.
    #[display("overload began")]
    Began,
    /// No refusal for [`OVER_AFTER`].
    #[display("overload over, {refused} refused in {lasted:.1?}")]
    Ended {
        /// Requests that were refused meanwhile.
        refused: u64,
        /// From the first refusal to the last one.
        lasted: Duration,
    },
}

/// Tracks whether requests are being refused for overload.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overload {
    began: Option<Time>,
    last: Time,
    refused: u64,
}

impl Overload {
    /// Records that a request was refused for overload.
    pub fn refused(&mut self, now: Time) -> Option<Change> {
        self.last = now;
        self.refused += 1;
        let is_new = self.began.is_none();
        self.began.get_or_insert(now);
        is_new.then_some(Change::Began)
    }

    /// Records that a request was admitted.
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
