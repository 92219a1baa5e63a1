//! Baseline of a group, against which its replicas are compared.

use std::time::Duration;

/// Typical values of a group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Baseline {
    /// Mean service time of an attempt.
    pub(crate) service_time: Duration,
    /// Median latency.
    pub(crate) median: Duration,
    /// Slots of one server: attempts that it runs concurrently.
    pub(crate) slots: f64,
    /// Mean time between two attempts of this home at the group.
    pub(crate) interval: Duration,
}

impl Baseline {
    /// Returns the service time of an attempt with this latency that was sent when the server had `load` others: each
    /// slot completes `load / slots` of them before it ends.
    pub(crate) fn service_time_of(&self, latency: Duration, load: f64) -> Duration {
        latency.div_f64(((load + 1.0) / self.slots).max(1.0))
    }

    /// Returns the queueing delay at a server with `load` attempts: a new one starts when all but
    /// `slots - 1` of them have ended.
    pub(crate) fn wait(&self, load: f64) -> Duration {
        let ahead = (load + 1.0 - self.slots).max(0.0);
        self.service_time.mul_f64(ahead / self.slots)
    }
}
