//! Passing on what was read of the store, and asking hosts that do.
//!
//! What is passed on are the store's own answers, which nobody here looks into. A question names the position
//! up to which the asker knows everything; it waits at the reader until there is more, as a watch of the store
//! does. What is answered and when is [`mirror::Log`]'s. Hosts that know nothing ask for everything, and whom is
//! [`bootstrap`](monsoonring_decision::gateway::bootstrap)'s.

use super::relay::{DECLINED, declined, number};
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

/// Revision up to which the asker knows everything; its presence tells a question from a search.
const AFTER: HeaderName = HeaderName::from_static("monsoonring-after");

/// Present in a question for everything that the store holds.
const EVERYTHING: HeaderName = HeaderName::from_static("monsoonring-everything");

/// Revision up to which an answer goes.
const TO: HeaderName = HeaderName::from_static("monsoonring-to");

/// Life of the store that the revision of a question or an answer belongs to; the first one where it is missing.
const ERA: HeaderName = HeaderName::from_static("monsoonring-era");

/// Losses of the store since the reader's start, and milliseconds since the last one ended.
const OUTAGES: HeaderName = HeaderName::from_static("monsoonring-outages");
const OUTAGE_ENDED: HeaderName = HeaderName::from_static("monsoonring-outage-ended-ms");

/// Time that a connect to a host in the same data centre may take, and within which it has to acknowledge.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Largest answer, in bytes: everything that is registered for a thousand shards, with room.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Time after the last question for which a host reckons with more.
const ASKED_FOR: Duration = Duration::from_secs(5);

/// Everything that the store holds, as this host knows it.
pub trait Archive: Send + Sync + 'static {
    /// Returns it in the store's own format, with the position that it goes up to; `None` before the first read.
    fn whole(&self) -> Option<(Position, Bytes)>;
}

/// What this host read of the store, for the hosts that ask.
pub struct Mirror {
    archive: Option<Arc<dyn Archive>>,
    clock: Clock,
    pace: Timing,
    log: Mutex<Log>,
    asked: Mutex<Option<Time>>,
    changed: Notify,
}

