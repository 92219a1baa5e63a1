//! Attempts to HTTP requests, HTTP responses to replies.
//!
//! Nothing here trusts a backend server: what can't be read is [`Failure::Mismatched`], never a
//! guess.

#[cfg(test)]
mod tests;

use super::header;
use bytes::Bytes;
use http_body_util::Full;
use hyper::http::{HeaderMap, StatusCode, request, response};
use hyper::{Method, Request};
use monsoonring_configuration::Range;
use monsoonring_configuration::id::{IndexVersion, Key};
use monsoonring_decision::attempt::{AttemptId, Failure, Refusal};
use monsoonring_decision::content::{self, Content};
use monsoonring_decision::home::action::Send;
use monsoonring_decision::reply::{Item, Load, Reply, Report};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::fmt::{Debug, Display};
use std::marker;
use std::str::FromStr;
use std::time::Duration;

/// Refusal of a connection beyond the limit; it comes before the request was read, so that it can't
/// name the attempt.
const CONNECTIONS: &str = "connections";

/// Status of the reply to a cancelled attempt; it has no name in the registry.
const STATUS_CANCELLED: u16 = 499;

/// Writes attempts as HTTP requests and reads the responses to them.
pub trait Codec: Clone + Debug + marker::Send + Sync + 'static {
    /// What requests ask and replies hold.
    type Content: Content;

    /// Writes the HTTP request of an attempt, whose reply is of use for the time that remains.
    ///
    /// # Errors
    ///
    /// Fails where the attempt can't be written; nothing of it is sent.
    fn request(&self, send: &Send<Self::Content>, remaining: Duration) -> EncodeResult;

    /// Reads the response to an attempt; the body is whole.
    fn answer(
        &self,
        send: &Send<Self::Content>,
        head: &response::Parts,
        body: Bytes,
    ) -> Answer<Self::Content>;
}

/// An HTTP request, or why it could not be written.
pub type EncodeResult =
    Result<Request<Full<Bytes>>, Box<dyn std::error::Error + marker::Send + Sync>>;

/// The product's own interface to backend servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Json;

impl Codec for Json {
    type Content = content::Json;

    fn request(&self, send: &Send, remaining: Duration) -> EncodeResult {
        request(send, remaining)
    }

    fn answer(&self, send: &Send, head: &response::Parts, body: Bytes) -> Answer {
        answer(send, head, &body)
    }
}

/// What came of one attempt.
#[derive(Debug)]
pub enum Answer<C: Content = content::Json> {
    /// A search was answered.
    Reply(Reply<C::Value>),
    /// A non-idempotent request ran.
    Executed(C::Value, Report),
    /// Anything else.
    Failed(Failure),
}

#[derive(Serialize)]
struct SearchBody<'a> {
    ranges: &'a [Range],
    query: &'a RawValue,
}

#[derive(Serialize)]
struct ExecuteBody<'a> {
    query: &'a RawValue,
}

#[derive(Deserialize)]
struct ReplyBody {
    ranges: Vec<Range>,
    items: Vec<ItemBody>,
}

#[derive(Deserialize)]
struct ItemBody {
    key: Key,
    value: Box<RawValue>,
}

#[derive(Deserialize)]
struct ExecutedBody {
    value: Box<RawValue>,
}

/// Writes the HTTP request of an attempt.
///
/// # Errors
///
/// Fails where the request's body is no JSON or a header can't be written; neither is sent.
pub(crate) fn request(send: &Send, remaining: Duration) -> EncodeResult {
    let query: &RawValue = serde_json::from_str(&send.body)?;
    let (path, body) = match &send.execute_key {
        None => (
            "/query",
            serde_json::to_vec(&SearchBody {
                ranges: &send.ranges,
                query,
            })?,
        ),
        Some(_) => ("/execute", serde_json::to_vec(&ExecuteBody { query })?),
    };
    let head = head(send, path, remaining);
    Ok(head.body(Full::new(body.into()))?)
}

fn head(send: &Send, path: &str, remaining: Duration) -> request::Builder {
    let mut head = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", send.backend_server.to_string())
        .header("content-type", "application/json")
        .header(header::ATTEMPT, attempt_text(send.attempt))
        .header(header::REQUEST, format!("{:032x}", send.request))
        .header(header::DEADLINE_MS, remaining.as_millis().to_string());
    if let Some(version) = send.index_version {
        head = head.header(header::INDEX_VERSION, version);
    }
    if let Some(key) = &send.execute_key {
        head = head.header(header::IDEMPOTENCY_KEY, &**key);
    }
    head
}

