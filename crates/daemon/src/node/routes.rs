//! Tracks the routes that this daemon is a home of as configuration and members change.

use crate::backend::Json;
use crate::control::View;
use crate::route::{self, Handle, WeakHandle};
use monsoonring_configuration::document::Route;
use monsoonring_configuration::id::RouteId;
use monsoonring_decision::Time;
use monsoonring_decision::home::Event;
use monsoonring_decision::member::MemberId;
use monsoonring_decision::placement::{self, Difference, Member};
use slog::{Logger, info};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A route with its homes.
#[derive(Clone)]
pub(super) struct Entry {
    /// Configuration of the route.
    pub(super) route: Arc<Route>,
    /// Homes of the route, highest rank first.
    pub(super) homes: Arc<[Member]>,
    /// Handle of the home's task if this daemon is a home.
    pub(super) handle: Option<Handle>,
}

/// Starts the task of a route, given its number of homes.
type Spawn = Box<dyn Fn(Arc<Route>, usize) -> Handle + Send + Sync>;

/// All routes of the configuration in force.
pub(super) struct Routes {
    own: MemberId,
    log: Logger,
    spawn: Spawn,
    /// Overrides the number of homes per route that placement computes.
    homes_override: Option<usize>,
    entries: Mutex<HashMap<RouteId, Entry>>,
    /// Homes that take no new requests and may still have some in progress.
    retired: Mutex<Vec<(RouteId, WeakHandle)>>,
    /// Members at the last update, from which the homes were chosen.
    members: Mutex<Arc<[Member]>>,
    /// When all requests have to end, once a stop has begun.
    shutdown: Mutex<Option<Time>>,
}

impl Routes {
    pub(super) fn new(
        own: MemberId,
        log: Logger,
        spawn: Spawn,
        homes_override: Option<usize>,
    ) -> Self {
        Self {
            own,
            log,
            spawn,
            homes_override,
            entries: Mutex::default(),
            retired: Mutex::default(),
            members: Mutex::default(),
            shutdown: Mutex::default(),
        }
    }

    pub(super) fn get(&self, route: &str) -> Option<Entry> {
        self.lock().get(route).cloned()
    }

    pub(super) fn list(&self) -> Vec<Entry> {
        self.lock().values().cloned().collect()
    }

    /// Sends an event to every home in this daemon, also to those that take no new requests.
    pub(super) fn broadcast(&self, event: &Event) {
        for entry in self.lock().values() {
            if let Some(handle) = &entry.handle {
                handle.send(event.clone());
            }
        }
        for (_, handle) in self.running_retired() {
            handle.send(event.clone());
        }
    }

    /// Returns the homes that take no new requests, and drops those whose last request has ended.
    fn running_retired(&self) -> Vec<(RouteId, Handle)> {
        let mut retired = self.retired.lock().unwrap_or_else(PoisonError::into_inner);
        let mut running = Vec::new();
        retired.retain(|(route, handle)| match handle.upgrade() {
            Some(handle) => {
                running.push((route.clone(), handle));
                true
            }
            None => false,
        });
        running
    }

    /// Sends a new version of a route to its homes that take no new requests: what waits there must
    /// not be sent to servers that have left the route.
    fn update_retired(&self, route: &Arc<Route>) {
        let retired = self.running_retired().into_iter();
        for (_, handle) in retired.filter(|(name, _)| *name == route.name) {
            handle.send(Event::Route(route.clone()));
        }
    }

    /// Tells every home, also those that start later, when its requests have to end.
    pub(super) fn shut_down(&self, end: Time) {
        // Before the broadcast, so that no home misses it.
        *self.shutdown() = Some(end);
        self.broadcast(&Event::Shutdown(end));
    }

    /// Applies a change of configuration or members; returns the homes that were started.
    pub(super) fn update(&self, view: &View) -> Vec<Handle> {
        let Some(configuration) = &view.configuration else {
            return Vec::new();
        };
        let mut started = Vec::new();
        let difference = self.difference(view);
        let mut entries = self.lock();
        let mut old = std::mem::take(&mut *entries);
        for route in &configuration.document().routes {
            let Some(route) = configuration.route(&route.name) else {
                continue;
            };
            let old = old.remove(&route.name);
            if old.as_ref().is_some_and(|old| old.route != *route) {
                self.update_retired(route);
            }
            let was_home = old.as_ref().is_some_and(|old| old.handle.is_some());
            let entry = self.update_entry(route, old, view, &difference);
            started.extend(entry.handle.clone().filter(|_| !was_home));
            entries.insert(route.name.clone(), entry);
        }
        for (name, entry) in old {
            self.stop_home(
                &name,
                entry.handle,
                "the route was removed from the configuration",
            );
        }
        started
    }

