//! Starts, runs and stops a gateway.

use super::content::Opaque;
use super::describe::Describe;
use super::front::Origin;
use super::mirror::Mirror;
use super::relay::{Helper, Relay};
use super::state::{Instances, State};
use super::{Ingress, Update, control, front, members, ready};
use crate::backend::Codec;
use crate::body::Memory;
use crate::clock::{Clock, start_number};
use crate::metrics::label::Side;
use crate::run::{Telemetry, listen, listen_datagrams, signals};
use crate::server::stop::{Control, Schedule, Stage, Watch};
use crate::server::{Clients, Server};
use crate::settings::Limits;
use futures::StreamExt;
use monsoonring_configuration::id::DataCentreId;
use monsoonring_decision::Time;
use monsoonring_decision::backend::Ledger;
use monsoonring_decision::client::{Budget, Connections, Shares};
use monsoonring_decision::gateway::Members;
use monsoonring_decision::gateway::delivery;
use monsoonring_decision::gateway::helper::Centicores;
use monsoonring_decision::gateway::source::Readers;
use monsoonring_decision::placement::{Division, Member};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

/// A gateway failed to start.
#[derive(Debug, Snafu)]
#[snafu(display("gateway: {source}"))]
pub struct Error {
    source: crate::run::Error,
}

/// Result of starting a gateway.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Addresses that a gateway listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For clients.
    pub front: SocketAddr,
    /// For the load balancer and monitoring.
    pub ready: SocketAddr,
    /// For monitoring only.
    pub metrics: SocketAddr,
    /// For the other hosts, as they reach it.
    pub hosts: SocketAddr,
}

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses to listen on.
    pub addresses: Addresses,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Limits on the resources that clients can use.
    pub limits: Limits,
    /// Data centre of this host.
    pub data_centre: DataCentreId,
    /// How hosts share the backend servers; includes the number of hosts assumed until others are discovered.
    pub division: Division,
    /// Extra attempts allowed per first attempt.
    pub extra_attempts: f64,
    /// CPU capacity of this host in hundredths of a core; 0 if unknown.
    pub strength: Centicores,
    /// Sockets that the process may have open.
    pub sockets: usize,
    /// Memory limit of the process in bytes, if known.
    pub memory_limit: Option<usize>,
    /// Hosts to contact for discovery, by their address for hosts.
    pub seeds: Vec<SocketAddr>,
    /// Time between "not ready" and the end of accepting connections in a planned stop.
    pub drain_wait: Duration,
    /// Longest duration of a planned stop.
    pub stop_timeout: Duration,
}

impl Settings {
    /// Builds the membership of this host. The start number comes from the wall clock, so that a restarted host
    /// replaces its earlier start.
    fn members(&self, clock: Clock) -> Members {
        let own = Member {
            id: self.addresses.hosts,
            data_centre: self.data_centre.clone(),
        };
        let rng = ChaCha8Rng::from_rng(&mut rand::rng());
        let assumed = self.division.homes();
        let strength = self.strength;
        Members::new(
            own,
            start_number(),
            &self.seeds,
            strength,
            assumed,
            clock.now(),
            rng,
        )
    }
}

/// Connects a gateway to the platform that it runs on.
pub struct Adapter<I, K> {
    /// The protocol of clients.
    pub ingress: I,
    /// Creates the codec for the backend servers of a set of shards.
    pub codec: Box<dyn Fn(Instances) -> K + Send>,
    /// Updates of configuration and registry.
    pub updates: mpsc::UnboundedReceiver<Update>,
    /// Publishes which hosts read the store, for the adapter.
    pub readers: watch::Sender<Readers>,
    /// State that this host reads from the store, for other hosts.
    pub mirror: Arc<Mirror>,
    /// Notified when another host has a newer configuration.
    pub outdated: Arc<Notify>,
}

