//! Distributes the requests of a route over its weighted targets.

use monsoonring_configuration::id::RouteId;
use monsoonring_decision::gateway::Shards;
use monsoonring_decision::gateway::split::Split;
use monsoonring_decision::gateway::table::{Route, Target};
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// Scheduling state of all routes with weighted targets.
#[derive(Debug, Default)]
pub(super) struct Splits(Mutex<HashMap<RouteId, Split>>);

impl Splits {
    /// Returns the target of the next request of a route, or `None` if the route has no target.
    pub(super) fn next(&self, route: &Route) -> Option<Shards> {
        let parts = match &route.target {
            Target::FanOut(fan_out) => return Some(fan_out.shards.clone()),
            Target::Split(parts) => parts,
        };
        if let [only] = &parts[..] {
            return Some(only.shards.clone());
        }
        let mut splits = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let split = splits.entry(route.name.clone()).or_default();
        split.next(parts).map(|index| parts[index].shards.clone())
    }
}