    /// Returns the difference from the members at the last update, and stores the new members.
    fn difference(&self, view: &View) -> Difference {
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let old = std::mem::replace(&mut *members, view.members.clone());
        Difference::between(&old, &view.members)
    }

    /// Returns the homes of a route; reuses the old ones if the difference can't affect them.
    fn homes(
        &self,
        route: &Route,
        old: Option<&Entry>,
        view: &View,
        difference: &Difference,
    ) -> Arc<[Member]> {
        let members = view.members.len();
        let count = placement::homes(&route.capacity, route.groups.len(), members);
        let count = self
            .homes_override
            .map_or(count, |homes| homes.min(members));
        let unchanged = old.filter(|old| {
            let homes: Vec<MemberId> = old.homes.iter().map(|home| home.id).collect();
            homes.len() == count && !difference.may_affect(&route.name, &homes)
        });
        if let Some(old) = unchanged {
            return old.homes.clone();
        }
        let homes = placement::select(&route.name, &view.members, count);
        let homes = homes.into_iter().filter_map(|home| view.member(home));
        homes.collect()
    }

    fn update_entry(
        &self,
        route: &Arc<Route>,
        old: Option<Entry>,
        view: &View,
        difference: &Difference,
    ) -> Entry {
        let homes = self.homes(route, old.as_ref(), view, difference);
        let is_home = homes.iter().any(|home| home.id == self.own);
        let handle = match old {
            Some(Entry {
                handle: Some(handle),
                ..
            }) if !is_home => {
                self.stop_home(
                    &route.name,
                    Some(handle),
                    "this member no longer ranks among the homes",
                );
                None
            }
            Some(old) if old.handle.is_some() => {
                self.update_home(&old, route, homes.len());
                old.handle
            }
            _ if is_home => Some(self.start_home(route, homes.len())),
            _ => None,
        };
        Entry {
            route: route.clone(),
            homes,
            handle,
        }
    }

    fn start_home(&self, route: &Arc<Route>, homes: usize) -> Handle {
        info!(self.log, "placement"; "what" => "home", "route" => &*route.name, "homes" => homes,
            "why" => "this member ranks among the homes");
        let handle = (self.spawn)(route.clone(), homes);
        if let Some(end) = *self.shutdown() {
            handle.send(Event::Shutdown(end));
        }
        handle
    }

    fn update_home(&self, old: &Entry, route: &Arc<Route>, homes: usize) {
        let Some(handle) = &old.handle else { return };
        if old.route != *route {
            handle.send(Event::Route(route.clone()));
        }
        if old.homes.len() != homes {
            info!(self.log, "placement"; "what" => "share", "route" => &*route.name,
                "homes" => homes, "why" => "the number of homes changed");
            handle.send(Event::Homes(homes.into()));
        }
    }

    /// Stops a home. Its task ends when the requests in progress have finished; until then it learns
    /// of changes.
    fn stop_home(&self, name: &RouteId, handle: Option<Handle>, reason: &str) {
        let Some(handle) = handle else { return };
        info!(self.log, "placement"; "what" => "no home", "route" => &**name, "why" => reason);
        handle.send(Event::Stop);
        let mut retired = self.retired.lock().unwrap_or_else(PoisonError::into_inner);
        retired.retain(|(_, handle)| handle.upgrade().is_some());
        retired.push((name.clone(), handle.downgrade()));
    }

    fn shutdown(&self) -> MutexGuard<'_, Option<Time>> {
        self.shutdown.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RouteId, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the function that starts the task of a route with these settings.
pub(super) fn spawner(
    settings: impl Fn(Arc<Route>, usize) -> route::Settings<Json> + Send + Sync + 'static,
) -> Spawn {
    Box::new(move |route, homes| route::spawn(settings(route, homes)))
}
