//! A backend server: slots, connections, index versions and keys, and the faults of all of these.
//!
//! The server is a handle that outlives its processes. A crash or kill drops the listener and every
//! connection at once and keeps the address, so that a restart is a later process at the same place.

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
pub use journal::{Attempt, Counters, Runs, RunsByKey};
pub use report::{Load, Status};
pub use settings::{Cold, Crash, OverLimit, Settings};

use crate::backend_server::core::Core;
use crate::lag::Mode;
use monsoonring_configuration::Range;
use monsoonring_configuration::id::{BackendServerId, Incarnation, IndexVersion};
use process::Process;
use std::io;
use std::sync::Arc;

/// A backend server on a port of the loopback interface; gone when dropped.
pub struct Server {
    core: Arc<Core>,
}

impl Server {
    /// Starts a server on a free port.
    ///
    /// # Panics
    ///
    /// Panics outside of a tokio runtime and where the loopback interface has no free port.
    pub fn start(settings: Settings) -> Self {
        let core = Core::new(settings).expect("the loopback interface has a free port");
        let core = Arc::new(core);
        core.launch().expect("the reserved port can be listened on");
        Self { core }
    }

    /// Returns the address, the same one for all processes.
    pub fn address(&self) -> BackendServerId {
        self.core.address()
    }

    /// Drops the listener and all connections at once; returns when they are gone.
    pub async fn kill(&self) {
        if let Some(endpoint) = self.core.stop() {
            endpoint.close().await;
        }
    }

    /// Kills the process if there is one, and starts the next one on the same address.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error where the address can't be listened on.
    pub async fn restart(&self) -> io::Result<()> {
        self.kill().await;
        self.core.launch()
    }

    /// Tells whether there is a process.
    pub fn is_running(&self) -> bool {
        self.core.current().is_some()
    }

    /// Returns the start number of the newest process.
    pub fn start_number(&self) -> Incarnation {
        self.core.start_number()
    }

    /// Begins or ends draining.
    pub fn set_draining(&self, draining: bool) {
        self.with_process(|process| process.set_draining(draining));
    }

    /// Serves a further index version.
    pub fn add_index_version(&self, version: IndexVersion) {
        self.core.change(|dataset| dataset.versions.insert(version));
    }

    /// Stops to serve an index version; what runs already ends on it.
    pub fn retire_index_version(&self, version: IndexVersion) {
        self.core
            .change(|dataset| dataset.versions.remove(&version));
    }

    /// Replaces the keys that are held; what runs already keeps to the old ones.
    pub fn set_ranges(&self, ranges: Vec<Range>) {
        self.core.change(|dataset| dataset.ranges = ranges);
    }

    /// Multiplies service times from now on.
    pub fn set_slowdown(&self, factor: f64) {
        self.core.service_time.set_factor(factor);
    }

    /// Replaces the distribution of service times.
    pub fn set_service_time(&self, distribution: Distribution) {
        self.core.service_time.set_distribution(distribution);
    }

    /// Adds a fault to the next `count` replies, after those already planned.
    pub fn plan(&self, fault: Fault, count: u64) {
        self.core.faults.add(fault, count);
    }

    /// Forgets the faults that are still to come.
    pub fn clear_faults(&self) {
        self.core.faults.clear();
    }

    /// Silences a connection of the present process for good, also one that is still to be opened.
    pub fn silence(&self, connection: ConnectionId) {
        self.with_process(|process| process.connections.silence(connection));
    }

    /// Silences all connections that are open now; new ones work.
    pub fn silence_open(&self) {
        for connection in self.connections() {
            self.silence(connection);
        }
    }

    /// Returns the numbers of the open connections of the present process.
    pub fn connections(&self) -> Vec<ConnectionId> {
        let current = self.core.current();
        let process = current.as_ref().map(|current| &current.process);
        process.map_or_else(Vec::new, |process| process.connections.ids())
    }

    /// Sets how the health endpoint relates to the truth.
    pub fn set_health_report(&self, mode: Mode<Status>) {
        self.core.health.set_mode(mode);
    }

    /// Sets how the load endpoint relates to the truth.
    pub fn set_load_report(&self, mode: Mode<Load>) {
        self.core.load.set_mode(mode);
    }

    /// Makes the header `monsoonring-load` of each reply show this value; `None` shows the truth.
    pub fn set_reply_load(&self, load: Option<Load>) {
        self.core.set_reply_load(load);
    }

    /// Returns the numbers so far.
    pub fn counters(&self) -> Counters {
        self.core.journal.lock().counters.clone()
    }

    /// Returns the attempts received, in order.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.core.journal.lock().attempts.clone()
    }

    /// Returns the runs of non-idempotent requests by idempotency key.
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
