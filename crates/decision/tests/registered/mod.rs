//! Registries for the tests of this crate, and what can be used of them.
#![allow(dead_code, reason = "each test file uses a part")]

use monsoonring_decision::Time;
use monsoonring_decision::gateway::registry::{Entry, Event, Registry};

/// Returns a registry that has read these entries.
pub(crate) fn listed(entries: &[Entry]) -> Registry {
    let mut registry = Registry::default();
    registry.handle(Event::Listed(entries.to_vec()), Time::ZERO);
    registry
}

/// Returns the names of the starts that may be given new work.
pub(crate) fn usable(registry: &Registry) -> Vec<String> {
    let usable = registry.usable();
    usable
        .values()
        .map(|one| one.instance.to_string())
        .collect()
}
