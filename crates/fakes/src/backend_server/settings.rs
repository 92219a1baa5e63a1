//! Settings of a fake backend server.

use crate::backend_server::delay::Distribution;
use monsoonring_configuration::Range;
use monsoonring_configuration::id::{Incarnation, IndexVersion};
use std::time::Duration;

/// Settings of a backend server; those that can change at run time also have a method on the
/// server.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum number of requests executed concurrently.
    pub slots: usize,
    /// Maximum number of open connections over all clients.
    pub connections: usize,
    /// How connections beyond the limit are refused.
    pub over_limit: OverLimit,
    /// Delay before the first request of a new connection is read.
    pub connect_cost: Duration,
    /// Whether a new connection occupies a slot for `connect_cost`.
    pub connect_takes_slot: bool,
    /// Maximum queue length; further requests are shed. `None` disables shedding.
    pub shed_at: Option<usize>,
    /// Retry delay sent with shed requests.
    pub retry_after: Duration,
    /// Initial index versions.
    pub index_versions: Vec<IndexVersion>,
    /// Initial key ranges.
    pub ranges: Vec<Range>,
    /// Distance between items: one item exists at each multiple of this key.
    pub item_every: u64,
    /// Distribution of execution times.
    pub service_time: Distribution,
    /// Seed of the service times.
    pub seed: u64,
    /// Behaviour of a new process; `None` starts it warm.
    pub cold: Option<Cold>,
    /// Requests that crash the process.
    pub crash: Option<Crash>,
    /// Incarnation of the first process.
    pub start: Incarnation,
    /// Whether to record each attempt and run. Long benchmarks turn this off to bound memory.
    pub journal: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 3,
            connections: 30,
            over_limit: OverLimit::Answer,
            connect_cost: Duration::ZERO,
            connect_takes_slot: false,
            shed_at: None,
            retry_after: Duration::from_millis(100),
            index_versions: vec![1],
            ranges: vec![Range::new(0, 100)],
            item_every: 10,
            service_time: Distribution::Constant(Duration::from_millis(1)),
            seed: 0,
            cold: None,
            crash: None,
            start: 1,
            journal: true,
        }
    }
}

/// How a connection beyond the limit is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverLimit {
    /// Answer its first request with `503`, then close it.
    Answer,
    /// Close it without a reply.
    Close,
}

/// Start-up and warm-up of a new process.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// Time during which all requests are refused with `starting`.
    pub refuse_for: Duration,
    /// Service time factor of the first request.
    pub slowdown: f64,
    /// Number of completed requests after which the factor reaches 1.
    pub warm_after: u64,
}

/// Requests that crash the process when they start to execute.
#[derive(Clone, Debug)]
pub struct Crash {
    /// Text that marks the body of such a request.
    pub marker: String,
    /// Delay before an automatic restart on the same address; `None` disables it.
    pub restart_after: Option<Duration>,
}
