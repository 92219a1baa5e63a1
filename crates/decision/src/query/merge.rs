//! Merging of replies without duplicates.
//!
//! Replies can overlap after a split, or if both a hedge and the first attempt complete, and a
//! server can return items outside the ranges that it searched. An item is merged only if the reply
//! claims its key, the attempt requested it, and no earlier reply covers it.

use super::coverage::KeySet;
use crate::reply::{Item, Reply};
use snafu::Snafu;

/// Why a reply is inconsistent.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum Error {
    /// An item lies outside the ranges that the server claims to have searched.
    #[snafu(display("merge: an item with key {key} lies outside the claimed ranges"))]
    Outside {
        /// The item's key.
        key: u64,
    },
}

/// Result of checking a reply.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The merged replies, all of the same index version.
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
    /// Returns the keys that the merged replies cover.
    pub fn covered(&self) -> &KeySet {
        &self.covered
    }

    /// Merges the new keys of a reply that passed [`check`], and returns them.
    pub fn accept(&mut self, requested: &KeySet, reply: Reply<V>) -> KeySet {
        let claimed: KeySet = reply.ranges.into_iter().collect();
        let new = claimed.intersection(requested).difference(&self.covered);
        let new_items = reply
            .items
            .into_iter()
            .filter(|item| new.contains(item.key));
        self.items.extend(new_items);
        self.covered.union_with(&new);
        new
    }

    /// Returns the items in key order; items with the same key keep the server's order.
    pub fn into_items(self) -> Vec<Item<V>> {
        let mut items = self.items;
        items.sort_by_key(|item| item.key);
        items
    }
}

/// Checks that all items of a reply lie within its claimed ranges.
///
/// # Errors
///
/// Returns [`Error::Outside`] if an item lies outside the claimed ranges.
pub fn check<V>(reply: &Reply<V>) -> Result<()> {
    let claimed: KeySet = reply.ranges.iter().copied().collect();
    for item in &reply.items {
        snafu::ensure!(claimed.contains(item.key), OutsideSnafu { key: item.key });
    }
    Ok(())
}
