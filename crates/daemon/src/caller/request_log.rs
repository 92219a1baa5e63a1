//! Counts and logs callers' requests.
//!
//! Each request has an [`Entry`] from its arrival until its response is made. An entry dropped
//! earlier belongs to a request whose caller disconnected, or that a stop cut off; the stage of
//! the stop tells which.

use super::header::request_text;
use super::problem::{Problem, RunStatus};
use crate::metrics::Metrics;
use crate::metrics::label::{self, ClassLabel, OutcomeLabel};
use crate::server::stop::{Stage, Watch};
use monsoonring_configuration::document::Class;
use monsoonring_configuration::id::RouteId;
use monsoonring_decision::RequestId;
use monsoonring_decision::outcome::Reason;
use slog::{Logger, info, warn};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// Counts requests and writes a log line for each that ended.
#[derive(Clone)]
pub(crate) struct RequestLog {
    shared: Arc<Shared>,
}

struct Shared {
    metrics: Arc<Metrics>,
    log: Logger,
    stop: Watch,
    in_flight: AtomicUsize,
    cut: AtomicUsize,
}

/// A request in flight.
pub(crate) struct Entry {
    request_log: RequestLog,
    request: RequestId,
    trace: Option<u128>,
    arrived: Instant,
    route: Option<RouteId>,
    class: Option<Class>,
    ended: bool,
}

impl RequestLog {
    /// Creates a log without requests.
    pub(crate) fn new(metrics: Arc<Metrics>, log: Logger, stop: Watch) -> Self {
        Self {
            shared: Arc::new(Shared {
                metrics,
                log,
                stop,
                in_flight: AtomicUsize::new(0),
                cut: AtomicUsize::new(0),
            }),
        }
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that a stop cut off, or answered without their results.
    pub(crate) fn cut_requests(&self) -> usize {
        self.shared.cut.load(Ordering::Relaxed)
    }

    /// Records that a stop cut off a response while it was being written. Its entry is already
    /// closed by then.
    pub(crate) fn response_cut(&self) {
        self.shared.cut.fetch_add(1, Ordering::Relaxed);
        warn!(self.shared.log, "answer cut");
    }

    /// Opens the entry of a request.
    pub(crate) fn open(&self, request: RequestId, trace: Option<u128>, arrived: Instant) -> Entry {
        self.shared.in_flight.fetch_add(1, Ordering::Relaxed);
        self.shared.metrics.front.in_flight.inc();
        Entry {
            request_log: self.clone(),
            request,
            trace,
            arrived,
            route: None,
            class: None,
            ended: false,
        }
    }
}

impl Entry {
    pub(crate) fn set_class(&mut self, class: Class) {
        self.class = Some(class);
    }

    pub(crate) fn set_route(&mut self, route: &RouteId) {
        self.route = Some(route.clone());
    }

    /// Closes the entry of a request that was answered.
    pub(crate) fn record_answer(mut self, ended: OutcomeLabel, coverage: Option<f64>) {
        if let Some(coverage) = coverage {
            let front = &self.request_log.shared.metrics.front;
            front.record_coverage(self.route.as_ref(), self.class, coverage);
        }
        self.close(ended, "");
    }

    /// Closes the entry of a request that was refused or failed.
    pub(crate) fn record_problem(mut self, problem: &Problem) {
        let ended = match problem.run_status {
            RunStatus::NotRun => OutcomeLabel::NotRun,
            RunStatus::Failed => OutcomeLabel::Failed,
            RunStatus::Unknown => OutcomeLabel::Unknown,
        };
        let shared = &self.request_log.shared;
        let may_have_run = problem.run_status != RunStatus::NotRun;
        if may_have_run && problem.kind == label::reason(Reason::Stopping) {
            shared.cut.fetch_add(1, Ordering::Relaxed);
        }
        let front = &shared.metrics.front;
        front.record_refusal(self.route.as_ref(), self.class, problem.kind);
        self.close(ended, problem.kind);
    }

    fn close(&mut self, ended: OutcomeLabel, reason: &'static str) {
        self.ended = true;
        self.record_metrics(ended);
        let shared = &self.request_log.shared;
        info!(
            shared.log, "request";
            "request" => request_text(self.request),
            "trace" => self.trace.map(request_text),
            "route" => self.route.as_deref(),
            "class" => %ClassLabel(self.class),
            "outcome" => %ended,
            "reason" => reason,
            "duration_ms" => milliseconds(self.arrived),
        );
    }

    fn record_metrics(&self, outcome: OutcomeLabel) {
        let front = &self.request_log.shared.metrics.front;
        let duration = self.arrived.elapsed();
        front.record_outcome(self.route.as_ref(), self.class, outcome, duration);
    }

    /// Records that the request was dropped before its response was made.
    fn record_drop(&self) {
        let shared = &self.request_log.shared;
        let ended = if shared.stop.stage() == Stage::Cut {
            shared.cut.fetch_add(1, Ordering::Relaxed);
            OutcomeLabel::Cut
        } else {
            OutcomeLabel::Abandoned
        };
        self.record_metrics(ended);
        warn!(
            shared.log, "request dropped";
            "request" => request_text(self.request),
            "trace" => self.trace.map(request_text),
            "route" => self.route.as_deref(),
            "class" => %ClassLabel(self.class),
            "outcome" => %ended,
            "duration_ms" => milliseconds(self.arrived),
        );
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if !self.ended {
            self.record_drop();
        }
        let shared = &self.request_log.shared;
        shared.in_flight.fetch_sub(1, Ordering::Relaxed);
        shared.metrics.front.in_flight.dec();
    }
}

fn milliseconds(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
