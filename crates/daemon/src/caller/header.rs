//! Header names of callers' requests and responses.

use monsoonring_decision::RequestId;

/// Name of the caller.
pub(crate) const CALLER: &str = "monsoonring-caller";
/// Time until the caller's deadline, in milliseconds.
pub(crate) const DEADLINE_MS: &str = "monsoonring-deadline-ms";
/// W3C trace context.
pub(crate) const TRACEPARENT: &str = "traceparent";
/// Key of a non-idempotent request.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Number of a send under a key chosen by the caller, from 1.
pub(crate) const SEND: &str = "monsoonring-send";
/// Request id.
pub(crate) const REQUEST: &str = "monsoonring-request";
/// Fraction of the key space that the answer covers.
pub(crate) const COVERAGE: &str = "monsoonring-coverage";
/// Index version that the answer is from.
pub(crate) const INDEX_VERSION: &str = "monsoonring-index-version";
/// Time after which to retry, in milliseconds.
pub(crate) const RETRY_AFTER_MS: &str = "monsoonring-retry-after-ms";

/// Formats a request id as 32 hexadecimal digits.
pub(crate) fn request_text(request: RequestId) -> String {
    format!("{request:032x}")
}
