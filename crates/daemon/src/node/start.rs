//! Bringing a daemon's controllers up.

use super::execute::SharedLedger;
use super::forward::Tracker;
use super::history::History;
use super::routes::{Routes, spawner};
use super::{Front, Node, stop};
use crate::backend::Json;
use crate::clock::{Clock, start_number};
use crate::metrics::Metrics;
use crate::peer::{self, Pool};
use crate::route::{self, Fact};
use crate::run::Telemetry;
use crate::settings::{Baseline, Settings};
use crate::{control, platform};
use monsoonring_decision::home::Event;
use monsoonring_decision::idempotency::{Fence, Ledger, Limits, Secret};
use monsoonring_decision::placement::{Division, Member};
use monsoonring_decision::{fact, member};
use monsoonring_wire::channel::Endpoint;
use monsoonring_wire::key::Ring;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha20Rng;
use slog::Logger;
use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::interval;

/// Time between two clean-ups of the ledger.
const LEDGER_TICK: Duration = Duration::from_secs(1);

/// Starts the controllers of a daemon and serves its peers on `peers`.
pub(crate) fn start(
    settings: &Settings,
    peers: TcpListener,
    advertised: SocketAddr,
    log: Logger,
    metrics: Arc<Metrics>,
) -> Front {
    let clock = Clock::start();
    let mut random = random(settings.seed);
    let own = Member {
        id: advertised,
        data_centre: settings.data_centre.clone(),
    };
    let start = start_number();
    let ring = Ring {
        current: settings.key.clone(),
        previous: settings.previous_key.clone(),
    };
    let meter = metrics.peer_bytes.clone();
    let endpoint = Endpoint::new(settings.peer_listen.ip(), ring, meter);
    let pool = Pool::new(endpoint.clone());
    let (news, heard) = mpsc::unbounded_channel();
    let control = control::spawn(control::Settings {
        own: own.clone(),
        start,
        seeds: settings.peers.clone(),
        members: member::Settings::default(),
        seed: random.random(),
        clock,
        service: platform::Service::new(settings.configuration_service),
        list: platform::List::new(settings.host_list),
        peers: pool.clone(),
        log: log.clone(),
        metrics: metrics.clone(),
        news,
    });
    let (facts, found) = mpsc::unbounded_channel();
    let history = History::default();
    let routes = routes(
        &settings.baseline,
        &own,
        Telemetry {
            log: log.clone(),
            metrics: metrics.clone(),
        },
        clock,
        facts,
        history.clone(),
        random.random(),
    );
    let fence = Fence {
        member: own.id,
        start,
    };
    let ledger = Ledger::new(
        fence,
        Secret::from(random.random::<[u8; 32]>()),
        Limits::default(),
    );
    let node = Arc::new(Node {
        own,
        clock,
        log,
        metrics,
        control,
        routes,
        peers: pool,
        forwards: Tracker::default(),
        ledger: SharedLedger::new(ledger),
        stopping: stop::Flag::default(),
        history,
    });
    tokio::spawn(follow(node.clone()));
    tokio::spawn(hear(node.clone(), heard));
    tokio::spawn(tell(node.clone(), found));
    tokio::spawn(clean(node.clone()));
    let max_connections = settings.limits.max_peer_connections;
    tokio::spawn(peer::serve(node.clone(), peers, endpoint, max_connections));
    Front(node)
}

fn random(seed: Option<u64>) -> ChaCha20Rng {
    match seed {
        Some(seed) => ChaCha20Rng::seed_from_u64(seed),
        None => ChaCha20Rng::from_os_rng(),
    }
}

