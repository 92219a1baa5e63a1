//! Execution of one request: admission, queueing, work and reply.
//!
//! A search stops when its connection closes. A non-idempotent request runs in a separate task,
//! which only cancellation, its deadline or the end of the process stops.

use crate::backend_server::dataset::{self, Item};
use crate::backend_server::fault::Fault;
use crate::backend_server::journal::Attempt;
use crate::backend_server::process::Process;
use crate::backend_server::queue::{Admission, Slot};
use crate::backend_server::report::Status;
use crate::backend_server::request::{Request, Work};
use crate::backend_server::running::Entry;
use crate::header;
use crate::http::{self, NotRun, Reply};
use hyper::StatusCode;
use monsoonring_configuration::Range;
use monsoonring_configuration::id::IndexVersion;
use serde::Serialize;
use std::future;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::{self, Instant};

const FOREIGN_ATTEMPT: &str = "feedfacefeedface";
const CANCELLED: u16 = 499;

#[derive(Serialize)]
struct SearchReply {
    ranges: Vec<Range>,
    items: Vec<Item>,
}

#[derive(Serialize)]
struct ExecuteReply<'a> {
    value: Value<'a>,
}

#[derive(Serialize)]
struct Value<'a> {
    key: Option<&'a str>,
}

/// Index version and key ranges that a request reads, fixed when its execution starts.
struct Snapshot {
    version: IndexVersion,
    ranges: Vec<Range>,
}

/// Why a request stopped early.
enum Stop {
    Cancelled,
    Deadline,
}

impl Process {
    /// Runs or refuses a request; `None` closes the connection.
    pub(crate) async fn serve(self: Arc<Self>, request: Request) -> Option<Reply> {
        self.record_attempt(&request.attempt);
        let admission = match self.admit(&request) {
            Ok(admission) => admission,
            Err(reason) => return Some(self.refuse(reason)),
        };
        if !request.attempt.executes {
            return self.work(request, admission).await;
        }
        let shutdown = self.shutdown.clone();
        let work = async move { self.work(request, admission).await };
        let task = tokio::spawn(shutdown.run_until_cancelled_owned(work));
        task.await.ok().flatten().flatten()
    }

    fn record_attempt(&self, attempt: &Attempt) {
        if self.core.settings.journal {
            let mut journal = self.core.journal.lock();
            journal.attempts.push(attempt.clone());
        }
    }

    fn admit(&self, request: &Request) -> Result<Admission, NotRun> {
        match self.status() {
            Status::Draining => return Err(NotRun::Draining),
            Status::Starting => return Err(NotRun::Starting),
            Status::Serving => {}
        }
        if request.deadline.is_some_and(|at| at <= Instant::now()) {
            return Err(NotRun::Deadline);
        }
        let admission = self.queue.enter(self.core.settings.shed_at);
        self.report();
        admission.ok_or(NotRun::Shedding)
    }

    async fn work(self: Arc<Self>, request: Request, admission: Admission) -> Option<Reply> {
        let mut guard = AttemptGuard::new(&self, &request);
        let slot = tokio::select! {
            biased;
            stop = guard.stopped() => return Some(self.stopped_in_queue(&stop, &mut guard)),
            slot = admission.slot() => slot?,
        };
        let Some(snapshot) = self.snapshot(&request) else {
            guard.done = true;
            return Some(self.refuse(NotRun::IndexVersion));
        };
        self.begin(&request);
        if self.core.is_crash_request(&request) {
            guard.done = true;
            self.core.crash(&self);
            return future::pending().await;
        }
        tokio::select! {
            biased;
            stop = guard.stopped() => return Some(self.stopped_at_work(&stop, &mut guard)),
            () = time::sleep(self.service_time()) => {}
        }
        guard.done = true;
        self.complete(&request, slot);
        self.reply(&request, snapshot).await
    }

    fn snapshot(&self, request: &Request) -> Option<Snapshot> {
        let dataset = self.core.dataset();
        let version = dataset.version(request.attempt.index_version)?;
        let ranges = match &request.work {
            Work::Search(asked) => dataset.covered(asked),
            Work::Execute => Vec::new(),
        };
        Some(Snapshot { version, ranges })
    }

