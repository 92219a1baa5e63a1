//! What the daemon counts and measures of itself, in the form that Prometheus reads.
//!
//! Labels take their values from the configuration (routes) or from the enums in [`label`], never from
//! what a caller sends, so that no caller can make the registry grow.

pub mod label;

use label::{Attempt, ByRoute, Connection, Member, Refusal, Request, Sending, Standing};
use monsoonring_configuration::id::RouteId;
use monsoonring_decision::outcome::Reason;
use monsoonring_wire::meter::Meter;
use nix::sys::resource::{UsageWho, getrusage};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, text};
use prometheus_client::metrics::counter::{ConstCounter, Counter};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::fmt;

/// Upper bounds of the latency buckets, in seconds; close together around a second's third, where
/// the deadlines are.
const LATENCY_BUCKETS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.2, 0.36, 0.5, 1.0, 2.5, 10.0,
];

/// Upper bounds of the coverage buckets; the last but one holds what is almost complete.
const COVERAGE_BUCKETS: [f64; 9] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999_999, 1.0];

const MICROSECONDS_PER_SECOND: f64 = 1_000_000.0;

/// All that the daemon counts and measures.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Callers' requests that ended.
    pub requests: Family<Request, Counter>,
    /// Time from the end of a request's head to its answer, in seconds.
    pub latency: Family<ByRoute, Histogram>,
    /// Share of the data that an answer was taken from.
    pub coverage: Family<ByRoute, Histogram>,
    /// Attempts sent to backend servers.
    pub attempts: Family<Attempt, Counter>,
    /// Attempts cancelled.
    pub cancelled: Family<ByRoute, Counter>,
    /// Requests refused or failed.
    pub refused: Family<Refusal, Counter>,
    /// Open connections.
    pub connections: Family<Connection, Gauge>,
    /// Callers' connections above the limit.
    pub excess_connections: Counter,
    /// Callers' requests in flight.
    pub in_flight: Gauge,
    /// Revision of the configuration in force; 0 before the first.
    pub revision: Gauge,
    /// Known members, this one included.
    pub members: Family<Member, Gauge>,
    /// Log lines that did not fit into the queue.
    pub log_dropped: Counter,
    /// Bytes between daemons.
    pub peer_bytes: Meter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("monsoonring"),
            requests: Family::default(),
            latency: Family::new_with_constructor(|| Histogram::new(LATENCY_BUCKETS)),
            coverage: Family::new_with_constructor(|| Histogram::new(COVERAGE_BUCKETS)),
            attempts: Family::default(),
            cancelled: Family::default(),
            refused: Family::default(),
            connections: Family::default(),
            excess_connections: Counter::default(),
            in_flight: Gauge::default(),
            revision: Gauge::default(),
            members: Family::default(),
            log_dropped: Counter::default(),
            peer_bytes: Meter::default(),
        };
        metrics.register_requests();
        metrics.register_attempts();
        metrics.register_process();
        metrics
    }
}

impl Metrics {
    /// Writes everything in the OpenMetrics text format.
    ///
    /// # Errors
    ///
    /// Never in practice, as writing to a string does not fail; the library's signature has it.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut output = String::new();
        text::encode(&mut output, &self.registry)?;
        Ok(output)
    }

    /// Counts a refusal or failure for an outcome's reason.
    pub fn refuse(&self, reason: Reason) {
        self.count_refusal(label::reason(reason));
    }

    /// Counts a refusal or failure.
    pub(crate) fn count_refusal(&self, reason: &'static str) {
        self.refused.get_or_create(&Refusal { reason }).inc();
    }

    /// Counts a decision of a home, if it is to send something.
    pub(crate) fn count_decision(&self, route: &RouteId, what: &str) {
        let kind = match what {
            "send" | "execute" => Sending::First,
            "hedge" => Sending::Hedge,
            "retry" | "rest" => Sending::Retry,
            _ => return,
        };
        let label = Attempt {
            route: route.clone(),
            kind,
        };
        self.attempts.get_or_create(&label).inc();
    }

    /// Counts a cancelled attempt.
    pub(crate) fn count_cancelled(&self, route: &RouteId) {
        let label = ByRoute {
            route: route.clone(),
        };
        self.cancelled.get_or_create(&label).inc();
    }

    /// Sets the number of members.
    pub(crate) fn set_members(&self, alive: usize, suspect: usize) {
        for (state, count) in [(Standing::Alive, alive), (Standing::Suspect, suspect)] {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.members.get_or_create(&Member { state }).set(count);
        }
    }

    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests of callers that ended, by route, class of the caller and outcome",
            self.requests.clone(),
        );
        registry.register_with_unit(
            "request_duration",
            "Time from the end of a request's head to its answer",
            Unit::Seconds,
            self.latency.clone(),
        );
        registry.register_with_unit(
            "answer_coverage",
            "Share of the data that an answer was taken from, by published weight",
            Unit::Other("ratio".to_owned()),
            self.coverage.clone(),
        );
        registry.register(
            "refusals",
            "Requests refused or failed, by reason",
            self.refused.clone(),
        );
        registry.register(
            "requests_in_flight",
            "Requests of callers in flight",
            self.in_flight.clone(),
        );
    }

    fn register_attempts(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "attempts",
            "Attempts sent to backend servers, by route and kind",
            self.attempts.clone(),
        );
        registry.register(
            "attempts_cancelled",
            "Attempts cancelled at backend servers, by route",
            self.cancelled.clone(),
        );
        registry.register(
            "connections",
            "Open connections, by the side at the other end",
            self.connections.clone(),
        );
        registry.register(
            "excess_connections",
            "Connections of callers above the limit",
            self.excess_connections.clone(),
        );
    }

    fn register_process(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "configuration_revision",
            "Revision of the configuration in force",
            self.revision.clone(),
        );
        registry.register("members", "Known members, by state", self.members.clone());
        registry.register(
            "log_lines_dropped",
            "Log lines that did not fit into the queue",
            self.log_dropped.clone(),
        );
        registry.register_collector(Box::new(ProcessorTime));
        registry.register_collector(Box::new(PeerBytes(self.peer_bytes.clone())));
    }
}

/// Bytes between daemons, read when the metrics are.
#[derive(Debug)]
struct PeerBytes(Meter);

impl Collector for PeerBytes {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let directions = [
            ("peer_sent", "Bytes sent to other daemons.", self.0.sent()),
            (
                "peer_received",
                "Bytes received from other daemons.",
                self.0.received(),
            ),
        ];
        for (name, help, bytes) in directions {
            let counter = ConstCounter::new(bytes);
            let kind = counter.metric_type();
            let metric = encoder.encode_descriptor(name, help, Some(&Unit::Bytes), kind)?;
            counter.encode(metric)?;
        }
        Ok(())
    }
}

/// Processor time of the process, read when the metrics are.
#[derive(Debug)]
struct ProcessorTime;

impl Collector for ProcessorTime {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let usage = getrusage(UsageWho::RUSAGE_SELF).map_err(|_| fmt::Error)?;
        let counter = ConstCounter::new(seconds(usage.user_time()) + seconds(usage.system_time()));
        let metric = encoder.encode_descriptor(
            "process_cpu",
            "Processor time that the process has used.",
            Some(&Unit::Seconds),
            counter.metric_type(),
        )?;
        counter.encode(metric)
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "microseconds of one second are exact"
)]
fn seconds(time: nix::sys::time::TimeVal) -> f64 {
    time.tv_sec() as f64 + time.tv_usec() as f64 / MICROSECONDS_PER_SECOND
}
