//! Encodes attempts as HTTP requests and decodes the responses.
//!
//! Backend servers are not trusted: a response that can't be read is [`Failure::Mismatched`].

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

/// Reason of a refusal at the connection limit. It is sent before a request is read, so it can't
/// carry the attempt's id.
const CONNECTIONS: &str = "connections";

/// Non-standard status of the response to a cancelled attempt.
const STATUS_CANCELLED: u16 = 499;

/// Encodes attempts as HTTP requests and decodes the responses.
pub trait Codec: Clone + Debug + marker::Send + Sync + 'static {
    /// Types of the content of requests and replies.
    type Content: Content;

    /// Encodes an attempt; `remaining` is the time until its deadline.
    ///
    /// # Errors
    ///
    /// Fails if the attempt can't be encoded; nothing of it is sent.
    fn request(&self, send: &Send<Self::Content>, remaining: Duration) -> EncodeResult;

    /// Decodes the response to an attempt; `body` is complete.
    fn answer(
        &self,
        send: &Send<Self::Content>,
        head: &response::Parts,
        body: Bytes,
    ) -> Answer<Self::Content>;
}

/// An HTTP request, or why it could not be encoded.
pub type EncodeResult =
    Result<Request<Full<Bytes>>, Box<dyn std::error::Error + marker::Send + Sync>>;

/// The product's own JSON interface to backend servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Json;

impl Codec for Json {
    type Content = content::Json;

    fn request(&self, send: &Send, remaining: Duration) -> EncodeResult {
        encode_request(send, remaining)
    }

    fn answer(&self, send: &Send, head: &response::Parts, body: Bytes) -> Answer {
        decode_answer(send, head, &body)
    }
}

/// Result of one attempt.
#[derive(Debug)]
pub enum Answer<C: Content = content::Json> {
    /// Reply to a search.
    Reply(Reply<C::Value>),
    /// Value returned by a non-idempotent request that ran.
    Executed(C::Value, Report),
    /// The attempt failed.
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

/// Encodes an attempt as an HTTP request.
///
/// # Errors
///
/// Fails if the body is not JSON or a header can't be written; nothing is sent then.
pub(crate) fn encode_request(send: &Send, remaining: Duration) -> EncodeResult {
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
    let head = request_head(send, path, remaining);
    Ok(head.body(Full::new(body.into()))?)
}

fn request_head(send: &Send, path: &str, remaining: Duration) -> request::Builder {
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

/// Formats an attempt id as 16 hexadecimal digits.
pub(crate) fn attempt_text(attempt: AttemptId) -> String {
    format!("{attempt:016x}")
}

/// Decodes the response to an attempt.
pub(crate) fn decode_answer(send: &Send, head: &response::Parts, body: &[u8]) -> Answer {
    let report = parse_report(&head.headers);
    let refusal = header_text(&head.headers, header::NOT_RUN);
    if refusal == Some(CONNECTIONS) && !head.headers.contains_key(header::ATTEMPT) {
        return Answer::Failed(decode_refusal(CONNECTIONS, &head.headers, report));
    }
    // The response to another attempt would give a caller the wrong answer, or its refusal would
    // be taken as proof that this request did not run.
    if header_text(&head.headers, header::ATTEMPT) != Some(attempt_text(send.attempt).as_str()) {
        return Answer::Failed(Failure::Mismatched);
    }
    if let Some(reason) = refusal {
        return Answer::Failed(decode_refusal(reason, &head.headers, report));
    }
    match head.status {
        StatusCode::OK if send.execute_key.is_some() => decode_executed(body, report),
        StatusCode::OK => decode_reply(&head.headers, body, report),
        status if is_abandoned(status) => Answer::Failed(Failure::Cancelled { report }),
        status if status.is_server_error() => Answer::Failed(Failure::ServerError { report }),
        _ => Answer::Failed(Failure::Mismatched),
    }
}

/// Returns whether the server stopped part-way: cancelled, or past the deadline. The request may
/// have taken effect in part.
fn is_abandoned(status: StatusCode) -> bool {
    status.as_u16() == STATUS_CANCELLED || status == StatusCode::GATEWAY_TIMEOUT
}

fn decode_executed(body: &[u8], report: Report) -> Answer {
    match serde_json::from_slice::<ExecutedBody>(body) {
        Ok(body) => Answer::Executed(body.value.into(), report),
        Err(_) => Answer::Failed(Failure::Mismatched),
    }
}

fn decode_reply(headers: &HeaderMap, body: &[u8], report: Report) -> Answer {
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
    let index_version = header_number(headers, header::INDEX_VERSION);
    Answer::Reply(Reply {
        index_version,
        ranges: body.ranges,
        items,
        report,
    })
}

fn decode_refusal(reason: &str, headers: &HeaderMap, report: Report) -> Failure {
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
        // A reason from a later protocol version still proves that the request did not run.
        _ => Refusal::Shedding,
    };
    let retry_after = header_number(headers, header::RETRY_AFTER_MS).map(Duration::from_millis);
    Failure::Refused {
        refusal,
        retry_after,
        report,
    }
}

/// Reads the state that a server reports in the headers of any response.
pub(crate) fn parse_report(headers: &HeaderMap) -> Report {
    Report {
        load: header_text(headers, header::LOAD).and_then(parse_load),
        index_versions: header_text(headers, header::INDEX_VERSIONS)
            .map(parse_versions)
            .unwrap_or_default(),
        start: header_number(headers, header::START),
        draining: header_text(headers, header::DRAINING) == Some("true"),
    }
}

fn parse_load(text: &str) -> Option<Load> {
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

fn parse_versions(text: &str) -> Vec<IndexVersion> {
    text.split(',')
        .filter_map(|version| version.trim().parse().ok())
        .collect()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn header_number<T: FromStr<Err: Display>>(headers: &HeaderMap, name: &str) -> Option<T> {
    header_text(headers, name)?.trim().parse().ok()
}
