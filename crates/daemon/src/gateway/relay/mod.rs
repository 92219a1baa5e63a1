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

mod helper;
mod share;
#[cfg(test)]
mod tests;

pub(super) use helper::Helper;
use share::ONLY;
pub(super) use share::{Only, Part, Shared, Sharing, set_covered};

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
const ON_THE_WAY: HeaderName = HeaderName::from_static("monsoonring-on-the-way-ms");

/// Present where a host declined a search; says why.
pub(super) const DECLINED: HeaderName = HeaderName::from_static("monsoonring-declined");

/// Time that a connect to a host in the same data centre may take: a hundred round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(40);

/// Time within which the other host has to acknowledge what is sent. One that has lost power or is cut
/// off never does, and the search would wait there for its deadline.
const UNACKNOWLEDGED: Duration = Duration::from_millis(150);

/// Time beyond a search's own that is waited for its answer.
const SLACK: Duration = Duration::from_millis(20);

/// Idle connections kept to each host.
const IDLE: usize = 4;

/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Why another host did not answer.
#[derive(Debug, Snafu)]
pub(super) enum Error {
    #[snafu(display("{source}"))]
    Connect { source: client::Error },
    #[snafu(display("host {host}: connecting: no answer in {CONNECT_TIMEOUT:?}"))]
    Silent { host: MemberId },
    #[snafu(display("host {host}: asking, of which nothing left: {source}"))]
    Unasked {
        host: MemberId,
        source: hyper::Error,
    },
    #[snafu(display("host {host}: asking: {source}"))]
    Lost {
        host: MemberId,
        source: hyper::Error,
    },
    #[snafu(display("host {host}: answer broken off"))]
    Broken { host: MemberId },
    #[snafu(display("host {host}: no answer in {limit:?}"))]
    Late { host: MemberId, limit: Duration },
    #[snafu(display("host {host} declined: {why}"))]
    Declined { host: MemberId, why: String },
}

pub(super) type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Tells whether the other host may have begun to fan the search out. It may have asked as many servers of
    /// a shard then as a request may run on, and this host must not ask more.
    pub(super) fn may_have_begun(&self) -> bool {
        matches!(
            self,
            Self::Lost { .. } | Self::Broken { .. } | Self::Late { .. }
        )
    }

    fn ended(&self) -> Outcome {
        match self {
            Self::Declined { .. } => Outcome::Declined,
            // It acknowledged the search, and others in its place would have taken as long.
            Self::Late { .. } => Outcome::Cancelled,
            _ => Outcome::Failed,
        }
    }
}

/// A connection to another host.
struct Link {
    sender: client::Sender<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

/// The hosts that fan out for this one, and the connections to them.
pub(super) struct Relay {
    clock: Clock,
    /// Told when another host has a newer configuration.
    behind: Arc<Notify>,
    helpers: Mutex<Table>,
    idle: Mutex<HashMap<MemberId, Vec<Link>>>,
}

/// A search that a helper was chosen for. Where the client leaves meanwhile this is dropped.
struct Chosen<'a> {
    relay: &'a Relay,
    host: MemberId,
    ended: Outcome,
}

impl Drop for Chosen<'_> {
    fn drop(&mut self) {
        let now = self.relay.clock.now();
        self.relay.helpers().finished(self.host, self.ended, now);
    }
}

impl Relay {
    pub(super) fn new(strength: Centicores, clock: Clock, behind: Arc<Notify>) -> Self {
        Self {
            clock,
            behind,
            helpers: Mutex::new(Table::new(strength)),
            idle: Mutex::default(),
        }
    }

    /// Takes in how strong a host in the same data centre is.
    pub(super) fn told(&self, host: MemberId, strength: Centicores) {
        self.helpers().set_strength(host, strength);
    }

    /// Takes in which hosts of another data centre may fan out.
    pub(super) fn told_remote(&self, remote: Remote) {
        self.helpers().set_remote(remote);
    }

