//! Fake configuration service: named values with revisions that can be read and watched.
//!
//! Published values and the readers' view are separate, so that a stale service serves old values
//! while operators publish new ones.

mod call;
mod limit;

use crate::endpoint::{ConnectionId, Handler, Site};
use crate::header;
use crate::http::{self, Reply};
use bytes::Bytes;
use call::Call;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, StatusCode};
use limit::Limit;
use monsoonring_configuration::Document;
use monsoonring_configuration::id::Revision;
use std::collections::BTreeMap;
use std::future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use tokio::time::{self, Instant};

/// Name of the value that holds the configuration document.
pub const DOCUMENT: &str = "monsoonring";

/// How the service behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Answers calls.
    #[default]
    Up,
    /// Does not listen; open connections are closed.
    Down,
    /// Accepts calls but never answers.
    Hang,
    /// Serves the values as of when this mode was set.
    Stale,
}

/// Call counters since the start of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls received; a long poll counts once.
    pub calls: u64,
    /// Calls refused by the rate limit.
    pub refused: u64,
    /// Long polls that timed out without a change.
    pub unchanged: u64,
}

/// A configuration service on a loopback port; it shuts down when dropped.
pub struct Service {
    shared: Arc<Shared>,
    site: Site<Shared>,
}

/// A value and its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Value {
    revision: Revision,
    content: Bytes,
}

type Values = BTreeMap<String, Value>;

struct Shared {
    published: Mutex<Values>,
    view: watch::Sender<View>,
    counters: Mutex<Counters>,
    limit: Mutex<Limit>,
}

/// The mode and the values that readers see.
#[derive(Clone, Default)]
struct View {
    mode: Mode,
    values: Values,
}

impl Service {
    /// Starts a service without values on a free port.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime or if the loopback interface has no free port.
    pub fn start() -> Self {
        let shared = Arc::new(Shared {
            published: Mutex::default(),
            view: watch::Sender::new(View::default()),
            counters: Mutex::default(),
            limit: Mutex::default(),
        });
        let site = Site::start(shared.clone());
        let site = site.expect("the loopback interface has a free port");
        Self { shared, site }
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.site.address()
    }

    /// Publishes a value and returns its revision.
    pub fn publish(&self, name: &str, content: impl Into<Bytes>) -> Revision {
        let mut published = self.shared.published();
        let last = published.get(name).map_or(0, |value| value.revision);
        let revision = last + 1;
        published.insert(name.to_owned(), Value::new(revision, content));
        self.shared.show(&published);
        revision
    }

    /// Publishes the document and returns its revision.
    ///
    /// # Panics
    ///
    /// Panics if the document can't be serialized to JSON.
    pub fn publish_document(&self, document: &Document) -> Revision {
        let text = serde_json::to_vec(document).expect("a document serializes to JSON");
        self.publish(DOCUMENT, text)
    }

    /// Sets a value at any revision: a lower one simulates a restore from backup, the current one
    /// with other content a race between two operators.
    pub fn publish_at(&self, name: &str, revision: Revision, content: impl Into<Bytes>) {
        let mut published = self.shared.published();
        published.insert(name.to_owned(), Value::new(revision, content));
        self.shared.show(&published);
    }

    /// Changes the mode; returns when it is in effect.
    ///
    /// # Panics
    ///
    /// Panics if the address can't be listened on again.
    pub async fn set_mode(&self, mode: Mode) {
        let published = self.shared.published().clone();
        self.shared.view.send_modify(|view| {
            view.mode = mode;
            if mode != Mode::Stale {
                view.values = published;
            }
        });
        if mode == Mode::Down {
            self.site.take_down().await;
        } else {
            let listening = self.site.bring_up().await;
            listening.expect("the reserved port can be listened on");
        }
    }

    /// Limits the calls per second; excess calls are answered with `429`. `None` removes the limit.
    pub fn set_limit(&self, calls_per_second: Option<u64>) {
        self.shared.limit().calls_per_second = calls_per_second;
    }

    /// Returns the call counters.
    pub fn counters(&self) -> Counters {
        *self.shared.counters()
    }
}

impl Value {
    fn new(revision: Revision, content: impl Into<Bytes>) -> Self {
        let content = content.into();
        Self { revision, content }
    }

    fn reply(self) -> Reply {
        let mut reply = http::bytes(StatusCode::OK, self.content);
        let json = HeaderValue::from_static("application/json");
        reply.headers_mut().insert(CONTENT_TYPE, json);
        http::set(&mut reply, header::REVISION, &self.revision);
        reply
    }
}

impl Shared {
    /// Makes the published values visible to readers, except in mode [`Mode::Stale`].
    fn show(&self, published: &Values) {
        self.view.send_modify(|view| {
            if view.mode != Mode::Stale {
                view.values = published.clone();
            }
        });
    }

    async fn answer(self: Arc<Self>, call: Option<Call>) -> Option<Reply> {
        self.counters().calls += 1;
        let Some(call) = call else {
            return Some(http::empty(StatusCode::NOT_FOUND));
        };
        if !self.limit().take(Instant::now()) {
            self.counters().refused += 1;
            return Some(http::empty(StatusCode::TOO_MANY_REQUESTS));
        }
        if self.view.borrow().mode == Mode::Hang {
            return future::pending().await;
        }
        let Some(after) = call.after else {
            let value = self.view.borrow().values.get(&call.name).cloned();
            return Some(value.map_or_else(|| http::empty(StatusCode::NOT_FOUND), Value::reply));
        };
        let reply = self.wait(&call, after).await;
        if self.view.borrow().mode == Mode::Hang {
            return future::pending().await;
        }
        Some(reply)
    }

    async fn wait(&self, call: &Call, after: Revision) -> Reply {
        let mut view = self.view.subscribe();
        let newer = |view: &View| {
            let value = view.values.get(&call.name);
            let newer = value.is_some_and(|value| value.revision > after);
            newer && view.mode != Mode::Hang
        };
        let changed = time::timeout(call.wait, view.wait_for(newer)).await;
        let value = match changed {
            Ok(Ok(view)) => view.values.get(&call.name).cloned(),
            Ok(Err(_)) | Err(_) => None,
        };
        value.map_or_else(|| self.unchanged(), Value::reply)
    }

    fn unchanged(&self) -> Reply {
        self.counters().unchanged += 1;
        http::empty(StatusCode::NOT_MODIFIED)
    }

    fn published(&self) -> MutexGuard<'_, Values> {
        self.published
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn counters(&self) -> MutexGuard<'_, Counters> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn limit(&self) -> MutexGuard<'_, Limit> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Handler for Shared {
    fn handle(
        self: Arc<Self>,
        _connection: ConnectionId,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Option<Reply>> {
        let call = Call::read(&request);
        Box::pin(self.answer(call))
    }
}
