//! Which routes this daemon is a home of, kept in step with configuration and members.

use crate::backend::Json;
use crate::control::View;
use crate::route::{self, Handle};
use monsoonring_configuration::document::Route;
use monsoonring_configuration::id::RouteId;
use monsoonring_decision::home::Event;
use monsoonring_decision::member::MemberId;
use monsoonring_decision::placement::{self, Difference, Member};
use slog::{Logger, info};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// One route as this daemon sees it.
#[derive(Clone)]
pub(super) struct Entry {
    /// Its configuration.
    pub(super) route: Arc<Route>,
    /// Its homes, best first.
    pub(super) homes: Arc<[Member]>,
    /// Its task, if this daemon is a home.
    pub(super) handle: Option<Handle>,
}

/// Starts the task of a route with that many homes.
type Spawn = Box<dyn Fn(Arc<Route>, usize) -> Handle + Send + Sync>;

/// All routes of the configuration in force.
pub(super) struct Routes {
    own: MemberId,
    log: Logger,
    spawn: Spawn,
    /// Number of homes of each route in place of placement's own.
    homes: Option<usize>,
    entries: Mutex<HashMap<RouteId, Entry>>,
    /// The members that the homes were chosen from.
    members: Mutex<Arc<[Member]>>,
}

impl Routes {
    pub(super) fn new(own: MemberId, log: Logger, spawn: Spawn, homes: Option<usize>) -> Self {
        Self {
            own,
            log,
            spawn,
            homes,
            entries: Mutex::default(),
            members: Mutex::default(),
        }
    }

    pub(super) fn get(&self, route: &str) -> Option<Entry> {
        self.lock().get(route).cloned()
    }

    pub(super) fn list(&self) -> Vec<Entry> {
        self.lock().values().cloned().collect()
    }

    /// Tells every home here of an event.
    pub(super) fn tell(&self, event: &Event) {
        for entry in self.lock().values() {
            if let Some(handle) = &entry.handle {
                handle.send(event.clone());
            }
        }
    }

    /// Follows a change of configuration or members, and returns the homes that begin here.
    pub(super) fn update(&self, view: &View) -> Vec<Handle> {
        let Some(configuration) = &view.configuration else {
            return Vec::new();
        };
        let mut begun = Vec::new();
        let difference = self.difference(view);
        let mut entries = self.lock();
        let mut old = std::mem::take(&mut *entries);
        for route in &configuration.document().routes {
            let Some(route) = configuration.route(&route.name) else {
                continue;
            };
            let old = old.remove(&route.name);
            let was_home = old.as_ref().is_some_and(|old| old.handle.is_some());
            let entry = self.follow(route, old, view, &difference);
            begun.extend(entry.handle.clone().filter(|_| !was_home));
            entries.insert(route.name.clone(), entry);
        }
        for (name, entry) in old {
            self.end(&name, entry.handle, "the route is not configured any more");
        }
        begun
    }

    /// Compares the members of the view with those that the homes were chosen from.
    fn difference(&self, view: &View) -> Difference {
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let old = std::mem::replace(&mut *members, view.members.clone());
        Difference::between(&old, &view.members)
    }

    /// Returns the homes of a route, kept where they can't have changed.
    fn homes(
        &self,
        route: &Route,
        old: Option<&Entry>,
        view: &View,
        difference: &Difference,
    ) -> Arc<[Member]> {
        let members = view.members.len();
        let count = placement::homes(&route.capacity, route.groups.len(), members);
        let count = self.homes.map_or(count, |homes| homes.min(members));
        let kept = old.filter(|old| {
            let homes: Vec<MemberId> = old.homes.iter().map(|home| home.id).collect();
            homes.len() == count && !difference.may_affect(&route.name, &homes)
        });
        if let Some(old) = kept {
            return old.homes.clone();
        }
        let homes = placement::select(&route.name, &view.members, count);
        let homes = homes.into_iter().filter_map(|home| view.member(home));
        homes.collect()
    }

    fn follow(
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
                self.end(&route.name, Some(handle), "other members rank higher");
                None
            }
            Some(old) if old.handle.is_some() => {
                self.adjust(&old, route, homes.len());
                old.handle
            }
            _ if is_home => Some(self.begin(route, homes.len())),
            _ => None,
        };
        Entry {
            route: route.clone(),
            homes,
            handle,
        }
    }

    fn begin(&self, route: &Arc<Route>, homes: usize) -> Handle {
        info!(self.log, "placement"; "what" => "home", "route" => &*route.name, "homes" => homes,
            "why" => "this member ranks among the first");
        (self.spawn)(route.clone(), homes)
    }

    fn adjust(&self, old: &Entry, route: &Arc<Route>, homes: usize) {
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

    /// Ends a home. Its task goes on until what is in flight has ended.
    fn end(&self, name: &RouteId, handle: Option<Handle>, why: &str) {
        let Some(handle) = handle else { return };
        info!(self.log, "placement"; "what" => "no home", "route" => &**name, "why" => why);
        handle.send(Event::Stop);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RouteId, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes the function that starts routes.
pub(super) fn spawner(
    settings: impl Fn(Arc<Route>, usize) -> route::Settings<Json> + Send + Sync + 'static,
) -> Spawn {
    Box::new(move |route, homes| route::spawn(settings(route, homes)))
}