    /// Asks the host that is best placed; `None` where there is none.
    pub(super) async fn ask(
        &self,
        head: &request::Parts,
        body: &Bytes,
        version: u64,
        patience: Duration,
    ) -> Option<(MemberId, Result<Response<Full<Bytes>>>)> {
        let host = self.helpers().choose(self.clock.now())?;
        let mut chosen = Chosen {
            relay: self,
            host,
            ended: Outcome::Cancelled,
        };
        let mut request = Request::from_parts(head.clone(), Full::new(body.clone()));
        // A client that sends the header of a part would have its search answered as one.
        request.headers_mut().remove(ONLY);
        let answer = self.hand(host, request, version, patience).await;
        chosen.ended = match &answer {
            Ok(_) => Outcome::Answered,
            Err(error) => error.ended(),
        };
        Some((host, answer))
    }

    /// Hands a request to a host, under a version of the configuration.
    async fn hand(
        &self,
        host: MemberId,
        mut request: Request<Full<Bytes>>,
        version: u64,
        patience: Duration,
    ) -> Result<Response<Full<Bytes>>> {
        remove_framing(request.headers_mut());
        request.headers_mut().insert(VERSION, version.into());
        let limit = patience + SLACK;
        match timeout(limit, self.exchange(host, request)).await {
            Ok(answer) => answer,
            Err(_) => LateSnafu { host, limit }.fail(),
        }
    }

    async fn exchange(
        &self,
        host: MemberId,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Full<Bytes>>> {
        let own = version(request.headers());
        let mut link = self.link(host).await?;
        let response = match link.sender.try_send_request(request).await {
            Ok(response) => response,
            // The library hands the request back only where it has not written any of it.
            Err(error) if error.message().is_some() => {
                let source = error.into_error();
                return Err(Error::Unasked { host, source });
            }
            Err(error) => {
                let source = error.into_error();
                return Err(Error::Lost { host, source });
            }
        };
        let (mut head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let Ok(body) = body else {
            return BrokenSnafu { host }.fail();
        };
        self.keep(host, link);
        if version(&head.headers) > own {
            self.behind.notify_one();
        }
        if let Some(why) = head.headers.get(DECLINED) {
            let why = why.to_str().unwrap_or_default();
            return DeclinedSnafu { host, why }.fail();
        }
        remove_framing(&mut head.headers);
        Ok(Response::from_parts(head, Full::new(body.to_bytes())))
    }

    async fn link(&self, host: MemberId) -> Result<Link> {
        while let Some(link) = self.idle().get_mut(&host).and_then(Vec::pop) {
            if link.sender.is_ready() {
                return Ok(link);
            }
        }
        let opened = timeout(CONNECT_TIMEOUT, client::open_within(host, UNACKNOWLEDGED)).await;
        let opened = opened.map_err(|_| Error::Silent { host })?;
        let (sender, driver) = opened.context(ConnectSnafu)?;
        Ok(Link {
            sender,
            _driver: client::drive(driver),
        })
    }

    fn keep(&self, host: MemberId, link: Link) {
        let mut idle = self.idle();
        let links = idle.entry(host).or_default();
        if links.len() < IDLE {
            links.push(link);
        }
    }

    // Nothing panics with a lock held, and what is behind it is never left half changed.
    fn helpers(&self) -> MutexGuard<'_, Table> {
        self.helpers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<MemberId, Vec<Link>>> {
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
pub(super) fn declined(why: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = response.headers_mut();
    headers.insert(DECLINED, HeaderValue::from_static(why));
    response
}

/// Tells the other host how long the answer takes from here to the caller.
pub(super) fn set_on_the_way(headers: &mut HeaderMap, time: Duration) {
    headers.insert(ON_THE_WAY, (time.as_millis() as u64).into());
}

/// Takes out of a search what is between hosts, and no backend server's concern. Returns the version of the
/// configuration that it came under, and how long the answer takes on its way, as far as it says so.
fn take_out(headers: &mut HeaderMap) -> (Option<u64>, Option<Duration>) {
    let version = version(headers);
    headers.remove(VERSION);
    let time = number(headers, &ON_THE_WAY);
    headers.remove(ON_THE_WAY);
    (version, time.map(Duration::from_millis))
}
