//! Writes the responses to callers from the service's outcomes.
//!
//! Item values are JSON text from a backend server; they are copied into the response without
//! parsing them again.

use super::header;
use super::problem::Problem;
use super::status;
use crate::metrics::label::OutcomeLabel;
use crate::service::Execution;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use monsoonring_decision::RequestId;
use monsoonring_decision::outcome::{Answer, Outcome};
use std::fmt::Write;

const MEDIA_TYPE: &str = "application/json";

/// Estimated sizes of an answer's head and of an item without its value, used to allocate the
/// buffer.
const HEAD_BYTES: usize = 256;
const ITEM_BYTES: usize = 40;

/// Response to a caller.
pub(crate) enum Reply {
    /// An answer, the outcome for logs and metrics, and the coverage of a search.
    Answer(Response<Full<Bytes>>, OutcomeLabel, Option<f64>),
    /// A problem, and a value for the `idempotency-key` header.
    Problem(Problem, Option<HeaderValue>),
}

/// Writes the outcome of a search or of a non-idempotent request.
pub(crate) fn outcome(request: RequestId, outcome: &Outcome) -> Reply {
    match outcome {
        Outcome::Answered(answer) => {
            let ended = if answer.missing.is_empty() {
                OutcomeLabel::Complete
            } else {
                OutcomeLabel::Partial
            };
            Reply::Answer(
                answer_response(request, answer),
                ended,
                Some(answer.coverage),
            )
        }
        Outcome::Executed(value) => Reply::Answer(
            executed_response(request, value),
            OutcomeLabel::Executed,
            None,
        ),
        Outcome::NotRun {
            reason,
            retry_after,
        } => Reply::Problem(status::not_run(*reason, *retry_after), None),
        Outcome::Failed {
            reason,
            retry_after,
        } => Reply::Problem(status::failed(*reason, *retry_after), None),
        Outcome::Unknown { reason } => Reply::Problem(status::unknown(*reason), None),
    }
}

/// Writes the outcome of a non-idempotent request, with the key offered for the next send.
pub(crate) fn execution(request: RequestId, execution: &Execution) -> Reply {
    if execution.conflict {
        return Reply::Problem(status::conflict(), None);
    }
    let key = execution
        .offered_key
        .as_ref()
        .and_then(|key| HeaderValue::from_str(key).ok());
    match (outcome(request, &execution.outcome), key) {
        (Reply::Answer(mut response, ended, coverage), Some(key)) => {
            response.headers_mut().insert(header::IDEMPOTENCY_KEY, key);
            Reply::Answer(response, ended, coverage)
        }
        (Reply::Problem(problem, _), key) => Reply::Problem(problem, key),
        (reply, None) => reply,
    }
}

/// Writes the response that issues a new key.
pub(crate) fn issued(request: RequestId, key: &str) -> Reply {
    let body = format!(
        "{{\"request\":\"{}\",\"status\":\"issued\"}}",
        header::request_text(request)
    );
    let mut response = json_response(request, StatusCode::CREATED, body);
    if let Ok(key) = HeaderValue::from_str(key) {
        response.headers_mut().insert(header::IDEMPOTENCY_KEY, key);
    }
    Reply::Answer(response, OutcomeLabel::Issued, None)
}

fn answer_response(request: RequestId, answer: &Answer) -> Response<Full<Bytes>> {
    let coverage = format_number(answer.coverage);
    let mut response = json_response(request, StatusCode::OK, answer_body(request, answer));
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&coverage) {
        headers.insert(header::COVERAGE, value);
    }
    headers.insert(header::INDEX_VERSION, answer.index_version.into());
    response
}

fn answer_body(request: RequestId, answer: &Answer) -> String {
    let status = if answer.missing.is_empty() {
        "complete"
    } else {
        "partial"
    };
    let values: usize = answer.items.iter().map(|item| item.value.len()).sum();
    let mut body = String::with_capacity(HEAD_BYTES + values + ITEM_BYTES * answer.items.len());
    let request = header::request_text(request);
    let coverage = format_number(answer.coverage);
    let version = answer.index_version;
    // Writing to a string does not fail.
    let _written = write!(
        body,
        "{{\"request\":\"{request}\",\"status\":\"{status}\",\"coverage\":{coverage},\
         \"index_version\":{version},\"missing\":["
    );
    for (index, range) in answer.missing.iter().enumerate() {
        let comma = separator(index);
        let (start, end) = (range.start, range.end);
        let _written = write!(body, "{comma}{{\"start\":{start},\"end\":{end}}}");
    }
    body.push_str("],\"items\":[");
    for (index, item) in answer.items.iter().enumerate() {
        let comma = separator(index);
        let (key, value) = (item.key, &item.value);
        let _written = write!(body, "{comma}{{\"key\":{key},\"value\":{value}}}");
    }
    body.push_str("]}");
    body
}

fn executed_response(request: RequestId, value: &str) -> Response<Full<Bytes>> {
    let body = format!(
        "{{\"request\":\"{}\",\"status\":\"executed\",\"value\":{value}}}",
        header::request_text(request)
    );
    json_response(request, StatusCode::OK, body)
}

fn json_response(request: RequestId, status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
    if let Ok(value) = HeaderValue::from_str(&header::request_text(request)) {
        headers.insert(header::REQUEST, value);
    }
    response
}

fn separator(index: usize) -> &'static str {
    if index == 0 { "" } else { "," }
}

/// Returns the shortest text that parses to the same number. Non-finite numbers have no JSON form
/// and become 0.
fn format_number(value: f64) -> String {
    let finite = if value.is_finite() { value } else { 0.0 };
    format!("{finite:?}")
}
