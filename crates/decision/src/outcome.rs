//! How a request ended. Every request has exactly one outcome.

use crate::reply::Item;
use derive_more::Display;
use monsoonring_configuration::Range;
use monsoonring_configuration::id::IndexVersion;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The one final result of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome<V = Box<str>> {
    /// A search was answered, completely or in part.
    Answered(Answer<V>),
    /// A non-idempotent request ran; the value is its result.
    Executed(V),
    /// Nothing of the request ran anywhere.
    NotRun {
        /// Why it did not run.
        reason: Reason,
        /// When it is worth coming back.
        retry_after: Option<Duration>,
    },
    /// The request ran and failed, or was given up on; running it again does no harm.
    Failed {
        /// Why it failed.
        reason: Reason,
        /// When it is worth coming back.
        retry_after: Option<Duration>,
    },
    /// The non-idempotent request may have run; it will not be run again under this key.
    Unknown {
        /// Why it isn't known.
        reason: Reason,
    },
}

/// Answer to a search.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer<V = Box<str>> {
    /// The one version that every item was taken from.
    pub index_version: IndexVersion,
    /// Share of the data that was looked through, by published weight, from 0 to 1.
    pub coverage: f64,
    /// The keys that were not looked through, disjoint and in order.
    pub missing: Vec<Range>,
    /// The items, in key order.
    pub items: Vec<Item<V>>,
}

/// Why a request was refused, failed or is in doubt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The deadline had passed.
    #[display("deadline")]
    Deadline,
    /// There was no room for a request of this class in time.
    #[display("overload")]
    Overload,
    /// No backend server that could serve the request was reachable.
    #[display("unavailable")]
    Unavailable,
    /// Requests like this one crash backend servers.
    #[display("suspect")]
    Suspect,
    /// The daemon is stopping.
    #[display("stopping")]
    Stopping,
    /// The caller went away.
    #[display("abandoned")]
    Abandoned,
    /// A backend server reported an error.
    #[display("backend_server")]
    BackendServer,
    /// The connection was lost while the request may have been running.
    #[display("lost")]
    Lost,
    /// The key's incarnation is gone, unreachable or has forgotten it.
    #[display("fence")]
    Fence,
}
