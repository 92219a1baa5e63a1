//! Whose turn it is on each route.

use monsoonring_configuration::id::RouteId;
use monsoonring_decision::gateway::Shards;
use monsoonring_decision::gateway::split::Split;
use monsoonring_decision::gateway::table::{Route, Target};
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// Credits of all routes that are split.
#[derive(Debug, Default)]
pub(super) struct Splits(Mutex<HashMap<RouteId, Split>>);

impl Splits {
    /// Returns where the next request of a route goes, `None` where the route leads nowhere.
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
