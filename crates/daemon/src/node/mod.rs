//! One daemon among others: what it does with the requests that callers and peers bring.
//!
//! A request goes to a home of its route: here, if this daemon is one, else by one hop. Searches are
//! in `search`, non-idempotent requests in `execute`; `routes` keeps the homes that this daemon is
//! one of; `stop` ends it all without cutting anything off.

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

/// One daemon.
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
    stopping: stop::Flag,
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

    /// Writes a decision on a call to the log, and keeps it.
    fn note(&self, call: &Call, what: &'static str, home: Option<MemberId>, why: &str) {
        info!(self.log, "decision"; "request" => format!("{:032x}", call.request),
            "route" => &*call.route.name, "decision" => what,
            "home" => home.map(|home| home.to_string()), "reason" => why);
        self.history.record(Record {
            request: call.request,
            at: self.clock.now(),
            route: call.route.name.clone(),
            what,
            backend_server: None,
            home,
            why: Rationale::Text(why.to_owned()),
        });
    }

    /// Probes a member for another one.
    pub(crate) async fn probe(
        &self,
        target: MemberId,
        message: Message,
        limit: Duration,
    ) -> Option<Message> {
        let probing = async {
            let client = self.peers.client(target).await.ok()?;
            client
                .probe(forward::context(Instant::now() + limit), message)
                .await
                .ok()?
        };
        tokio::time::timeout(limit, probing).await.ok()?
    }
}

/// The daemon as the front sees it.
pub(crate) struct Front(Arc<Node>);

impl Service for Front {
    fn configuration(&self) -> Option<Arc<Configuration>> {
        self.0.control.view().configuration
    }

    fn ready(&self) -> Result<(), &'static str> {
        self.0.stopping.ready()?;
        self.0.control.ready()
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
        self.0.explained(query).boxed()
    }

    fn leave(&self) {
        self.0.begin_stop();
    }

    fn drain(&self) -> BoxFuture<'_, ()> {
        self.0.finish_stop().boxed()
    }
}
