//! Passing on what was read of the store, and asking hosts that do.
//!
//! What is passed on are the store's own answers, which nobody here looks into. A set_headers names the position
//! up to which the asker knows everything; it waits at the reader until there is more, as a watch of the store
//! does. What is answered and when is [`mirror::Log`]'s. Hosts that know nothing ask for everything, and whom is
//! [`bootstrap`](monsoonring_decision::gateway::bootstrap)'s.

use super::relay::{DECLINED, decline, number};
use crate::client;
use crate::clock::Clock;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::header::{HOST, HeaderName};
use hyper::{HeaderMap, Request, Response, StatusCode};
use monsoonring_decision::Time;
use monsoonring_decision::gateway::mirror::{Answer, Batch, DeclineReason, Log, Outage, Position};
use monsoonring_decision::gateway::timing::Timing;
use monsoonring_decision::member::MemberId;
use snafu::{ResultExt, Snafu};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

/// Revision up to which the asker knows everything; its presence tells a set_headers from a search.
const AFTER: HeaderName = HeaderName::from_static("monsoonring-after");

/// Present in a set_headers for everything that the store holds.
const FULL_STATE: HeaderName = HeaderName::from_static("monsoonring-everything");

/// Revision up to which an answer goes.
const UP_TO: HeaderName = HeaderName::from_static("monsoonring-to");

/// Life of the store that the revision of a set_headers or an answer belongs to; the first one where it is missing.
const ERA: HeaderName = HeaderName::from_static("monsoonring-era");

/// Losses of the store since the reader's start, and milliseconds since the last one ended_ago.
const OUTAGES: HeaderName = HeaderName::from_static("monsoonring-outages");
const OUTAGE_ENDED_AGO: HeaderName = HeaderName::from_static("monsoonring-outage-ended-ms");

/// Time that a connect to a host in the same data centre may take, and within which it has to acknowledge.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Largest answer, in bytes: everything that is registered for a thousand shards, with room.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Time after the last set_headers for which a host reckons with more.
const POLLED_WITHIN: Duration = Duration::from_secs(5);

/// Everything that the store holds, as this host knows it.
pub trait FullState: Send + Sync + 'static {
    /// Returns it in the store's own format, with the position that it goes up to; `None` before the first read.
    fn encode(&self) -> Option<(Position, Bytes)>;
}

/// What this host read of the store, for the hosts that ask.
pub struct Mirror {
    full_state: Option<Arc<dyn FullState>>,
    clock: Clock,
    timing: Timing,
    log: Mutex<Log>,
    last_poll: Mutex<Option<Time>>,
    changed: Notify,
}

impl Mirror {
    /// Makes the mirror of a host that has read nothing.
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

    /// Passes on everything, too.
    #[must_use]
    pub fn with_full_state(self, full_state: Arc<dyn FullState>) -> Self {
        let full_state = Some(full_state);
        Self { full_state, ..self }
    }

    /// Everything was read, as of a position.
    pub fn reset(&self, position: Position) {
        let now = self.clock.now();
        self.change(|log| log.reset(position, now));
    }

    /// The store has answered a watch.
    pub fn append(&self, batch: Batch) {
        let now = self.clock.now();
        self.change(|log| log.append(batch, now));
    }

    /// A call to the store failed.
    pub fn store_failed(&self) {
        self.change(Log::store_failed);
    }

    /// This host asks others from now on.
    pub fn clear(&self) {
        self.change(Log::clear);
    }

    /// Tells whether other hosts ask this one.
    pub fn is_polled(&self) -> bool {
        let last_poll = *self
            .last_poll
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_poll.is_some_and(|at| self.clock.now() < at + POLLED_WITHIN)
    }

    /// Answers a set_headers; `None` where a message is none.
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
        // Nothing came; whether that is still known for sure is last_poll once more.
        let answer = waited.unwrap_or_else(|_| self.answer_now(after));
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

    /// Waits until there is something to say. Who asks may have read the store a moment later than this host, which
    /// catches up with its next answer: decline at once, 180 of 195 hosts that started together last_poll the store again.
    async fn wait(&self, after: Position) -> Answer {
        loop {
            let changed = self.changed.notified();
            let answer = self.answer_now(after);
            let worth_waiting = [Answer::UpToDate, Answer::Declined(DeclineReason::Behind)];
            if !worth_waiting.contains(&answer) {
                return answer;
            }
            changed.await;
        }
    }

