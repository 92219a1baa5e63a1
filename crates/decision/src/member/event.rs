//! What happens to a member table, what it wants done, and what members say to each other.

use super::{Change, Incarnation, MemberId, State};
use crate::{configuration, fact};
use monsoonring_configuration::id::DataCentreId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Id of a probe, unique within one process.
pub type ProbeId = u64;

/// What a probe and its answer carry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Who sends it.
    pub from: MemberId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's data centre.
    pub data_centre: DataCentreId,
    /// Hash over a part of the members that the sender counts as serving.
    pub digest: Digest,
    /// Changes that the sender passes on.
    pub changes: Vec<Change>,
    /// What other controllers have to say; the table neither fills nor reads it.
    pub attachment: Attachment,
}

/// What rides on a message besides changes of members. The driver fills it before it sends, and
/// hands it to the controllers concerned when it receives.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Attachment {
    /// The configuration in force at the sender.
    pub configuration: Option<configuration::Version>,
    /// When somebody last reached the configuration service, as far as the sender knows.
    pub contact: Option<configuration::Contact>,
    /// Facts that the sender passes on.
    pub facts: Vec<fact::Entry>,
}

/// Hash over one bucket of the members, to find differences that the changes did not repair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The bucket; members are in buckets by the hash of their address.
    pub bucket: u8,
    /// Hash over the bucket's serving members and their incarnations, in any order.
    pub hash: u64,
}

/// The buckets from `first` to `last`, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketRange {
    /// First bucket.
    pub first: u8,
    /// Last bucket.
    pub last: u8,
}

/// Whole buckets of a table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// All sayings about members of the buckets.
    pub changes: Vec<Change>,
    /// What is still missing of the span asked for; `None` if nothing is.
    pub rest: Option<BucketRange>,
}

/// A daemon's host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seed {
    /// Peer address.
    pub id: MemberId,
    /// Whether the list says that the host is leaving.
    pub leaving: bool,
}

/// Something that a table has to react to.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time passes; to be fed several times a period.
    Tick,
    /// A peer probes us; answered by [`Action::Reply`].
    Probed(Message),
    /// A probe, direct or through a helper, was answered with this message of its target.
    Acked(ProbeId, Message),
    /// A probe failed or was not answered in time, directly or by any helper.
    Failed(ProbeId),
    /// A member's message was heard otherwise, for example while probing for somebody else.
    Overheard(Message),
    /// The list of hosts was read.
    Listed(Vec<Seed>),
    /// A page asked for arrived.
    Pulled(MemberId, Page),
    /// A page asked for did not arrive.
    PullFailed(MemberId),
    /// Something new should spread at once: probe a few members now.
    Burst,
    /// This member stops gracefully.
    Leave {
        /// The member that takes over its records, if any.
        successor: Option<MemberId>,
    },
}

/// Something that the daemon does for a table.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the message to a member; answered by `Acked` or `Failed`.
    Probe {
        /// The probe.
        probe: ProbeId,
        /// Its target.
        to: MemberId,
        /// What it says.
        message: Message,
        /// Time after which it has failed.
        timeout: Duration,
    },
    /// Ask each helper to probe the target; `Acked` with the first answer, `Failed` if there is
    /// none.
    ProbeVia {
        /// The probe.
        probe: ProbeId,
        /// Its target.
        target: MemberId,
        /// Who is asked.
        helpers: Vec<MemberId>,
        /// Time after which it has failed.
        timeout: Duration,
    },
    /// Answer the probe just fed.
    Reply(Message),
    /// Ask a member for its `Table::page` of a span; answered by `Pulled` or `PullFailed`.
    Pull(MemberId, BucketRange),
    /// A member's state changed in a way that matters for placement.
    Changed(MemberId, State),
    /// The process was paused for this long: no new work until `Table::is_current` is true again.
    Paused(Duration),
    /// The list says that this host is leaving: stop gracefully.
    Leaving,
    /// Write a line to the log.
    Log(LogLine),
}

/// A decision about a member, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// What was decided: `suspect`, `dead`, `alive`, `left`, `refute`, `paused`, `isolated`, …
    pub what: &'static str,
    /// The member concerned.
    pub member: MemberId,
    /// Why, in a few words with the numbers that decided.
    pub why: String,
}
