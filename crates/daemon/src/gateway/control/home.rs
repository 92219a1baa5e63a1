//! The homes of the sets of shards that the configuration names.
//!
//! The home of a set that is no longer named ends with its last request. Until then it keeps the configuration that
//! named it, and learns of every change of the backend servers: its requests may wait for long, and must not be sent to
//! a server that has left meanwhile.

use super::Controller;
use crate::backend::Codec;
use crate::gateway::content::Opaque;
use crate::gateway::state::{Instances, RemoteShards, View};
use crate::route::{self, Management};
use monsoonring_configuration::document;
use monsoonring_configuration::id::{BackendServerId, DataCentreId};
use monsoonring_decision::attempt::ReplyIdentity;
use monsoonring_decision::backend::ColdLimit;
use monsoonring_decision::backend::suspect::CrashSignal;
use monsoonring_decision::gateway::registry::Usable;
use monsoonring_decision::gateway::{Shards, Table, shards};
use monsoonring_decision::home::Event;
use monsoonring_decision::placement::{Allocation, Division};
use monsoonring_decision::policy::Policy;
use slog::info;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Time after the start until hosts that started at the same moment have discovered each other.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// A home, and the last state that was sent to it.
pub(super) struct Home {
    handle: route::Handle<Opaque>,
    sent: Sent,
}

impl Home {
    fn retire(self) -> Retired {
        Retired {
            handle: self.handle.downgrade(),
            sent: self.sent,
        }
    }
}

/// The home of a set that the configuration no longer names. Its requests keep it running.
pub(super) struct Retired {
    handle: route::WeakHandle<Opaque>,
    sent: Sent,
}

impl Retired {
    /// Returns the home, or `None` if its last request has ended.
    fn upgrade(self) -> Option<Home> {
        Some(Home {
            handle: self.handle.upgrade()?,
            sent: self.sent,
        })
    }
}

/// The state that was last sent to a home.
struct Sent {
    /// The latest configuration that names the set.
    table: Arc<Table>,
    route: Arc<document::Route>,
    cold: BTreeMap<BackendServerId, ColdLimit>,
    instances: Instances,
}

impl<K: Codec<Content = Opaque>> Controller<K> {
    /// Starts, updates and removes homes to match configuration and registry, and publishes the new view.
    pub(super) fn update_homes(&mut self) {
        let Some(table) = self.table.clone().filter(|_| self.registry.is_known()) else {
            return;
        };
        let mut old = std::mem::take(&mut self.homes);
        let mut retired = std::mem::take(&mut self.retired);
        let usable = self.registry.usable();
        for route in table.routes() {
            for set in route.sets() {
                if self.homes.contains_key(set) {
                    continue;
                }
                let revived = || retired.remove(set).and_then(Retired::upgrade);
                let home = match old.remove(set).or_else(revived) {
                    Some(home) => self.update_home(set, &table, &usable, home),
                    None => self.start_home(set, &table, &usable),
                };
                self.homes.insert(set.clone(), home);
            }
        }
        for (set, home) in old {
            info!(self.settings.log, "shards"; "what" => "not in use any more",
                "set" => shards::name(&set));
            retired.insert(set, home.retire());
        }
        self.retired = self.update_retired(retired, &usable);
        let remote_shards = Arc::new(self.remote_shards(&usable));
        let handles = self.homes.iter();
        let handles = handles.map(|(set, home)| (set.clone(), home.handle.clone()));
        self.state.set_view(View {
            table,
            homes: Arc::new(handles.collect()),
            remote_shards,
        });
    }

    /// Sends the homes of sets that are no longer named what changed, and drops those whose last request has ended.
    fn update_retired(
        &self,
        retired: HashMap<Shards, Retired>,
        usable: &Usable<'_>,
    ) -> HashMap<Shards, Retired> {
        let running = retired.into_iter().filter_map(|(set, retired)| {
            let home = retired.upgrade()?;
            let table = home.sent.table.clone();
            let home = self.update_home(&set, &table, usable, home);
            Some((set, home.retire()))
        });
        running.collect()
    }

    /// Sends the home of a set what changed.
    fn update_home(
        &self,
        set: &Shards,
        table: &Arc<Table>,
        usable: &Usable<'_>,
        home: Home,
    ) -> Home {
        let Home { handle, sent } = home;
        let route = shards::route(set, table, usable, self.settings.extra_attempts);
        let cold = self.cold_limits(set, table, usable);
        // Before the route, so that no cold server receives its full load in between.
        if sent.cold != cold {
            handle.send(Event::Cold(cold.clone()));
        }
        let replaced = sent.instances.replace(shards::expected(set, usable));
        if !replaced.is_empty() {
            handle.send(Event::Replaced(replaced));
        }
        let route = match *sent.route == route {
            true => sent.route,
            false => {
                let route = Arc::new(route);
                let data_centre = &self.settings.data_centre;
                let remote_servers = shards::remote_servers(set, usable, data_centre);
                handle.send(Event::Route(route.clone()));
                handle.send(Event::RemoteServers(remote_servers));
                route
            }
        };
        let sent = Sent {
            table: table.clone(),
            route,
            cold,
            instances: sent.instances,
        };
        Home { handle, sent }
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

    /// Starts the home of a set, and sends it what is known.
    fn start_home(&self, set: &Shards, table: &Arc<Table>, usable: &Usable<'_>) -> Home {
        let settings = &self.settings;
        let route = shards::route(set, table, usable, settings.extra_attempts);
        let expected = shards::expected(set, usable);
        let remote_servers = shards::remote_servers(set, usable, &settings.data_centre);
        let cold = self.cold_limits(set, table, usable);
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
                cold: settings.cold.clone(),
            },
            // Each host sends only a small share of a server's requests, so a lost connection counts as a crash only if
            // a connect fails afterwards.
            policy: Policy {
                crash_signal: CrashSignal::ConnectFailed,
                reply_identity: ReplyIdentity::Request,
                ..Policy::default()
            },
            seed: settings.seed,
            clock: settings.clock,
            log: settings.log.clone(),
            metrics: settings.metrics.clone(),
            facts: settings.facts.clone(),
            memory: settings.memory.clone(),
            // Decisions are only logged; operators can't query them here.
            history: None,
        });
        handle.send(Event::Cold(cold.clone()));
        self.send_crash_facts(&handle);
        if let Some(end) = self.shutdown {
            handle.send(Event::Shutdown(end));
        }
        let sent = Sent {
            table: table.clone(),
            route,
            cold,
            instances,
        };
        Home { handle, sent }
    }

    /// Sends an event to all homes, also to those of sets that are no longer named.
    pub(super) fn broadcast(&self, event: &Event<Opaque>) {
        let retired = self.retired.values();
        let retired = retired.filter_map(|retired| retired.handle.upgrade());
        let homes = self.homes.values().map(|home| home.handle.clone());
        for handle in homes.chain(retired) {
            handle.send(event.clone());
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

    /// Sends a new home what is known about requests that crash servers.
    fn send_crash_facts(&self, handle: &route::Handle<Opaque>) {
        for (_, event) in self.crash_facts.values() {
            handle.send(event.clone());
        }
    }
}
