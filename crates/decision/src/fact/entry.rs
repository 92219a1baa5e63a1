//! One fact, as it is sent.

use crate::Fingerprint;
use monsoonring_configuration::id::BackendServerId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a fact is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// The backend server is leaving; the stamp's version is the start number that leaves.
    Leaving(BackendServerId),
    /// Requests with this fingerprint crash backend servers.
    Suspect(Fingerprint),
}

/// Order of what is said about one key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Version of what is said: a start number, or 0 where there is none.
    pub version: u64,
    /// Number of times that direct evidence renewed it.
    pub renewal: u32,
}

/// A fact on its way between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// What it is about.
    pub key: Key,
    /// Which of two sayings is newer.
    pub stamp: Stamp,
    /// Time for which it still holds.
    pub life: Duration,
}

impl Entry {
    /// Number of bytes that the fact takes in a message: the fields in bincode's fixed layout.
    pub fn size(&self) -> usize {
        const FIXED: usize = 4 + 8 + 4 + 8 + 4;
        let key = match &self.key {
            Key::Leaving(_) => crate::member::record::ADDRESS_BYTES,
            Key::Suspect(_) => 8,
        };
        FIXED + key
    }
}
