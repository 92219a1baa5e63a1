//! Parsing and validation of requests.

use crate::backend_server::journal::Attempt;
use crate::endpoint::ConnectionId;
use crate::header;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use monsoonring_configuration::Range;
use monsoonring_configuration::id::Incarnation;
use serde::Deserialize;
use std::str::FromStr;
use std::time::Duration;
use tokio::time::Instant;

const ATTEMPT_DIGITS: usize = 16;

/// A valid request.
pub(crate) struct Request {
    pub(crate) attempt: Attempt,
    pub(crate) deadline: Option<Instant>,
    pub(crate) body: Bytes,
    pub(crate) work: Work,
}

/// The operation that a request asks for.
pub(crate) enum Work {
    /// A search over the given key ranges.
    Search(Vec<Range>),
    /// A non-idempotent request.
    Execute,
}

#[derive(Deserialize)]
struct SearchBody {
    ranges: Vec<Range>,
    #[serde(rename = "query")]
    _query: serde_json::Value,
}

#[derive(Deserialize)]
struct ExecuteBody {
    #[serde(rename = "query")]
    _query: serde_json::Value,
}

/// The connection and process that received a request.
#[derive(Clone, Copy)]
pub(crate) struct Origin {
    pub(crate) connection: ConnectionId,
    pub(crate) start: Incarnation,
}

impl Request {
    /// Reads a request; `None` if it violates the protocol or is cut short.
    pub(crate) async fn read(
        request: hyper::Request<Incoming>,
        executes: bool,
        origin: Origin,
    ) -> Option<Self> {
        let received = Instant::now();
        let (parts, body) = request.into_parts();
        let attempt = attempt(&parts.headers, executes, origin)?;
        let body = body.collect().await.ok()?.to_bytes();
        let work = work(&body, executes)?;
        let remaining = attempt.deadline_ms.map(Duration::from_millis);
        Some(Self {
            deadline: remaining.map(|remaining| received + remaining),
            attempt,
            body,
            work,
        })
    }

    pub(crate) fn contains(&self, marker: &str) -> bool {
        let text = String::from_utf8_lossy(&self.body);
        text.contains(marker)
    }
}

fn work(body: &[u8], executes: bool) -> Option<Work> {
    if executes {
        let _: ExecuteBody = serde_json::from_slice(body).ok()?;
        return Some(Work::Execute);
    }
    let body: SearchBody = serde_json::from_slice(body).ok()?;
    Some(Work::Search(body.ranges))
}

fn attempt(headers: &HeaderMap, executes: bool, origin: Origin) -> Option<Attempt> {
    let attempt = text(headers, header::ATTEMPT)?;
    let is_id = attempt.len() == ATTEMPT_DIGITS && attempt.bytes().all(|b| b.is_ascii_hexdigit());
    let key = text(headers, header::IDEMPOTENCY_KEY);
    if !is_id || (executes && key.is_none()) {
        return None;
    }
    Some(Attempt {
        attempt,
        request: text(headers, header::REQUEST),
        executes,
        key,
        index_version: number(headers, header::INDEX_VERSION)?,
        deadline_ms: number(headers, header::DEADLINE_MS)?,
        connection: origin.connection,
        start: origin.start,
    })
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

/// Parses an optional numeric header; `None` if it is present but not a number.
fn number<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<Option<T>> {
    match headers.get(name) {
        None => Some(None),
        Some(value) => value.to_str().ok()?.parse().ok().map(Some),
    }
}
