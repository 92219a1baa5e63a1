//! Names of the headers of callers' requests and of the answers.

use monsoonring_decision::RequestId;

/// Name of the caller.
pub(crate) const CALLER: &str = "monsoonring-caller";
/// Remaining time, in milliseconds.
pub(crate) const DEADLINE_MS: &str = "monsoonring-deadline-ms";
/// W3C trace context.
pub(crate) const TRACEPARENT: &str = "traceparent";
/// Key of a non-idempotent request.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Number of the send of a request under a caller's own key.
pub(crate) const SEND: &str = "monsoonring-send";
/// Id of the request.
pub(crate) const REQUEST: &str = "monsoonring-request";
/// Share of the data that the answer was taken from.
pub(crate) const COVERAGE: &str = "monsoonring-coverage";
/// Index version that the answer was taken from.
pub(crate) const INDEX_VERSION: &str = "monsoonring-index-version";
/// When to come back, in milliseconds.
pub(crate) const RETRY_AFTER_MS: &str = "monsoonring-retry-after-ms";

/// Returns the text form of a request's id.
pub(crate) fn request_text(request: RequestId) -> String {
    format!("{request:032x}")
}
