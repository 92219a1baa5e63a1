//! Fake backend server with slots, connections, index versions, key ranges and injectable faults.
//!
//! A server outlives its processes. A crash or kill closes the listener and all connections but
//! keeps the address, so that a restart is a new process on the same address.

mod connections;
mod core;
mod dataset;
mod delay;
mod fault;
mod journal;
mod process;
mod queue;
mod report;
mod request;
mod run;
mod running;
mod settings;

pub use crate::endpoint::ConnectionId;
pub use crate::http::NotRun;
pub use delay::Distribution;
pub use fault::Fault;
pub use journal::{Attempt, ConnectionChange, ConnectionEvent, Counters, Runs, RunsByKey};
pub use report::{Load, Status};
pub use settings::{Cold, Crash, OverLimit, Settings};

use crate::backend_server::core::Core;
use crate::lag::Mode;
use monsoonring_configuration::Range;
use monsoonring_configuration::id::{BackendServerId, Incarnation, IndexVersion};
use process::Process;
use std::io;
use std::sync::Arc;

/// A backend server on a loopback port; it shuts down when dropped.
pub struct Server {
    core: Arc<Core>,
}

impl Server {
    /// Starts a server on a free port.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime or if the loopback interface has no free port.
    pub fn start(settings: Settings) -> Self {
        let core = Core::new(settings).expect("the loopback interface has a free port");
        let core = Arc::new(core);
        core.launch().expect("the reserved port can be listened on");
        Self { core }
    }

    /// Returns the address, which restarts keep.
    pub fn address(&self) -> BackendServerId {
        self.core.address()
    }

    /// Closes the listener and all connections; returns when they are gone.
    pub async fn kill(&self) {
        if let Some(endpoint) = self.core.stop() {
            endpoint.close().await;
        }
    }

    /// Kills the process, if any, and starts a new one on the same address.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the address can't be listened on.
    pub async fn restart(&self) -> io::Result<()> {
        self.kill().await;
        self.core.launch()
    }

    /// Returns whether a process is running.
    pub fn is_running(&self) -> bool {
        self.core.current().is_some()
    }

    /// Returns the incarnation of the newest process.
    pub fn start_number(&self) -> Incarnation {
        self.core.start_number()
    }

    /// Starts or stops draining.
    pub fn set_draining(&self, draining: bool) {
        self.with_process(|process| process.set_draining(draining));
    }

    /// Adds an index version.
    pub fn add_index_version(&self, version: IndexVersion) {
        self.core.change(|dataset| dataset.versions.insert(version));
    }

    /// Removes an index version; running requests finish on it.
    pub fn retire_index_version(&self, version: IndexVersion) {
        self.core
            .change(|dataset| dataset.versions.remove(&version));
    }

    /// Replaces the key ranges; running requests use the old ones.
    pub fn set_ranges(&self, ranges: Vec<Range>) {
        self.core.change(|dataset| dataset.ranges = ranges);
    }

    /// Multiplies later service times by a factor.
    pub fn set_slowdown(&self, factor: f64) {
        self.core.service_time.set_factor(factor);
    }

    /// Replaces the distribution of service times.
    pub fn set_service_time(&self, distribution: Distribution) {
        self.core.service_time.set_distribution(distribution);
    }

    /// Injects a fault into `count` replies, after the faults already planned.
    pub fn plan(&self, fault: Fault, count: u64) {
        self.core.faults.add(fault, count);
    }

    /// Removes all planned faults.
    pub fn clear_faults(&self) {
        self.core.faults.clear();
    }

    /// Silences a connection of the current process permanently, also one not yet opened.
    pub fn silence(&self, connection: ConnectionId) {
        self.with_process(|process| process.connections.silence(connection));
    }

    /// Silences all open connections; new connections work.
    pub fn silence_open(&self) {
        for connection in self.connections() {
            self.silence(connection);
        }
    }

    /// Returns the numbers of the current process's open connections.
    pub fn connections(&self) -> Vec<ConnectionId> {
        let current = self.core.current();
        let process = current.as_ref().map(|current| &current.process);
        process.map_or_else(Vec::new, |process| process.connections.ids())
    }

    /// Sets what the health endpoint reports.
    pub fn set_health_report(&self, mode: Mode<Status>) {
        self.core.health.set_mode(mode);
    }

    /// Sets what the load endpoint reports.
    pub fn set_load_report(&self, mode: Mode<Load>) {
        self.core.load.set_mode(mode);
    }

    /// Overrides the header `monsoonring-load` of replies; `None` reports the actual load.
    pub fn set_reply_load(&self, load: Option<Load>) {
        self.core.set_reply_load(load);
    }

    /// Returns the counters, which survive restarts.
    pub fn counters(&self) -> Counters {
        self.core.journal.lock().counters.clone()
    }

    /// Returns the latest changes of connections, in order.
    pub fn connection_events(&self) -> Vec<ConnectionEvent> {
        self.core.journal.lock().connections.clone()
    }

    /// Returns the attempts in the order received; empty if [`Settings::journal`] is off.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.core.journal.lock().attempts.clone()
    }

    /// Returns the runs of non-idempotent requests by idempotency key; empty if
    /// [`Settings::journal`] is off.
    pub fn runs(&self) -> RunsByKey {
        self.core.journal.lock().runs.clone()
    }

    fn with_process(&self, act: impl FnOnce(&Process)) {
        if let Some(current) = &*self.core.current() {
            act(&current.process);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.core.close();
    }
}
