//! Outcome of a request. Each request has exactly one.

use crate::reply::Item;
use derive_more::Display;
use monsoonring_configuration::Range;
use monsoonring_configuration::id::IndexVersion;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Final outcome of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome<V = Box<str>> {
    /// A search returned an answer, complete or partial.
    Answered(Answer<V>),
    /// A non-idempotent request ran; the value is its result.
    Executed(V),
    /// No part of the request ran.
    NotRun {
        /// Why it did not run.
        reason: Reason,
        /// Delay after which the caller should retry.
        retry_after: Option<Duration>,
    },
    /// The request ran and failed, or was given up; it is safe to retry.
    Failed {
        /// Why it failed.
        reason: Reason,
        /// Delay after which the caller should retry.
        retry_after: Option<Duration>,
    },
    /// The non-idempotent request may have run; it will not run again under this key.
    Unknown {
        /// Why its result is unknown.
        reason: Reason,
    },
}

/// Answer to a search.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer<V = Box<str>> {
    /// The index version of all items.
    pub index_version: IndexVersion,
    /// Share of the data that was searched, by published weight, from 0 to 1.
    pub coverage: f64,
    /// The keys that were not searched, as sorted and disjoint ranges.
    pub missing: Vec<Range>,
    /// The items, in key order.
    pub items: Vec<Item<V>>,
}

/// Why a request was refused, failed or has an unknown outcome.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The deadline had passed.
    #[display("deadline")]
    Deadline,
    /// The tier is overloaded for requests of this class.
    #[display("overload")]
    Overload,
    /// No reachable backend server could serve the request.
    #[display("unavailable")]
    Unavailable,
    /// Requests with this fingerprint crash backend servers.
    #[display("suspect")]
    Suspect,
    /// The daemon is stopping.
    #[display("stopping")]
    Stopping,
    /// The caller disconnected.
    #[display("abandoned")]
    Abandoned,
    /// A backend server reported an error.
    #[display("backend_server")]
    BackendServer,
    /// The connection was lost while the request may have been running.
    #[display("lost")]
    Lost,
    /// The idempotency key is invalid or expired, or the holder of its fence can't be reached.
    #[display("fence")]
    Fence,
}
