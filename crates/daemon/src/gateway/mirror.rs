//! Shares the state read from the store with other hosts, and polls hosts that share it.
//!
//! Readers pass on the store's own encoding without decoding it. A poll names the position up to which the caller is
//! current and, like a watch of the store, waits at the reader for changes. [`Log`] decides what a poll
//! returns and when. Hosts without state load the full state;
//! [`bootstrap`](monsoonring_decision::gateway::bootstrap) chooses from which host.

use super::relay::{DECLINED, decline, parse_number};
use crate::client;
use crate::clock::Clock;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::header::{HOST, HeaderName};
use hyper::{HeaderMap, Request, Response, StatusCode};
use monsoonring_decision::Time;
use monsoonring_decision::gateway::mirror::{Answer, Batch, DeclineReason, Log, Outage, Position};
use monsoonring_decision::gateway::timing::{READER_CONNECT_TIMEOUT, Timing};
use monsoonring_decision::member::MemberId;
use snafu::{ResultExt, Snafu};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

/// Revision up to which the caller is current; its presence tells a poll from a search.
const AFTER: HeaderName = HeaderName::from_static("monsoonring-after");

/// Present in a request for the full state.
const FULL_STATE: HeaderName = HeaderName::from_static("monsoonring-everything");

/// Revision up to which a response is current.
const UP_TO: HeaderName = HeaderName::from_static("monsoonring-to");

/// Era of the store that a revision belongs to; absent for the first era.
const ERA: HeaderName = HeaderName::from_static("monsoonring-era");

/// Outages of the store since the reader started, and milliseconds since the end of the last one.
const OUTAGES: HeaderName = HeaderName::from_static("monsoonring-outages");
const OUTAGE_ENDED_AGO: HeaderName = HeaderName::from_static("monsoonring-outage-ended-ms");

/// Largest accepted response, in bytes: the registry of a thousand shards, with headroom.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Time after a poll during which more polls are expected.
const POLLED_WITHIN: Duration = Duration::from_secs(5);

/// Provides this host's copy of the full state of the store.
pub trait FullState: Send + Sync + 'static {
    /// Returns the state in the store's encoding, with its position; `None` before the first read.
    fn encode(&self) -> Option<(Position, Bytes)>;
}

/// State that this host read from the store, served to other hosts.
pub struct Mirror {
    full_state: Option<Arc<dyn FullState>>,
    clock: Clock,
    timing: Timing,
    log: Mutex<Log>,
    last_poll: Mutex<Option<Time>>,
    changed: Notify,
}

