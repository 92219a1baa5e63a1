//! What the daemon counts and measures of itself, in the form that Prometheus reads.
//!
//! Labels take their values from the configuration (routes) or from fixed sets, never from what a
//! caller sends, so that no caller can make the registry grow. Routes come and go with the
//! configuration, and a series stays until the process ends; so their number is bounded too
//! ([`routes`]).
//!
//! The parts follow the daemon's: [`front`] for what callers see, [`home`] for the work at backend
//! servers, [`node`] for what is passed on and run at most once, [`control`] for members and
//! configuration, `process` for the process.

pub mod control;
pub mod front;
pub mod home;
pub mod label;
pub mod node;
mod process;
mod registrar;
pub mod routes;

use label::{Connection, Side};
use monsoonring_wire::meter::Meter;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use registrar::Registrar;
use routes::Routes;
use std::fmt;
use std::sync::Arc;

/// All that the daemon counts and measures.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    names: Vec<String>,
    /// What callers see.
    pub front: front::Front,
    /// Work at backend servers.
    pub home: home::Home,
    /// What is passed on, and what runs at most once.
    pub node: node::Node,
    /// Members, facts and configuration.
    pub control: control::Control,
    /// Open connections.
    pub connections: Family<Connection, Gauge>,
    /// Log lines that did not fit into the queue.
    pub log_dropped: Counter,
    /// Bytes between daemons.
    pub peer_bytes: Meter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registrar = Registrar::default();
        let routes = Arc::new(Routes::default());
        let connections: Family<Connection, Gauge> = Family::default();
        let log_dropped = Counter::default();
        let peer_bytes = Meter::default();
        let front = front::Front::register(&mut registrar, routes.clone());
        let home = home::Home::register(&mut registrar, routes);
        let node = node::Node::register(&mut registrar);
        let control = control::Control::register(&mut registrar);
        registrar.add(
            "connections",
            "Open connections, by the side at the other end",
            connections.clone(),
        );
        registrar.add(
            "log_lines_dropped",
            "Log lines that did not fit into the queue",
            log_dropped.clone(),
        );
        process::register(&mut registrar, peer_bytes.clone());
        let (registry, names) = registrar.finish();
        Self {
            registry,
            names,
            front,
            home,
            node,
            control,
            connections,
            log_dropped,
            peer_bytes,
        }
    }
}

impl Metrics {
    /// Writes everything in the OpenMetrics text format. Of what has not been counted yet, there is
    /// no line.
    ///
    /// # Errors
    ///
    /// Never in practice, as writing to a string does not fail; the library's signature has it.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut output = String::new();
        prometheus_client::encoding::text::encode(&mut output, &self.registry)?;
        Ok(output)
    }

    /// Returns the names of all metrics, without the suffixes that their types add.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Returns the number of open connections with one side.
    pub fn open_connections(&self, side: Side) -> Gauge {
        self.connections.get_or_create_owned(&Connection { side })
    }
}

/// Converts a count for a gauge.
pub(crate) fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
