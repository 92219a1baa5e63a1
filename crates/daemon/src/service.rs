//! Interface between the front of the daemon and the service that answers requests.
//!
//! The front knows HTTP, callers and tokens; a [`Service`] knows homes, peers and backend servers.
//! A request is passed on as a [`Call`] after all filters have accepted it, and returns as one
//! [`Outcome`], the only source for whether it ran.

use futures::future::BoxFuture;
use monsoonring_configuration::Document;
use monsoonring_configuration::document::{Caller, Class, Route};
use monsoonring_configuration::id::{BackendServerId, CallerId, Revision, RouteId};
use monsoonring_decision::outcome::Outcome;
use monsoonring_decision::{Fingerprint, RequestId};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

/// The configuration in force, indexed by route and caller.
#[derive(Debug)]
pub struct Configuration {
    revision: Revision,
    document: Document,
    routes: HashMap<RouteId, Arc<Route>>,
    callers: HashMap<CallerId, Caller>,
}

impl Configuration {
    /// Indexes a validated document.
    pub fn new(revision: Revision, document: Document) -> Self {
        let routes = document
            .routes
            .iter()
            .map(|route| (route.name.clone(), Arc::new(route.clone())))
            .collect();
        let callers = document
            .callers
            .iter()
            .map(|caller| (caller.name.clone(), caller.clone()))
            .collect();
        Self {
            revision,
            document,
            routes,
            callers,
        }
    }

    /// Returns the revision that the configuration service assigned to the document.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the complete document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the route with this name.
    pub fn route(&self, name: &str) -> Option<&Arc<Route>> {
        self.routes.get(name)
    }

    /// Returns the caller with this name.
    pub fn caller(&self, name: &str) -> Option<&Caller> {
        self.callers.get(name)
    }
}

/// A request that passed all filters.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the request.
    pub request: RequestId,
    /// The route, as configured when the request arrived.
    pub route: Arc<Route>,
    /// The caller that sent it.
    pub caller: CallerId,
    /// Priority class of the caller.
    pub class: Class,
    /// Time by which the caller wants the answer.
    pub deadline: Instant,
    /// Hash of route and body.
    pub fingerprint: Fingerprint,
    /// JSON text for the backend servers.
    pub body: Arc<str>,
}

/// Result of a non-idempotent request.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    /// How the request ended.
    pub outcome: Outcome,
    /// A key that the caller can use from now on instead of its own.
    pub offered_key: Option<String>,
    /// Whether the key was used before for a request with another fingerprint; the outcome is then
    /// that this request did not run.
    pub conflict: bool,
}

impl From<Outcome> for Execution {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            offered_key: None,
            conflict: false,
        }
    }
}

/// Subject of an operator's `explain` query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Explain {
    /// The decisions on one request.
    Request(RequestId),
    /// The status of one backend server in one route.
    BackendServer {
        /// Name of the route.
        route: RouteId,
        /// Address of the backend server.
        backend_server: BackendServerId,
    },
}

/// Answers the requests that passed the filters. Dropping a returned future means that the caller
/// has disconnected.
pub trait Service: Send + Sync + 'static {
    /// Returns the configuration in force, `None` before the first one.
    fn configuration(&self) -> Option<Arc<Configuration>>;

    /// Checks whether the daemon is ready for requests.
    ///
    /// # Errors
    ///
    /// Returns the reason, in a word or two, if it is not.
    fn check_ready(&self) -> Result<(), &'static str>;

    /// Runs a search.
    fn search(&self, call: Call) -> BoxFuture<'_, Outcome>;

    /// Issues a key for one non-idempotent request.
    fn mint(&self, call: Call) -> BoxFuture<'_, Result<String, Outcome>>;

    /// Runs a non-idempotent request under `key`. `send` is the caller's count of its sends,
    /// required for a key that the caller chose itself.
    fn execute(&self, call: Call, key: String, send: Option<u32>) -> BoxFuture<'_, Execution>;

    /// Describes the state of the daemon for operators.
    fn state(&self) -> BoxFuture<'_, serde_json::Value>;

    /// Explains a request or the status of a backend server; `None` if nothing is known of it.
    fn explain(&self, query: Explain) -> BoxFuture<'_, Option<serde_json::Value>>;

    /// Starts a planned stop. Peers should be notified; requests still arrive for a while and must
    /// be served.
    fn leave(&self) {}

    /// Ends all requests by `at`, with what is known of them then; those that can't be answered by
    /// then are refused. A later call may bring the time forward.
    fn end_requests(&self, _at: Instant) {}

    /// Completes when no request from a peer is in flight. Called after the callers' port has
    /// closed.
    fn drain(&self) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}
