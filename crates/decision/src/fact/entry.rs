//! A fact in the form in which it is sent between daemons.

use crate::Fingerprint;
use monsoonring_configuration::id::BackendServerId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Subject of a fact.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// The backend server is leaving. The stamp's version is the start number of the leaving process.
    Leaving(BackendServerId),
    /// Requests with this fingerprint are refused because they crash backend servers.
    Suspect(Fingerprint),
    /// The backend server crashed under a request with this fingerprint, or has not, depending on
    /// the stamp's version; see [`Announcement`](crate::backend::suspect::Announcement).
    CrashEvidence(Fingerprint, BackendServerId),
}

impl Key {
    /// Returns whether the fact may be attached to a probe. A host of an older version can't decode a
    /// message with a key that it doesn't know, and the probe would count as failed. Such facts are
    /// sent in messages of their own.
    pub fn is_attachable(&self) -> bool {
        !matches!(self, Self::CrashEvidence(..))
    }
}

/// Orders the facts about one key; the highest is current.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Version of the subject: a start number, or 0 if it has none.
    pub version: u64,
    /// Number of times that direct evidence renewed this version.
    pub renewal: u32,
}

/// A fact with its remaining life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Subject of the fact.
    pub key: Key,
    /// Stamp that decides which of two facts about the key is newer.
    pub stamp: Stamp,
    /// Time until the fact expires.
    pub life: Duration,
}

impl Entry {
    /// Returns the encoded size in bytes (bincode with fixed-width integers).
    pub fn size(&self) -> usize {
        const FIXED: usize = 4 + 8 + 4 + 8 + 4;
        let key = match &self.key {
            Key::Leaving(_) => crate::member::record::ADDRESS_BYTES,
            Key::Suspect(_) => 8,
            Key::CrashEvidence(..) => 8 + crate::member::record::ADDRESS_BYTES,
        };
        FIXED + key
    }
}
