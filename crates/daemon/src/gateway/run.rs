//! The life of a gateway: start, serve, stop.

use super::content::Opaque;
use super::state::{Instances, State};
use super::{Ingress, News, control, front, ready};
use crate::backend::Codec;
use crate::clock::Clock;
use crate::metrics::label::Side;
use crate::run::{Telemetry, listen, signals};
use crate::server::Server;
use crate::server::stop::{Control, Stage, Watch};
use crate::settings::Limits;
use futures::StreamExt;
use monsoonring_configuration::id::DataCentreId;
use monsoonring_decision::placement::Division;
use rand::Rng;
use slog::{info, warn};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Connections of the balancer and of monitoring at the same time.
const OPERATOR_CONNECTIONS: usize = 64;

/// Why a gateway did not start.
#[derive(Debug, Snafu)]
#[snafu(display("gateway: {source}"))]
pub struct Error {
    source: crate::run::Error,
}

/// Result of starting.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Where a gateway listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For clients.
    pub front: SocketAddr,
    /// For the balancer and monitoring.
    pub ready: SocketAddr,
    /// For monitoring alone.
    pub metrics: SocketAddr,
}

/// What a gateway is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens.
    pub addresses: Addresses,
    /// Path on which the balancer asks whether it is ready.
    pub ready_path: &'static str,
    /// Bounds on what clients can take of the process.
    pub limits: Limits,
    /// Data centre of this host.
    pub data_centre: DataCentreId,
    /// Hosts that share the backend servers' connections and slack.
    pub division: Division,
    /// Time between "not ready" and the end of accepting in a planned stop.
    pub drain_wait: Duration,
    /// Longest time that a planned stop takes.
    pub stop_bound: Duration,
}

/// The outside, as its adapter implements it.
pub struct Outside<I, K> {
    /// How clients speak.
    pub ingress: I,
    /// How backend servers speak, for one set of shards.
    pub codec: Box<dyn Fn(Instances) -> K + Send>,
    /// What is learned of configuration and backend servers.
    pub news: mpsc::UnboundedReceiver<News>,
}

/// Serves until a signal to stop, and stops. Returns whether nothing was cut off.
///
/// # Errors
///
/// An address or the signals can't be listened on.
pub async fn run<I: Ingress, K: Codec<Content = Opaque>>(
    settings: Settings,
    outside: Outside<I, K>,
    telemetry: Telemetry,
) -> Result<bool> {
    let mut signals = pin!(signals().context(Snafu)?);
    let (fronts, address) = listen(Side::Caller, settings.addresses.front)
        .await
        .context(Snafu)?;
    let (readies, _) = listen(Side::Operator, settings.addresses.ready)
        .await
        .context(Snafu)?;
    let monitoring = listen(Side::Operator, settings.addresses.metrics).await;
    let (monitoring, _) = monitoring.context(Snafu)?;
    let clock = Clock::start();
    let state = Arc::new(State::default());
    let (stop, watch) = Control::new();
    let (ready_stop, ready_watch) = Control::new();
    let Telemetry { log, metrics } = telemetry;
    let (facts, _found) = mpsc::unbounded_channel();
    let controller = control::Settings {
        codec: outside.codec,
        division: settings.division,
        data_centre: settings.data_centre,
        seed: rand::rng().random(),
        clock,
        log: log.clone(),
        metrics: metrics.clone(),
        facts,
    };
    tokio::spawn(control::run(controller, state.clone(), outside.news));
    let clients = Server {
        handler: front::Front {
            ingress: outside.ingress,
            state: state.clone(),
            clock,
            log: log.clone(),
            metrics: metrics.clone(),
        },
        limits: settings.limits.clone(),
        stop: watch.clone(),
        gauge: metrics.open_connections(Side::Caller),
        log: log.clone(),
    };
    let operators = |stop: Watch, ready_stop: Watch| Server {
        handler: ready::Front {
            state: state.clone(),
            metrics: metrics.clone(),
            stop,
            path: settings.ready_path,
        },
        limits: Limits {
            max_connections: OPERATOR_CONNECTIONS,
            ..settings.limits.clone()
        },
        stop: ready_stop,
        gauge: metrics.open_connections(Side::Operator),
        log: log.clone(),
    };
    let monitors = operators(watch.clone(), ready_watch.clone());
    let operators = operators(watch, ready_watch);
    let clients = clients.start(fronts);
    let operators = operators.start(readies);
    let monitors = monitors.start(monitoring);
    info!(log, "start"; "clients" => %address, "ready" => %settings.addresses.ready);
    signals.next().await;
    info!(log, "stop"; "what" => "began");
    stop.advance(Stage::Leaving);
    let finish = async {
        tokio::time::sleep(settings.drain_wait).await;
        stop.advance(Stage::Finishing);
        clients.wait().await;
    };
    let whole = tokio::time::timeout(settings.stop_bound, finish)
        .await
        .is_ok();
    if !whole {
        warn!(log, "stop"; "what" => "cut short");
    }
    stop.advance(Stage::Cut);
    clients.wait().await;
    ready_stop.advance(Stage::Cut);
    operators.wait().await;
    monitors.wait().await;
    info!(log, "stop"; "what" => "ended", "whole" => whole);
    Ok(whole)
}
