//! What tests and benchmarks look at afterwards. It outlives crashes and restarts of the process.

use crate::endpoint::ConnectionId;
use crate::http::NotRun;
use monsoonring_configuration::id::{Incarnation, IndexVersion};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Numbers since the start of the stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests received, whatever became of them.
    pub received: u64,
    /// Requests whose work began.
    pub started: u64,
    /// Requests whose work came to its end.
    pub completed: u64,
    /// Attempts cancelled by `DELETE`, queued or running.
    pub cancelled: u64,
    /// Attempts given up because their connection went away, queued or running.
    pub abandoned: u64,
    /// Requests whose deadline passed while they were running.
    pub overran: u64,
    /// Requests refused unrun, by reason.
    pub refused: BTreeMap<NotRun, u64>,
    /// Requests that crashed the process.
    pub crashes: u64,
    /// Connections accepted, refused ones included.
    pub connections_opened: u64,
    /// Connections refused because of the limit.
    pub connections_refused: u64,
    /// Connections open now, refused ones left out.
    pub connections_open: u64,
    /// Most connections that were open at a time, refused ones left out.
    pub connections_peak: u64,
    /// Most requests that were worked on at a time.
    pub busy_peak: u64,
}

impl Counters {
    /// Requests refused for one reason.
    pub fn refused_for(&self, reason: NotRun) -> u64 {
        self.refused.get(&reason).copied().unwrap_or(0)
    }
}

/// One attempt as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Attempt id, as sent.
    pub attempt: String,
    /// Id of the request, as sent.
    pub request: Option<String>,
    /// Whether it came to `/execute`.
    pub executes: bool,
    /// Idempotency key, as sent.
    pub key: Option<String>,
    /// Pinned index version, as sent.
    pub index_version: Option<IndexVersion>,
    /// Remaining time in milliseconds, as sent.
    pub deadline_ms: Option<u64>,
    /// Connection that it came on, counted within the process.
    pub connection: ConnectionId,
    /// Start number of the process that received it.
    pub start: Incarnation,
}

/// How often the work under one idempotency key began and ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Runs {
    /// Times that the work began; more than one is a doubled request.
    pub begun: u64,
    /// Times that the work came to its end.
    pub completed: u64,
}

/// Runs by idempotency key.
pub type RunsByKey = BTreeMap<String, Runs>;

#[derive(Default)]
pub(crate) struct Journal {
    state: Mutex<State>,
}

#[derive(Default)]
pub(crate) struct State {
    pub(crate) counters: Counters,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) runs: RunsByKey,
}

impl Journal {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn record_refusal(&self, reason: NotRun) {
        *self.lock().counters.refused.entry(reason).or_default() += 1;
    }
}

impl State {
    pub(crate) fn record_connection(&mut self) {
        let counters = &mut self.counters;
        counters.connections_open += 1;
        counters.connections_peak = counters.connections_peak.max(counters.connections_open);
    }

    pub(crate) fn record_start(&mut self, key: Option<&str>, busy: u64) {
        self.counters.started += 1;
        self.counters.busy_peak = self.counters.busy_peak.max(busy);
        if let Some(key) = key {
            self.runs.entry(key.to_owned()).or_default().begun += 1;
        }
    }

    pub(crate) fn record_completion(&mut self, key: Option<&str>) {
        self.counters.completed += 1;
        if let Some(key) = key {
            self.runs.entry(key.to_owned()).or_default().completed += 1;
        }
    }
}
