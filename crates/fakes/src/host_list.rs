//! Fake of the platform's host list, which can lag.

use crate::endpoint::{ConnectionId, Handler, Site};
use crate::http::{self, Reply};
use crate::lag::{Mode, View};
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// State of a host in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service.
    Live,
    /// About to be taken out of service.
    Leaving,
}

type Hosts = BTreeMap<SocketAddr, State>;

/// A host list on a loopback port; it shuts down when dropped.
pub struct List {
    shared: Arc<Shared>,
    site: Site<Shared>,
}

struct Shared {
    hosts: Mutex<Hosts>,
    view: View<Hosts>,
    calls: AtomicU64,
}

#[derive(Serialize)]
struct Host {
    address: SocketAddr,
    state: State,
}

#[derive(Serialize)]
struct HostsReply {
    hosts: Vec<Host>,
}

impl List {
    /// Starts an empty list on a free port.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime or if the loopback interface has no free port.
    pub fn start() -> Self {
        let shared = Arc::new(Shared {
            hosts: Mutex::default(),
            view: View::new(Mode::True, Hosts::new()),
            calls: AtomicU64::new(0),
        });
        let site = Site::start(shared.clone());
        let site = site.expect("the loopback interface has a free port");
        Self { shared, site }
    }

    /// Returns the address that the list is served on.
    pub fn address(&self) -> SocketAddr {
        self.site.address()
    }

    /// Adds a host or changes its state.
    pub fn set(&self, address: SocketAddr, state: State) {
        self.shared.change(|hosts| hosts.insert(address, state));
    }

    /// Removes a host.
    pub fn remove(&self, address: SocketAddr) {
        self.shared.change(|hosts| hosts.remove(&address));
    }

    /// Makes readers see the list as it was this long ago.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.view.set_mode(Mode::Lag(lag));
    }

    /// Returns the number of calls received so far.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::SeqCst)
    }

    /// Closes the listener and all connections; returns when they are gone.
    pub async fn take_down(&self) {
        self.site.take_down().await;
    }

    /// Listens again after [`List::take_down`].
    ///
    /// # Panics
    ///
    /// Panics if the address can't be listened on again.
    pub async fn bring_up(&self) {
        let listening = self.site.bring_up().await;
        listening.expect("the reserved port can be listened on");
    }
}

impl Shared {
    fn change<T>(&self, act: impl FnOnce(&mut Hosts) -> T) {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut hosts);
        self.view.record(hosts.clone());
    }

    fn read(&self) -> Reply {
        let hosts = self.view.read().unwrap_or_default();
        let hosts = hosts.into_iter();
        let hosts = hosts.map(|(address, state)| Host { address, state });
        let hosts_reply = HostsReply {
            hosts: hosts.collect(),
        };
        http::json(StatusCode::OK, &hosts_reply)
    }
}

impl Handler for Shared {
    fn handle(
        self: Arc<Self>,
        _connection: ConnectionId,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Option<Reply>> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        let is_list_request = request.method() == Method::GET && request.uri().path() == "/hosts";
        let reply = if is_list_request {
            self.read()
        } else {
            http::empty(StatusCode::NOT_FOUND)
        };
        Box::pin(async { Some(reply) })
    }
}
