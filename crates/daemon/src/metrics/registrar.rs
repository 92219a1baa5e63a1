//! Registers metrics and records their names, so that a test can compare them with the docs.

use prometheus_client::collector::Collector;
use prometheus_client::registry::{Metric, Registry, Unit};

const PREFIX: &str = "monsoonring";

/// A builder for the registry and the list of metric names.
pub(super) struct Registrar {
    registry: Registry,
    names: Vec<String>,
}

impl Default for Registrar {
    fn default() -> Self {
        Self {
            registry: Registry::with_prefix(PREFIX),
            names: Vec::new(),
        }
    }
}

impl Registrar {
    /// Registers a metric.
    pub(super) fn add(&mut self, name: &'static str, help: &'static str, metric: impl Metric) {
        self.names.push(format!("{PREFIX}_{name}"));
        self.registry.register(name, help, metric);
    }

    /// Registers a metric whose name ends in its unit.
    pub(super) fn add_with_unit(
        &mut self,
        name: &'static str,
        help: &'static str,
        unit: Unit,
        metric: impl Metric,
    ) {
        self.names
            .push(format!("{PREFIX}_{name}_{}", unit.as_str()));
        self.registry.register_with_unit(name, help, unit, metric);
    }

    /// Registers a collector that writes the named metrics.
    pub(super) fn collect(&mut self, names: &[&str], collector: Box<dyn Collector>) {
        let names = names.iter().map(|name| format!("{PREFIX}_{name}"));
        self.names.extend(names);
        self.registry.register_collector(collector);
    }

    /// Returns the registry and the names of its metrics.
    pub(super) fn finish(self) -> (Registry, Vec<String>) {
        (self.registry, self.names)
    }
}
