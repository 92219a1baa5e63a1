//! Applies a new configuration of the route while requests are in progress.
//!
//! Without this, an answer could miss keys that moved during the search, or count as complete by an
//! outdated placement. Merged results stay, because coverage is counted in keys; only missing keys
//! are assigned again by the new placement.

use super::flight::Flight;
use super::placement::Placement;
use super::state::Home;
use crate::Time;
use crate::attempt::AttemptId;
use crate::content::Content;
use crate::query::coverage::KeySet;
use crate::query::search::{Cause, Part, Search};
use monsoonring_configuration::document::Route;
use monsoonring_configuration::id::BackendServerId;
use std::sync::Arc;

impl<C: Content> Home<C> {
    /// Applies a new configuration of the route. Searches in progress keep their merged results;
    /// missing keys are assigned to the servers that hold them now.
    pub(super) fn apply_route(&mut self, route: Arc<Route>, now: Time) {
        self.fleet.reconfigure(&route, now);
        self.pool.reconfigure(&route, now);
        self.gate.reconfigure(&route);
        self.budgets.reconfigure(&route);
        let removed = self.install(route);
        for server in removed {
            self.move_queued(server, now);
            self.outages.remove(&server);
        }
        let groups = 0..self.route.groups.len();
        self.changed_groups.extend(groups);
        self.update_pin();
        for id in self.searches.keys().copied().collect::<Vec<_>>() {
            self.with_search(id, now, |home, search| home.reassign_parts(search, now));
        }
    }

    /// Installs the route. Returns the servers that it no longer contains.
    fn install(&mut self, route: Arc<Route>) -> Vec<BackendServerId> {
        let new = Placement::new(&route);
        let old = std::mem::replace(&mut self.placement, new);
        let removed = self.placement.carry_over(old);
        let waiting = std::mem::take(&mut self.waiting);
        self.waiting
            .insert(0, waiting.into_values().flatten().collect());
        self.route = route;
        removed
    }

    /// Assigns the missing keys of a search by the new placement. Parts that a group still holds as
    /// a whole stay as they are. Of the others, sent attempts may still deliver keys, and delivered
    /// keys are not requested again. New parts inherit the attempts that were made for their keys,
    /// so that a change of the route allows no further ones.
    fn reassign_parts(&mut self, search: &mut Search<C>, now: Time) {
        let mut moved = Vec::new();
        for (id, mut part) in std::mem::take(&mut search.parts) {
            let target = match search.deferred.contains(&id) {
                true => self.group_with_keys(&part),
                false => self.group_for(&part),
            };
            match target {
                Some(group) => {
                    part.group = group;
                    self.withdraw_moved(&mut part, now);
                    search.parts.insert(id, part);
                }
                None => {
                    search.deferred.remove(&id);
                    part.attempts -= self.detach(search, &part.live, now);
                    moved.push(part);
                }
            }
        }
        let mut new_parts = Vec::new();
        for origin in moved {
            new_parts.extend(search.add_parts(&origin.wanted, &self.route, &origin));
        }
        let unplanned = search.unplanned(&self.route);
        new_parts.extend(search.add_new_parts(&unplanned, &self.route));
        for part in new_parts {
            self.assign(search, part, Cause::Remainder, now);
        }
    }

    /// Returns the group that holds exactly the keys of a part. Deferred parts use this and stay
    /// deferred: assigned again, they would get a retry outside the budget.
    fn group_with_keys(&self, part: &Part) -> Option<usize> {
        let groups = &self.route.groups;
        groups
            .iter()
            .position(|group| KeySet::from(group.keys) == part.wanted)
    }

    /// Returns the group that a part belongs to in the new placement: it holds all keys of the
    /// part, and either all servers with attempts of the part are in it, or its keys are unchanged
    /// and an attempt was sent. Returns `None` for a part without attempts, so it is assigned
    /// again.
    ///
    /// A server that was removed from a group still finishes its attempts. Sending another attempt
    /// for each of them would cause a burst of attempts whenever servers are replaced.
    fn group_for(&self, part: &Part) -> Option<usize> {
        let flights = part.live.iter().filter_map(|id| self.flights.get(*id));
        let flights: Vec<&Flight> = flights.collect();
        if flights.is_empty() {
            return None;
        }
        let is_sent = flights.iter().any(|flight| flight.connection.is_some());
        self.route.groups.iter().position(|group| {
            let keys = KeySet::from(group.keys);
            let is_in_group = |flight: &&Flight| group.backend_servers.contains(&flight.server);
            let is_held = part.wanted.difference(&keys).is_empty();
            is_held && (flights.iter().all(is_in_group) || is_sent && part.wanted == keys)
        })
    }

    /// Withdraws queued attempts to servers that left the part's group. Such an address may belong
    /// to another server by now, which would answer from other data.
    fn withdraw_moved(&mut self, part: &mut Part, now: Time) {
        let group = &self.route.groups[part.group].backend_servers;
        let is_moved = |id: &AttemptId| {
            let flight = self.flights.get(*id);
            flight.is_some_and(|flight| !group.contains(&flight.server))
        };
        let moved: Vec<AttemptId> = part.live.iter().copied().filter(is_moved).collect();
        for id in moved {
            if self.withdraw(id, now).is_some() {
                part.live.retain(|live| *live != id);
                part.attempts = part.attempts.saturating_sub(1);
            }
        }
    }

    /// Detaches attempts from their part; withdraws those that were not sent, and returns their
    /// number.
    fn detach(&mut self, search: &mut Search<C>, live: &[AttemptId], now: Time) -> u32 {
        let mut withdrawn = 0;
        for id in live {
            if self.withdraw(*id, now).is_some() {
                withdrawn += 1;
            } else {
                search.detached.push(*id);
            }
        }
        withdrawn
    }
}