impl Mirror {
    /// Makes the mirror of a host that has read nothing.
    pub fn new(pace: Timing) -> Self {
        Self {
            archive: None,
            clock: Clock::start(),
            pace,
            log: Mutex::new(Log::new(pace.freshness())),
            asked: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Passes on everything, too.
    #[must_use]
    pub fn with(self, archive: Arc<dyn Archive>) -> Self {
        let archive = Some(archive);
        Self { archive, ..self }
    }

    /// Everything was read, as of a position.
    pub fn read(&self, position: Position) {
        let now = self.clock.now();
        self.change(|log| log.reset(position, now));
    }

    /// The store has answered a watch.
    pub fn watched(&self, batch: Batch) {
        let now = self.clock.now();
        self.change(|log| log.append(batch, now));
    }

    /// A call to the store failed.
    pub fn lost(&self) {
        self.change(Log::store_failed);
    }

    /// This host asks others from now on.
    pub fn retire(&self) {
        self.change(Log::clear);
    }

    /// Tells whether other hosts ask this one.
    pub fn is_asked(&self) -> bool {
        let asked = *self.asked.lock().unwrap_or_else(PoisonError::into_inner);
        asked.is_some_and(|at| self.clock.now() < at + ASKED_FOR)
    }

    /// Answers a question; `None` where a message is none.
    pub(super) async fn answer(&self, headers: &HeaderMap) -> Option<Response<Full<Bytes>>> {
        if headers.contains_key(EVERYTHING) {
            return Some(self.whole());
        }
        let after = position(headers, &AFTER)?;
        let now = self.clock.now();
        *self.asked.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
        let waited = timeout(self.pace.poll(), self.wait(after)).await;
        // Nothing came; whether that is still known for sure is asked once more.
        let answer = waited.unwrap_or_else(|_| self.answer_now(after));
        let outage = self.log().outage(self.clock.now());
        Some(respond(answer, outage))
    }

    fn whole(&self) -> Response<Full<Bytes>> {
        let archive = self.archive.as_ref();
        let Some((position, body)) = archive.and_then(|archive| archive.whole()) else {
            return declined(DeclineReason::NotReader.reason());
        };
        let mut response = Response::new(Full::new(body));
        set_position(response.headers_mut(), TO, position);
        response
    }

    /// Waits until there is something to say. Who asks may have read the store a moment later than this host, which
    /// catches up with its next answer: declined at once, 180 of 195 hosts that started together asked the store again.
    async fn wait(&self, after: Position) -> Answer {
        loop {
            let changed = self.changed.notified();
            let answer = self.answer_now(after);
            let may_come = [Answer::UpToDate, Answer::Declined(DeclineReason::Behind)];
            if !may_come.contains(&answer) {
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
        Answer::Declined(why) => return declined(why.reason()),
        Answer::UpToDate => {
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::NO_CONTENT;
            response
        }
        Answer::Batch(batch) => {
            let mut response = Response::new(Full::new(Bytes::from_owner(batch.body)));
            set_position(response.headers_mut(), TO, batch.to);
            response
        }
    };
    let headers = response.headers_mut();
    headers.insert(OUTAGES, outage.count.into());
    if let Some(ended) = outage.ended_ago {
        headers.insert(OUTAGE_ENDED, (ended.as_millis() as u64).into());
    }
    response
}

/// Why a reader did not tell what changed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It could not be connected to.
    #[snafu(display("{source}"))]
    Open {
        /// Why.
        source: client::Error,
    },
    /// It did not answer in time.
    #[snafu(display("host {host}: {step}: no answer in {limit:?}"))]
    Silent {
        /// Who.
        host: MemberId,
        /// What was under way.
        step: &'static str,
        /// The time.
        limit: Duration,
    },
    /// The connection ended.
    #[snafu(display("host {host}: asking what changed: {source}"))]
    Http {
        /// Who.
        host: MemberId,
        /// What the library says.
        source: hyper::Error,
    },
    /// Its answer can't be used.
    #[snafu(display("host {host}: asking what changed: unusable answer, status {status}"))]
    Unusable {
        /// Who.
        host: MemberId,
        /// The status of the answer.
        status: StatusCode,
    },
    /// Somebody else is to be asked.
    #[snafu(display("host {host} declined: {why}"))]
    Declined {
        /// Who.
        host: MemberId,
        /// Why.
        why: String,
    },
}

/// Result of asking.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Tells whether the store may have been away, so that entries lapsed there.
    pub fn is_store_lost(&self) -> bool {
        let away = [DeclineReason::StoreLost, DeclineReason::Stale].map(DeclineReason::reason);
        matches!(self, Self::Declined { why, .. } if away.contains(&why.as_str()))
    }
}

/// What a reader told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
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
        let opened = timeout(limit, client::open_within(host, limit)).await;
        let silent = |_| Error::Silent { host, step, limit };
        let (sender, driver) = opened.map_err(silent)?.context(OpenSnafu)?;
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
    /// There is no answer in time, or somebody else is to be asked.
    pub async fn ask(&mut self, after: Position, limit: Duration) -> Result<Told> {
        let (host, step) = (self.host, "asking what changed");
        let silent = |_| Error::Silent { host, step, limit };
        timeout(limit, self.exchange(after)).await.map_err(silent)?
    }

    /// Asks for everything that the store holds. Returns it with the position that it goes up to.
    ///
    /// # Errors
    ///
    /// There is no answer in time, or the host knows nothing yet.
    pub async fn everything(&mut self, limit: Duration) -> Result<(Position, Bytes)> {
        let (host, step) = (self.host, "asking for everything");
        let silent = |_| Error::Silent { host, step, limit };
        let request = self.call(|headers| {
            headers.insert(EVERYTHING, 1_u64.into());
        });
        let answer = timeout(limit, request).await.map_err(silent)??;
        let (head, body) = answer.into_parts();
        match position(&head.headers, &TO) {
            Some(to) if head.status == StatusCode::OK => Ok((to, body)),
            _ => UnusableSnafu {
                host,
                status: head.status,
            }
            .fail(),
        }
    }

    async fn exchange(&mut self, after: Position) -> Result<Told> {
        let host = self.host;
        let answer = self.call(|headers| set_position(headers, AFTER, after));
        let (head, body) = answer.await?.into_parts();
        let status = head.status;
        let to = position(&head.headers, &TO);
        let changes = match (status, to) {
            (StatusCode::NO_CONTENT, _) => None,
            (StatusCode::OK, Some(to)) if to.era == after.era => Some((to, body)),
            _ => return UnusableSnafu { host, status }.fail(),
        };
        Ok(Told {
            changes,
            outage: Outage {
                count: number(&head.headers, &OUTAGES).unwrap_or_default(),
                ended_ago: number(&head.headers, &OUTAGE_ENDED).map(Duration::from_millis),
            },
        })
    }

    /// Puts a question, and takes its whole answer.
    async fn call(&mut self, question: impl FnOnce(&mut HeaderMap)) -> Result<Response<Bytes>> {
        let host = self.host;
        let request = Request::get("/").header(HOST, host.to_string());
        let Ok(mut request) = request.body(Empty::new()) else {
            return UnusableSnafu {
                host,
                status: StatusCode::BAD_REQUEST,
            }
            .fail();
        };
        question(request.headers_mut());
        let http = HttpSnafu { host };
        self.sender.ready().await.context(http)?;
        let response = self.sender.send_request(request).await.context(http)?;
        let (head, body) = response.into_parts();
        if let Some(why) = head.headers.get(DECLINED) {
            let why = why.to_str().unwrap_or_default();
            return DeclinedSnafu { host, why }.fail();
        }
        let status = head.status;
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        match body {
            Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
            Err(_) => UnusableSnafu { host, status }.fail(),
        }
    }
}
