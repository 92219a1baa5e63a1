//! Coverage of an answer, as a set of keys weighted by the published weights of the groups.
//!
//! Counting replies or groups fails if a shard is split, merged or moved during a query: a partial
//! reply would count as complete, or a key twice. A set of disjoint ranges holds each key once.

use monsoonring_configuration::Range;
use monsoonring_configuration::document::{Group, Route};
use monsoonring_configuration::id::Key;
use smallvec::SmallVec;

/// A set of keys, as ranges.
///
/// Invariant, maintained by [`KeySet::add`]: the ranges are sorted, not empty, and neither overlap
/// nor touch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeySet {
    ranges: Ranges,
}

/// Inline capacity of one range: most sets hold the keys of one group or a complete answer.
type Ranges = SmallVec<[Range; 1]>;

impl KeySet {
    /// Returns the ranges, sorted and disjoint.
    pub fn ranges(&self) -> &[Range] {
        &self.ranges
    }

    /// Returns the number of keys.
    pub fn len(&self) -> u64 {
        self.ranges.iter().map(Range::len).sum()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns whether the set contains `key`.
    pub fn contains(&self, key: Key) -> bool {
        let after = self.ranges.partition_point(|range| range.start <= key);
        after > 0 && self.ranges[after - 1].contains(key)
    }

    /// Adds a range, merging it with the ranges that it overlaps or touches.
    pub fn add(&mut self, range: Range) {
        if range.is_empty() {
            return;
        }
        let first = self
            .ranges
            .partition_point(|existing| existing.end < range.start);
        let after = self
            .ranges
            .partition_point(|existing| existing.start <= range.end);
        let mut merged = range;
        for existing in &self.ranges[first..after] {
            merged.start = merged.start.min(existing.start);
            merged.end = merged.end.max(existing.end);
        }
        self.ranges.drain(first..after);
        self.ranges.insert(first, merged);
    }

    /// Adds all keys of `other`.
    pub fn union_with(&mut self, other: &Self) {
        for range in &other.ranges {
            self.add(*range);
        }
    }

    /// Returns the keys that are in both sets.
    pub fn intersection(&self, other: &Self) -> Self {
        let mut common = Ranges::new();
        let (mut left, mut right) = (0, 0);
        while left < self.ranges.len() && right < other.ranges.len() {
            let (a, b) = (self.ranges[left], other.ranges[right]);
            common.extend(a.intersection(&b));
            if a.end <= b.end {
                left += 1;
            } else {
                right += 1;
            }
        }
        Self { ranges: common }
    }

    /// Returns the keys of this set that are not in `other`.
    pub fn difference(&self, other: &Self) -> Self {
        let mut rest = Ranges::new();
        for range in &self.ranges {
            let mut start = range.start;
            let first = other
                .ranges
                .partition_point(|removed| removed.end <= range.start);
            for removed in other.ranges[first..].iter() {
                if removed.start >= range.end {
                    break;
                }
                if removed.start > start {
                    rest.push(Range::new(start, removed.start));
                }
                start = removed.end;
            }
            if start < range.end {
                rest.push(Range::new(start, range.end));
            }
        }
        Self { ranges: rest }
    }

    /// Returns the weight of the set. Each group's weight is spread uniformly over its range.
    pub fn weight(&self, groups: &[Group]) -> f64 {
        groups.iter().map(|group| self.weight_in(group)).sum()
    }

    fn weight_in(&self, group: &Group) -> f64 {
        if group.keys.is_empty() {
            return 0.0;
        }
        let first = self
            .ranges
            .partition_point(|range| range.end <= group.keys.start);
        let keys: u64 = self.ranges[first..]
            .iter()
            .map_while(|range| range.intersection(&group.keys))
            .map(|common| common.len())
            .sum();
        group.weight * (keys as f64 / group.keys.len() as f64)
    }
}

impl From<Range> for KeySet {
    fn from(range: Range) -> Self {
        let mut set = Self::default();
        set.add(range);
        set
    }
}

impl FromIterator<Range> for KeySet {
    fn from_iter<I: IntoIterator<Item = Range>>(ranges: I) -> Self {
        let mut set = Self::default();
        for range in ranges {
            set.add(range);
        }
        set
    }
}

/// Returns the share of the route's data that `set` covers, from 0 to 1.
///
/// The share is exactly 1 if and only if no key is missing, regardless of rounding: callers compare
/// it with 1 to detect complete answers.
pub fn share(set: &KeySet, route: &Route) -> f64 {
    if is_complete(set, route) {
        return 1.0;
    }
    let total: f64 = route.groups.iter().map(|group| group.weight).sum();
    if total <= 0.0 {
        return 0.0;
    }
    (set.weight(&route.groups) / total).clamp(0.0, 1.0 - f64::EPSILON)
}

/// Returns how many of `groups` groups of equal weight can be missing at a coverage of at least
/// `min_coverage`.
pub fn dispensable(min_coverage: f64, groups: f64) -> usize {
    /// Tolerance for rounding errors, so that a tenth of ten groups is one group.
    const ROUNDING: f64 = 1e-9;
    ((1.0 - min_coverage) * groups + ROUNDING) as usize
}

/// Returns the share of the data in `wanted` that `set` covers, from 0 to 1; exactly 1 if and only
/// if no key is missing.
pub fn share_of(set: &KeySet, wanted: &KeySet, route: &Route) -> f64 {
    if wanted.difference(set).is_empty() {
        return 1.0;
    }
    let total = wanted.weight(&route.groups);
    if total <= 0.0 {
        return 0.0;
    }
    let common = set.intersection(wanted).weight(&route.groups);
    (common / total).clamp(0.0, 1.0 - f64::EPSILON)
}

/// Returns whether `set` contains all keys of the route.
///
/// Called after each reply, so it doesn't allocate: a single range of the set must hold all keys,
/// because the ranges neither overlap nor touch.
pub fn is_complete(set: &KeySet, route: &Route) -> bool {
    let keys = route.keys;
    let after = set
        .ranges
        .partition_point(|range| range.start <= keys.start);
    keys.is_empty() || after > 0 && keys.end <= set.ranges[after - 1].end
}

/// Returns the keys of the route that are not in `set`.
pub fn missing(set: &KeySet, route: &Route) -> KeySet {
    KeySet::from(route.keys).difference(set)
}
