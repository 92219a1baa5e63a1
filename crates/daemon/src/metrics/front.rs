//! Metrics of callers' requests: outcomes, latency, coverage and refusals.

use super::label::{ByClass, ClassLabel, Delegation, OutcomeLabel, Refusal, Request};
use super::registrar::Registrar;
use super::routes::Routes;
use monsoonring_configuration::document::Class;
use monsoonring_configuration::id::RouteId;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Unit;
use std::sync::Arc;
use std::time::Duration;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.2, 0.36, 0.5, 1.0, 2.5, 10.0,
];

/// Upper bounds of the coverage buckets; the last bucket holds only complete answers.
const COVERAGE_BUCKETS: [f64; 9] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999_999, 1.0];

/// Metrics of callers' requests.
#[derive(Debug)]
pub struct Front {
    routes: Arc<Routes>,
    requests: Family<Request, Counter>,
    latency: Family<ByClass, Histogram>,
    coverage: Family<ByClass, Histogram>,
    refusals: Family<Refusal, Counter>,
    relays: Family<Delegation, Counter>,
    /// Callers' requests in flight.
    pub in_flight: Gauge,
    /// Callers' connections above the limit.
    pub excess_connections: Counter,
}

impl Front {
    pub(super) fn register(registrar: &mut Registrar, routes: Arc<Routes>) -> Self {
        let front = Self {
            routes,
            requests: Family::default(),
            latency: Family::new_with_constructor(|| Histogram::new(LATENCY_BUCKETS)),
            coverage: Family::new_with_constructor(|| Histogram::new(COVERAGE_BUCKETS)),
            refusals: Family::default(),
            relays: Family::default(),
            in_flight: Gauge::default(),
            excess_connections: Counter::default(),
        };
        registrar.add(
            "requests",
            "Requests of callers that ended, by route, class of the caller and outcome",
            front.requests.clone(),
        );
        registrar.add_with_unit(
            "request_duration",
            "Time from the end of a request's head to its answer",
            Unit::Seconds,
            front.latency.clone(),
        );
        registrar.add_with_unit(
            "answer_coverage",
            "Share of the data that an answer was taken from, by published weight",
            Unit::Other("ratio".to_owned()),
            front.coverage.clone(),
        );
        registrar.add(
            "refusals",
            "Requests refused or failed, by route, class of the caller and reason",
            front.refusals.clone(),
        );
        registrar.add(
            "relays",
            "Searches handed to another host, by how that ended",
            front.relays.clone(),
        );
        registrar.add(
            "requests_in_flight",
            "Requests of callers in flight",
            front.in_flight.clone(),
        );
        registrar.add(
            "excess_connections",
            "Connections of callers above the limit",
            front.excess_connections.clone(),
        );
        front
    }

    /// Records the outcome of a request, and its duration if its route was determined.
    pub fn record_outcome(
        &self,
        route: Option<&RouteId>,
        class: Option<Class>,
        outcome: OutcomeLabel,
        duration: Duration,
    ) {
        let label = Request {
            route: self.label(route),
            class: ClassLabel(class),
            outcome,
        };
        self.requests.get_or_create(&label).inc();
        if let Some(label) = self.by_class(route, class) {
            self.latency
                .get_or_create(&label)
                .observe(duration.as_secs_f64());
        }
    }

    /// Records the coverage of an answer, from 0 to 1, if its route is known.
    pub fn record_coverage(&self, route: Option<&RouteId>, class: Option<Class>, coverage: f64) {
        if let Some(label) = self.by_class(route, class) {
            self.coverage.get_or_create(&label).observe(coverage);
        }
    }

    /// Records a search that was delegated to another host.
    pub fn record_delegation(&self, outcome: &'static str) {
        self.relays.get_or_create(&Delegation { outcome }).inc();
    }

    /// Records a refused or failed request.
    pub fn record_refusal(
        &self,
        route: Option<&RouteId>,
        class: Option<Class>,
        reason: &'static str,
    ) {
        let label = Refusal {
            route: self.label(route),
            class: ClassLabel(class),
            reason,
        };
        self.refusals.get_or_create(&label).inc();
    }

    fn label(&self, route: Option<&RouteId>) -> RouteId {
        route.map_or_else(RouteId::default, |route| self.routes.label(route))
    }

    fn by_class(&self, route: Option<&RouteId>, class: Option<Class>) -> Option<ByClass> {
        Some(ByClass {
            route: self.routes.label(route?),
            class: ClassLabel(class),
        })
    }
}
