//! What is said of one member, and which of two sayings is newer.

use super::MemberId;
use monsoonring_configuration::id::{self, DataCentreId};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// Which life of an address is spoken of, and how often that life has refuted its own death.
///
/// The start number comes first: a process that replaces another on the same address outranks
/// anything said of the old one, however often the old one refuted.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// Start number of the process.
    pub start: id::Incarnation,
    /// Number of times that this process contradicted a suspicion.
    pub refutation: u32,
}

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer, directly or through helpers, and may still refute.
    Suspect,
    /// It did not refute in time. Only a later incarnation undoes this.
    Dead,
    /// It stopped gracefully; only a new process on its address undoes this.
    Left {
        /// The member that took over its records, if it named one.
        successor: Option<MemberId>,
    },
}

impl State {
    /// Tells whether the member counts as one that serves: alive or not yet given up.
    pub fn is_serving(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// One saying about one member.
///
/// Sayings about the same member are totally ordered; the greater replaces the lesser. A graceful
/// leave outranks everything else of the same process, because a stopped process never comes back.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The member spoken of.
    pub id: MemberId,
    /// The life spoken of.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: State,
    /// Its data centre.
    pub data_centre: DataCentreId,
}

impl Change {
    /// Tells whether this saying replaces `other`, which is about the same member.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.rank().cmp(&other.rank()) == Ordering::Greater
    }

    /// Number of bytes that the saying takes in a message: the fields in bincode's fixed layout.
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

/// Bytes of the longer kind of address (IPv6 and port, with the tag of the kind).
pub(crate) const ADDRESS_BYTES: usize = 4 + 16 + 2;