impl Mirror {
    /// Creates an empty mirror.
    pub fn new(timing: Timing) -> Self {
        Self {
            full_state: None,
            clock: Clock::start(),
            timing,
            log: Mutex::new(Log::new(timing.freshness())),
            last_poll: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Serves the full state as well.
    #[must_use]
    pub fn with_full_state(self, full_state: Arc<dyn FullState>) -> Self {
        let full_state = Some(full_state);
        Self { full_state, ..self }
    }

    /// Records that the full state was read, as of a position.
    pub fn reset(&self, position: Position) {
        let now = self.clock.now();
        self.update_log(|log| log.reset(position, now));
    }

    /// Records the changes that a watch of the store returned.
    pub fn append(&self, batch: Batch) {
        let now = self.clock.now();
        self.update_log(|log| log.append(batch, now));
    }

    /// Records that a call to the store failed.
    pub fn store_failed(&self) {
        self.update_log(Log::store_failed);
    }

    /// Clears the log, as this host now polls another reader.
    pub fn clear(&self) {
        self.update_log(Log::clear);
    }

    /// Returns whether another host polled this one recently.
    pub fn is_polled(&self) -> bool {
        let last_poll = *self
            .last_poll
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_poll.is_some_and(|at| self.clock.now() < at + POLLED_WITHIN)
    }

    /// Answers a poll or a request for the full state; returns `None` for any other request.
    pub(super) async fn answer(&self, headers: &HeaderMap) -> Option<Response<Full<Bytes>>> {
        if headers.contains_key(FULL_STATE) {
            return Some(self.full_state_response());
        }
        let after = position(headers, &AFTER)?;
        let now = self.clock.now();
        *self
            .last_poll
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(now);
        let waited = timeout(self.timing.poll(), self.wait(after)).await;
        // Nothing changed, but the state may have become stale while waiting.
        let answer = waited.unwrap_or_else(|_| self.current_answer(after));
        let outage = self.log().outage(self.clock.now());
        Some(respond(answer, outage))
    }

    fn full_state_response(&self) -> Response<Full<Bytes>> {
        let full_state = self.full_state.as_ref();
        let Some((position, body)) = full_state.and_then(|full_state| full_state.encode()) else {
            return decline(DeclineReason::NotReader.reason());
        };
        let mut response = Response::new(Full::new(body));
        set_position(response.headers_mut(), UP_TO, position);
        response
    }

    /// Waits until there are changes to return or the poll must be declined.
    ///
    /// A caller may be ahead of this host by a moment, so a position not yet reached is waited for as well: declining
    /// would send the caller to the store.
    async fn wait(&self, after: Position) -> Answer {
        loop {
            let changed = self.changed.notified();
            let answer = self.current_answer(after);
            let worth_waiting = [Answer::UpToDate, Answer::Declined(DeclineReason::Behind)];
            if !worth_waiting.contains(&answer) {
                return answer;
            }
            changed.await;
        }
    }

    fn current_answer(&self, after: Position) -> Answer {
        self.log().answer(after, self.clock.now())
    }

    fn update_log(&self, update: impl FnOnce(&mut Log)) {
        update(&mut self.log());
        self.changed.notify_waiters();
    }

    // No code panics while it holds the lock, so the guarded value is consistent even if poisoned.
    fn log(&self) -> MutexGuard<'_, Log> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Parses a position whose revision is in the given header.
fn position(headers: &HeaderMap, revision: &HeaderName) -> Option<Position> {
    Some(Position {
        era: parse_number(headers, &ERA).unwrap_or_default(),
        revision: parse_number(headers, revision)?,
    })
}

fn set_position(headers: &mut HeaderMap, name: HeaderName, position: Position) {
    headers.insert(name, position.revision.into());
    headers.insert(ERA, position.era.into());
}

fn respond(answer: Answer, outage: Outage) -> Response<Full<Bytes>> {
    let mut response = match answer {
        Answer::Declined(reason) => return decline(reason.reason()),
        Answer::UpToDate => {
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::NO_CONTENT;
            response
        }
        Answer::Batch(batch) => {
            let mut response = Response::new(Full::new(Bytes::from_owner(batch.body)));
            set_position(response.headers_mut(), UP_TO, batch.to);
            response
        }
    };
    let headers = response.headers_mut();
    headers.insert(OUTAGES, outage.count.into());
    if let Some(ended_ago) = outage.ended_ago {
        headers.insert(OUTAGE_ENDED_AGO, (ended_ago.as_millis() as u64).into());
    }
    response
}

/// A request to a reader failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connect failed.
    #[snafu(display("{source}"))]
    Connect {
        /// Error of the connection.
        source: client::Error,
    },
    /// No response in time.
    #[snafu(display("host {host}: {step}: timed out after {limit:?}"))]
    Timeout {
        /// The reader.
        host: MemberId,
        /// Operation that timed out.
        step: &'static str,
        /// Timeout of the operation.
        limit: Duration,
    },
    /// The connection failed.
    #[snafu(display("host {host}: request failed: {source}"))]
    Http {
        /// The reader.
        host: MemberId,
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// The response is invalid.
    #[snafu(display("host {host}: invalid response, status {status}"))]
    InvalidReply {
        /// The reader.
        host: MemberId,
        /// Status of the response.
        status: StatusCode,
    },
    /// The reader declined; another host has to be polled.
    #[snafu(display("host {host} declined: {reason}"))]
    Declined {
        /// The reader.
        host: MemberId,
        /// Reason given by the reader.
        reason: String,
    },
}

/// Result of a request to a reader.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Returns whether the store may have been unavailable, so that entries may have expired there.
    pub fn is_store_lost(&self) -> bool {
        let store_lost =
            [DeclineReason::StoreLost, DeclineReason::Stale].map(DeclineReason::reason);
        matches!(self, Self::Declined { reason, .. } if store_lost.contains(&reason.as_str()))
    }
}

/// Response to a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollReply {
    /// Changes in the encoding of the store, with the position that they lead to; `None` if nothing changed.
    pub changes: Option<(Position, Bytes)>,
    /// Outages of the store, as seen by the reader.
    pub outage: Outage,
}

/// A connection to a host that reads the store.
pub struct Reader {
    host: MemberId,
    sender: client::Sender<Empty<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

impl Reader {
    /// Connects to a host.
    ///
    /// # Errors
    ///
    /// Fails if the connect fails or times out.
    pub async fn open(host: MemberId) -> Result<Self> {
        let (step, limit) = ("connecting", READER_CONNECT_TIMEOUT);
        let opened = timeout(limit, client::open_with_keepalive(host, limit)).await;
        let timed_out = |_| Error::Timeout { host, step, limit };
        let (sender, driver) = opened.map_err(timed_out)?.context(ConnectSnafu)?;
        Ok(Self {
            host,
            sender,
            _driver: client::drive(driver),
        })
    }

