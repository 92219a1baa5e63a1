//! Limits the number of routes that appear as label values.

use monsoonring_configuration::id::RouteId;
use std::collections::HashSet;
use std::sync::{PoisonError, RwLock};

/// Maximum number of distinct route labels during the life of a process. Series are never removed,
/// so renamed routes would otherwise make memory use grow without bound.
pub const MAX_ROUTES: usize = 1_024;

/// Label shared by all further routes; not a valid route name.
pub const OTHERS: &str = "~others";

/// The routes that have their own label.
#[derive(Debug, Default)]
pub struct Routes {
    known: RwLock<HashSet<RouteId>>,
}

impl Routes {
    /// Returns the label of a route: its name, or [`OTHERS`] if the limit has been reached.
    pub fn label(&self, route: &RouteId) -> RouteId {
        let known = self.known.read().unwrap_or_else(PoisonError::into_inner);
        if known.contains(route) {
            return route.clone();
        }
        drop(known);
        let mut known = self.known.write().unwrap_or_else(PoisonError::into_inner);
        if known.len() >= MAX_ROUTES && !known.contains(route) {
            return OTHERS.into();
        }
        known.insert(route.clone());
        route.clone()
    }
}
