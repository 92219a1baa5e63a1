//! Keeps the homes in step with the configuration and the registered backend servers.
//!
//! One task takes all news in order, so that no version of either can overtake a newer one. A set
//! of shards that the configuration names gets a home, and the home of one that it does not name
//! any more ends when its last request has: until then those requests keep their snapshot.

use super::News;
use super::content::Opaque;
use super::members;
use super::relay::Relay;
use super::state::{Elsewhere, Instances, State, View};
use crate::backend::Codec;
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::route::{self, Facts, Management};
use monsoonring_configuration::document;
use monsoonring_configuration::id::{BackendServerId, DataCentreId};
use monsoonring_decision::backend::ColdLimit;
use monsoonring_decision::backend::suspect::CrashSignal;
use monsoonring_decision::fact;
use monsoonring_decision::gateway::registry::Usable;
use monsoonring_decision::gateway::shards::Expected;
use monsoonring_decision::gateway::source::Readers;
use monsoonring_decision::gateway::{Registry, Shards, Table, registry, shards};
use monsoonring_decision::home::Event;
use monsoonring_decision::placement::{Allocation, Division};
use monsoonring_decision::policy::Policy;
use monsoonring_decision::{Fingerprint, Time};
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep_until;

/// Longest time between two looks at what time alone may have changed.
const IDLE: Duration = Duration::from_secs(60);

/// Time after the start from which on a host knows those that started with it: they find each other within a second.
const SETTLED: Duration = Duration::from_secs(3);

/// What the control task is started with.
pub(super) struct Settings<K> {
    pub(super) codec: Box<dyn Fn(Instances) -> K + Send>,
    pub(super) division: Division,
    /// Extra attempts that owners allow for each first one.
    pub(super) extra: f64,
    pub(super) data_centre: DataCentreId,
    pub(super) seed: u64,
    pub(super) clock: Clock,
    pub(super) log: Logger,
    pub(super) metrics: Arc<Metrics>,
    /// Told who reads the store.
    pub(super) readers: watch::Sender<Readers>,
    /// Who hands searches to other hosts.
    pub(super) relay: Arc<Relay>,
    /// Told which other data centres parts of searches may go to.
    pub(super) seek: watch::Sender<BTreeSet<DataCentreId>>,
    /// Where homes tell what the other hosts have to know.
    pub(super) facts: Facts,
}

/// Where news come from.
pub(super) struct Sources {
    /// Of the outside.
    pub(super) outside: mpsc::UnboundedReceiver<News>,
    /// Of the other hosts.
    pub(super) hosts: mpsc::UnboundedReceiver<members::News>,
    /// Operators who ask.
    pub(super) asked: mpsc::UnboundedReceiver<oneshot::Sender<Shown>>,
}

/// What operators see of configuration and registry.
pub(super) struct Shown {
    /// Version of the configuration in force, and how long it has been.
    pub(super) version: Option<u64>,
    /// See `version`.
    pub(super) age: Option<Duration>,
    /// Whether their source can't be reached.
    pub(super) is_lost: bool,
    /// Entries of backend servers.
    pub(super) registered: usize,
    /// Those of them that are missing and not yet taken as gone.
    pub(super) doubted: usize,
    /// Servers that get new work.
    pub(super) usable: usize,
    /// Data centres that operators have emptied.
    pub(super) emptied: BTreeSet<DataCentreId>,
}

/// One home, and what it was told last.
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
    /// When it came into force.
    adopted: Time,
    homes: HashMap<Shards, Home>,
    /// Requests that crash servers, and until when they are refused; for homes that begin.
    crashing: BTreeMap<Fingerprint, Time>,
    /// The data centres that were emptied when that was last written to the log.
    emptied: BTreeSet<DataCentreId>,
}

