//! Header names of the protocol with backend servers (`docs/protocols.md`).

pub(crate) const ATTEMPT: &str = "monsoonring-attempt";
pub(crate) const REQUEST: &str = "monsoonring-request";
pub(crate) const DEADLINE_MS: &str = "monsoonring-deadline-ms";
pub(crate) const INDEX_VERSION: &str = "monsoonring-index-version";
pub(crate) const INDEX_VERSIONS: &str = "monsoonring-index-versions";
pub(crate) const LOAD: &str = "monsoonring-load";
pub(crate) const START: &str = "monsoonring-start";
pub(crate) const DRAINING: &str = "monsoonring-draining";
pub(crate) const NOT_RUN: &str = "monsoonring-not-run";
pub(crate) const RETRY_AFTER_MS: &str = "monsoonring-retry-after-ms";
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
