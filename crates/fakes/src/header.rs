//! Names of the headers of `docs/protocols.md` that have no standard name.

/// Id of one attempt, 16 hexadecimal digits.
pub const ATTEMPT: &str = "monsoonring-attempt";
/// Id of the request that an attempt belongs to, 32 hexadecimal digits.
pub const REQUEST: &str = "monsoonring-request";
/// Remaining time in milliseconds.
pub const DEADLINE_MS: &str = "monsoonring-deadline-ms";
/// Pinned index version, or the one that a reply was taken from.
pub const INDEX_VERSION: &str = "monsoonring-index-version";
/// Index versions that a backend server can serve.
pub const INDEX_VERSIONS: &str = "monsoonring-index-versions";
/// Work at a backend server, `busy/slots/queued`.
pub const LOAD: &str = "monsoonring-load";
/// Start number of a backend server's process.
pub const START: &str = "monsoonring-start";
/// `true` on replies of a backend server that is leaving.
pub const DRAINING: &str = "monsoonring-draining";
/// Reason why a request provably did not run.
pub const NOT_RUN: &str = "monsoonring-not-run";
/// Time after which it is worth coming back, in milliseconds.
pub const RETRY_AFTER_MS: &str = "monsoonring-retry-after-ms";
/// Key under which a non-idempotent request runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Revision of a value of the configuration service.
pub const REVISION: &str = "monsoonring-revision";
