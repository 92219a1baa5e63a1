//! The seam between the front of the daemon and what answers requests.
//!
//! The front knows HTTP, callers and their tokens; a [`Service`] knows homes, peers and backend
//! servers. A request crosses the seam as a [`Call`] only after every filter has passed it, and
//! comes back as one [`Outcome`], so the truth on whether it ran has a single source.

use futures::future::BoxFuture;
use monsoonring_configuration::Document;
use monsoonring_configuration::document::{Caller, Class, Route};
use monsoonring_configuration::id::{BackendServerId, CallerId, Revision, RouteId};
use monsoonring_decision::outcome::Outcome;
use monsoonring_decision::{Fingerprint, RequestId};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

/// The configuration in force, with what a request needs of it ready to be looked up.
#[derive(Debug)]
pub struct Configuration {
    revision: Revision,
    document: Document,
    routes: HashMap<RouteId, Arc<Route>>,
    callers: HashMap<CallerId, Caller>,
}

impl Configuration {
    /// Indexes a document that has been validated.
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

    /// Returns the revision that the configuration service gave the document.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the whole document.
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

/// A request that passed the caller's filters.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id.
    pub request: RequestId,
    /// The route that it asked for, as configured when it arrived.
    pub route: Arc<Route>,
    /// Who sent it.
    pub caller: CallerId,
    /// How much it counts.
    pub class: Class,
    /// Time by which the caller wants the answer.
    pub deadline: Instant,
    /// Hash of route and body.
    pub fingerprint: Fingerprint,
    /// JSON text that goes to the backend servers.
    pub body: Arc<str>,
}

/// What became of a non-idempotent request.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    /// How the request ended.
    pub outcome: Outcome,
    /// A key that the caller can use from now on in place of its own.
    pub offered_key: Option<String>,
    /// Whether the key was used before for a request with another fingerprint; the outcome then
    /// says that this one did not run.
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

/// What an operator wants explained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Explain {
    /// The decisions on one request.
    Request(RequestId),
    /// The standing of one backend server in one route.
    BackendServer {
        /// The route.
        route: RouteId,
        /// The server.
        backend_server: BackendServerId,
    },
}

/// What the filters end in. Dropping the returned future means that the caller went away.
pub trait Service: Send + Sync + 'static {
    /// Returns the configuration in force, `None` before the first.
    fn document(&self) -> Option<Arc<Configuration>>;

    /// Returns why the daemon should not be sent requests, if that is so.
    ///
    /// # Errors
    ///
    /// The reason, in a word or two.
    fn ready(&self) -> Result<(), &'static str>;

    /// Answers a search.
    fn search(&self, call: Call) -> BoxFuture<'_, Outcome>;

    /// Issues a key for one non-idempotent request.
    fn mint(&self, call: Call) -> BoxFuture<'_, Result<String, Outcome>>;

    /// Runs a non-idempotent request under `key`. `send` is the caller's count of its sends, which
    /// a key of the caller's own needs.
    fn execute(&self, call: Call, key: String, send: Option<u32>) -> BoxFuture<'_, Execution>;

    /// Describes the state of the daemon for operators.
    fn state(&self) -> BoxFuture<'_, serde_json::Value>;

    /// Explains a request or the standing of a backend server; `None` where nothing is known.
    fn explain(&self, query: Explain) -> BoxFuture<'_, Option<serde_json::Value>>;

    /// Hears that a planned stop has begun. New requests still arrive for a while and are still
    /// to be served; peers should be told.
    fn leave(&self) {}

    /// Resolves when nothing that peers passed on is in flight any more. Called after the callers'
    /// port has closed.
    fn drain(&self) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}
