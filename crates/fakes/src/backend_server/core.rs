//! Server state that survives restarts, and the start, crash and stop of processes.

use crate::backend_server::dataset::Dataset;
use crate::backend_server::delay::Sampler;
use crate::backend_server::fault;
use crate::backend_server::journal::Journal;
use crate::backend_server::process::Process;
use crate::backend_server::report::{Load, Status};
use crate::backend_server::request::Request;
use crate::backend_server::settings::Settings;
use crate::endpoint::{Endpoint, Reservation};
use crate::lag::{Mode, View};
use monsoonring_configuration::id::{BackendServerId, Incarnation};
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time;
use tokio_util::sync::CancellationToken;

/// Server state that survives restarts.
pub(crate) struct Core {
    pub(crate) settings: Settings,
    pub(crate) journal: Journal,
    pub(crate) faults: fault::Plan,
    pub(crate) service_time: Sampler,
    pub(crate) load: View<Load>,
    pub(crate) health: View<Status>,
    reply_load: Mutex<Option<Load>>,
    last_attempt: Mutex<String>,
    reservation: Reservation,
    dataset: Mutex<Dataset>,
    starts: AtomicU64,
    current: Mutex<Option<Current>>,
    closing: CancellationToken,
}

/// The running process.
pub(crate) struct Current {
    pub(crate) process: Arc<Process>,
    endpoint: Arc<Endpoint>,
}

impl Core {
    pub(crate) fn new(settings: Settings) -> io::Result<Self> {
        let load = Load {
            busy: 0,
            slots: settings.slots,
            queued: 0,
            index_versions: settings.index_versions.clone(),
            start: settings.start,
        };
        let dataset = Dataset {
            versions: settings.index_versions.iter().copied().collect(),
            ranges: settings.ranges.clone(),
        };
        Ok(Self {
            journal: Journal::default(),
            faults: fault::Plan::default(),
            service_time: Sampler::new(settings.service_time, settings.seed),
            load: View::new(Mode::True, load),
            health: View::new(Mode::True, Status::Starting),
            reply_load: Mutex::default(),
            last_attempt: Mutex::default(),
            reservation: Reservation::new()?,
            dataset: Mutex::new(dataset),
            starts: AtomicU64::new(0),
            current: Mutex::default(),
            closing: CancellationToken::new(),
            settings,
        })
    }

    pub(crate) fn address(&self) -> BackendServerId {
        self.reservation.address()
    }

    /// Returns the incarnation of the newest process.
    pub(crate) fn start_number(&self) -> Incarnation {
        let later = self.starts.load(Ordering::SeqCst).saturating_sub(1);
        self.settings.start + later
    }

    /// Stops the current process and prevents automatic restarts.
    pub(crate) fn close(&self) {
        self.closing.cancel();
        self.stop();
    }

    /// Starts the next process.
    pub(crate) fn launch(self: &Arc<Self>) -> io::Result<()> {
        let earlier = self.starts.fetch_add(1, Ordering::SeqCst);
        let process = Process::new(self.clone(), self.settings.start + earlier);
        let process = Arc::new(process);
        let endpoint = Endpoint::open(&self.reservation, &process, process.shutdown.clone())?;
        process.report();
        *self.current() = Some(Current {
            process,
            endpoint: Arc::new(endpoint),
        });
        Ok(())
    }

    /// Stops the current process; its connections close once its tasks have run.
    pub(crate) fn stop(&self) -> Option<Arc<Endpoint>> {
        let current = self.current().take()?;
        current.process.shutdown.cancel();
        Some(current.endpoint)
    }

    pub(crate) fn is_crash_request(&self, request: &Request) -> bool {
        let crash = self.settings.crash.as_ref();
        crash.is_some_and(|crash| request.contains(&crash.marker))
    }

    /// Crashes a process, and restarts it if the settings say so.
    pub(crate) fn crash(self: &Arc<Self>, process: &Process) {
        self.journal.lock().counters.crashes += 1;
        process.shutdown.cancel();
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
            // On failure the server stays down, which the test notices.
            let _ = self.launch();
        }
    }

    pub(crate) fn dataset(&self) -> Dataset {
        let dataset = self.dataset.lock();
        dataset.unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn change<T>(&self, act: impl FnOnce(&mut Dataset) -> T) {
        let dataset = self.dataset.lock();
        act(&mut dataset.unwrap_or_else(PoisonError::into_inner));
    }

    pub(crate) fn set_reply_load(&self, load: Option<Load>) {
        let override_load = self.reply_load.lock();
        *override_load.unwrap_or_else(PoisonError::into_inner) = load;
    }

    /// Returns the value of the header `monsoonring-load` for the actual `load`.
    pub(crate) fn reply_load(&self, load: &Load) -> String {
        let override_load = self.reply_load.lock();
        let override_load = override_load.unwrap_or_else(PoisonError::into_inner);
        override_load.as_ref().unwrap_or(load).header()
    }

    /// Stores the id of the attempt being answered and returns the previous one.
    pub(crate) fn swap_last_attempt(&self, attempt: &str) -> String {
        let last = self.last_attempt.lock();
        let mut last = last.unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *last, attempt.to_owned())
    }

    pub(crate) fn current(&self) -> MutexGuard<'_, Option<Current>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
