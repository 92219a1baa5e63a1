//! What one backend server is like from its start on.

use crate::backend_server::delay::Distribution;
use monsoonring_configuration::Range;
use monsoonring_configuration::id::{Incarnation, IndexVersion};
use std::time::Duration;

/// Settings of a backend server; what can change at run time has a method on the server as well.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Requests worked on at the same time.
    pub slots: usize,
    /// Open connections, over all clients.
    pub connections: usize,
    /// What becomes of connections beyond the limit.
    pub over_limit: OverLimit,
    /// Time that passes before the first request of a new connection is read.
    pub connect_cost: Duration,
    /// Whether a new connection takes a slot for that time.
    pub connect_takes_slot: bool,
    /// Requests that may wait for a slot; the next one is shed. `None` sheds nothing.
    pub shed_at: Option<usize>,
    /// When a shed or refused request should come back.
    pub retry_after: Duration,
    /// Index versions served at first.
    pub index_versions: Vec<IndexVersion>,
    /// Keys held at first.
    pub ranges: Vec<Range>,
    /// There is one item at each multiple of this number.
    pub item_every: u64,
    /// Time that the work of a request takes.
    pub service_time: Distribution,
    /// Seed of the service times.
    pub seed: u64,
    /// How a process behaves at first; `None` is warm at once.
    pub cold: Option<Cold>,
    /// Which requests crash the process.
    pub crash: Option<Crash>,
    /// Start number of the first process.
    pub start: Incarnation,
    /// Whether each attempt and run is kept; off for long benchmarks.
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

/// What becomes of a connection beyond the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverLimit {
    /// Its first request is answered `503` and the connection closed.
    Answer,
    /// It is closed at once, without a reply.
    Close,
}

/// A process that has just started.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// Time during which each request is refused with `starting`.
    pub refuse_for: Duration,
    /// Factor on the service time of the first request.
    pub slowdown: f64,
    /// Completed requests after which the factor has fallen to 1.
    pub warm_after: u64,
}

/// Requests that crash the process that starts to run them.
#[derive(Clone, Debug)]
pub struct Crash {
    /// Text in the body of such a request.
    pub marker: String,
    /// Time until the process is started again on the same address; `None` leaves it dead.
    pub restart_after: Option<Duration>,
}
