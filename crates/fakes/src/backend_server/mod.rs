//! A backend server: slots, connections, index versions and keys, and the faults of all of these.
//!
//! The server is a handle that outlives its processes. A crash or kill drops the listener and every
//! connection at once and keeps the address, so that a restart is a later process at the same place.

mod connections;
mod delay;
mod fault;
mod holding;
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

use crate::endpoint::{Endpoint, Reservation};
use crate::lag::{Mode, View};
use delay::Source;
use holding::Holding;
use journal::Journal;
use monsoonring_configuration::Range;
use monsoonring_configuration::id::{BackendServerId, Incarnation, IndexVersion};
use process::Process;
use request::Request;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time;
use tokio_util::sync::CancellationToken;

/// A backend server on a port of the loopback interface; gone when dropped.
pub struct Server {
    core: Arc<Core>,
}

/// What outlives a process.
pub(crate) struct Core {
    pub(crate) settings: Settings,
    pub(crate) journal: Journal,
    pub(crate) faults: fault::Plan,
    pub(crate) service_time: Source,
    pub(crate) load: View<Load>,
    pub(crate) health: View<Status>,
    reply_load: Mutex<Option<Load>>,
    last_attempt: Mutex<String>,
    reservation: Reservation,
    holding: Mutex<Holding>,
    starts: AtomicU64,
    current: Mutex<Option<Current>>,
    closing: CancellationToken,
}

/// The process that is there now.
struct Current {
    process: Arc<Process>,
    endpoint: Arc<Endpoint>,
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
        self.core.reservation.address()
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
        let later = self.core.starts.load(Ordering::SeqCst).saturating_sub(1);
        self.core.settings.start + later
    }

    /// Begins or ends draining.
    pub fn set_draining(&self, draining: bool) {
        self.with_process(|process| process.set_draining(draining));
    }

    /// Serves a further index version.
    pub fn add_index_version(&self, version: IndexVersion) {
        self.core
            .holding
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .versions
            .insert(version);
    }

    /// Stops to serve an index version; what runs already ends on it.
    pub fn retire_index_version(&self, version: IndexVersion) {
        self.core
            .holding
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .versions
            .remove(&version);
    }

    /// Replaces the keys that are held; what runs already keeps to the old ones.
    pub fn set_ranges(&self, ranges: Vec<Range>) {
        self.core
            .holding
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .ranges = ranges;
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
        *self
            .core
            .reply_load
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = load;
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
        self.core.closing.cancel();
        self.core.stop();
    }
}

impl Core {
    fn new(settings: Settings) -> io::Result<Self> {
        let load = Load {
            busy: 0,
            slots: settings.slots,
            queued: 0,
            index_versions: settings.index_versions.clone(),
            start: settings.start,
        };
        let holding = Holding {
            versions: settings.index_versions.iter().copied().collect(),
            ranges: settings.ranges.clone(),
        };
        Ok(Self {
            journal: Journal::default(),
            faults: fault::Plan::default(),
            service_time: Source::new(settings.service_time, settings.seed),
            load: View::new(Mode::True, load),
            health: View::new(Mode::True, Status::Starting),
            reply_load: Mutex::default(),
            last_attempt: Mutex::default(),
            reservation: Reservation::new()?,
            holding: Mutex::new(holding),
            starts: AtomicU64::new(0),
            current: Mutex::default(),
            closing: CancellationToken::new(),
            settings,
        })
    }

    /// Starts the next process.
    fn launch(self: &Arc<Self>) -> io::Result<()> {
        let earlier = self.starts.fetch_add(1, Ordering::SeqCst);
        let process = Process::new(self.clone(), self.settings.start + earlier);
        let process = Arc::new(process);
        let endpoint = Endpoint::open(&self.reservation, &process, process.life.clone())?;
        process.report();
        *self.current() = Some(Current {
            process,
            endpoint: Arc::new(endpoint),
        });
        Ok(())
    }

    /// Ends the present process; what it had open goes as soon as its tasks run.
    fn stop(&self) -> Option<Arc<Endpoint>> {
        let current = self.current().take()?;
        current.process.life.cancel();
        Some(current.endpoint)
    }

    pub(crate) fn crashes(&self, request: &Request) -> bool {
        let crash = self.settings.crash.as_ref();
        crash.is_some_and(|crash| request.contains(&crash.marker))
    }

    /// Ends a process as a crash does, and starts the next one if so set.
    pub(crate) fn crash(self: &Arc<Self>, process: &Process) {
        self.journal.lock().counters.crashes += 1;
        process.life.cancel();
        let restart_after = self
            .settings
            .crash
            .as_ref()
            .and_then(|crash| crash.restart_after);
        tokio::spawn(self.clone().recover(process.start, restart_after));
    }

    async fn recover(self: Arc<Self>, start: Incarnation, restart_after: Option<Duration>) {
        let is_crashed = |current: &mut Current| current.process.start == start;
        let Some(crashed) = self.current().take_if(is_crashed) else {
            return;
        };
        crashed.endpoint.close().await;
        let Some(delay) = restart_after else { return };
        let waiting = self.closing.run_until_cancelled(time::sleep(delay));
        if waiting.await.is_some() && self.current().is_none() {
            // A failure leaves the server dead, which the test notices.
            let _ = self.launch();
        }
    }

    pub(crate) fn holding(&self) -> Holding {
        let holding = self.holding.lock();
        holding.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The value of the header `monsoonring-load` where the truth is `load`.
    pub(crate) fn reply_load(&self, load: &Load) -> String {
        let shown = self.reply_load.lock();
        let shown = shown.unwrap_or_else(PoisonError::into_inner);
        shown.as_ref().unwrap_or(load).header()
    }

    /// Keeps the id of the attempt that is replied to and returns the one before it.
    pub(crate) fn last_attempt(&self, attempt: &str) -> String {
        let last = self.last_attempt.lock();
        let mut last = last.unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *last, attempt.to_owned())
    }

    fn current(&self) -> MutexGuard<'_, Option<Current>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
