//! Builds registries of backend servers for the tests of this crate.
#![allow(dead_code, reason = "each test file uses a part")]

use monsoonring_decision::Time;
use monsoonring_decision::gateway::registry::{Entry, Event, Registry};

/// Returns a registry that has listed these entries.
pub(crate) fn listed(entries: &[Entry]) -> Registry {
    let mut registry = Registry::default();
    registry.handle(Event::Listed(entries.to_vec()), Time::ZERO);
    registry
}

/// Returns the names of the instances that accept new requests.
pub(crate) fn usable(registry: &Registry) -> Vec<String> {
    let usable = registry.usable();
    usable
        .values()
        .map(|entry| entry.instance.to_string())
        .collect()
}
