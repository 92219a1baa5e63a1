//! Problem documents (RFC 9457) for refusals and failures.
//!
//! The member `outcome` tells the caller whether the request ran. The constructors used by filters
//! all report `not_run`, which [`Problem::of_repeated_send`] changes if an earlier send may have
//! run; only [`super::status`] creates other outcomes, from those of the service.

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

/// Time after which to retry if a refusal gives none.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RunStatus {
    /// It did not run.
    NotRun,
    /// It ran and failed, or running it again is harmless.
    Failed,
    /// It may have run.
    Unknown,
}

/// A refusal or failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Problem {
    pub(crate) status: StatusCode,
    /// Last part of the `type` URN.
    pub(crate) kind: &'static str,
    /// Summary, the same for all problems of a kind.
    pub(crate) title: &'static str,
    /// Explanation of this occurrence.
    pub(crate) detail: String,
    pub(crate) run_status: RunStatus,
    /// Time after which to retry.
    pub(crate) retry_after: Option<Duration>,
    /// Additional header that the status requires, as name and value.
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
    /// Creates a problem for a request that did not run.
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

    /// Reports that the request may have run, because of an earlier send under the same key.
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

    /// The path does not exist.
    pub(crate) fn no_such_path(path: &str) -> Self {
        let detail = format!("there is nothing at `{path}`");
        Self::not_run(StatusCode::NOT_FOUND, "path", "Unknown path", detail)
    }

    /// The path does not allow the method.
    pub(crate) fn wrong_method(method: &Method, allowed: &'static str) -> Self {
        let detail = format!("the path takes {allowed}, not {method}");
        let status = StatusCode::METHOD_NOT_ALLOWED;
        Self::not_run(status, "method", "Wrong method", detail).with_header("allow", allowed)
    }

    /// A header is missing or invalid.
    pub(crate) fn bad_header(name: &str, detail: &str) -> Self {
        let detail = format!("`{name}` {detail}");
        Self::not_run(StatusCode::BAD_REQUEST, "header", "Wrong header", detail)
    }

    /// The caller is unknown or its token is wrong.
    pub(crate) fn unidentified(detail: &str) -> Self {
        let status = StatusCode::UNAUTHORIZED;
        Self::not_run(status, "caller", "Unknown caller", detail)
            .with_header("www-authenticate", "Bearer")
    }

    /// The caller is not authorised to use the route.
    pub(crate) fn unauthorised(caller: &str, route: &str) -> Self {
        let detail = format!("`{caller}` may not use the route `{route}`");
        Self::not_run(
            StatusCode::FORBIDDEN,
            "authorisation",
            "Route not allowed",
            detail,
        )
    }

    /// The route does not exist, or is of another kind.
    pub(crate) fn unknown_route(detail: String) -> Self {
        Self::not_run(StatusCode::NOT_FOUND, "route", "Unknown route", detail)
    }

    /// The body is not valid JSON.
    pub(crate) fn malformed(detail: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, "body", "Body is not JSON", detail)
    }

    /// The body exceeds the route's size limit.
    pub(crate) fn too_large(limit: u64) -> Self {
        let detail = format!("the route takes at most {limit} bytes");
        Self::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_size",
            "Body too large",
            detail,
        )
    }

    /// The body was not complete in time.
    pub(crate) fn slow_body(limit: Duration) -> Self {
        let detail = format!("the body took more than {} ms", limit.as_millis());
        Self::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "slow_caller",
            "Body took too long",
            detail,
        )
    }

    /// The deadline passed before the request was dispatched.
    pub(crate) fn deadline_passed(detail: &str) -> Self {
        Self::not_run(
            StatusCode::GATEWAY_TIMEOUT,
            "deadline",
            "Deadline passed",
            detail,
        )
    }

    /// The limit on connections is reached.
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

    /// There is no memory for the body now.
    pub(crate) fn no_memory() -> Self {
        let detail = "the bodies of other requests take all memory for them";
        Self::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "memory",
            "No memory",
            detail,
        )
        .with_default_retry_after()
    }

    /// The daemon has no configuration yet.
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

    /// Writes the response with the problem document.
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

/// Rounds up to seconds; a caller that retries too early is refused again.
fn whole_seconds(time: Duration) -> u64 {
    time.as_secs() + u64::from(time.subsec_nanos() > 0)
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
