//! Coverage as a set of keys, weighed as published.
//!
//! Counting replies or groups would be wrong as soon as a shard is split, merged or moved while a
//! query runs: a half answer would count as a whole one, or one key twice. A set of disjoint ranges
//! can't: a key is in it or not.

use monsoonring_configuration::Range;
use monsoonring_configuration::document::{Group, Route};
use monsoonring_configuration::id::Key;
use smallvec::SmallVec;

/// A set of keys, as ranges.
///
/// Invariant, kept by [`KeySet::add`] alone: the ranges are not empty, in order, and neither overlap
/// nor touch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeySet {
    ranges: Ranges,
}

/// Nearly all sets are one range: the keys of a group, or all up to those that are missing.
type Ranges = SmallVec<[Range; 1]>;

impl KeySet {
    /// Returns the ranges, disjoint and in order.
    pub fn ranges(&self) -> &[Range] {
        &self.ranges
    }

    /// Returns the number of keys.
    pub fn len(&self) -> u64 {
        self.ranges.iter().map(Range::len).sum()
    }

    /// Tells whether no key is in the set.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Tells whether `key` is in the set.
    pub fn contains(&self, key: Key) -> bool {
        let after = self.ranges.partition_point(|range| range.start <= key);
        after > 0 && self.ranges[after - 1].contains(key)
    }

    /// Adds the keys of a range.
    pub fn add(&mut self, range: Range) {
        if range.is_empty() {
            return;
        }
        let first = self.ranges.partition_point(|old| old.end < range.start);
        let after = self.ranges.partition_point(|old| old.start <= range.end);
        let mut whole = range;
        for old in &self.ranges[first..after] {
            whole.start = whole.start.min(old.start);
            whole.end = whole.end.max(old.end);
        }
        self.ranges.drain(first..after);
        self.ranges.insert(first, whole);
    }

    /// Adds the keys of another set.
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

    /// Returns the keys of this set that are not in the other.
    pub fn difference(&self, other: &Self) -> Self {
        let mut rest = Ranges::new();
        for range in &self.ranges {
            let mut start = range.start;
            let first = other.ranges.partition_point(|gone| gone.end <= range.start);
            for gone in other.ranges[first..].iter() {
                if gone.start >= range.end {
                    break;
                }
                if gone.start > start {
                    rest.push(Range::new(start, gone.start));
                }
                start = gone.end;
            }
            if start < range.end {
                rest.push(Range::new(start, range.end));
            }
        }
        Self { ranges: rest }
    }

    /// Returns the weight of the set among the groups: each group's weight, spread uniformly over
    /// its range.
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

/// Returns the share of the route's data that lies in `set`, from 0 to 1.
///
/// A set with all keys gives exactly 1, and one that lacks a key never does, whatever the rounding:
/// a caller must be able to tell "complete" from "nearly".
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

/// Returns how many of so many groups, which weigh alike, an answer with at least this coverage can do without.
pub fn dispensable(least: f64, groups: f64) -> usize {
    /// What rounding may take from a whole number: a tenth of ten groups is one.
    const ROUNDING: f64 = 1e-9;
    ((1.0 - least) * groups + ROUNDING) as usize
}

/// Returns the share of what lies in `wanted` that lies in `set` too, from 0 to 1; exactly 1 only where no key is
/// missing, as [`share`] does for all keys of the route.
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

/// Tells whether no key of the route is missing in `set`. Asked after each reply, it makes no list:
/// as the ranges of a set neither overlap nor touch, one of them has to hold all keys.
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