/// Writes an attempt's id as the header carries it.
pub(crate) fn attempt_text(attempt: AttemptId) -> String {
    format!("{attempt:016x}")
}

/// Reads the response to an attempt.
pub(crate) fn answer(send: &Send, head: &response::Parts, body: &[u8]) -> Answer {
    let report = report(&head.headers);
    let refusal = text(&head.headers, header::NOT_RUN);
    if refusal == Some(CONNECTIONS) && !head.headers.contains_key(header::ATTEMPT) {
        return Answer::Failed(refused(CONNECTIONS, &head.headers, report));
    }
    // A response that belongs to another attempt would hand one caller another one's answer, or
    // pass another one's refusal for the proof that this request did not run.
    if text(&head.headers, header::ATTEMPT) != Some(attempt_text(send.attempt).as_str()) {
        return Answer::Failed(Failure::Mismatched);
    }
    if let Some(reason) = refusal {
        return Answer::Failed(refused(reason, &head.headers, report));
    }
    match head.status {
        StatusCode::OK if send.execute_key.is_some() => executed(body, report),
        StatusCode::OK => reply(&head.headers, body, report),
        status if is_abandoned(status) => Answer::Failed(Failure::Cancelled { report }),
        status if status.is_server_error() => Answer::Failed(Failure::ServerError { report }),
        _ => Answer::Failed(Failure::Mismatched),
    }
}

/// Tells whether the server stopped in the middle: cancelled, or past the deadline. Neither says how
/// much of a request had its effect.
fn is_abandoned(status: StatusCode) -> bool {
    status.as_u16() == STATUS_CANCELLED || status == StatusCode::GATEWAY_TIMEOUT
}

fn executed(body: &[u8], report: Report) -> Answer {
    match serde_json::from_slice::<ExecutedBody>(body) {
        Ok(body) => Answer::Executed(body.value.into(), report),
        Err(_) => Answer::Failed(Failure::Mismatched),
    }
}

fn reply(headers: &HeaderMap, body: &[u8], report: Report) -> Answer {
    let Ok(body) = serde_json::from_slice::<ReplyBody>(body) else {
        return Answer::Failed(Failure::Mismatched);
    };
    let items = body.items.into_iter();
    let items = items
        .map(|item| Item {
            key: item.key,
            value: item.value.into(),
        })
        .collect();
    let index_version = number(headers, header::INDEX_VERSION);
    Answer::Reply(Reply {
        index_version,
        ranges: body.ranges,
        items,
        report,
    })
}

fn refused(reason: &str, headers: &HeaderMap, report: Report) -> Failure {
    let refusal = match reason {
        "shedding" => Refusal::Shedding,
        "draining" => Refusal::Draining,
        "starting" => Refusal::Starting,
        "deadline" => Refusal::Deadline,
        "index-version" => Refusal::IndexVersion {
            served: report.index_versions.clone(),
        },
        CONNECTIONS => Refusal::Connections,
        "malformed" => Refusal::Malformed,
        // A reason of a later protocol: what it proves is still that the request did not run.
        _ => Refusal::Shedding,
    };
    let retry_after = number(headers, header::RETRY_AFTER_MS).map(Duration::from_millis);
    Failure::Refused {
        refusal,
        retry_after,
        report,
    }
}

/// Reads what a backend server says of itself in the headers of any response.
pub(crate) fn report(headers: &HeaderMap) -> Report {
    Report {
        load: text(headers, header::LOAD).and_then(load),
        index_versions: text(headers, header::INDEX_VERSIONS)
            .map(versions)
            .unwrap_or_default(),
        start: number(headers, header::START),
        draining: text(headers, header::DRAINING) == Some("true"),
    }
}

fn load(text: &str) -> Option<Load> {
    let mut numbers = text
        .split('/')
        .map(|number| number.trim().parse::<u32>().ok());
    let busy = numbers.next()??;
    let slots = numbers.next()??;
    let queued = numbers.next()??;
    Some(Load {
        busy,
        slots,
        queued,
    })
}

fn versions(text: &str) -> Vec<IndexVersion> {
    text.split(',')
        .filter_map(|version| version.trim().parse().ok())
        .collect()
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number<T: FromStr<Err: Display>>(headers: &HeaderMap, name: &str) -> Option<T> {
    text(headers, name)?.trim().parse().ok()
}
