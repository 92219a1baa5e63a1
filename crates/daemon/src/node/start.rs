//! Starts a daemon's tasks.

use super::execute::SharedLedger;
use super::forward::Tracker;
use super::history::History;
use super::routes::{Routes, spawner};
use super::{Front, Node, stop};
use crate::backend::Json;
use crate::body::Memory;
use crate::clock::{Clock, start_number};
use crate::metrics::Metrics;
use crate::peer::{self, Pool};
use crate::route::{self, Fact};
use crate::run::{Telemetry, max_sockets};
use crate::settings::Settings;
use crate::{control, platform};
use monsoonring_decision::backend::suspect::{Announcement, EVIDENCE_RETENTION};
use monsoonring_decision::client::{Budget, Shares};
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

/// Interval at which expired keys are removed from the ledger.
const LEDGER_EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the daemon's tasks and serves its peers on `peers`.
pub(crate) fn start(
    settings: &Settings,
    peers: TcpListener,
    advertised: SocketAddr,
    log: Logger,
    metrics: Arc<Metrics>,
) -> Front {
    let clock = Clock::start();
    let mut rng = rng(settings.seed);
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
    let (new_facts, new_facts_rx) = mpsc::unbounded_channel();
    let control = control::spawn(control::Settings {
        own: own.clone(),
        start,
        seeds: settings.peers.clone(),
        members: member::Settings::default(),
        seed: rng.random(),
        clock,
        service: platform::Service::new(settings.configuration_service),
        list: platform::List::new(settings.host_list),
        peers: pool.clone(),
        log: log.clone(),
        metrics: metrics.clone(),
        new_facts,
    });
    let (found_facts_tx, found_facts_rx) = mpsc::unbounded_channel();
    let history = History::default();
    let routes = routes(
        settings,
        &own,
        Telemetry {
            log: log.clone(),
            metrics: metrics.clone(),
        },
        clock,
        found_facts_tx,
        history.clone(),
        rng.random(),
    );
    let fence = Fence {
        member: own.id,
        start,
    };
    let ledger = Ledger::new(
        fence,
        Secret::from(rng.random::<[u8; 32]>()),
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
        stopping: stop::StopState::default(),
        history,
    });
    tokio::spawn(apply_views(node.clone()));
    tokio::spawn(deliver_facts(node.clone(), new_facts_rx));
    tokio::spawn(publish_facts(node.clone(), found_facts_rx));
    tokio::spawn(maintain_ledger(node.clone()));
    let peer_share = Shares::of(max_sockets()).peers.total();
    let max_connections = settings.limits.max_peer_connections.min(peer_share);
    tokio::spawn(peer::serve(node.clone(), peers, endpoint, max_connections));
    Front(node)
}

fn rng(seed: Option<u64>) -> ChaCha20Rng {
    match seed {
        Some(seed) => ChaCha20Rng::seed_from_u64(seed),
        None => ChaCha20Rng::from_os_rng(),
    }
}

fn routes(
    settings: &Settings,
    own: &Member,
    telemetry: Telemetry,
    clock: Clock,
    facts: route::Facts,
    history: History,
    seed: u64,
) -> Routes {
    let Telemetry { log, metrics } = telemetry;
    let route_log = log.clone();
    let baseline = &settings.baseline;
    let policy = baseline.policy();
    let answer_bytes = Budget::of(settings.memory_limit()).answer_bytes;
    let memory = Arc::new(Memory::new(answer_bytes));
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
        memory: memory.clone(),
        history: Some(history.clone()),
    });
    Routes::new(own.id, log, spawn, baseline.homes())
}

/// Applies each change of the view to the routes, the peer connections and the forwarding
/// statistics.
async fn apply_views(node: Arc<Node>) {
    let mut changes = node.control.changes();
    while changes.changed().await.is_ok() {
        let view = changes.borrow_and_update().clone();
        let started = node.routes.update(&view);
        node.send_known_facts(&started).await;
        let known: HashSet<SocketAddr> = view.members.iter().map(|member| member.id).collect();
        node.forwards.retain(|id| known.contains(id));
        node.peers.retain(|id| known.contains(id));
    }
}

/// Delivers new facts to the homes in this daemon; sends those found here to peers.
async fn deliver_facts(
    node: Arc<Node>,
    mut new_facts_rx: mpsc::UnboundedReceiver<control::NewFact>,
) {
    while let Some(new) = new_facts_rx.recv().await {
        if let Some(event) = node.home_event(&new.entry) {
            node.routes.broadcast(&event);
        }
        if new.found_here {
            node.push_fact(&new.entry);
        }
    }
}

/// Publishes the facts that homes in this daemon found.
async fn publish_facts(node: Arc<Node>, mut found_facts_rx: mpsc::UnboundedReceiver<Fact>) {
    while let Some(fact) = found_facts_rx.recv().await {
        match fact {
            Fact::Leaving(server, start) => {
                node.control
                    .announce_leaving(server, start, control::LEAVING_LIFETIME);
            }
            Fact::Suspect(fingerprint, lifetime) => {
                node.control.send(control::Input::LocalFact(
                    fact::Key::Suspect(fingerprint),
                    // A refusal has no version.
                    0,
                    lifetime,
                ));
            }
            Fact::CrashEvidence(announcement) => {
                node.control.send(control::Input::LocalFact(
                    fact::Key::CrashEvidence(announcement.fingerprint, announcement.server),
                    announcement.version,
                    EVIDENCE_RETENTION,
                ));
            }
        }
    }
}

/// Removes expired keys from the ledger and updates its metrics.
async fn maintain_ledger(node: Arc<Node>) {
    let mut ticks = interval(LEDGER_EXPIRY_INTERVAL);
    loop {
        ticks.tick().await;
        node.expire_keys(node.clock.now());
        node.update_key_metrics();
    }
}

impl Node {
    /// Sends the known facts to homes that have just started. Without them, a home would send
    /// requests to a server that was announced as leaving before the home started.
    async fn send_known_facts(&self, started: &[route::Handle]) {
        if started.is_empty() {
            return;
        }
        let facts = self.control.facts().await;
        for event in facts.iter().filter_map(|entry| self.home_event(entry)) {
            started.iter().for_each(|handle| handle.send(event.clone()));
        }
    }

    /// Pushes a fact found here to the other homes of this daemon's routes.
    ///
    /// Gossip takes a second or two. A caller that retries a request that crashes servers reaches
    /// another home within milliseconds. Without the fact, that home would send the request again
    /// and crash another server of each group.
    fn push_fact(&self, entry: &fact::Entry) {
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
                    // If the call fails, gossip still delivers the fact.
                    let _ = client.hear(tarpc::context::current(), entry, own).await;
                }
            });
        }
    }

    /// Converts a fact to the event that homes receive.
    fn home_event(&self, entry: &fact::Entry) -> Option<Event> {
        match &entry.key {
            fact::Key::Leaving(backend_server) => Some(Event::Leaving {
                backend_server: *backend_server,
                // Version 0: it is unknown which start of the server is leaving.
                start: Some(entry.stamp.version).filter(|start| *start > 0),
            }),
            fact::Key::Suspect(fingerprint) => Some(Event::Suspect {
                fingerprint: *fingerprint,
                until: self.clock.now() + entry.life,
            }),
            fact::Key::CrashEvidence(fingerprint, server) => {
                let announcement = Announcement {
                    fingerprint: *fingerprint,
                    server: *server,
                    version: entry.stamp.version,
                };
                let until = self.clock.now() + entry.life;
                Some(Event::CrashEvidence(announcement, until))
            }
        }
    }
}
