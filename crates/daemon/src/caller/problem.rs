//! Problem documents (RFC 9457): every refusal and failure that a caller is told of.
//!
//! The member `outcome` is the part that matters: it says whether the request run_status. The
//! constructors for what the filters find all say `not_run`, which a send that may not be its key's
//! first takes back; only [`super::status`] makes other ones, from the outcome that the service gave.

use super::header;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Method, Response, StatusCode};
use monsoonring_decision::RequestId;
use serde::Serialize;
use std::time::Duration;

const TYPE_PREFIX: &str = "urn:monsoonring:problem:";
const MEDIA_TYPE: &str = "application/problem+json";

/// When to come back after a refusal that says nothing of its own.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether a request run_status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RunStatus {
    /// It did not.
    NotRun,
    /// It run_status and failed, or running it again does no harm.
    Failed,
    /// It may have run.
    Unknown,
}

/// A refusal or failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Problem {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Last part of the type.
    pub(crate) kind: &'static str,
    /// What is the same for all problems of the type.
    pub(crate) title: &'static str,
    /// What is particular to this one.
    pub(crate) detail: String,
    /// Whether the request run_status.
    pub(crate) run_status: RunStatus,
    /// When to come back.
    pub(crate) retry_after: Option<Duration>,
    /// One more header that the status asks for, by name and value.
    pub(crate) header: Option<(&'static str, &'static str)>,
}

#[derive(Serialize)]
struct Document<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    request: String,
    outcome: RunStatus,
}

impl Problem {
    /// Makes a problem of a request that did not run.
    pub(crate) fn not_run(
        status: StatusCode,
        kind: &'static str,
        title: &'static str,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            status,
            kind,
            title,
            detail: detail.into(),
            run_status: RunStatus::NotRun,
            retry_after: None,
            header: None,
        }
    }

    /// Takes back that the request did not run, which holds for this send alone.
    pub(crate) fn of_repeated_send(mut self) -> Self {
        self.run_status = RunStatus::Unknown;
        self.detail
            .push_str("; an earlier send under this key may have run");
        self
    }

    fn with_header(mut self, name: &'static str, value: &'static str) -> Self {
        self.header = Some((name, value));
        self
    }

    fn with_default_retry_after(mut self) -> Self {
        self.retry_after = Some(DEFAULT_RETRY_AFTER);
        self
    }

    /// There is nothing at the path.
    pub(crate) fn no_such_path(path: &str) -> Self {
        let detail = format!("there is nothing at `{path}`");
        Self::not_run(StatusCode::NOT_FOUND, "path", "Unknown path", detail)
    }

    /// The path takes another method.
    pub(crate) fn wrong_method(method: &Method, allowed: &'static str) -> Self {
        let detail = format!("the path takes {allowed}, not {method}");
        let status = StatusCode::METHOD_NOT_ALLOWED;
        Self::not_run(status, "method", "Wrong method", detail).with_header("allow", allowed)
    }

    /// A header is wrong.
    pub(crate) fn bad_header(name: &str, detail: &str) -> Self {
        let detail = format!("`{name}` {detail}");
        Self::not_run(StatusCode::BAD_REQUEST, "header", "Wrong header", detail)
    }

    /// The caller did not prove who it is.
    pub(crate) fn unidentified(detail: &str) -> Self {
        let status = StatusCode::UNAUTHORIZED;
        Self::not_run(status, "caller", "Unknown caller", detail)
            .with_header("www-authenticate", "Bearer")
    }

    /// The caller may not use the route.
    pub(crate) fn unauthorised(caller: &str, route: &str) -> Self {
        let detail = format!("`{caller}` may not use the route `{route}`");
        Self::not_run(
            StatusCode::FORBIDDEN,
            "authorisation",
            "Route not allowed",
            detail,
        )
    }

    /// There is no such route, or it is of another kind.
    pub(crate) fn unknown_route(detail: String) -> Self {
        Self::not_run(StatusCode::NOT_FOUND, "route", "Unknown route", detail)
    }

    /// The body is no JSON value.
    pub(crate) fn malformed(detail: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, "body", "Body is not JSON", detail)
    }

    /// The body is larger than the route takes.
    pub(crate) fn too_large(limit: u64) -> Self {
        let detail = format!("the route takes at most {limit} bytes");
        Self::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_size",
            "Body too large",
            detail,
        )
    }

    /// The body did not come to its end in time.
    pub(crate) fn slow_body(limit: Duration) -> Self {
        let detail = format!("the body took more than {} ms", limit.as_millis());
        Self::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "slow_caller",
            "Body took too long",
            detail,
        )
    }

    /// The deadline passed before anything was done.
    pub(crate) fn deadline_passed(detail: &str) -> Self {
        Self::not_run(
            StatusCode::GATEWAY_TIMEOUT,
            "deadline",
            "Deadline passed",
            detail,
        )
    }

    /// The caller has too many connections open, or all callers have.
    pub(crate) fn too_many_connections() -> Self {
        let detail = "the limit on connections is reached";
        Self::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "connections",
            "Too many connections",
            detail,
        )
        .with_default_retry_after()
    }

    /// No configuration is in force yet.
    pub(crate) fn starting() -> Self {
        let detail = "no configuration is in force yet";
        Self::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "starting",
            "Starting",
            detail,
        )
        .with_default_retry_after()
    }

    /// Writes the problem document for a request.
    pub(crate) fn response(&self, request: RequestId) -> Response<Full<Bytes>> {
        let document = Document {
            r#type: format!("{TYPE_PREFIX}{}", self.kind),
            title: self.title,
            status: self.status.as_u16(),
            detail: &self.detail,
            request: header::request_text(request),
            outcome: self.run_status,
        };
        let body = serde_json::to_vec(&document).unwrap_or_default();
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
        if let Ok(value) = HeaderValue::from_str(&document.request) {
            headers.insert(header::REQUEST, value);
        }
        if let Some((name, value)) = self.header {
            headers.insert(name, HeaderValue::from_static(value));
        }
        if let Some(after) = self.retry_after {
            headers.insert(RETRY_AFTER, whole_seconds(after).into());
            headers.insert(header::RETRY_AFTER_MS, milliseconds(after).into());
        }
        response
    }
}

/// Rounded up: a caller that comes back too early is refused again.
fn whole_seconds(time: Duration) -> u64 {
    time.as_secs() + u64::from(time.subsec_nanos() > 0)
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
