//! A bounded history of recent decisions, for operators who look up a request.
//!
//! The daemon that accepts a request chooses its home, and the home chooses backend servers; each
//! records its own decisions. Records hold values instead of text, and the oldest are evicted, so
//! that memory use is bounded.

use monsoonring_configuration::id::{BackendServerId, RouteId};
use monsoonring_decision::member::MemberId;
use monsoonring_decision::rationale::Rationale;
use monsoonring_decision::{RequestId, Time};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Records in the history before the oldest is evicted.
const MAX_RECORDS: usize = 20_000;

/// One decision on a request.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) request: RequestId,
    pub(crate) at: Time,
    pub(crate) route: RouteId,
    pub(crate) label: &'static str,
    pub(crate) backend_server: Option<BackendServerId>,
    pub(crate) home: Option<MemberId>,
    pub(crate) rationale: Rationale,
}

impl Record {
    /// Returns the record as JSON for operators. Its age orders the records of several daemons,
    /// whose clocks are not comparable.
    fn to_json(&self, now: Time) -> Value {
        json!({
            "at_ms": self.at.as_millis(),
            "ago_ms": now.saturating_sub(self.at).as_millis(),
            "route": &*self.route,
            "decision": self.label,
            "backend_server": self.backend_server,
            "home": self.home,
            "reason": self.rationale.to_string(),
        })
    }
}

/// The recent decisions of this daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct History(Arc<Mutex<VecDeque<Record>>>);

impl History {
    /// Adds a decision.
    pub(crate) fn record(&self, record: Record) {
        let mut records = self.lock();
        if records.len() == MAX_RECORDS {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// Returns the decisions on a request, oldest first.
    pub(super) fn for_request(&self, request: RequestId, now: Time) -> Vec<Value> {
        let records = self.lock();
        let records = records.iter().filter(|record| record.request == request);
        records.map(|record| record.to_json(now)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Record>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
