//! A new configuration of the route in the midst of queries.
//!
//! Symptom guarded against: an answer that misses what was moved while the query ran, or one that
//! calls itself complete by a placement that no longer holds. What was merged stays merged, as it
//! is counted in keys; only what is missing is dealt out by the new placement.

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
    /// Takes over a new configuration of the route. Queries in progress keep what they have merged;
    /// what they lack is asked of the servers that hold it now.
    pub(super) fn reroute(&mut self, route: Arc<Route>, now: Time) {
        self.fleet.reconfigure(&route, now);
        self.pool.reconfigure(&route, now);
        self.gate.reconfigure(&route);
        self.budgets.reconfigure(&route);
        let gone = self.replace(route);
        for server in gone {
            self.evacuate(server, now);
            self.outages.remove(&server);
        }
        let groups = 0..self.route.groups.len();
        self.changed.extend(groups);
        self.repin();
        for id in self.runs.keys().copied().collect::<Vec<_>>() {
            self.with_run(id, now, |home, run| home.redeal(run, now));
        }
    }

    /// Puts the route in force; returns the servers that are no longer in it.
    fn replace(&mut self, route: Arc<Route>) -> Vec<BackendServerId> {
        let new = Placement::new(&route);
        let old = std::mem::replace(&mut self.placement, new);
        let gone = self.placement.inherit(old);
        let waiting = std::mem::take(&mut self.waiting);
        self.waiting
            .insert(0, waiting.into_values().flatten().collect());
        self.route = route;
        gone
    }

    /// Deals the missing keys of a run out again by the new placement. A part that its servers
    /// still hold as a whole stays as it is. Of the others, attempts that were sent may still bring
    /// what they were asked for, and what they bring first is not asked again.
    fn redeal(&mut self, run: &mut Search<C>, now: Time) {
        let mut lacking = KeySet::default();
        for (id, mut part) in std::mem::take(&mut run.parts) {
            let home = match run.deferred.contains(&id) {
                true => self.same_keys(&part),
                false => self.home_of(&part),
            };
            match home {
                Some(group) => {
                    part.group = group;
                    self.recall(&mut part, now);
                    run.parts.insert(id, part);
                }
                None => {
                    run.deferred.remove(&id);
                    lacking.union_with(&part.wanted);
                    self.detach(run, &part.live, now);
                }
            }
        }
        lacking.union_with(&run.unplanned(&self.route));
        for part in run.add_parts(&lacking, &self.route, &Part::default()) {
            self.assign(run, part, Cause::Remainder, now);
        }
    }

    /// Returns the group that has kept just the part's keys. A failed part that waits for the others
    /// of its search waits on: dealt out again, it would get a further attempt outside the budget.
    fn same_keys(&self, part: &Part) -> Option<usize> {
        let groups = &self.route.groups;
        groups
            .iter()
            .position(|group| KeySet::from(group.keys) == part.wanted)
    }

    /// Returns the group that holds a part as a whole and has all servers that work on it, or that
    /// has kept just the part's keys while one of its servers, gone from the route, still works on
    /// them. A part on which nobody works has none: it is dealt out again.
    ///
    /// A server that left a group finishes what it has. Asking another one for each attempt that it
    /// still works on would send a burst of extra attempts whenever servers are replaced.
    fn home_of(&self, part: &Part) -> Option<usize> {
        let flights = part.live.iter().filter_map(|id| self.flights.get(*id));
        let flights: Vec<&Flight> = flights.collect();
        if flights.is_empty() {
            return None;
        }
        let is_sent = flights.iter().any(|flight| flight.connection.is_some());
        self.route.groups.iter().position(|group| {
            let keys = KeySet::from(group.keys);
            let works = |flight: &&Flight| group.backend_servers.contains(&flight.server);
            let holds = part.wanted.difference(&keys).is_empty();
            holds && (flights.iter().all(works) || is_sent && part.wanted == keys)
        })
    }

    /// Takes back what waits for a connection to a server that is not in the part's group any more.
    /// Its address may be another server's by now, which would answer from another part of the data.
    fn recall(&mut self, part: &mut Part, now: Time) {
        let group = &self.route.groups[part.group].backend_servers;
        let elsewhere = |id: &AttemptId| {
            let flight = self.flights.get(*id);
            flight.is_some_and(|flight| !group.contains(&flight.server))
        };
        let moved: Vec<AttemptId> = part.live.iter().copied().filter(elsewhere).collect();
        for id in moved {
            if self.withdraw(id, now).is_some() {
                part.live.retain(|live| *live != id);
                part.attempts = part.attempts.saturating_sub(1);
            }
        }
    }

    /// Leaves attempts without a part: those not yet sent are taken back.
    fn detach(&mut self, run: &mut Search<C>, live: &[AttemptId], now: Time) {
        for id in live {
            if self.withdraw(*id, now).is_none() {
                run.detached.push(*id);
            }
        }
    }
}
