//! A new configuration of the route in the midst of queries.
//!
//! Symptom guarded against: an answer that misses what was moved while the query ran, or one that
//! calls itself complete by a placement that no longer holds. What was merged stays merged, as it
//! is counted in keys; only what is missing is dealt out by the new placement.

use super::placement::Placement;
use super::state::Home;
use crate::Time;
use crate::attempt::AttemptId;
use crate::query::coverage::Set;
use crate::query::run::{Cause, Part, Run};
use monsoonring_configuration::document::Route;
use monsoonring_configuration::id::BackendServerId;
use std::sync::Arc;

impl Home {
    /// Takes over a new configuration of the route. Queries in progress keep what they have merged;
    /// what they lack is asked of the servers that hold it now.
    pub(super) fn reroute(&mut self, route: Arc<Route>, now: Time) {
        self.fleet.reconfigure(&route, now);
        self.pool.reconfigure(&route, now);
        self.gate.reconfigure(&route);
        self.hedges.set_percent(route.hedge.budget_percent);
        self.retries.set_percent(route.retry.budget_percent);
        let gone = self.replace(route);
        for server in gone {
            self.evacuate(server, now);
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
    fn redeal(&mut self, run: &mut Run, now: Time) {
        let mut lacking = Set::default();
        for (id, part) in std::mem::take(&mut run.parts) {
            match self.home_of(&part) {
                Some(group) => {
                    run.parts.insert(id, Part { group, ..part });
                }
                None => {
                    lacking.join(&part.wanted);
                    self.detach(run, &part.live, now);
                }
            }
        }
        lacking.join(&run.unplanned(&self.route));
        for part in run.deal(&lacking, &self.route, &Part::default()) {
            self.assign(run, part, Cause::Rest, now);
        }
    }

    /// Returns the group that holds a part as a whole and has all servers that work on it. A part
    /// on which nobody works has none: it is dealt out again.
    fn home_of(&self, part: &Part) -> Option<usize> {
        let servers: Vec<BackendServerId> = part
            .live
            .iter()
            .filter_map(|id| self.flights.get(*id))
            .map(|flight| flight.server)
            .collect();
        if servers.is_empty() {
            return None;
        }
        self.route.groups.iter().position(|group| {
            let holds = part.wanted.difference(&Set::from(group.keys)).is_empty();
            holds && servers.iter().all(|s| group.backend_servers.contains(s))
        })
    }

    /// Leaves attempts without a part: those not yet sent are taken back.
    fn detach(&mut self, run: &mut Run, live: &[AttemptId], now: Time) {
        for id in live {
            if self.withdraw(*id, now).is_none() {
                run.detached.push(*id);
            }
        }
    }
}