/// Serves until a stop signal, then stops. Returns whether all requests in flight finished.
///
/// # Errors
///
/// Fails if an address or the signals can't be listened on.
pub async fn run<I: Ingress, K: Codec<Content = Opaque>>(
    settings: Settings,
    adapter: Adapter<I, K>,
    telemetry: Telemetry,
) -> Result<bool> {
    let mut signals = pin!(signals().context(Snafu)?);
    let listeners = Listeners::bind(&settings.addresses).await?;
    let gateway = Gateway::start(&settings, adapter, &telemetry, listeners);
    info!(telemetry.log, "start"; "clients" => %settings.addresses.front,
        "ready" => %settings.addresses.ready, "metrics" => %settings.addresses.metrics);
    signals.next().await;
    Ok(gateway.stop(&settings, &telemetry.log).await)
}

/// Bound sockets.
struct Listeners {
    front: TcpListener,
    ready: TcpListener,
    metrics: TcpListener,
    hosts: UdpSocket,
    /// For searches of other hosts.
    searches: TcpListener,
}

impl Listeners {
    async fn bind(addresses: &Addresses) -> Result<Self> {
        Ok(Self {
            front: bind(Side::Caller, addresses.front).await?,
            ready: bind(Side::Operator, addresses.ready).await?,
            metrics: bind(Side::Operator, addresses.metrics).await?,
            searches: bind(Side::Peer, addresses.hosts).await?,
            hosts: listen_datagrams(Side::Peer, addresses.hosts)
                .await
                .context(Snafu)?,
        })
    }
}

async fn bind(side: Side, address: SocketAddr) -> Result<TcpListener> {
    let (listener, _) = listen(side, address).await.context(Snafu)?;
    Ok(listener)
}

/// A running gateway.
struct Gateway {
    clients: TaskTracker,
    searches: TaskTracker,
    operators: [TaskTracker; 2],
    stop: Control,
    operator_stop: Control,
    clock: Clock,
    /// When all requests at homes have to end, once a stop has begun.
    shutdown: watch::Sender<Option<Time>>,
}

/// What the servers of all listeners share.
struct Common<'a> {
    limits: &'a Limits,
    clients: Arc<Clients>,
    telemetry: &'a Telemetry,
}

impl<'a> Common<'a> {
    /// Divides the memory of the process among requests and responses. Returns that for responses as well.
    fn new(settings: &'a Settings, telemetry: &'a Telemetry) -> (Self, Arc<Memory>) {
        let budget = Budget::of(settings.memory_limit);
        let clients = Clients::new(budget);
        let memory = Memory::new(budget.answer_bytes).with_clients(clients.clone());
        let common = Self {
            limits: &settings.limits,
            clients,
            telemetry,
        };
        (common, Arc::new(memory))
    }

    fn server<H>(
        &self,
        side: Side,
        connections: Connections,
        stop: &Watch,
        handler: H,
    ) -> Server<H> {
        Server {
            handler,
            limits: self.limits.clone(),
            connections,
            clients: self.clients.clone(),
            stop: stop.clone(),
            side,
            metrics: self.telemetry.metrics.clone(),
            log: self.telemetry.log.clone(),
        }
    }
}

