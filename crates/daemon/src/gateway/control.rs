//! Updates the homes when the configuration or the registered backend servers change.
//!
//! A single task handles all updates in order, so that an old version never replaces a newer one.

mod home;

use super::Update;
use super::content::Opaque;
use super::members;
use super::relay::Relay;
use super::state::{Instances, State};
use crate::backend::Codec;
use crate::body::Memory;
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::route::Facts;
use monsoonring_configuration::id::DataCentreId;
use monsoonring_decision::Time;
use monsoonring_decision::backend::Ledger;
use monsoonring_decision::backend::suspect::Announcement;
use monsoonring_decision::fact;
use monsoonring_decision::gateway::source::Readers;
use monsoonring_decision::gateway::{Registry, Shards, Table, registry};
use monsoonring_decision::home::Event;
use monsoonring_decision::placement::Division;
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep_until;

/// Longest time between two checks for changes that depend only on time.
const MAX_WAKE_INTERVAL: Duration = Duration::from_secs(60);

/// Settings of the control task.
pub(super) struct Settings<K> {
    pub(super) codec: Box<dyn Fn(Instances) -> K + Send>,
    pub(super) division: Division,
    /// Extra attempts allowed per first attempt.
    pub(super) extra_attempts: f64,
    pub(super) data_centre: DataCentreId,
    pub(super) seed: u64,
    pub(super) clock: Clock,
    pub(super) log: Logger,
    pub(super) metrics: Arc<Metrics>,
    /// Publishes which hosts read the store.
    pub(super) readers: watch::Sender<Readers>,
    /// Sends searches to other hosts.
    pub(super) relay: Arc<Relay>,
    /// Publishes the remote data centres that searches can be delegated to.
    pub(super) remote_tx: watch::Sender<BTreeSet<DataCentreId>>,
    /// Facts that homes share with other hosts.
    pub(super) facts: Facts,
    /// Attempts of all homes to cold backend servers.
    pub(super) cold: Ledger,
    /// Memory for responses of backend servers.
    pub(super) memory: Arc<Memory>,
}

/// Channels that the control task receives from.
pub(super) struct Sources {
    /// Updates of configuration and registry.
    pub(super) updates: mpsc::UnboundedReceiver<Update>,
    /// Updates about the other hosts.
    pub(super) host_updates: mpsc::UnboundedReceiver<members::Update>,
    /// Requests for the status.
    pub(super) status_requests: mpsc::UnboundedReceiver<oneshot::Sender<Status>>,
    /// When all requests have to end, once a stop has begun.
    pub(super) shutdown: watch::Receiver<Option<Time>>,
}

/// Status of configuration and registry, for operators.
pub(super) struct Status {
    /// Version of the configuration in force.
    pub(super) version: Option<u64>,
    /// Time since it came into force.
    pub(super) age: Option<Duration>,
    /// Whether the store can't be reached.
    pub(super) is_store_lost: bool,
    /// Number of registered backend servers.
    pub(super) registered: usize,
    /// Registered backend servers that are missing and not yet considered gone.
    pub(super) missing: usize,
    /// Number of servers that receive new work.
    pub(super) usable: usize,
    /// Data centres that operators have evacuated.
    pub(super) evacuated: BTreeSet<DataCentreId>,
}

struct Controller<K> {
    settings: Settings<K>,
    state: Arc<State>,
    registry: Registry,
    table: Option<Arc<Table>>,
    /// When the configuration came into force.
    adopted: Time,
    homes: HashMap<Shards, home::Home>,
    /// Homes of sets that are no longer named and may still have requests.
    retired: HashMap<Shards, home::Retired>,
    /// What is known about requests that crash servers, and until when; sent to new homes.
    crash_facts: BTreeMap<fact::Key, (Time, Event<Opaque>)>,
    /// Evacuated data centres, as last written to the log.
    evacuated: BTreeSet<DataCentreId>,
    /// When all requests have to end, once a stop has begun.
    shutdown: Option<Time>,
}

/// Handles updates until the adapter closes its channel.
pub(super) async fn run<K: Codec<Content = Opaque>>(
    settings: Settings<K>,
    state: Arc<State>,
    mut sources: Sources,
) {
    let mut controller = Controller {
        settings,
        state,
        registry: Registry::default(),
        table: None,
        adopted: Time::ZERO,
        homes: HashMap::new(),
        retired: HashMap::new(),
        crash_facts: BTreeMap::new(),
        evacuated: BTreeSet::new(),
        shutdown: None,
    };
    loop {
        let clock = controller.settings.clock;
        let wake = controller.registry.next_wake();
        let wake = wake.map_or_else(
            || Instant::now() + MAX_WAKE_INTERVAL,
            |at| clock.instant(at),
        );
        let first = tokio::select! {
            first = sources.updates.recv() => match first {
                Some(first) => first,
                None => return,
            },
            Some(reply) = sources.status_requests.recv() => {
                // The requester may be gone.
                let _ = reply.send(controller.status());
                continue;
            }
            Some(update) = sources.host_updates.recv() => {
                controller.handle_host_update(&update);
                continue;
            }
            Ok(()) = sources.shutdown.changed() => {
                controller.shutdown = *sources.shutdown.borrow_and_update();
                if let Some(end) = controller.shutdown {
                    controller.broadcast(&Event::Shutdown(end));
                }
                continue;
            }
            () = sleep_until(wake.into()) => Update::Registry(registry::Event::Tick),
        };
        let mut changed = controller.apply_update(first);
        // Servers register in batches: applies all pending updates before the homes are updated.
        while let Ok(next) = sources.updates.try_recv() {
            changed |= controller.apply_update(next);
        }
        if changed {
            controller.update_homes();
        }
    }
}