    /// Returns the host that this is connected to.
    pub fn host(&self) -> MemberId {
        self.host
    }

    /// Long-polls for changes after a position.
    ///
    /// # Errors
    ///
    /// Fails on a timeout, or if the host declines.
    pub async fn poll(&mut self, after: Position, limit: Duration) -> Result<PollReply> {
        let (host, step) = (self.host, "polling for changes");
        let timed_out = |_| Error::Timeout { host, step, limit };
        timeout(limit, self.exchange(after))
            .await
            .map_err(timed_out)?
    }

    /// Loads the full state of the store. Returns it with its position.
    ///
    /// # Errors
    ///
    /// Fails on a timeout, or if the host has no state yet.
    pub async fn load_full_state(&mut self, limit: Duration) -> Result<(Position, Bytes)> {
        let (host, step) = (self.host, "loading the full state");
        let timed_out = |_| Error::Timeout { host, step, limit };
        let request = self.call(|headers| {
            headers.insert(FULL_STATE, 1_u64.into());
        });
        let response = timeout(limit, request).await.map_err(timed_out)??;
        let (head, body) = response.into_parts();
        match position(&head.headers, &UP_TO) {
            Some(to) if head.status == StatusCode::OK => Ok((to, body)),
            _ => InvalidReplySnafu {
                host,
                status: head.status,
            }
            .fail(),
        }
    }

    async fn exchange(&mut self, after: Position) -> Result<PollReply> {
        let host = self.host;
        let response = self.call(|headers| set_position(headers, AFTER, after));
        let (head, body) = response.await?.into_parts();
        let status = head.status;
        let to = position(&head.headers, &UP_TO);
        let changes = match (status, to) {
            (StatusCode::NO_CONTENT, _) => None,
            (StatusCode::OK, Some(to)) if to.era == after.era => Some((to, body)),
            _ => return InvalidReplySnafu { host, status }.fail(),
        };
        Ok(PollReply {
            changes,
            outage: Outage {
                count: parse_number(&head.headers, &OUTAGES).unwrap_or_default(),
                ended_ago: parse_number(&head.headers, &OUTAGE_ENDED_AGO)
                    .map(Duration::from_millis),
            },
        })
    }

    /// Sends a request and reads the complete response.
    async fn call(&mut self, set_headers: impl FnOnce(&mut HeaderMap)) -> Result<Response<Bytes>> {
        let host = self.host;
        let request = Request::get("/").header(HOST, host.to_string());
        let Ok(mut request) = request.body(Empty::new()) else {
            return InvalidReplySnafu {
                host,
                status: StatusCode::BAD_REQUEST,
            }
            .fail();
        };
        set_headers(request.headers_mut());
        let http = HttpSnafu { host };
        self.sender.ready().await.context(http)?;
        let response = self.sender.send_request(request).await.context(http)?;
        let (head, body) = response.into_parts();
        if let Some(reason) = head.headers.get(DECLINED) {
            let reason = reason.to_str().unwrap_or_default();
            return DeclinedSnafu { host, reason }.fail();
        }
        let status = head.status;
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        match body {
            Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
            Err(_) => InvalidReplySnafu { host, status }.fail(),
        }
    }
}
