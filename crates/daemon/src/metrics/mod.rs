//! Prometheus metrics of the daemon.
//!
//! Label values come from the configuration (routes) or from fixed sets, never from requests, so a
//! caller can't add series to the registry. A series lives until the process ends, although routes
//! come and go with the configuration; [`routes`] therefore limits the number of route labels.
//!
//! [`front`] covers requests of callers, [`home`] attempts at backend servers, [`node`] forwarded
//! requests and idempotency keys, [`control`] members and configuration, and `process` the resource
//! usage of the process.

pub mod control;
pub mod front;
pub mod home;
pub mod label;
pub mod node;
mod process;
mod registrar;
pub mod routes;

use label::{Connection, Shed, Side};
use monsoonring_wire::meter::Meter;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use registrar::Registrar;
use routes::Routes;
use std::fmt;
use std::sync::Arc;

/// The registry and the metrics in it.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    names: Vec<String>,
    /// Requests of callers.
    pub front: front::Front,
    /// Attempts at backend servers, by route.
    pub home: home::Home,
    /// Forwarded requests and idempotency keys.
    pub node: node::Node,
    /// Members, facts and configuration.
    pub control: control::Control,
    /// Open connections, by the kind of peer.
    pub connections: Family<Connection, Gauge>,
    /// Connections closed because others need their resources.
    pub shed_connections: Family<Shed, Counter>,
    /// Log lines dropped because the queue was full.
    pub log_dropped: Counter,
    /// Bytes sent to and received from other daemons.
    pub peer_bytes: Meter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registrar = Registrar::default();
        let routes = Arc::new(Routes::default());
        let connections: Family<Connection, Gauge> = Family::default();
        let shed_connections: Family<Shed, Counter> = Family::default();
        let log_dropped = Counter::default();
        let peer_bytes = Meter::default();
        let home = home::Home::register(&mut registrar, routes.clone());
        let node = node::Node::register(&mut registrar);
        let control = control::Control::register(&mut registrar);
        registrar.add(
            "connections",
            "Open connections, by the side at the other end",
            connections.clone(),
        );
        registrar.add(
            "shed_connections",
            "Connections closed because others need their descriptors or memory",
            shed_connections.clone(),
        );
        registrar.add(
            "log_lines_dropped",
            "Log lines that did not fit into the queue",
            log_dropped.clone(),
        );
        process::register(&mut registrar, peer_bytes.clone());
        // Last, because its histograms by route make up most of the text and a reader may cut it.
        let front = front::Front::register(&mut registrar, routes);
        let (registry, names) = registrar.finish();
        Self {
            registry,
            names,
            front,
            home,
            node,
            control,
            connections,
            shed_connections,
            log_dropped,
            peer_bytes,
        }
    }
}

impl Metrics {
    /// Returns all metrics in the OpenMetrics text format. A series appears once it has been updated.
    ///
    /// # Errors
    ///
    /// Returns the error of a metric that can't be encoded, such as the CPU time of the process if
    /// `getrusage` fails.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut output = String::new();
        prometheus_client::encoding::text::encode(&mut output, &self.registry)?;
        Ok(output)
    }

    /// Returns the names of all metrics, without type suffixes such as `_total`.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Returns the gauge of open connections to the given kind of peer.
    pub fn open_connections(&self, side: Side) -> Gauge {
        self.connections.get_or_create_owned(&Connection { side })
    }
}

/// Converts a count to a gauge value, saturating at `i64::MAX`.
pub(crate) fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
