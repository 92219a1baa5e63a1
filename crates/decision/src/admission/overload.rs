//! Detects the start and end of overload periods, so that each is logged once rather than with every
//! refusal.

use crate::Time;
use derive_more::Display;
use std::time::Duration;

/// Time without a refusal that ends an overload period. During an overload, refusals and admissions
/// alternate many times per second.
const QUIET_PERIOD: Duration = Duration::from_secs(1);

/// Start or end of an overload period.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Change {
    /// A request was refused for the first time in the period.
    #[display("overload began")]
    Began,
    /// No request was refused for [`QUIET_PERIOD`].
    #[display("overload over, {refused} refused in {lasted:.1?}")]
    Ended {
        /// Number of requests refused.
        refused: u64,
        /// Time from the first refusal to the last.
        lasted: Duration,
    },
}

/// Tracks the current overload period.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overload {
    began: Option<Time>,
    last_refusal: Time,
    refused: u64,
}

impl Overload {
    /// Records that a request was refused for overload. Returns the change if a period begins.
    pub fn refused(&mut self, now: Time) -> Option<Change> {
        self.last_refusal = now;
        self.refused += 1;
        let is_new = self.began.is_none();
        self.began.get_or_insert(now);
        is_new.then_some(Change::Began)
    }

    /// Records that a request was admitted. Returns the change if a period ends.
    pub fn admitted(&mut self, now: Time) -> Option<Change> {
        let began = self.began?;
        if now < self.last_refusal + QUIET_PERIOD {
            return None;
        }
        let ended = Change::Ended {
            refused: self.refused,
            lasted: self.last_refusal.saturating_sub(began),
        };
        *self = Self::default();
        Some(ended)
    }
}
