//! What is usual in a group of replicas, which one of them is compared with.

use std::time::Duration;

/// What is known of the group when its servers are compared.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usual {
    /// Mean service_time time of an attempt.
    pub(crate) service_time: Duration,
    /// Median latency.
    pub(crate) median: Duration,
    /// Work slots of one server.
    pub(crate) slots: f64,
    /// Time between two attempts of this home at the group.
    pub(crate) interval: Duration,
}

impl Usual {
    /// Returns how long a new attempt waits at a server with so many attempts: it starts when all but `slots - 1` of them have ended.
    pub(crate) fn wait(&self, load: f64) -> Duration {
        let ahead = (load + 1.0 - self.slots).max(0.0);
        self.service_time.mul_f64(ahead / self.slots)
    }
}