/// Takes news until nobody tells of the outside any more.
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
        crashing: BTreeMap::new(),
        emptied: BTreeSet::new(),
    };
    loop {
        let clock = controller.settings.clock;
        let wake = controller.registry.next_wake();
        let wake = wake.map_or_else(|| Instant::now() + IDLE, |at| clock.instant(at));
        let first = tokio::select! {
            first = sources.outside.recv() => match first {
                Some(first) => first,
                None => return,
            },
            Some(sender) = sources.asked.recv() => {
                // Who asked may have gone.
                let _ = sender.send(controller.shown());
                continue;
            }
            Some(news) = sources.hosts.recv() => {
                controller.heard(&news);
                continue;
            }
            () = sleep_until(wake.into()) => News::Registry(registry::Event::Tick),
        };
        let mut changed = controller.take(first);
        // What came meanwhile is taken in before the homes are told: servers come in batches.
        while let Ok(next) = sources.outside.try_recv() {
            changed |= controller.take(next);
        }
        if changed {
            controller.apply();
        }
    }
}

impl<K: Codec<Content = Opaque>> Controller<K> {
    /// Takes in one piece of news. Returns whether the homes have to hear of it.
    fn take(&mut self, news: News) -> bool {
        match news {
            News::Configuration(table) => self.configure(table),
            News::Registry(event) => {
                let about = about(&event);
                let changed = self.registry.handle(event, self.settings.clock.now());
                self.note_emptied();
                if changed {
                    let (entries, doubted) = self.registry.counts();
                    info!(self.settings.log, "backend servers"; "what" => about,
                        "registered" => entries, "doubted" => doubted,
                        "ready" => self.registry.ready());
                }
                changed
            }
        }
    }

    /// Writes to the log which data centres were emptied or given back, as this host knows it from now on.
    fn note_emptied(&mut self) {
        let emptied = self.registry.evacuations().evacuated();
        let emptied: BTreeSet<DataCentreId> = emptied.cloned().collect();
        for data_centre in emptied.difference(&self.emptied) {
            info!(self.settings.log, "data centre"; "what" => "emptied: its backend servers get no new work",
                "data_centre" => &**data_centre);
        }
        for data_centre in self.emptied.difference(&emptied) {
            info!(self.settings.log, "data centre"; "what" => "given back", "data_centre" => &**data_centre);
        }
        self.emptied = emptied;
    }

    fn shown(&self) -> Shown {
        let (registered, doubted) = self.registry.counts();
        let age = self.settings.clock.now().saturating_sub(self.adopted);
        Shown {
            version: self.table.as_ref().map(|table| table.version),
            age: self.table.as_ref().map(|_| age),
            is_lost: self.registry.is_lost(),
            registered,
            doubted,
            usable: self.registry.usable().len(),
            emptied: self.emptied.clone(),
        }
    }

    /// Takes in what the other hosts say, and tells the homes.
    fn heard(&mut self, news: &members::News) {
        let event = match news {
            &members::News::Hosts(hosts) => {
                self.settings.division = self.settings.division.with_homes(hosts);
                Event::Homes(hosts)
            }
            &members::News::Fact(fact::Entry {
                key: fact::Key::Suspect(fingerprint),
                life,
                ..
            }) => {
                let now = self.settings.clock.now();
                let until = now + life;
                self.crashing.retain(|_, until| *until > now);
                self.crashing.insert(fingerprint, until);
                Event::Suspect { fingerprint, until }
            }
            members::News::Remote(remote) => {
                self.settings.relay.told_remote(remote.clone());
                return;
            }
            members::News::Readers(readers) => {
                self.settings.readers.send_replace(readers.clone());
                return;
            }
            &members::News::Strength(host, strength) => {
                self.settings.relay.told(host, strength);
                return;
            }
            // Servers that leave say so where they are registered.
            members::News::Fact(_) => return,
        };
        for home in self.homes.values() {
            home.handle.send(event.clone());
        }
    }

    /// Returns where the shards of each set are that have no server in this data centre, and has hosts looked for
    /// there.
    fn elsewhere(&self, usable: &Usable<'_>) -> HashMap<Shards, Elsewhere> {
        let own = &self.settings.data_centre;
        let sets = self.homes.keys();
        let elsewhere: HashMap<Shards, Elsewhere> = sets
            .map(|set| (set.clone(), shards::remote_shards(set, usable, own)))
            .collect();
        let sought = elsewhere.values().flat_map(BTreeMap::keys).cloned();
        let sought: BTreeSet<DataCentreId> = sought.collect();
        self.settings.seek.send_if_modified(|known| {
            let is_new = *known != sought;
            *known = sought;
            is_new
        });
        elsewhere
    }

