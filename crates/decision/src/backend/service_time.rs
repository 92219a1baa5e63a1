//! Service time of each kind of work, by which admission judges whether a request can meet its deadline.
//!
//! Admission refuses what takes longer than the caller waits, and what is refused is not measured. So the estimate is the
//! shortest time that is plausible: kinds are estimated apart, a short sample replaces a longer estimate, and a kind
//! that was never measured counts as instantaneous.

use super::fleet::MAX_WORK_KINDS;
use crate::WorkKind;
use rustc_hash::FxHashMap;
use std::time::Duration;

/// Weight of a sample that is longer than the estimate.
const GAIN: f64 = 0.05;

/// What is known about the service time of a kind of work.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Estimate {
    /// From attempts that were answered.
    Measured(Duration),
    /// The longest attempt that was cancelled; none was answered.
    AtLeast(Duration),
}

/// Service times by kind of work, over all servers of a route.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimes(FxHashMap<WorkKind, Estimate>);

impl ServiceTimes {
    /// Records that an attempt was answered after `time`.
    pub(super) fn record_answer(&mut self, work: WorkKind, time: Duration) {
        let measured = match self.0.get(&work) {
            Some(Estimate::Measured(mean)) => toward(*mean, time),
            _ => time,
        };
        self.set(work, Estimate::Measured(measured));
    }

    /// Records that an attempt was cancelled after `time`. It would have taken at least as long.
    pub(super) fn record_cancellation(&mut self, work: WorkKind, time: Duration) {
        let estimate = match self.0.get(&work) {
            Some(Estimate::Measured(mean)) => Estimate::Measured(toward(*mean, time.max(*mean))),
            Some(Estimate::AtLeast(longest)) => Estimate::AtLeast(time.max(*longest)),
            None => Estimate::AtLeast(time),
        };
        self.set(work, estimate);
    }

    /// Returns the service time of a kind of work, zero if nothing is known about it.
    pub(super) fn get(&self, work: WorkKind) -> Duration {
        match self.0.get(&work) {
            Some(Estimate::Measured(time) | Estimate::AtLeast(time)) => *time,
            None => Duration::ZERO,
        }
    }

    fn set(&mut self, work: WorkKind, estimate: Estimate) {
        if self.0.len() < MAX_WORK_KINDS || self.0.contains_key(&work) {
            self.0.insert(work, estimate);
        }
    }
}

/// Moves an estimate to a sample: at once to a shorter one, slowly to a longer one.
fn toward(mean: Duration, sample: Duration) -> Duration {
    sample.min(mean + sample.saturating_sub(mean).mul_f64(GAIN))
}
