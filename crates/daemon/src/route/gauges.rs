//! Keeps the metrics of a route in step with its home.

use crate::metrics::home::Standing;
use crate::metrics::label::Side;
use crate::metrics::{Metrics, gauge_value};
use monsoonring_configuration::id::RouteId;
use monsoonring_decision::Time;
use monsoonring_decision::content::Content;
use monsoonring_decision::home::{Counts, Home};
use prometheus_client::metrics::gauge::Gauge;
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks at what costs a walk over all backend servers.
const PERIOD: Duration = Duration::from_secs(1);

/// What the metrics have taken over from one home.
pub(super) struct Gauges {
    metrics: Arc<Metrics>,
    route: RouteId,
    counted: Counts,
    /// Open connections of all routes, and how many of them are this one's.
    connections: Gauge,
    open: i64,
    next: Time,
}

impl Gauges {
    pub(super) fn new(metrics: Arc<Metrics>, route: RouteId) -> Self {
        let connections = metrics.open_connections(Side::BackendServer);
        Self {
            metrics,
            route,
            counted: Counts::default(),
            connections,
            open: 0,
            next: Time::ZERO,
        }
    }

    /// Takes over what has changed; called after each event.
    pub(super) fn follow(&mut self, home: &Home<impl Content>, connections: usize, now: Time) {
        let counts = home.counts();
        self.metrics.home.counted(&self.route, self.counted, counts);
        self.counted = counts;
        self.set_open(gauge_value(connections));
        if now >= self.next {
            self.next = now + PERIOD;
            let stands = Standing {
                in_progress: home.in_progress(),
                leaving: home.leaving(),
                parts_waiting: home.parts_waiting(),
                longest_wait: home.longest_wait(now),
            };
            self.metrics.home.stands(&self.route, &stands);
        }
    }

    fn set_open(&mut self, open: i64) {
        self.connections.inc_by(open - self.open);
        self.open = open;
    }
}

impl Drop for Gauges {
    /// A home that ended has nothing any more: its last values would stand for ever.
    fn drop(&mut self) {
        self.set_open(0);
        self.metrics.home.stands(&self.route, &Standing::default());
    }
}
