//! Index versions and keys that a server holds, and the items in them.

use monsoonring_configuration::Range;
use monsoonring_configuration::id::{IndexVersion, Key};
use serde::Serialize;
use std::collections::BTreeSet;

/// What a server holds at one moment.
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
    /// The version to answer from: the pinned one if it is there, else the newest if none is pinned.
    pub(crate) fn version(&self, pinned: Option<IndexVersion>) -> Option<IndexVersion> {
        match pinned {
            Some(version) => self.versions.get(&version).copied(),
            None => self.versions.last().copied(),
        }
    }

    /// Those of the asked keys that are held, in the order of the question.
    pub(crate) fn covered(&self, asked: &[Range]) -> Vec<Range> {
        let mut covered = Vec::new();
        for range in asked {
            let held = self.ranges.iter();
            covered.extend(held.filter_map(|held| range.intersection(held)));
        }
        covered
    }
}

/// The items in the given ranges, one at each multiple of `every`.
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
