//! Handing a search to a host that fans it out, and taking one in.
//!
//! The request goes over as the client sent it, on connections of this host's own, with the version of
//! the configuration that it came under. A host that has another version in force declines, so that one
//! client never sees a version come and go. So does one that is stopping, that knows no server, or that
//! has a full house: whoever asked then fans out by itself.
//!
//! Two hosts must never fan the same search out: each would ask as many servers of a shard as the request
//! may run on, and the owners' bound would be broken. So a search of which a byte has left is the other
//! host's, whatever becomes of the connection. Nothing tells one that never arrived from one whose
//! acknowledgement was lost on a way that is cut one way, or whose host lost power while it waited: in each
//! case the system says that the connection timed out.

mod delegation;
mod helper;
#[cfg(test)]
mod tests;

use delegation::ONLY_KEYS;
pub(super) use delegation::{
    DelegatedReply, DelegationResult, OnlyKeys, PendingDelegation, set_covered,
};
pub(super) use helper::Helper;

use crate::client;
use crate::clock::Clock;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request;
use hyper::{HeaderMap, Request, Response, StatusCode};
use monsoonring_decision::gateway::helper::{Centicores, Outcome, Remote, Table};
use monsoonring_decision::member::MemberId;
use snafu::{ResultExt, Snafu};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

/// Version of the configuration that a search came under.
const VERSION: HeaderName = HeaderName::from_static("monsoonring-configuration");

/// Milliseconds that the answer takes on its way from the host that hands the search on to its caller.
const DELIVERY_MARGIN: HeaderName = HeaderName::from_static("monsoonring-on-the-way-ms");

/// Present where a host declined a search; says reason.
pub(super) const DECLINED: HeaderName = HeaderName::from_static("monsoonring-declined");

/// Time that a connect to a host in the same data centre may take: a hundred round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(40);

/// Time within which the other host has to acknowledge what is sent. One that has lost power or is cut
/// off never does, and the search would wait there for its deadline.
const ACK_TIMEOUT: Duration = Duration::from_millis(150);

/// Time beyond a search's own that is waited for its answer.
const ANSWER_GRACE: Duration = Duration::from_millis(20);

/// Idle connections kept to each host.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Why another host did not answer.
#[derive(Debug, Snafu)]
pub(super) enum Error {
    #[snafu(display("{source}"))]
    Connect { source: client::Error },
    #[snafu(display("host {host}: connecting: no answer in {CONNECT_TIMEOUT:?}"))]
    ConnectTimeout { host: MemberId },
    #[snafu(display("host {host}: asking, of which nothing left: {source}"))]
    NotSent {
        host: MemberId,
        source: hyper::Error,
    },
    #[snafu(display("host {host}: asking: {source}"))]
    Interrupted {
        host: MemberId,
        source: hyper::Error,
    },
    #[snafu(display("host {host}: answer broken off"))]
    Truncated { host: MemberId },
    #[snafu(display("host {host}: no answer in {limit:?}"))]
    TimedOut { host: MemberId, limit: Duration },
    #[snafu(display("host {host} declined: {reason}"))]
    Declined { host: MemberId, reason: String },
}

pub(super) type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Tells whether the other host may have begun to fan the search out. It may have asked as many servers of
    /// a shard then as a request may run on, and this host must not ask more.
    pub(super) fn may_have_started(&self) -> bool {
        matches!(
            self,
            Self::Interrupted { .. } | Self::Truncated { .. } | Self::TimedOut { .. }
        )
    }

    fn outcome(&self) -> Outcome {
        match self {
            Self::Declined { .. } => Outcome::Declined,
            // It acknowledged the search, and others in its place would have taken as long.
            Self::TimedOut { .. } => Outcome::Cancelled,
            _ => Outcome::Failed,
        }
    }
}

/// A connection to another host.
struct Connection {
    sender: client::Sender<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

/// The hosts that fan out for this one, and the connections to them.
pub(super) struct Relay {
    clock: Clock,
    /// Told when another host has a newer configuration.
    outdated: Arc<Notify>,
    helpers: Mutex<Table>,
    idle: Mutex<HashMap<MemberId, Vec<Connection>>>,
}

/// A search that a helper was assignment for. Where the client leaves meanwhile this is dropped.
struct Assignment<'a> {
    relay: &'a Relay,
    host: MemberId,
    outcome: Outcome,
}

impl Drop for Assignment<'_> {
    fn drop(&mut self) {
        let now = self.relay.clock.now();
        self.relay.helpers().finished(self.host, self.outcome, now);
    }
}

impl Relay {
    pub(super) fn new(strength: Centicores, clock: Clock, outdated: Arc<Notify>) -> Self {
        Self {
            clock,
            outdated,
            helpers: Mutex::new(Table::new(strength)),
            idle: Mutex::default(),
        }
    }

    /// Takes in how strong a host in the same data centre is.
    pub(super) fn set_strength(&self, host: MemberId, strength: Centicores) {
        self.helpers().set_strength(host, strength);
    }