fn routes(
    baseline: &Baseline,
    own: &Member,
    telemetry: Telemetry,
    clock: Clock,
    facts: route::Facts,
    history: History,
    seed: u64,
) -> Routes {
    let Telemetry { log, metrics } = telemetry;
    let route_log = log.clone();
    let policy = baseline.policy();
    let spawn = spawner(move |route, homes| route::Settings {
        codec: Json,
        management: route::Management::Endpoints,
        route,
        allocation: Division::among(homes).into(),
        policy,
        seed,
        clock,
        log: route_log.clone(),
        metrics: metrics.clone(),
        facts: facts.clone(),
        history: Some(history.clone()),
    });
    Routes::new(own.id, log, spawn, baseline.homes())
}

/// Keeps the routes in step with the view.
async fn follow(node: Arc<Node>) {
    let mut changes = node.control.changes();
    while changes.changed().await.is_ok() {
        let view = changes.borrow_and_update().clone();
        let begun = node.routes.update(&view);
        node.brief(&begun).await;
        let known: HashSet<SocketAddr> = view.members.iter().map(|member| member.id).collect();
        node.forwards.retain(|id| known.contains(id));
        node.peers.retain(|id| known.contains(id));
    }
}

/// Takes facts that other daemons found to the homes here.
async fn hear(node: Arc<Node>, mut heard: mpsc::UnboundedReceiver<control::NewFact>) {
    while let Some(news) = heard.recv().await {
        if let Some(event) = node.event(&news.entry) {
            node.routes.tell(&event);
        }
        if news.own {
            node.spread(&news.entry);
        }
    }
}

/// Takes facts that homes here found to the other daemons.
async fn tell(node: Arc<Node>, mut found: mpsc::UnboundedReceiver<Fact>) {
    while let Some(fact) = found.recv().await {
        match fact {
            Fact::Leaving(server, start) => {
                node.control
                    .announce_leaving(server, start, control::LEAVING_LIFE);
            }
            Fact::Suspect(fingerprint, life) => {
                node.control.send(control::Input::LocalFact(
                    fact::Key::Suspect(fingerprint),
                    0,
                    life,
                ));
            }
        }
    }
}

async fn clean(node: Arc<Node>) {
    let mut ticks = interval(LEDGER_TICK);
    loop {
        ticks.tick().await;
        node.tick_ledger(node.clock.now());
        node.measure();
    }
}

impl Node {
    /// Tells homes that begin what is known already: else a home would send work to a server whose
    /// leaving was told before it began.
    async fn brief(&self, begun: &[route::Handle]) {
        if begun.is_empty() {
            return;
        }
        let facts = self.control.facts().await;
        for event in facts.iter().filter_map(|entry| self.event(entry)) {
            begun.iter().for_each(|handle| handle.send(event.clone()));
        }
    }

    /// Tells the other homes of the routes here at once of a fact found here.
    ///
    /// With the probes it would reach them within a second or two. A caller that sends a crashing
    /// request again is at the next home within milliseconds, and would take a server of each group
    /// down there too.
    fn spread(&self, entry: &fact::Entry) {
        let routes = self.routes.list();
        let homes = routes.iter().filter(|route| route.handle.is_some());
        let homes: BTreeSet<_> = homes
            .flat_map(|route| route.homes.iter())
            .map(|home| home.id)
            .collect();
        for home in homes.into_iter().filter(|home| *home != self.own.id) {
            let (peers, entry, own) = (self.peers.clone(), entry.clone(), self.own.id);
            tokio::spawn(async move {
                if let Ok(client) = peers.client(home).await {
                    // Lost, it comes with the probes.
                    let _ = client.hear(tarpc::context::current(), entry, own).await;
                }
            });
        }
    }

    /// Returns what a fact means for a home.
    fn event(&self, entry: &fact::Entry) -> Option<Event> {
        match &entry.key {
            fact::Key::Leaving(backend_server) => Some(Event::Leaving {
                backend_server: *backend_server,
                start: Some(entry.stamp.version).filter(|start| *start > 0),
            }),
            fact::Key::Suspect(fingerprint) => Some(Event::Suspect {
                fingerprint: *fingerprint,
                until: self.clock.now() + entry.life,
            }),
        }
    }
}
