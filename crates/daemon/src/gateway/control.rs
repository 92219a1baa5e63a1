//! Updates the homes when the configuration or the registered backend servers change.
//!
//! A single task handles all updates in order, so that an old version never replaces a newer one. Each set of shards
//! that the configuration names has a home. The home of a set that is no longer named ends with its last request,
//! which keeps the snapshot that it started with.

use super::Update;
use super::content::Opaque;
use super::members;
use super::relay::Relay;
use super::state::{Instances, RemoteShards, State, View};
use crate::backend::Codec;
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::route::{self, Facts, Management};
use monsoonring_configuration::document;
use monsoonring_configuration::id::{BackendServerId, DataCentreId};
use monsoonring_decision::Time;
use monsoonring_decision::backend::ColdLimit;
use monsoonring_decision::backend::suspect::{Announcement, CrashSignal};
use monsoonring_decision::fact;
use monsoonring_decision::gateway::registry::Usable;
use monsoonring_decision::gateway::shards::Expected;
use monsoonring_decision::gateway::source::Readers;
use monsoonring_decision::gateway::{Registry, Shards, Table, registry, shards};
use monsoonring_decision::home::Event;
use monsoonring_decision::placement::{Allocation, Division};
use monsoonring_decision::policy::Policy;
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep_until;

/// Longest time between two checks for changes that depend only on time.
const MAX_WAKE_INTERVAL: Duration = Duration::from_secs(60);

/// Time after the start until hosts that started at the same moment have discovered each other.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);

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

/// A home, and the last state that was sent to it.
struct Home {
    handle: route::Handle<Opaque>,
    route: Arc<document::Route>,
    cold: BTreeMap<BackendServerId, ColdLimit>,
    instances: Instances,
}