    /// Takes in which hosts of another data centre may fan out.
    pub(super) fn set_remote(&self, remote: Remote) {
        self.helpers().set_remote(remote);
    }

    /// Asks the host that is best placed; `None` where there is none.
    pub(super) async fn search(
        &self,
        head: &request::Parts,
        body: &Bytes,
        version: u64,
        remaining: Duration,
    ) -> Option<(MemberId, Result<Response<Full<Bytes>>>)> {
        let host = self.helpers().choose(self.clock.now())?;
        let mut assignment = Assignment {
            relay: self,
            host,
            outcome: Outcome::Cancelled,
        };
        let mut request = Request::from_parts(head.clone(), Full::new(body.clone()));
        // A client that sends the header of a part would have its search answered as one.
        request.headers_mut().remove(ONLY_KEYS);
        let answer = self.send(host, request, version, remaining).await;
        assignment.outcome = match &answer {
            Ok(_) => Outcome::Answered,
            Err(error) => error.outcome(),
        };
        Some((host, answer))
    }

    /// Hands a request to a host, under a version of the configuration.
    async fn send(
        &self,
        host: MemberId,
        mut request: Request<Full<Bytes>>,
        version: u64,
        remaining: Duration,
    ) -> Result<Response<Full<Bytes>>> {
        remove_framing(request.headers_mut());
        request.headers_mut().insert(VERSION, version.into());
        let limit = remaining + ANSWER_GRACE;
        match timeout(limit, self.exchange(host, request)).await {
            Ok(answer) => answer,
            Err(_) => TimedOutSnafu { host, limit }.fail(),
        }
    }

    async fn exchange(
        &self,
        host: MemberId,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Full<Bytes>>> {
        let own = version(request.headers());
        let mut connection = self.acquire(host).await?;
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            // The library hands the request back only where it has not written any of it.
            Err(error) if error.message().is_some() => {
                let source = error.into_error();
                return Err(Error::NotSent { host, source });
            }
            Err(error) => {
                let source = error.into_error();
                return Err(Error::Interrupted { host, source });
            }
        };
        let (mut head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let Ok(body) = body else {
            return TruncatedSnafu { host }.fail();
        };
        self.release(host, connection);
        if version(&head.headers) > own {
            self.outdated.notify_one();
        }
        if let Some(reason) = head.headers.get(DECLINED) {
            let reason = reason.to_str().unwrap_or_default();
            return DeclinedSnafu { host, reason }.fail();
        }
        remove_framing(&mut head.headers);
        Ok(Response::from_parts(head, Full::new(body.to_bytes())))
    }

    async fn acquire(&self, host: MemberId) -> Result<Connection> {
        while let Some(connection) = self.idle().get_mut(&host).and_then(Vec::pop) {
            if connection.sender.is_ready() {
                return Ok(connection);
            }
        }
        let result = timeout(
            CONNECT_TIMEOUT,
            client::open_with_keepalive(host, ACK_TIMEOUT),
        )
        .await;
        let result = result.map_err(|_| Error::ConnectTimeout { host })?;
        let (sender, driver) = result.context(ConnectSnafu)?;
        Ok(Connection {
            sender,
            _driver: client::drive(driver),
        })
    }

    fn release(&self, host: MemberId, connection: Connection) {
        let mut idle = self.idle();
        let connections = idle.entry(host).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    // Nothing panics with a lock held, and what is outdated it is never left half changed.
    fn helpers(&self) -> MutexGuard<'_, Table> {
        self.helpers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<MemberId, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes what belongs to the one connection that a message came over.
fn remove_framing(headers: &mut HeaderMap) {
    for name in [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING] {
        headers.remove(name);
    }
}

/// Returns the version of the configuration that a message names.
fn version(headers: &HeaderMap) -> Option<u64> {
    number(headers, &VERSION)
}

/// Returns the number that a header between hosts holds.
pub(super) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Answers that the search has not run here, and that whoever asked may fan out by itself.
pub(super) fn decline(reason: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = response.headers_mut();
    headers.insert(DECLINED, HeaderValue::from_static(reason));
    response
}

/// Tells the other host how long the answer takes from here to the caller.
pub(super) fn set_delivery_margin(headers: &mut HeaderMap, time: Duration) {
    headers.insert(DELIVERY_MARGIN, (time.as_millis() as u64).into());
}

/// Takes out of a search what is between hosts, and no backend server's concern. Returns the version of the
/// configuration that it came under, and how long the answer takes on its way, as far as it says so.
fn take_relay_headers(headers: &mut HeaderMap) -> (Option<u64>, Option<Duration>) {
    let version = version(headers);
    headers.remove(VERSION);
    let time = number(headers, &DELIVERY_MARGIN);
    headers.remove(DELIVERY_MARGIN);
    (version, time.map(Duration::from_millis))
}
