//! Half-open ranges of a route's key space.

use crate::id::Key;
use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The keys from `start` (inclusive) to `end` (exclusive).
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[display("{start}..{end}")]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// First key of the range.
    #[schemars(range(max = u64::MAX))]
    pub start: Key,
    /// First key after the range.
    #[schemars(range(max = u64::MAX))]
    pub end: Key,
}

impl Range {
    /// Creates a range, which is empty if `end` is not greater than `start`.
    pub fn new(start: Key, end: Key) -> Self {
        Self { start, end }
    }

    /// Returns whether the range contains no key.
    pub fn is_empty(&self) -> bool {
        self.end <= self.start
    }

    /// Returns the number of keys in the range.
    pub fn len(&self) -> u64 {
        self.end.saturating_sub(self.start)
    }

    /// Returns whether the range contains `key`.
    pub fn contains(&self, key: Key) -> bool {
        self.start <= key && key < self.end
    }

    /// Returns the keys that both ranges contain, or `None` if there are none.
    pub fn intersection(&self, other: &Self) -> Option<Self> {
        let common = Self::new(self.start.max(other.start), self.end.min(other.end));
        (!common.is_empty()).then_some(common)
    }
}
