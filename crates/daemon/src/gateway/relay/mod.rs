//! Sends searches to hosts that fan them out, and accepts searches of other hosts.
//!
//! A request is sent as the client wrote it, over this host's own connections, with the version of the configuration. A
//! host with another version declines, so that clients never see versions alternate. It also declines if it is
//! stopping, has no servers or is at its concurrency limit; the sender then fans the search out itself.
//!
//! A search must never be fanned out by two hosts: together they could exceed the number of attempts allowed per shard.
//! So once any byte of the request has been written, the search belongs to the other host, whatever happens to the
//! connection. A timeout does not show whether the request arrived: only the acknowledgement may have been lost, or the
//! host may have failed later.

mod delegation;
mod helper;
#[cfg(test)]
mod tests;

use delegation::ONLY_KEYS;
pub(super) use delegation::{
    DelegatedReply, DelegationResult, OnlyKeys, PendingDelegation, set_covered,
};
pub(super) use helper::Helper;

use crate::body::{self, Memory, read_response};
use crate::client;
use crate::clock::Clock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request;
use hyper::{HeaderMap, Request, Response, StatusCode};
use monsoonring_decision::gateway::helper::{Centicores, Outcome, Remote, Table};
use monsoonring_decision::member::MemberId;
use snafu::{ResultExt, Snafu, ensure};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

/// Version of the configuration that a search belongs to.
const VERSION: HeaderName = HeaderName::from_static("monsoonring-configuration");

/// Milliseconds that a response needs from the sending host to its caller.
const DELIVERY_MARGIN: HeaderName = HeaderName::from_static("monsoonring-on-the-way-ms");

/// Present if a host declined a search; contains the reason.
pub(super) const DECLINED: HeaderName = HeaderName::from_static("monsoonring-declined");

/// Connect timeout to a host in the same data centre.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(40);

/// Time within which the other host must acknowledge sent data. Otherwise a search sent to a host that lost power or
/// is partitioned would wait for its deadline.
const ACK_TIMEOUT: Duration = Duration::from_millis(150);

/// Time beyond a search's deadline during which its response is awaited.
const RESPONSE_GRACE: Duration = Duration::from_millis(20);

/// Maximum number of idle connections per host.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Why another host did not answer a search.
#[derive(Debug, Snafu)]
pub(super) enum Error {
    #[snafu(display("{source}"))]
    Connect { source: client::Error },
    #[snafu(display("host {host}: connect timed out after {CONNECT_TIMEOUT:?}"))]
    ConnectTimeout { host: MemberId },
    #[snafu(display("host {host}: request not sent: {source}"))]
    NotSent {
        host: MemberId,
        source: hyper::Error,
    },
    #[snafu(display("host {host}: connection failed after sending began: {source}"))]
    Interrupted {
        host: MemberId,
        source: hyper::Error,
    },
    #[snafu(display("host {host}: response not read: {source}"))]
    Unread { host: MemberId, source: body::Error },
    #[snafu(display("host {host}: status {status} is not that of a final response"))]
    Status { host: MemberId, status: StatusCode },
    #[snafu(display("host {host}: no response within {limit:?}"))]
    TimedOut { host: MemberId, limit: Duration },
    #[snafu(display("host {host} declined: {reason}"))]
    Declined { host: MemberId, reason: String },
}

