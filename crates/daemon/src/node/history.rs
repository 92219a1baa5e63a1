//! The latest decisions, for operators who ask about one request.
//!
//! The daemon that took a request decides which home it goes to, and the home which backend servers;
//! each keeps its own decisions. They are typed and not text, and the oldest make room for new ones,
//! so that the memory they take is bounded.

use monsoonring_configuration::id::{BackendServerId, RouteId};
use monsoonring_decision::member::MemberId;
use monsoonring_decision::rationale::Rationale;
use monsoonring_decision::{RequestId, Time};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Decisions kept.
const MAX_RECORDS: usize = 20_000;

/// One decision on a request.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) request: RequestId,
    pub(crate) at: Time,
    pub(crate) route: RouteId,
    pub(crate) what: &'static str,
    pub(crate) backend_server: Option<BackendServerId>,
    pub(crate) home: Option<MemberId>,
    pub(crate) why: Rationale,
}

impl Record {
    /// Returns the record for operators. The age tells the order of records of several daemons, whose
    /// own times have nothing in common.
    fn to_json(&self, now: Time) -> Value {
        json!({
            "at_ms": self.at.as_millis(),
            "ago_ms": now.saturating_sub(self.at).as_millis(),
            "route": &*self.route,
            "decision": self.what,
            "backend_server": self.backend_server,
            "home": self.home,
            "reason": self.why.to_string(),
        })
    }
}

/// The latest decisions of this daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct History(Arc<Mutex<VecDeque<Record>>>);

impl History {
    /// Keeps a decision.
    pub(crate) fn record(&self, record: Record) {
        let mut records = self.lock();
        if records.len() == MAX_RECORDS {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// Returns the decisions on a request, the oldest first.
    pub(super) fn for_request(&self, request: RequestId, now: Time) -> Vec<Value> {
        let records = self.lock();
        let records = records.iter().filter(|record| record.request == request);
        records.map(|record| record.to_json(now)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Record>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
