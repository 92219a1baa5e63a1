//! One process of a backend server, from its start to its crash or kill.
//!
//! This holds the state that a crash loses: queue, running attempts, connections and warm-up.
//! [`Core`] holds the state that survives.

use crate::backend_server::connections;
use crate::backend_server::core::Core;
use crate::backend_server::queue::Queue;
use crate::backend_server::report::{Health, Load, Status};
use crate::backend_server::request::{Origin, Request};
use crate::backend_server::running;
use crate::backend_server::settings::{Cold, OverLimit};
use crate::endpoint::{Connection, ConnectionId, Handler};
use crate::header;
use crate::http::{self, NotRun, Reply};
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, RETRY_AFTER};
use hyper::{Method, StatusCode};
use monsoonring_configuration::id::Incarnation;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;

pub(crate) struct Process {
    pub(crate) core: Arc<Core>,
    pub(crate) start: Incarnation,
    pub(crate) shutdown: CancellationToken,
    pub(crate) queue: Queue,
    pub(crate) running: Arc<running::Table>,
    pub(crate) connections: connections::Table,
    pub(crate) completed: AtomicU64,
    draining: AtomicBool,
    started_at: Instant,
}

impl Process {
    pub(crate) fn new(core: Arc<Core>, start: Incarnation) -> Self {
        let settings = &core.settings;
        Self {
            start,
            shutdown: CancellationToken::new(),
            queue: Queue::new(settings.slots),
            running: Arc::default(),
            connections: connections::Table::new(settings.connections),
            completed: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            started_at: Instant::now(),
            core,
        }
    }

    pub(crate) fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::SeqCst);
        self.report();
    }

    pub(crate) fn status(&self) -> Status {
        let starting = self.core.settings.cold.map(|cold| cold.refuse_for);
        if self.draining.load(Ordering::SeqCst) {
            Status::Draining
        } else if starting.is_some_and(|time| self.started_at.elapsed() < time) {
            Status::Starting
        } else {
            Status::Serving
        }
    }

    pub(crate) fn load(&self) -> Load {
        Load {
            busy: self.queue.busy(),
            slots: self.queue.slots(),
            queued: self.queue.waiting(),
            index_versions: self.core.dataset().versions.iter().copied().collect(),
            start: self.start,
        }
    }

    /// Records load and status for the health and load endpoints.
    pub(crate) fn report(&self) {
        self.core.load.record(self.load());
        self.core.health.record(self.status());
    }

    /// Samples the service time of the next request.
    pub(crate) fn service_time(&self) -> Duration {
        let time = self.core.service_time.next();
        let completed = self.completed.load(Ordering::SeqCst);
        match self.core.settings.cold {
            Some(cold) => time.mul_f64(cold.factor(completed)),
            None => time,
        }
    }

    pub(crate) fn refuse(&self, reason: NotRun) -> Reply {
        self.core.journal.record_refusal(reason);
        let mut reply = http::not_run(reason);
        if reason == NotRun::Shedding {
            let wait = self.core.settings.retry_after;
            http::set(&mut reply, header::RETRY_AFTER_MS, &wait.as_millis());
            let seconds = wait.as_secs_f64().ceil();
            http::set(&mut reply, RETRY_AFTER.as_str(), &seconds);
        }
        if reason == NotRun::Connections {
            http::set(&mut reply, CONNECTION.as_str(), &"close");
        }
        reply
    }

    /// Adds the server's load, incarnation, index versions and draining state to a reply.
    fn add_headers(&self, reply: &mut Reply) {
        let load = self.load();
        http::set(reply, header::LOAD, &self.core.reply_load(&load));
        http::set(reply, header::START, &self.start);
        let versions: Vec<_> = load.index_versions.iter().map(u64::to_string).collect();
        http::set(reply, header::INDEX_VERSIONS, &versions.join(","));
        if self.status() == Status::Draining {
            http::set(reply, header::DRAINING, &true);
        }
    }

    async fn answer(
        self: Arc<Self>,
        connection: ConnectionId,
        request: hyper::Request<Incoming>,
    ) -> Option<Reply> {
        let attempt = request.headers().get(header::ATTEMPT).cloned();
        let mut reply = if self.connections.contains(connection) {
            self.clone().route(connection, request).await?
        } else {
            self.refuse(NotRun::Connections)
        };
        if let Some(attempt) = attempt {
            let headers = reply.headers_mut();
            headers.entry(header::ATTEMPT).or_insert(attempt);
            self.add_headers(&mut reply);
        }
        Some(reply)
    }

    async fn route(
        self: Arc<Self>,
        connection: ConnectionId,
        request: hyper::Request<Incoming>,
    ) -> Option<Reply> {
        let path = request.uri().path().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/query") => self.attempt(connection, request, false).await,
            (Method::POST, "/execute") => self.attempt(connection, request, true).await,
            (Method::DELETE, path) => Some(self.cancel(path)),
            (Method::GET, "/health") => Some(self.health_reply()),
            (Method::GET, "/load") => Some(self.load_reply()),
            _ => Some(http::empty(StatusCode::NOT_FOUND)),
        }
    }

    async fn attempt(
        self: Arc<Self>,
        connection: ConnectionId,
        request: hyper::Request<Incoming>,
        executes: bool,
    ) -> Option<Reply> {
        let origin = Origin {
            connection,
            start: self.start,
        };
        self.core.journal.lock().counters.received += 1;
        match Request::read(request, executes, origin).await {
            Some(request) => self.serve(request).await,
            None => Some(self.refuse(NotRun::Malformed)),
        }
    }

    fn cancel(&self, path: &str) -> Reply {
        let attempt = path.strip_prefix("/attempts/").unwrap_or_default();
        if self.running.cancel(attempt) {
            http::empty(StatusCode::ACCEPTED)
        } else {
            http::empty(StatusCode::NOT_FOUND)
        }
    }

    fn health_reply(&self) -> Reply {
        self.report();
        let status = self.core.health.read().unwrap_or(self.status());
        http::json(StatusCode::OK, &Health { status })
    }

    fn load_reply(&self) -> Reply {
        self.report();
        let load = self.core.load.read().unwrap_or_else(|| self.load());
        http::json(StatusCode::OK, &load)
    }
}

impl Cold {
    /// Returns the slowdown after `completed` requests, which falls linearly to 1.
    fn factor(self, completed: u64) -> f64 {
        if completed >= self.warm_after {
            return 1.0;
        }
        let warmth = completed as f64 / self.warm_after as f64;
        self.slowdown + (1.0 - self.slowdown) * warmth
    }
}

impl Handler for Process {
    fn opened<'a>(&'a self, connection: &'a Connection) -> BoxFuture<'a, bool> {
        Box::pin(async move {
            let settings = &self.core.settings;
            self.core.journal.lock().counters.connections_opened += 1;
            if !self.connections.open(connection) {
                self.core.journal.record_refused_connection(connection.id);
                return settings.over_limit == OverLimit::Answer;
            }
            self.core.journal.record_connection(connection.id);
            if settings.connect_cost > Duration::ZERO {
                let _slot = match settings.connect_takes_slot {
                    true => self.queue.take().await,
                    false => None,
                };
                time::sleep(settings.connect_cost).await;
            }
            true
        })
    }

    fn closed(&self, connection: ConnectionId) {
        if self.connections.close(connection) {
            self.core.journal.record_closed_connection(connection);
        }
    }

    fn handle(
        self: Arc<Self>,
        connection: ConnectionId,
        request: hyper::Request<Incoming>,
    ) -> BoxFuture<'static, Option<Reply>> {
        Box::pin(self.answer(connection, request))
    }
}