pub(super) type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Returns whether the other host may have started to fan the search out. It may then have used up the attempts
    /// allowed per shard, so this host must not send more.
    pub(super) fn may_have_started(&self) -> bool {
        matches!(
            self,
            Self::Interrupted { .. }
                | Self::Status { .. }
                | Self::Unread { .. }
                | Self::TimedOut { .. }
        )
    }

    fn outcome(&self) -> Outcome {
        match self {
            Self::Declined { .. } => Outcome::Declined,
            // The host acknowledged the search, and another one would likely have been as slow.
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

/// Sends searches to helpers and pools the connections to them.
pub(super) struct Relay {
    clock: Clock,
    /// Notified when another host has a newer configuration.
    outdated: Arc<Notify>,
    helpers: Mutex<Table>,
    idle: Mutex<HashMap<MemberId, Vec<Connection>>>,
    /// Memory for responses.
    memory: Arc<Memory>,
}

/// A search assigned to a helper. Reports its outcome when dropped, also if the client disconnects.
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
    pub(super) fn new(
        strength: Centicores,
        clock: Clock,
        outdated: Arc<Notify>,
        memory: Arc<Memory>,
    ) -> Self {
        Self {
            clock,
            outdated,
            helpers: Mutex::new(Table::new(strength)),
            idle: Mutex::default(),
            memory,
        }
    }

    /// Sets the CPU capacity of a host in the same data centre.
    pub(super) fn set_strength(&self, host: MemberId, strength: Centicores) {
        self.helpers().set_strength(host, strength);
    }

    /// Sets the candidates in another data centre.
    pub(super) fn set_remote(&self, remote: Remote) {
        self.helpers().set_remote(remote);
    }

    /// Sends a search to the best helper; returns `None` if there is none.
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
        // A client that sets this header must not have its search answered as a part.
        request.headers_mut().remove(ONLY_KEYS);
        let response = self.send(host, request, version, remaining).await;
        assignment.outcome = match &response {
            Ok(_) => Outcome::Answered,
            Err(error) => error.outcome(),
        };
        Some((host, response))
    }

    /// Sends a request to a host, with the version of the configuration.
    async fn send(
        &self,
        host: MemberId,
        mut request: Request<Full<Bytes>>,
        version: u64,
        remaining: Duration,
    ) -> Result<Response<Full<Bytes>>> {
        remove_framing(request.headers_mut());
        request.headers_mut().insert(VERSION, version.into());
        let limit = remaining + RESPONSE_GRACE;
        match timeout(limit, self.exchange(host, request)).await {
            Ok(response) => response,
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
            // hyper returns the request only if none of it was written.
            Err(error) if error.message().is_some() => {
                let source = error.into_error();
                return Err(Error::NotSent { host, source });
            }
            Err(error) => {
                let source = error.into_error();
                return Err(Error::Interrupted { host, source });
            }
        };
        let status = response.status();
        ensure!(client::is_final(status), StatusSnafu { host, status });
        let response = read_response(response, &self.memory).await;
        let (mut head, body) = response.context(UnreadSnafu { host })?.into_parts();
        self.release(host, connection);
        if version(&head.headers) > own {
            self.outdated.notify_one();
        }
        if let Some(reason) = head.headers.get(DECLINED) {
            let reason = reason.to_str().unwrap_or_default();
            return DeclinedSnafu { host, reason }.fail();
        }
        remove_framing(&mut head.headers);
        Ok(Response::from_parts(head, Full::new(body)))
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

    // No code panics while it holds a lock, so the guarded values are consistent even if poisoned.
    fn helpers(&self) -> MutexGuard<'_, Table> {
        self.helpers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<MemberId, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes the headers that apply to a single connection.
fn remove_framing(headers: &mut HeaderMap) {
    for name in [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING] {
        headers.remove(name);
    }
}

/// Returns the version of the configuration in the headers.
fn version(headers: &HeaderMap) -> Option<u64> {
    parse_number(headers, &VERSION)
}

/// Parses the number in a header.
pub(super) fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Builds a response that declines a search: it has not run here, and the sender may fan it out itself.
pub(super) fn decline(reason: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = response.headers_mut();
    headers.insert(DECLINED, HeaderValue::from_static(reason));
    response
}

/// Sets the time that a response needs from this host to the caller.
pub(super) fn set_delivery_margin(headers: &mut HeaderMap, time: Duration) {
    headers.insert(DELIVERY_MARGIN, (time.as_millis() as u64).into());
}

/// Removes the relay headers, so that they are not forwarded to backend servers. Returns the version of the
/// configuration and the delivery margin, where set.
fn take_relay_headers(headers: &mut HeaderMap) -> (Option<u64>, Option<Duration>) {
    let version = version(headers);
    headers.remove(VERSION);
    let time = parse_number(headers, &DELIVERY_MARGIN);
    headers.remove(DELIVERY_MARGIN);
    (version, time.map(Duration::from_millis))
}
