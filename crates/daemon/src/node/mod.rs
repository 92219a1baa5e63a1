//! Dispatches the requests of callers and peers to homes.
//!
//! A request runs at a home of its route: in this daemon if it is one, else at a peer, one hop
//! away. `search` handles searches and `execute` non-idempotent requests; `routes` tracks the
//! routes that this daemon is a home of; `stop` implements the graceful stop.

mod decision;
mod execute;
mod forward;
pub(crate) mod history;
mod routes;
mod search;
mod start;
mod state;
mod stop;

pub(crate) use start::start;

use crate::clock::Clock;
use crate::control;
use crate::metrics::Metrics;
use crate::metrics::label::Side;
use crate::peer::Pool;
use crate::service::{Call, Configuration, Execution, Explain, Service};
use forward::Tracker;
use futures::future::{BoxFuture, FutureExt};
use history::{History, Record};
use monsoonring_decision::member::{MemberId, Message};
use monsoonring_decision::outcome::Outcome;
use monsoonring_decision::placement::Member;
use monsoonring_decision::rationale::Rationale;
use prometheus_client::metrics::gauge::Gauge;
use routes::Routes;
use slog::{Logger, info};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The shared state of a daemon.
pub(crate) struct Node {
    own: Member,
    clock: Clock,
    log: Logger,
    metrics: Arc<Metrics>,
    control: control::Handle,
    routes: Routes,
    peers: Pool,
    forwards: Tracker,
    ledger: execute::SharedLedger,
    stopping: stop::StopState,
    history: History,
}

impl Node {
    pub(crate) fn log(&self) -> &Logger {
        &self.log
    }

    /// Returns the number of connections that peers have open to this daemon.
    pub(crate) fn open_connections(&self) -> Gauge {
        self.metrics.open_connections(Side::Peer)
    }

    pub(crate) fn control(&self) -> &control::Handle {
        &self.control
    }

    /// Logs a decision on a call and records it in the history.
    fn log_decision(&self, call: &Call, label: &'static str, home: Option<MemberId>, reason: &str) {
        info!(self.log, "decision"; "request" => format!("{:032x}", call.request),
            "route" => &*call.route.name, "decision" => label,
            "home" => home.map(|home| home.to_string()), "reason" => reason);
        self.history.record(Record {
            request: call.request,
            at: self.clock.now(),
            route: call.route.name.clone(),
            label,
            backend_server: None,
            home,
            rationale: Rationale::Text(reason.to_owned()),
        });
    }

    /// Probes a member on behalf of another member.
    pub(crate) async fn probe(
        &self,
        target: MemberId,
        message: Message,
        limit: Duration,
    ) -> Option<Message> {
        let probe = async {
            let client = self.peers.client(target).await.ok()?;
            client
                .probe(forward::context(Instant::now() + limit), message)
                .await
                .ok()?
        };
        tokio::time::timeout(limit, probe).await.ok()?
    }
}

/// The [`Service`] that the callers' and operators' ports use.
pub(crate) struct Front(Arc<Node>);

impl Service for Front {
    fn configuration(&self) -> Option<Arc<Configuration>> {
        self.0.control.view().configuration
    }

    fn check_ready(&self) -> Result<(), &'static str> {
        self.0.stopping.check_ready()?;
        self.0.control.check_ready()
    }

    fn search(&self, call: Call) -> BoxFuture<'_, Outcome> {
        self.0.search_call(call).boxed()
    }

    fn mint(&self, call: Call) -> BoxFuture<'_, Result<String, Outcome>> {
        self.0.mint_call(call).boxed()
    }

    fn execute(&self, call: Call, key: String, send: Option<u32>) -> BoxFuture<'_, Execution> {
        self.0.execute_call(call, key, send).boxed()
    }

    fn state(&self) -> BoxFuture<'_, serde_json::Value> {
        self.0.describe().boxed()
    }

    fn explain(&self, query: Explain) -> BoxFuture<'_, Option<serde_json::Value>> {
        self.0.explain(query).boxed()
    }

    fn leave(&self) {
        self.0.begin_stop();
    }

    fn end_requests(&self, at: Instant) {
        self.0.routes.shut_down(self.0.clock.time(at));
    }

    fn drain(&self) -> BoxFuture<'_, ()> {
        self.0.finish_stop().boxed()
    }
}