impl Gateway {
    fn start<I: Ingress, K: Codec<Content = Opaque>>(
        settings: &Settings,
        adapter: Adapter<I, K>,
        telemetry: &Telemetry,
        listeners: Listeners,
    ) -> Self {
        let (stop, watch) = Control::new();
        let (operator_stop, operator_watch) = Control::new();
        let state = Arc::new(State::default());
        let clock = Clock::start();
        let Telemetry { log, metrics } = telemetry;
        let (common, memory) = Common::new(settings, telemetry);
        let (facts, local_facts) = mpsc::unbounded_channel();
        let (member_updates, host_updates) = mpsc::unbounded_channel();
        let (remote_tx, remote_rx) = watch::channel(BTreeSet::new());
        let (member_status, member_status_requests) = mpsc::unbounded_channel();
        let (control_status, control_status_requests) = mpsc::unbounded_channel();
        let (shutdown, shutdown_rx) = watch::channel(None);
        tokio::spawn(members::run(members::Task {
            members: settings.members(clock),
            socket: listeners.hosts,
            clock,
            log: log.clone(),
            metrics: metrics.clone(),
            local_facts,
            status_requests: member_status_requests,
            remote_rx,
            updates: member_updates,
            candidates: BTreeMap::new(),
        }));
        let relay = Relay::new(settings.strength, clock, adapter.outdated, memory.clone());
        let relay = Arc::new(relay);
        let controller = control::Settings {
            relay: relay.clone(),
            remote_tx,
            readers: adapter.readers,
            codec: adapter.codec,
            division: settings.division,
            extra_attempts: settings.extra_attempts,
            data_centre: settings.data_centre.clone(),
            seed: rand::rng().random(),
            clock,
            log: log.clone(),
            metrics: metrics.clone(),
            facts,
            cold: Ledger::default(),
            memory: memory.clone(),
        };
        let sources = control::Sources {
            updates: adapter.updates,
            host_updates,
            status_requests: control_status_requests,
            shutdown: shutdown_rx,
        };
        tokio::spawn(control::run(controller, state.clone(), sources));
        let ingress = Arc::new(adapter.ingress);
        let front = |origin| front::Front {
            ingress: ingress.clone(),
            state: state.clone(),
            clock,
            log: log.clone(),
            metrics: metrics.clone(),
            origin,
            relay: relay.clone(),
            memory: memory.clone(),
            delivery_margin: delivery::margin(settings.strength),
            stop: watch.clone(),
        };
        let shares = Shares::of(settings.sockets);
        let helper = Helper::new(front(Origin::Peer), settings.strength, adapter.mirror);
        let searches = common.server(Side::Peer, shares.peers, &watch, helper);
        let clients = common.server(Side::Caller, shares.clients, &watch, front(Origin::Client));
        let describe = Describe {
            address: settings.addresses.hosts,
            data_centre: settings.data_centre.clone(),
            state: state.clone(),
            control: control_status,
            members: member_status,
        };
        let readiness = ready::Front {
            describe,
            metrics: metrics.clone(),
            stop: watch,
            path: settings.ready_path,
        };
        let operators = [listeners.ready, listeners.metrics].map(|listener| {
            let readiness = readiness.clone();
            let server =
                common.server(Side::Operator, shares.operators, &operator_watch, readiness);
            server.start(listener)
        });
        Self {
            clients: clients.start(listeners.front),
            searches: searches.start(listeners.searches),
            operators,
            stop,
            operator_stop,
            clock,
            shutdown,
        }
    }

    /// Stops the gateway: reports "not ready", waits for the load balancer to react, stops accepting connections, and
    /// finishes the requests in flight. Those that can't be finished before the timeout are refused, or answered with
    /// what is known of them, before their connections are closed. Returns whether none was left then. Readiness is
    /// served until the end.
    async fn stop(self, settings: &Settings, log: &Logger) -> bool {
        info!(log, "stop"; "what" => "began");
        let schedule = Schedule::new(settings.stop_timeout);
        self.stop.advance(Stage::Leaving);
        let end = self.clock.now() + schedule.end_requests;
        self.shutdown.send_replace(Some(end));
        let mut finish = pin!(async {
            tokio::time::sleep(settings.drain_wait).await;
            self.stop.advance(Stage::Draining);
            self.clients.wait().await;
            self.searches.wait().await;
        });
        let finished = timeout(schedule.end_requests, finish.as_mut()).await;
        if finished.is_err() {
            warn!(log, "stop"; "what" => "cut short");
            let until_answer = schedule.answer - schedule.end_requests;
            if timeout(until_answer, finish.as_mut()).await.is_err() {
                self.stop.advance(Stage::Ending);
                let until_cut = schedule.cut - schedule.answer;
                if timeout(until_cut, finish).await.is_err() {
                    warn!(log, "stop"; "what" => "connections cut");
                }
            }
        }
        self.stop.advance(Stage::Cut);
        self.clients.wait().await;
        self.searches.wait().await;
        self.operator_stop.advance(Stage::Cut);
        for operators in &self.operators {
            operators.wait().await;
        }
        info!(log, "stop"; "what" => "ended", "whole" => finished.is_ok());
        finished.is_ok()
    }
}
