//! Index versions, key ranges and items of a server.

use monsoonring_configuration::Range;
use monsoonring_configuration::id::{IndexVersion, Key};
use serde::Serialize;
use std::collections::BTreeSet;

/// The index versions and key ranges that a server serves.
#[derive(Clone, Debug)]
pub(crate) struct Dataset {
    pub(crate) versions: BTreeSet<IndexVersion>,
    pub(crate) ranges: Vec<Range>,
}

/// One search result.
#[derive(Serialize)]
pub(crate) struct Item {
    key: Key,
    value: Value,
}

#[derive(Serialize)]
struct Value {
    key: Key,
    version: IndexVersion,
}

impl Dataset {
    /// Returns the version to read: the pinned one, or the newest if none is pinned. `None` if the
    /// server does not have it.
    pub(crate) fn version(&self, pinned: Option<IndexVersion>) -> Option<IndexVersion> {
        match pinned {
            Some(version) => self.versions.get(&version).copied(),
            None => self.versions.last().copied(),
        }
    }

    /// Returns the parts of the requested ranges that the server has, in request order.
    pub(crate) fn covered(&self, asked: &[Range]) -> Vec<Range> {
        let mut covered = Vec::new();
        for range in asked {
            let held = self.ranges.iter();
            covered.extend(held.filter_map(|held| range.intersection(held)));
        }
        covered
    }
}

/// Returns the items in the given ranges, one at each multiple of `every`.
pub(crate) fn items(ranges: &[Range], every: u64, version: IndexVersion) -> Vec<Item> {
    let every = every.max(1);
    let mut items = Vec::new();
    for range in ranges {
        let first = range.start.div_ceil(every);
        let keys = (first..).map(|n| n * every);
        let keys = keys.take_while(|key| range.contains(*key));
        items.extend(keys.map(|key| Item {
            key,
            value: Value { key, version },
        }));
    }
    items
}