    fn begin(&self, request: &Request) {
        let busy = self.queue.busy() as u64;
        let key = self.journal_key(request);
        self.core.journal.lock().record_start(key, busy);
        self.report();
    }

    fn complete(&self, request: &Request, slot: Slot) {
        let key = self.journal_key(request);
        self.core.journal.lock().record_completion(key);
        self.completed.fetch_add(1, Ordering::SeqCst);
        drop(slot);
        self.report();
    }

    fn journal_key<'a>(&self, request: &'a Request) -> Option<&'a str> {
        let is_recorded = self.core.settings.journal && request.attempt.executes;
        request.attempt.key.as_deref().filter(|_| is_recorded)
    }

    fn stopped_in_queue(&self, stop: &Stop, guard: &mut AttemptGuard) -> Reply {
        guard.done = true;
        match stop {
            Stop::Cancelled => self.cancelled(),
            Stop::Deadline => self.refuse(NotRun::Deadline),
        }
    }

    /// Returns a plain `504` for a deadline that passes during execution, without "not run".
    fn stopped_at_work(&self, stop: &Stop, guard: &mut AttemptGuard) -> Reply {
        guard.done = true;
        match stop {
            Stop::Cancelled => self.cancelled(),
            Stop::Deadline => {
                self.core.journal.lock().counters.overran += 1;
                http::empty(StatusCode::GATEWAY_TIMEOUT)
            }
        }
    }

    fn cancelled(&self) -> Reply {
        self.core.journal.lock().counters.cancelled += 1;
        let status = StatusCode::from_u16(CANCELLED).expect("499 is a status code");
        http::empty(status)
    }

    async fn reply(&self, request: &Request, mut snapshot: Snapshot) -> Option<Reply> {
        let fault = self.core.faults.next();
        match fault {
            Some(Fault::Late(time)) => time::sleep(time).await,
            Some(Fault::Failed) => return Some(http::empty(StatusCode::INTERNAL_SERVER_ERROR)),
            Some(Fault::Lost) => return None,
            Some(Fault::WrongIndexVersion) => snapshot.version += 1,
            _ => {}
        }
        let mut reply = self.result(request, snapshot);
        let attempt = &request.attempt.attempt;
        let last = self.core.swap_last_attempt(attempt);
        let shown = match fault {
            Some(Fault::ForeignAttempt) => FOREIGN_ATTEMPT.to_owned(),
            Some(Fault::DuplicateAttempt) => last,
            _ => attempt.clone(),
        };
        http::set(&mut reply, header::ATTEMPT, &shown);
        if fault == Some(Fault::Truncated) {
            reply = http::truncated(reply).await;
        }
        Some(reply)
    }

    fn result(&self, request: &Request, snapshot: Snapshot) -> Reply {
        let Snapshot { version, ranges } = snapshot;
        let mut reply = match request.work {
            Work::Search(_) => {
                let items = dataset::items(&ranges, self.core.settings.item_every, version);
                http::json(StatusCode::OK, &SearchReply { ranges, items })
            }
            Work::Execute => {
                let key = request.attempt.key.as_deref();
                let value = Value { key };
                http::json(StatusCode::OK, &ExecuteReply { value })
            }
        };
        http::set(&mut reply, header::INDEX_VERSION, &version);
        reply
    }
}

/// Waits for the cancellation or deadline of an attempt. An attempt whose guard is dropped before
/// it is done counts as abandoned.
struct AttemptGuard {
    process: Arc<Process>,
    entry: Entry,
    deadline: Option<Instant>,
    done: bool,
}

impl AttemptGuard {
    fn new(process: &Arc<Process>, request: &Request) -> Self {
        Self {
            process: process.clone(),
            entry: process.running.enter(&request.attempt.attempt),
            deadline: request.deadline,
            done: false,
        }
    }

    async fn stopped(&self) -> Stop {
        let deadline = async {
            match self.deadline {
                Some(at) => time::sleep_until(at).await,
                None => future::pending().await,
            }
        };
        tokio::select! {
            () = self.entry.cancelled() => Stop::Cancelled,
            () = deadline => Stop::Deadline,
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.done {
            self.process.core.journal.lock().counters.abandoned += 1;
        }
    }
}