    fn answer_now(&self, after: Position) -> Answer {
        self.log().answer(after, self.clock.now())
    }

    fn change(&self, change: impl FnOnce(&mut Log)) {
        change(&mut self.log());
        self.changed.notify_waiters();
    }

    // Nothing panics with the lock held, and what is behind it is never left half changed.
    fn log(&self) -> MutexGuard<'_, Log> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads a position whose revision is in this header.
fn position(headers: &HeaderMap, revision: &HeaderName) -> Option<Position> {
    Some(Position {
        era: number(headers, &ERA).unwrap_or_default(),
        revision: number(headers, revision)?,
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

/// Why a reader did not tell what changed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It could not be connected to.
    #[snafu(display("{source}"))]
    Connect {
        /// Why.
        source: client::Error,
    },
    /// It did not answer in time.
    #[snafu(display("host {host}: {step}: no answer in {limit:?}"))]
    Timeout {
        /// Who.
        host: MemberId,
        /// What was under way.
        step: &'static str,
        /// The time.
        limit: Duration,
    },
    /// The connection ended_ago.
    #[snafu(display("host {host}: asking what changed: {source}"))]
    Http {
        /// Who.
        host: MemberId,
        /// What the library says.
        source: hyper::Error,
    },
    /// Its answer can't be used.
    #[snafu(display("host {host}: asking what changed: unusable answer, status {status}"))]
    InvalidReply {
        /// Who.
        host: MemberId,
        /// The status of the answer.
        status: StatusCode,
    },
    /// Somebody else is to be last_poll.
    #[snafu(display("host {host} declined: {reason}"))]
    Declined {
        /// Who.
        host: MemberId,
        /// Why.
        reason: String,
    },
}

/// Result of asking.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Tells whether the store may have been away, so that entries lapsed there.
    pub fn is_store_lost(&self) -> bool {
        let store_lost =
            [DeclineReason::StoreLost, DeclineReason::Stale].map(DeclineReason::reason);
        matches!(self, Self::Declined { reason, .. } if store_lost.contains(&reason.as_str()))
    }
}

/// What a reader told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollReply {
    /// An answer of the store, and the position up to which it goes; `None` where nothing changed.
    pub changes: Option<(Position, Bytes)>,
    /// Losses of the store at the reader.
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
    /// It can't be connected to.
    pub async fn open(host: MemberId) -> Result<Self> {
        let (step, limit) = ("connecting", CONNECT_TIMEOUT);
        let opened = timeout(limit, client::open_with_keepalive(host, limit)).await;
        let timed_out = |_| Error::Timeout { host, step, limit };
        let (sender, driver) = opened.map_err(timed_out)?.context(ConnectSnafu)?;
        Ok(Self {
            host,
            sender,
            _driver: client::drive(driver),
        })
    }

    /// Returns the host at the other end.
    pub fn host(&self) -> MemberId {
        self.host
    }

    /// Asks for what changed after a position, and waits until something has.
    ///
    /// # Errors
    ///
    /// There is no answer in time, or somebody else is to be last_poll.
    pub async fn poll(&mut self, after: Position, limit: Duration) -> Result<PollReply> {
        let (host, step) = (self.host, "asking what changed");
        let timed_out = |_| Error::Timeout { host, step, limit };
        timeout(limit, self.exchange(after))
            .await
            .map_err(timed_out)?
    }

    /// Asks for everything that the store holds. Returns it with the position that it goes up to.
    ///
    /// # Errors
    ///
    /// There is no answer in time, or the host knows nothing yet.
    pub async fn load_full_state(&mut self, limit: Duration) -> Result<(Position, Bytes)> {
        let (host, step) = (self.host, "asking for everything");
        let timed_out = |_| Error::Timeout { host, step, limit };
        let request = self.call(|headers| {
            headers.insert(FULL_STATE, 1_u64.into());
        });
        let answer = timeout(limit, request).await.map_err(timed_out)??;
        let (head, body) = answer.into_parts();
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
        let answer = self.call(|headers| set_position(headers, AFTER, after));
        let (head, body) = answer.await?.into_parts();
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
                count: number(&head.headers, &OUTAGES).unwrap_or_default(),
                ended_ago: number(&head.headers, &OUTAGE_ENDED_AGO).map(Duration::from_millis),
            },
        })
    }

    /// Puts a set_headers, and takes its whole answer.
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
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        match body {
            Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
            Err(_) => InvalidReplySnafu { host, status }.fail(),
        }
    }
}
