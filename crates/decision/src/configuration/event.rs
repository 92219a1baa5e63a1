//! What happens to a holder, and what it wants done.

use super::Digest;
use crate::member::MemberId;
use monsoonring_configuration::id::Revision;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Which document is meant. The greater one wins: the higher revision, or at the same revision the
/// greater digest, which is arbitrary but the same choice at every daemon.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Revision that the service gave.
    pub revision: Revision,
    /// Digest of the document.
    pub digest: Digest,
}

/// Where a document came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The configuration service.
    Service,
    /// A member.
    Peer(MemberId),
}

/// Something that a holder has to react to.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time passes; to be fed about once a second.
    Tick,
    /// A read or watch brought a document; the faults are those of the validator.
    Served(Version, Vec<String>),
    /// A watch ended without a higher revision.
    Unchanged,
    /// A read or watch failed.
    ServiceFailed,
    /// A member says which configuration it has in force, `None` if it has none yet.
    Peer(MemberId, Option<Version>),
    /// A fetch brought a document; the faults are those of the validator.
    Fetched(MemberId, Version, Vec<String>),
    /// A fetch failed.
    FetchFailed(MemberId),
    /// Membership changed: whether this daemon is a reader, and how many others are serving. To be
    /// fed only once the member table is current: a daemon that thinks it is alone takes the
    /// service's word for the newest.
    Members {
        /// Result of [`super::is_reader`].
        reader: bool,
        /// Number of other serving members.
        peers: usize,
    },
    /// A member says when somebody last reached the service, and whether that one outranks this
    /// daemon ([`super::outranks`]).
    Contacted(super::Contact, bool),
    /// The process was paused.
    Paused,
}

/// Something that the daemon does for a holder.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the document from the service; answered by `Served` or `ServiceFailed`.
    Read,
    /// Wait at the service for a revision above `after`; answered by `Served`, `Unchanged` or
    /// `ServiceFailed`.
    Watch {
        /// Revision in force.
        after: Revision,
        /// Longest time to wait.
        wait: Duration,
    },
    /// Fetch a document from a member; answered by `Fetched` or `FetchFailed`.
    Fetch(MemberId, Version),
    /// Put the document just fed in force, and hurry the members so that the news spreads.
    Adopt(Version, Source),
    /// Write a line to the log.
    Log(LogLine),
}

/// A decision about the configuration, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// What was decided: `adopted`, `conflict`, `rejected`, `stale`, …
    pub what: &'static str,
    /// The version decided on.
    pub version: Version,
    /// Why, in a few words.
    pub why: String,
}
