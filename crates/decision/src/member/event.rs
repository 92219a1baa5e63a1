//! Events and actions of the member table, and the messages exchanged between members.

use super::{Change, Incarnation, MemberId, State};
use crate::{configuration, fact};
use monsoonring_configuration::id::DataCentreId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Identifies a probe within one process.
pub type ProbeId = u64;

/// Message carried by a probe and by its answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Peer address of the sender.
    pub from: MemberId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's data centre.
    pub data_centre: DataCentreId,
    /// Hash over one bucket of the sender's serving members.
    pub digest: Digest,
    /// Changes gossiped by the sender.
    pub changes: Vec<Change>,
    /// Gossip of other components; the table neither fills nor reads it.
    pub attachment: Attachment,
}

/// Gossip other than member changes. The driver fills it before sending and passes it to the respective
/// components on receipt.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Attachment {
    /// Configuration version in force at the sender; `None` if it has none.
    pub configuration: Option<configuration::Version>,
    /// Most recent contact of any daemon with the configuration service that the sender knows of.
    pub contact: Option<configuration::Contact>,
    /// Facts gossiped by the sender.
    pub facts: Vec<fact::Entry>,
}

/// Hash over one bucket of members, used to detect differences that gossip did not repair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Bucket number; members are assigned to buckets by a hash of their address.
    pub bucket: u8,
    /// Order-independent hash over the bucket's serving members and their incarnations.
    pub hash: u64,
}

/// An inclusive range of buckets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketRange {
    /// First bucket.
    pub first: u8,
    /// Last bucket.
    pub last: u8,
}

/// A page of a table, made of whole buckets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Current states of all members in the buckets.
    pub changes: Vec<Change>,
    /// Remaining part of the requested range; `None` if the page completes it.
    pub rest: Option<BucketRange>,
}

/// A host in the platform's list of hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seed {
    /// Peer address.
    pub id: MemberId,
    /// Whether the host is marked as leaving.
    pub leaving: bool,
}

/// Input of a table.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Advances time; sent several times per period.
    Tick,
    /// A peer probed this member; answered by [`Action::Reply`].
    Probed(Message),
    /// The target of a direct or indirect probe answered with this message.
    Acked(ProbeId, Message),
    /// A direct or indirect probe failed or timed out.
    Failed(ProbeId),
    /// A message arrived in another way, for example as the answer to a probe for another member.
    Overheard(Message),
    /// The list of hosts was read.
    Listed(Vec<Seed>),
    /// A requested page arrived.
    Pulled(MemberId, Page),
    /// A page request failed.
    PullFailed(MemberId),
    /// Probe a few members immediately, so that news spreads faster.
    Burst,
    /// This member stops gracefully.
    Leave {
        /// Member that takes over its records, if any.
        successor: Option<MemberId>,
    },
}

/// Output of a table, carried out by the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a direct probe; answered by `Acked` or `Failed`.
    Probe {
        /// Id to answer with.
        probe: ProbeId,
        /// Target of the probe.
        to: MemberId,
        /// Message to send.
        message: Message,
        /// Time after which the probe has failed.
        timeout: Duration,
    },
    /// Ask each helper to probe the target; answered by `Acked` with the first answer, or by `Failed` if
    /// there is none.
    ProbeVia {
        /// Id to answer with.
        probe: ProbeId,
        /// Target of the probe.
        target: MemberId,
        /// Members asked to probe the target.
        helpers: Vec<MemberId>,
        /// Time after which the probe has failed.
        timeout: Duration,
    },
    /// Answer the [`Event::Probed`] being handled.
    Reply(Message),
    /// Request `Table::page` from a member; answered by `Pulled` or `PullFailed`.
    Pull(MemberId, BucketRange),
    /// A member's state changed, or whether it is marked as leaving.
    Changed(MemberId, State),
    /// The process was paused for this long. Accept no new work until `Table::is_current` again.
    Paused(Duration),
    /// The list of hosts marks this host as leaving: stop gracefully.
    Leaving,
    /// Write a line to the log.
    Log(LogLine),
}

/// A decision about a member, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Decision: `suspect`, `dead`, `alive`, `left`, `refute`, `paused`, `isolated`, …
    pub label: &'static str,
    /// Member that the decision is about.
    pub member: MemberId,
    /// Reason, with the numbers that it is based on.
    pub reason: String,
}
