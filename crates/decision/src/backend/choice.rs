//! Choice between replicas.

use monsoonring_configuration::id::BackendServerId;

/// The backend server chosen for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The server.
    pub server: BackendServerId,
    /// Why it was chosen, with the numbers that decided.
    pub why: String,
}
