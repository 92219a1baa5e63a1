//! Budgets for extra attempts, in per cent of the first ones.

use crate::Time;

/// Token bucket that first attempts fill and extra attempts empty.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: f64,
}

impl Budget {
    /// Makes a budget of `percent` extra attempts per hundred first ones.
    pub fn new(percent: f64) -> Self {
        Self { percent }
    }

    /// Takes over a new percentage.
    pub fn set_percent(&mut self, percent: f64) {
        self.percent = percent;
    }

    /// Records a first attempt.
    pub fn deposit(&mut self, _now: Time) {}

    /// Takes one extra attempt out of the budget. Returns whether there was one.
    pub fn take(&mut self, _now: Time) -> bool {
        false
    }

    /// Gives back an extra attempt that was taken and not sent.
    pub fn give_back(&mut self) {}

    /// Records that an attempt succeeded, which lets a shrunken budget grow.
    pub fn succeeded(&mut self, _now: Time) {}

    /// Records that an attempt failed, which shrinks the budget.
    pub fn failed(&mut self, _now: Time) {}

    /// Returns the extra attempts that could be taken now.
    pub fn available(&self) -> f64 {
        0.0
    }
}
