//! The routes that have series of their own.

use monsoonring_configuration::id::RouteId;
use std::collections::HashSet;
use std::sync::{PoisonError, RwLock};

/// Most routes with series of their own in the life of a process. With thousands of changes a day,
/// some of which rename routes, the series would otherwise fill the memory of a process that lives
/// long.
pub const MAX_ROUTES: usize = 1_024;

/// Label of all further routes; no route can have this name.
pub const OTHERS: &str = "~others";

/// The routes seen since the start.
#[derive(Debug, Default)]
pub struct Routes {
    known: RwLock<HashSet<RouteId>>,
}

impl Routes {
    /// Returns the label of a route: its name, or [`OTHERS`] where there are too many.
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