impl<K: Codec<Content = Opaque>> Controller<K> {
    /// Applies an update. Returns whether the homes must be updated.
    fn apply_update(&mut self, update: Update) -> bool {
        match update {
            Update::Configuration(table) => self.configure(table),
            Update::Registry(event) => {
                let description = describe_event(&event);
                let changed = self.registry.handle(event, self.settings.clock.now());
                self.log_evacuations();
                if changed {
                    let (entries, missing) = self.registry.counts();
                    info!(self.settings.log, "backend servers"; "what" => description,
                        "registered" => entries, "doubted" => missing,
                        "ready" => self.registry.ready());
                }
                changed
            }
        }
    }

    /// Logs which data centres were evacuated or restored since the last call.
    fn log_evacuations(&mut self) {
        let evacuated = self.registry.evacuations().evacuated();
        let evacuated: BTreeSet<DataCentreId> = evacuated.cloned().collect();
        for data_centre in evacuated.difference(&self.evacuated) {
            info!(self.settings.log, "data centre"; "what" => "emptied: its backend servers get no new work",
                "data_centre" => &**data_centre);
        }
        for data_centre in self.evacuated.difference(&evacuated) {
            info!(self.settings.log, "data centre"; "what" => "given back", "data_centre" => &**data_centre);
        }
        self.evacuated = evacuated;
    }

    fn status(&self) -> Status {
        let (registered, missing) = self.registry.counts();
        let age = self.settings.clock.now().saturating_sub(self.adopted);
        Status {
            version: self.table.as_ref().map(|table| table.version),
            age: self.table.as_ref().map(|_| age),
            is_store_lost: self.registry.is_lost(),
            registered,
            missing,
            usable: self.registry.usable().len(),
            evacuated: self.evacuated.clone(),
        }
    }

    /// Handles an update about the other hosts.
    fn handle_host_update(&mut self, update: &members::Update) {
        let event = match update {
            &members::Update::Hosts(hosts) => {
                self.settings.division = self.settings.division.with_homes(hosts);
                Event::Homes(hosts)
            }
            members::Update::Fact(entry) => match self.record_crash_fact(entry) {
                Some(event) => event,
                None => return,
            },
            members::Update::Remote(remote) => {
                self.settings.relay.set_remote(remote.clone());
                return;
            }
            members::Update::Readers(readers) => {
                self.settings.readers.send_replace(readers.clone());
                return;
            }
            &members::Update::Strength(host, strength) => {
                self.settings.relay.set_strength(host, strength);
                return;
            }
        };
        self.broadcast(&event);
    }

    /// Records a fact about requests that crash servers. Returns the event for the homes.
    fn record_crash_fact(&mut self, entry: &fact::Entry) -> Option<Event<Opaque>> {
        let now = self.settings.clock.now();
        let until = now + entry.life;
        let event = match entry.key {
            fact::Key::Suspect(fingerprint) => Event::Suspect { fingerprint, until },
            fact::Key::CrashEvidence(fingerprint, server) => {
                let announcement = Announcement {
                    fingerprint,
                    server,
                    version: entry.stamp.version,
                };
                Event::CrashEvidence(announcement, until)
            }
            // The registry reports leaving servers.
            fact::Key::Leaving(_) => return None,
        };
        self.crash_facts.retain(|_, (until, _)| *until > now);
        self.crash_facts
            .insert(entry.key.clone(), (until, event.clone()));
        Some(event)
    }

    /// Puts a version of the configuration in force unless it is the current one or older. Returns whether it did.
    fn configure(&mut self, table: Table) -> bool {
        let in_force = self.table.as_ref().map(|table| table.version);
        if in_force.is_some_and(|in_force| table.version <= in_force) {
            if in_force > Some(table.version) {
                warn!(self.settings.log, "configuration"; "what" => "older one ignored",
                    "version" => table.version, "in_force" => in_force);
            }
            return false;
        }
        info!(self.settings.log, "configuration"; "what" => "in force",
            "version" => table.version, "before" => in_force, "routes" => table.routes().count());
        let revision = table.version;
        self.settings.metrics.control.set_revision(revision);
        self.table = Some(Arc::new(table));
        self.adopted = self.settings.clock.now();
        true
    }
}

/// Describes an event of the registry for the log.
fn describe_event(event: &registry::Event) -> String {
    match event {
        registry::Event::Listed(entries) => format!("{} listed", entries.len()),
        registry::Event::Written(entry) => format!(
            "{} of {} at {} {:?}, born {}, sequence {}, revision {}",
            entry.instance,
            entry.service,
            entry.address,
            entry.state,
            entry.order.started_at,
            entry.order.sequence,
            entry.revision
        ),
        registry::Event::Unreadable(instance, revision) => {
            format!("{instance} unreadable, revision {revision}")
        }
        registry::Event::Deleted(instance) => format!("{instance} gone"),
        registry::Event::EvacuationOrdered(order) => {
            format!("{} emptied, revision {}", order.data_centre, order.revision)
        }
        registry::Event::EvacuationWithdrawn(order) => {
            format!(
                "{} given back, revision {}",
                order.data_centre, order.revision
            )
        }
        registry::Event::EvacuationsListed(orders, as_of) => {
            format!("{} data centres emptied, revision {as_of}", orders.len())
        }
        registry::Event::StoreRestored => "source went back to an older copy".to_owned(),
        registry::Event::StoreLost => "source lost".to_owned(),
        registry::Event::StoreRegained => "source regained".to_owned(),
        registry::Event::Tick => "doubt over".to_owned(),
    }
}
