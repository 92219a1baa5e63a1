//! What a daemon passes on to homes, and the keys of non-idempotent requests.

use super::gauge_value;
use super::label::{Forward, KeyDecision};
use super::registrar::Registrar;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

/// Metrics of a daemon among others.
#[derive(Debug, Default)]
pub struct Node {
    hops: Family<Forward, Counter>,
    decided: Family<KeyDecision, Counter>,
    /// Keys issued by this daemon.
    pub keys_issued: Counter,
    kept: Gauge,
    running: Gauge,
}

impl Node {
    pub(super) fn register(registrar: &mut Registrar) -> Self {
        let node = Self::default();
        registrar.add(
            "hops",
            "Requests passed on to other daemons, by how that ended",
            node.hops.clone(),
        );
        registrar.add(
            "key_decisions",
            "Sends of non-idempotent requests, by what the ledger decided",
            node.decided.clone(),
        );
        registrar.add(
            "keys_issued",
            "Keys issued for non-idempotent requests",
            node.keys_issued.clone(),
        );
        registrar.add("keys_kept", "Keys in the ledger", node.kept.clone());
        registrar.add(
            "keys_running",
            "Keys whose request is running",
            node.running.clone(),
        );
        node
    }

    /// Counts a request that was passed on: `answered`, `declined` or `lost`.
    pub fn record_forward(&self, result: &'static str) {
        self.hops.get_or_create(&Forward { result }).inc();
    }

    /// Counts a decision of the ledger.
    pub fn record_key_decision(&self, decision: &'static str) {
        self.decided.get_or_create(&KeyDecision { decision }).inc();
    }

    /// Sets the size of the ledger.
    pub fn set_keys(&self, kept: usize, running: usize) {
        self.kept.set(gauge_value(kept));
        self.running.set(gauge_value(running));
    }
}