struct Controller<K> {
    settings: Settings<K>,
    state: Arc<State>,
    registry: Registry,
    table: Option<Arc<Table>>,
    /// When the configuration came into force.
    adopted: Time,
    homes: HashMap<Shards, Home>,
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
                controller.homes.values().for_each(|home| controller.send_shutdown(home));
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
        for home in self.homes.values() {
            home.handle.send(event.clone());
        }
    }

    /// Returns the shards of each set that have no server in this data centre, and publishes the data centres that have
    /// one.
    fn remote_shards(&self, usable: &Usable<'_>) -> HashMap<Shards, RemoteShards> {
        let own = &self.settings.data_centre;
        let sets = self.homes.keys();
        let remote_shards: HashMap<Shards, RemoteShards> = sets
            .map(|set| (set.clone(), shards::remote_shards(set, usable, own)))
            .collect();
        let data_centres = remote_shards.values().flat_map(BTreeMap::keys).cloned();
        let data_centres: BTreeSet<DataCentreId> = data_centres.collect();
        self.settings.remote_tx.send_if_modified(|known| {
            let is_new = *known != data_centres;
            *known = data_centres;
            is_new
        });
        remote_shards
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

    /// Sends a new home what is known about requests that crash servers.
    fn send_crash_facts(&self, home: &Home) {
        for (_, event) in self.crash_facts.values() {
            home.handle.send(event.clone());
        }
    }

    /// Tells a home when its requests have to end, if a stop has begun.
    fn send_shutdown(&self, home: &Home) {
        if let Some(end) = self.shutdown {
            home.handle.send(Event::Shutdown(end));
        }
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

    /// Starts, updates and removes homes to match configuration and registry, and publishes the new view.
    fn update_homes(&mut self) {
        let Some(table) = self.table.clone().filter(|_| self.registry.is_known()) else {
            return;
        };
        let mut old = std::mem::take(&mut self.homes);
        let usable = self.registry.usable();
        for route in table.routes() {
            for set in route.sets() {
                if self.homes.contains_key(set) {
                    continue;
                }
                let home = self.update_home(set, &table, &usable, old.remove(set));
                self.homes.insert(set.clone(), home);
            }
        }
        for set in old.keys() {
            info!(self.settings.log, "shards"; "what" => "not in use any more",
                "set" => shards::name(set));
        }
        let remote_shards = Arc::new(self.remote_shards(&usable));
        let handles = self.homes.iter();
        let handles = handles.map(|(set, home)| (set.clone(), home.handle.clone()));
        self.state.set_view(View {
            table,
            homes: Arc::new(handles.collect()),
            remote_shards,
        });
    }

    /// Starts the home of a set, or sends it what changed.
    fn update_home(
        &self,
        set: &Shards,
        table: &Table,
        usable: &Usable<'_>,
        home: Option<Home>,
    ) -> Home {
        let route = shards::route(set, table, usable, self.settings.extra_attempts);
        let expected = shards::expected(set, usable);
        let remote_servers = shards::remote_servers(set, usable, &self.settings.data_centre);
        let cold = self.cold_limits(set, table, usable);
        let Some(home) = home else {
            let home = self.start_home(set, table, route, expected, remote_servers);
            home.handle.send(Event::Cold(cold.clone()));
            self.send_crash_facts(&home);
            self.send_shutdown(&home);
            let home = Home { cold, ..home };
            return home;
        };
        // Before the route, so that no cold server receives its full load in between.
        if home.cold != cold {
            home.handle.send(Event::Cold(cold.clone()));
        }
        let home = Home { cold, ..home };
        let replaced = home.instances.replace(expected);
        if !replaced.is_empty() {
            home.handle.send(Event::Replaced(replaced));
        }
        if *home.route == route {
            return home;
        }
        let route = Arc::new(route);
        home.handle.send(Event::Route(route.clone()));
        home.handle.send(Event::RemoteServers(remote_servers));
        Home { route, ..home }
    }

    /// Returns the limits of the cold servers of a set. The limit is divided among all hosts, so a host that has not
    /// yet discovered the others sends cold servers nothing.
    fn cold_limits(
        &self,
        set: &Shards,
        table: &Table,
        usable: &Usable<'_>,
    ) -> BTreeMap<BackendServerId, ColdLimit> {
        let now = self.settings.clock.now();
        let mut cold = shards::cold(set, table, &self.registry, usable, now);
        if now < DISCOVERY_TIME {
            cold.values_mut().for_each(|cold| cold.max_rate = 0.0);
        }
        cold
    }

    /// Returns how a set shares its servers among hosts. A set contained in a larger one keeps no idle connections.
    fn division(&self, set: &Shards, table: &Table) -> Division {
        let division = self.settings.division;
        match shards::is_in_larger_set(set, table) {
            true => division.on_demand(),
            false => division,
        }
    }

    fn start_home(
        &self,
        set: &Shards,
        table: &Table,
        route: document::Route,
        expected: BTreeMap<BackendServerId, Expected>,
        remote_servers: BTreeSet<BackendServerId>,
    ) -> Home {
        let settings = &self.settings;
        info!(settings.log, "shards"; "what" => "in use", "set" => shards::name(set),
            "shards" => set.len(), "backend_servers" => expected.len());
        let instances = Instances::default();
        instances.replace(expected);
        let route = Arc::new(route);
        let handle = route::spawn(route::Settings {
            codec: (settings.codec)(instances.clone()),
            management: Management::None,
            route: route.clone(),
            allocation: Allocation {
                division: self.division(set, table),
                remote_servers,
            },
            // Each host sends only a small share of a server's requests, so a lost connection counts as a crash only if
            // a connect fails afterwards.
            policy: Policy {
                crash_signal: CrashSignal::ConnectFailed,
                ..Policy::default()
            },
            seed: settings.seed,
            clock: settings.clock,
            log: settings.log.clone(),
            metrics: settings.metrics.clone(),
            facts: settings.facts.clone(),
            // Decisions are only logged; operators can't query them here.
            history: None,
        });
        Home {
            handle,
            route,
            cold: BTreeMap::new(),
            instances,
        }
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
