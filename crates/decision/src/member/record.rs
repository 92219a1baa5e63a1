//! State of one member, and the order that decides which of two changes is newer.

use super::MemberId;
use monsoonring_configuration::id::{self, DataCentreId};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// Identifies a process at a peer address, and how often it has refuted a suspicion.
///
/// The start number is compared first: a process that replaces another at the same address outranks all
/// changes about the old one, however often that one refuted.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// Start number of the process.
    pub start: id::Incarnation,
    /// Number of times that this process refuted a suspicion or death.
    pub refutation: u32,
}

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// The member answers probes.
    Alive,
    /// The member failed a direct and an indirect probe and may still refute.
    Suspect,
    /// The member did not refute in time. Superseded only by a higher incarnation.
    Dead,
    /// The member stopped gracefully. Superseded only by a new process at its address.
    Left {
        /// Member that took over its records, if any.
        successor: Option<MemberId>,
    },
}

impl State {
    /// Returns whether the member is considered serving: alive or suspect.
    pub fn is_serving(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// A change of one member's state.
///
/// Changes about the same member are totally ordered; a higher one supersedes a lower one. A graceful
/// leave outranks all other changes about the same process, because a stopped process never returns.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Peer address of the member.
    pub id: MemberId,
    /// Incarnation that the state applies to.
    pub incarnation: Incarnation,
    /// New state.
    pub state: State,
    /// Data centre of the member.
    pub data_centre: DataCentreId,
}

impl Change {
    /// Returns whether this change supersedes `other`, which is about the same member.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.rank().cmp(&other.rank()) == Ordering::Greater
    }

    /// Returns the encoded size in bytes (bincode with fixed-width integers).
    pub fn size(&self) -> usize {
        const FIXED: usize = ADDRESS_BYTES + 8 + 4 + 4 + 8;
        let successor = match self.state {
            State::Left { successor: Some(_) } => 1 + ADDRESS_BYTES,
            State::Left { successor: None } => 1,
            _ => 0,
        };
        FIXED + successor + self.data_centre.len()
    }

    fn rank(&self) -> impl Ord + '_ {
        let left = matches!(self.state, State::Left { .. });
        (
            self.incarnation.start,
            left,
            self.incarnation.refutation,
            self.state,
            &self.data_centre,
        )
    }
}

/// Encoded size of the longer kind of address: enum tag, IPv6 address and port.
pub(crate) const ADDRESS_BYTES: usize = 4 + 16 + 2;
