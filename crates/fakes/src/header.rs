//! Names of the non-standard headers in `docs/protocols.md`.

/// Attempt id, 16 hexadecimal digits.
pub const ATTEMPT: &str = "monsoonring-attempt";
/// Id of the request that the attempt belongs to, 32 hexadecimal digits.
pub const REQUEST: &str = "monsoonring-request";
/// Time left until the deadline, in milliseconds.
pub const DEADLINE_MS: &str = "monsoonring-deadline-ms";
/// Index version: the pinned one in a request, the one read in a reply.
pub const INDEX_VERSION: &str = "monsoonring-index-version";
/// Index versions that a backend server can serve.
pub const INDEX_VERSIONS: &str = "monsoonring-index-versions";
/// Load of a backend server, `busy/slots/queued`.
pub const LOAD: &str = "monsoonring-load";
/// Incarnation of a backend server's process.
pub const START: &str = "monsoonring-start";
/// `true` on replies of a draining backend server.
pub const DRAINING: &str = "monsoonring-draining";
/// Reason why a request provably did not run.
pub const NOT_RUN: &str = "monsoonring-not-run";
/// Time to wait before a retry, in milliseconds.
pub const RETRY_AFTER_MS: &str = "monsoonring-retry-after-ms";
/// Key under which a non-idempotent request runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Revision of a value in the configuration service.
pub const REVISION: &str = "monsoonring-revision";
