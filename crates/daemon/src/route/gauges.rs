//! Updates the metrics of a route from the state of its home.

use crate::metrics::home::Snapshot;
use crate::metrics::label::Side;
use crate::metrics::{Metrics, gauge_value};
use monsoonring_configuration::id::RouteId;
use monsoonring_decision::Time;
use monsoonring_decision::content::Content;
use monsoonring_decision::home::{Counts, Home};
use prometheus_client::metrics::gauge::Gauge;
use std::sync::Arc;
use std::time::Duration;

/// Interval between updates of the gauges that require a scan of all backend servers.
const SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// The values that were last exported for a home.
pub(super) struct Gauges {
    metrics: Arc<Metrics>,
    route: RouteId,
    exported: Counts,
    /// Open connections of all routes; `open` is this route's share.
    connections: Gauge,
    open: i64,
    next_scan: Time,
}

impl Gauges {
    pub(super) fn new(metrics: Arc<Metrics>, route: RouteId) -> Self {
        let connections = metrics.open_connections(Side::BackendServer);
        Self {
            metrics,
            route,
            exported: Counts::default(),
            connections,
            open: 0,
            next_scan: Time::ZERO,
        }
    }

    /// Exports what has changed; called after each event.
    pub(super) fn update(&mut self, home: &Home<impl Content>, connections: usize, now: Time) {
        let counts = home.counts();
        self.metrics
            .home
            .add_counts(&self.route, self.exported, counts);
        self.exported = counts;
        self.set_open(gauge_value(connections));
        if now >= self.next_scan {
            self.next_scan = now + SCAN_INTERVAL;
            let snapshot = Snapshot {
                in_progress: home.in_progress(),
                leaving: home.leaving(),
                parts_waiting: home.parts_waiting(),
                longest_wait: home.longest_wait(now),
            };
            self.metrics.home.set_gauges(&self.route, &snapshot);
        }
    }

    fn set_open(&mut self, open: i64) {
        self.connections.inc_by(open - self.open);
        self.open = open;
    }
}

impl Drop for Gauges {
    /// Resets the gauges, which would otherwise keep the last values of a home that has ended.
    fn drop(&mut self) {
        self.set_open(0);
        self.metrics
            .home
            .set_gauges(&self.route, &Snapshot::default());
    }
}
