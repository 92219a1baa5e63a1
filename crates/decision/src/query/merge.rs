//! Putting replies together so that no key is taken twice.
//!
//! Symptom guarded against: a grower's delivery or a hydrant twice in one answer, or a hole that
//! counts as covered. It would come about when replicas overlap after a split, when a hedge and
//! its straggler both answer, or when a server sends items from keys that it did not look through.
//! Items are taken only where the reply claims the key, the attempt asked for it, and nothing
//! merged before covers it.

use super::coverage::KeySet;
use crate::reply::{Item, Reply};
use snafu::Snafu;

/// A reply that contradicts itself and can't be trusted.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum Error {
    /// An item lies outside the ranges that the server says it looked through.
    #[snafu(display("merge: an item with key {key} lies outside the claimed ranges"))]
    Outside {
        /// The item's key.
        key: u64,
    },
}

/// Result of a merge.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What has been merged so far, all of it from one index version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Merge<V = Box<str>> {
    covered: KeySet,
    items: Vec<Item<V>>,
}

impl<V> Default for Merge<V> {
    fn default() -> Self {
        Self {
            covered: KeySet::default(),
            items: Vec::new(),
        }
    }
}

impl<V> Merge<V> {
    /// Returns the keys that have been looked through.
    pub fn covered(&self) -> &KeySet {
        &self.covered
    }

    /// Takes what is new of a reply that passed [`check`], and returns the keys that it added.
    pub fn accept(&mut self, asked: &KeySet, reply: Reply<V>) -> KeySet {
        let claimed: KeySet = reply.ranges.into_iter().collect();
        let new = claimed.intersection(asked).difference(&self.covered);
        let fresh = reply
            .items
            .into_iter()
            .filter(|item| new.contains(item.key));
        self.items.extend(fresh);
        self.covered.union_with(&new);
        new
    }

    /// Returns the items in key order; items of one key stay in the server's order.
    pub fn into_items(self) -> Vec<Item<V>> {
        let mut items = self.items;
        items.sort_by_key(|item| item.key);
        items
    }
}

/// Checks a reply against itself.
///
/// # Errors
///
/// [`Error::Outside`] where an item lies outside the claimed ranges.
pub fn check<V>(reply: &Reply<V>) -> Result<()> {
    let claimed: KeySet = reply.ranges.iter().copied().collect();
    for item in &reply.items {
        snafu::ensure!(claimed.contains(item.key), OutsideSnafu { key: item.key });
    }
    Ok(())
}
