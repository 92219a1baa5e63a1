//! Metrics of forwarded requests and of the ledger of idempotency keys.

use super::gauge_value;
use super::label::{Forward, KeyDecision};
use super::registrar::Registrar;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

/// Metrics of forwarded requests and idempotency keys.
#[derive(Debug, Default)]
pub struct Node {
    forwards: Family<Forward, Counter>,
    decisions: Family<KeyDecision, Counter>,
    /// Idempotency keys issued by this daemon.
    pub keys_issued: Counter,
    recorded: Gauge,
    running: Gauge,
}

impl Node {
    pub(super) fn register(registrar: &mut Registrar) -> Self {
        let node = Self::default();
        registrar.add(
            "hops",
            "Requests passed on to other daemons, by how that ended",
            node.forwards.clone(),
        );
        registrar.add(
            "key_decisions",
            "Sends of non-idempotent requests, by what the ledger decided",
            node.decisions.clone(),
        );
        registrar.add(
            "keys_issued",
            "Keys issued for non-idempotent requests",
            node.keys_issued.clone(),
        );
        registrar.add("keys_kept", "Keys in the ledger", node.recorded.clone());
        registrar.add(
            "keys_running",
            "Keys whose request is running",
            node.running.clone(),
        );
        node
    }

    /// Records a request forwarded to another daemon: `answered`, `declined` or `lost`.
    pub fn record_forward(&self, result: &'static str) {
        self.forwards.get_or_create(&Forward { result }).inc();
    }

    /// Records a decision of the ledger.
    pub fn record_key_decision(&self, decision: &'static str) {
        self.decisions
            .get_or_create(&KeyDecision { decision })
            .inc();
    }

    /// Sets the number of keys in the ledger and of those whose request is running.
    pub fn set_keys(&self, recorded: usize, running: usize) {
        self.recorded.set(gauge_value(recorded));
        self.running.set(gauge_value(running));
    }
}
