//! Events and actions of the configuration holder.

use super::Digest;
use crate::member::MemberId;
use monsoonring_configuration::id::Revision;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Version of a document. The greater version wins: the higher revision, or for equal revisions the
/// greater digest, an arbitrary choice that is the same at every daemon.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Revision assigned by the service.
    pub revision: Revision,
    /// Digest of the document.
    pub digest: Digest,
}

/// Origin of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Read from the configuration service.
    Service,
    /// Fetched from a member.
    Peer(MemberId),
}

/// Input of a holder.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Advances time; sent about once per second.
    Tick,
    /// A read or watch returned a document, with the faults found by the validator.
    Served(Version, Vec<String>),
    /// A watch ended without a higher revision.
    Unchanged,
    /// A read or watch failed.
    ServiceFailed,
    /// A member reported its configuration version, `None` if it has none yet.
    Peer(MemberId, Option<Version>),
    /// A fetch returned a document, with the faults found by the validator.
    Fetched(MemberId, Version, Vec<String>),
    /// A fetch failed.
    FetchFailed(MemberId),
    /// Membership changed. Sent only once the member table is current, because a daemon without peers
    /// considers the version of the service current.
    Members {
        /// Whether this daemon is a reader ([`super::is_reader`]).
        reader: bool,
        /// Number of other serving members.
        peers: usize,
    },
    /// A member gossiped a contact with the service. The flag is whether the member that reached it
    /// outranks this daemon ([`super::outranks`]).
    Contacted(super::Contact, bool),
    /// The process was paused.
    Paused,
}

/// Output of a holder, carried out by the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the document from the service; answered by `Served` or `ServiceFailed`.
    Read,
    /// Long-poll the service for a revision above `after`; answered by `Served`, `Unchanged` or
    /// `ServiceFailed`.
    Watch {
        /// Highest revision known, whether in force or rejected.
        after: Revision,
        /// Maximum time to wait.
        wait: Duration,
    },
    /// Fetch a document from a member; answered by `Fetched` or `FetchFailed`.
    Fetch(MemberId, Version),
    /// Put the document of the event being handled in force, and send a burst of probes so that the
    /// version spreads.
    Adopt(Version, Source),
    /// Write a line to the log.
    Log(LogLine),
}

/// A decision about the configuration, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Decision: `adopted`, `conflict`, `rejected`, `stale`, …
    pub label: &'static str,
    /// Version that the decision is about.
    pub version: Version,
    /// Reason for the decision.
    pub reason: String,
}
