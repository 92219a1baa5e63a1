//! SHA-256 digests.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// Length of a SHA-256 digest, in bytes.
const BYTES: usize = 32;

/// Length of the first half of a digest, in bytes.
const HALF: usize = size_of::<u128>();

/// Length of the prefix of a digest, in bytes.
const PREFIX: usize = size_of::<u64>();

/// A SHA-256 digest, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; BYTES]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Creates a digest from its bytes.
    pub fn from_bytes(bytes: [u8; BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the digest's bytes.
    pub fn as_bytes(&self) -> &[u8; BYTES] {
        &self.0
    }

    /// Returns the first half of the digest, which is long enough to identify a document.
    pub fn half(&self) -> u128 {
        let bytes = self.0.first_chunk::<HALF>();
        bytes.copied().map(u128::from_be_bytes).unwrap_or_default()
    }

    /// Returns the first eight bytes of the digest. Different sections may share them, if unlikely.
    pub fn prefix(&self) -> u64 {
        let bytes = self.0.first_chunk::<PREFIX>();
        bytes.copied().map(u64::from_be_bytes).unwrap_or_default()
    }

    fn from_hexadecimal(text: &str) -> Option<Self> {
        if text.len() != 2 * BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let mut bytes = [0; BYTES];
        for (position, byte) in bytes.iter_mut().enumerate() {
            let digits = text.get(2 * position..2 * position + 2)?;
            *byte = u8::from_str_radix(digits, 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Digest({self})")
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::from_hexadecimal(&text)
            .ok_or_else(|| D::Error::custom("a digest has 64 hexadecimal digits"))
    }
}