    /// Tells a home that begins which requests crash servers.
    fn brief(&self, home: &Home) {
        for (&fingerprint, &until) in &self.crashing {
            home.handle.send(Event::Suspect { fingerprint, until });
        }
    }

    /// Puts a version in force unless a newer one, or the same, is.
    fn configure(&mut self, table: Table) -> bool {
        let old = self.table.as_ref().map(|table| table.version);
        if old.is_some_and(|old| table.version <= old) {
            if old > Some(table.version) {
                warn!(self.settings.log, "configuration"; "what" => "older one ignored",
                    "version" => table.version, "in_force" => old);
            }
            return false;
        }
        info!(self.settings.log, "configuration"; "what" => "in force",
            "version" => table.version, "before" => old, "routes" => table.routes().count());
        let revision = table.version;
        self.settings.metrics.control.set_revision(revision);
        self.table = Some(Arc::new(table));
        self.adopted = self.settings.clock.now();
        true
    }

    /// Brings the homes in step, and requests to them.
    fn apply(&mut self) {
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
                let home = self.follow(set, &table, &usable, old.remove(set));
                self.homes.insert(set.clone(), home);
            }
        }
        for set in old.keys() {
            info!(self.settings.log, "shards"; "what" => "not in use any more",
                "set" => shards::name(set));
        }
        let elsewhere = Arc::new(self.elsewhere(&usable));
        let handles = self.homes.iter();
        let handles = handles.map(|(set, home)| (set.clone(), home.handle.clone()));
        self.state.put(View {
            table,
            homes: Arc::new(handles.collect()),
            elsewhere,
        });
    }

    /// Starts the home of a set, or tells it what changed.
    fn follow(&self, set: &Shards, table: &Table, usable: &Usable<'_>, home: Option<Home>) -> Home {
        let route = shards::route(set, table, usable, self.settings.extra);
        let expected = shards::expected(set, usable);
        let far = shards::remote_servers(set, usable, &self.settings.data_centre);
        let cold = self.cold(set, table, usable);
        let Some(home) = home else {
            let home = self.begin(set, table, route, expected, far);
            home.handle.send(Event::Cold(cold.clone()));
            self.brief(&home);
            let home = Home { cold, ..home };
            return home;
        };
        // First, so that none of them is sent its full load in between.
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
        home.handle.send(Event::RemoteServers(far));
        Home { route, ..home }
    }

    /// Returns which servers of a set are cold, with what they bear. A host that starts does not know yet among how
    /// many that is divided, so it sends them nothing.
    fn cold(
        &self,
        set: &Shards,
        table: &Table,
        usable: &Usable<'_>,
    ) -> BTreeMap<BackendServerId, ColdLimit> {
        let now = self.settings.clock.now();
        let mut cold = shards::cold(set, table, &self.registry, usable, now);
        if now < SETTLED {
            cold.values_mut().for_each(|cold| cold.max_rate = 0.0);
        }
        cold
    }

    /// Returns what the home of a set may take: nothing without need, where a larger set has the same
    /// servers.
    fn division(&self, set: &Shards, table: &Table) -> Division {
        let division = self.settings.division;
        match shards::is_in_larger_set(set, table) {
            true => division.on_demand(),
            false => division,
        }
    }

    fn begin(
        &self,
        set: &Shards,
        table: &Table,
        route: document::Route,
        expected: BTreeMap<BackendServerId, Expected>,
        far: BTreeSet<BackendServerId>,
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
                far,
            },
            // Every host has a small part of a server's requests.
            policy: Policy {
                crash_signal: CrashSignal::ConnectFailed,
                ..Policy::default()
            },
            seed: settings.seed,
            clock: settings.clock,
            log: settings.log.clone(),
            metrics: settings.metrics.clone(),
            facts: settings.facts.clone(),
            // What is decided stands in the log; nobody can ask the process itself.
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

/// Says what was learned of the backend servers, with the one that it is about.
fn about(event: &registry::Event) -> String {
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
