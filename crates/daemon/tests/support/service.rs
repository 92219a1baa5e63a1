//! A fake service with preset outcomes, which records its calls and can block them.

use futures::future::BoxFuture;
use monsoonring_configuration::{Document, Range};
use monsoonring_daemon::service::{Call, Configuration, Execution, Explain, Service};
use monsoonring_decision::outcome::{Answer, Outcome};
use monsoonring_decision::reply::Item;
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use tokio::sync::{Semaphore, watch};

/// Revision of the fake configuration.
pub(crate) const REVISION: u64 = 42;

/// A service with preset outcomes.
pub(crate) struct Fake {
    pub(crate) configuration: Option<Arc<Configuration>>,
    pub(crate) outcome: Outcome,
    pub(crate) execution: Execution,
    pub(crate) key: Result<String, Outcome>,
    pub(crate) calls: Mutex<Vec<Call>>,
    pub(crate) executed: Mutex<Vec<(String, Option<u32>)>>,
    /// One permit for each request that has reached the service.
    pub(crate) arrivals: Semaphore,
    /// One permit for each request whose future was dropped before it completed.
    pub(crate) cancellations: Semaphore,
    /// Whether `leave` was called.
    pub(crate) leave_called: AtomicBool,
    /// Whether `end_requests` was called.
    pub(crate) end_requests_called: AtomicBool,
    /// Whether `drain` has completed.
    pub(crate) drained: AtomicBool,
    /// Requests and `drain` wait while this is true.
    pub(crate) blocked: watch::Sender<bool>,
}

impl Default for Fake {
    fn default() -> Self {
        Self {
            configuration: Some(Arc::new(Configuration::new(REVISION, document()))),
            outcome: Outcome::Answered(answer()),
            execution: Outcome::Executed("{\"ticket\":5}".into()).into(),
            key: Ok("issued-1".to_owned()),
            calls: Mutex::default(),
            executed: Mutex::default(),
            arrivals: Semaphore::new(0),
            cancellations: Semaphore::new(0),
            leave_called: AtomicBool::new(false),
            end_requests_called: AtomicBool::new(false),
            drained: AtomicBool::new(false),
            blocked: watch::Sender::new(false),
        }
    }
}

impl Fake {
    /// Returns a service that ends every search with this outcome.
    pub(crate) fn with_outcome(outcome: Outcome) -> Self {
        Self {
            outcome,
            ..Self::default()
        }
    }

    /// Returns a service that blocks requests until `blocked` is set to false.
    pub(crate) fn blocked() -> Self {
        let fake = Self::default();
        fake.blocked.send_replace(true);
        fake
    }

    /// Waits until `requests` more requests have reached the service.
    pub(crate) async fn wait_for_requests(&self, requests: u32) {
        let permits = super::within(self.arrivals.acquire_many(requests)).await;
        permits.expect("the fake never closes it").forget();
    }

    /// Returns the calls that have reached the service.
    pub(crate) fn received_calls(&self) -> Vec<Call> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.clone()
    }

    async fn process(&self, call: Call) {
        self.calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(call);
        self.arrivals.add_permits(1);
        let mut guard = CancelGuard(Some(&self.cancellations));
        let mut blocked = self.blocked.subscribe();
        blocked
            .wait_for(|blocked| !blocked)
            .await
            .expect("the fake never closes it");
        guard.0 = None;
    }
}

/// Counts a cancelled request when its future is dropped early.
struct CancelGuard<'a>(Option<&'a Semaphore>);

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if let Some(cancellations) = self.0 {
            cancellations.add_permits(1);
        }
    }
}

impl Service for Fake {
    fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.clone()
    }

    fn check_ready(&self) -> Result<(), &'static str> {
        match self.configuration {
            Some(_) => Ok(()),
            None => Err("no configuration"),
        }
    }

    fn search(&self, call: Call) -> BoxFuture<'_, Outcome> {
        Box::pin(async {
            self.process(call).await;
            self.outcome.clone()
        })
    }

    fn mint(&self, call: Call) -> BoxFuture<'_, Result<String, Outcome>> {
        Box::pin(async {
            self.process(call).await;
            self.key.clone()
        })
    }

    fn execute(&self, call: Call, key: String, send: Option<u32>) -> BoxFuture<'_, Execution> {
        Box::pin(async move {
            self.executed
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push((key, send));
            self.process(call).await;
            self.execution.clone()
        })
    }

    fn leave(&self) {
        self.leave_called.store(true, Ordering::SeqCst);
    }

    fn end_requests(&self, _at: Instant) {
        self.end_requests_called.store(true, Ordering::SeqCst);
    }

    fn drain(&self) -> BoxFuture<'_, ()> {
        Box::pin(async {
            let mut blocked = self.blocked.subscribe();
            blocked
                .wait_for(|blocked| !blocked)
                .await
                .expect("the fake never closes it");
            self.drained.store(true, Ordering::SeqCst);
        })
    }

    fn state(&self) -> BoxFuture<'_, serde_json::Value> {
        Box::pin(async { json!({ "revision": REVISION }) })
    }

    fn explain(&self, query: Explain) -> BoxFuture<'_, Option<serde_json::Value>> {
        Box::pin(async move {
            match query {
                Explain::Request(0) => None,
                query => Some(json!(format!("{query:?}"))),
            }
        })
    }
}

/// Returns an answer in which one range of keys is missing.
pub(crate) fn answer() -> Answer {
    Answer {
        index_version: 7,
        coverage: 0.75,
        missing: vec![Range::new(50, 75)],
        items: vec![item(3, "{\"dry\": true}"), item(90, "\"raw\\u0041\"")],
    }
}

fn item(key: u64, value: &str) -> Item {
    Item {
        key,
        value: value.into(),
    }
}

fn document() -> Document {
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "kind": kind, "callers": ["dispatch", "clerk"], "deadline_ms": 60_000,
            "capacity": {"slots": 3, "connections": 30}, "max_body_bytes": 64,
            "keys": {"start": 0, "end": 100},
            "groups": [{"name": "a", "keys": {"start": 0, "end": 100},
                        "backend_servers": ["127.0.0.1:7000"]}],
        })
    };
    let document = json!({
        "callers": [
            {"name": "dispatch", "class": "urgent"},
            {"name": "clerk", "class": "normal", "token_sha256":
             "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"},
            {"name": "planner", "class": "background"},
        ],
        "routes": [route("hydrants", "search"), route("tickets", "execute")],
    });
    let text = document.to_string();
    monsoonring_configuration::check::parse(text.as_bytes()).expect("the document is valid")
}
