//! Which index version new queries pin.
//!
//! A roll-out brings a new version to one server after another, and later takes the old one away.
//! Pinning the new one as soon as it is seen would lose every group that has it on no server yet;
//! holding on to the old one loses every group that has dropped it. The pin therefore moves up when
//! every group can carry the new version, and otherwise only where the old one has come to reach
//! less of the data than another.

use monsoonring_configuration::id::IndexVersion;
use std::collections::BTreeSet;

/// What is known of the usable replicas of one group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Group {
    /// The group's share of the data.
    pub weight: f64,
    /// Versions that each usable replica is known to serve; empty where nothing is known.
    pub replicas: Vec<Vec<IndexVersion>>,
}

impl Group {
    fn serving(&self, version: IndexVersion) -> usize {
        let serves = |versions: &&Vec<IndexVersion>| versions.contains(&version);
        self.replicas.iter().filter(serves).count()
    }

    /// Tells whether half of the usable replicas, and one at least, serve the version.
    fn carries(&self, version: IndexVersion) -> bool {
        let serving = self.serving(version);
        serving > 0 && 2 * serving >= self.replicas.len()
    }
}

/// The pin of a route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pin {
    version: Option<IndexVersion>,
}

impl Pin {
    /// Returns the version that new queries pin, `None` while no version is known.
    pub fn version(&self) -> Option<IndexVersion> {
        self.version
    }

    /// Decides again after something was learned, and returns the version if it changed.
    pub fn update(&mut self, groups: &[Group], minimum: IndexVersion) -> Option<IndexVersion> {
        let next = self.decide(groups, minimum);
        let changed = next != self.version;
        self.version = next;
        next.filter(|_| changed)
    }

    fn decide(&self, groups: &[Group], minimum: IndexVersion) -> Option<IndexVersion> {
        let known = known(groups, minimum);
        let carried = |version: &&IndexVersion| groups.iter().all(|group| group.carries(**version));
        let ready = known.iter().rev().find(carried).copied();
        let pinned = self.version.filter(|version| *version >= minimum);
        match (pinned, ready) {
            (Some(pinned), Some(ready)) if ready > pinned => Some(ready),
            (Some(pinned), _) => Some(farthest(groups, &known, pinned)),
            (None, Some(ready)) => Some(ready),
            (None, None) => best(groups, &known),
        }
    }
}

fn known(groups: &[Group], minimum: IndexVersion) -> BTreeSet<IndexVersion> {
    let replicas = groups.iter().flat_map(|group| &group.replicas);
    let versions = replicas.flatten().copied();
    versions.filter(|version| *version >= minimum).collect()
}

/// Weight of the groups in which some usable replica serves the version.
fn reach(groups: &[Group], version: IndexVersion) -> f64 {
    let reached = groups.iter().filter(|group| group.serving(version) > 0);
    reached.map(|group| group.weight).sum()
}

/// Returns the version that reaches most, the newest of them.
fn best(groups: &[Group], known: &BTreeSet<IndexVersion>) -> Option<IndexVersion> {
    let by_reach = |a: &&IndexVersion, b: &&IndexVersion| {
        let (left, right) = (reach(groups, **a), reach(groups, **b));
        left.total_cmp(&right).then(a.cmp(b))
    };
    known.iter().max_by(by_reach).copied()
}

/// Returns the pinned version unless a newer one reaches more. An older one is taken only if the
/// pinned one is served nowhere: answers should not go back in time for a passing outage.
fn farthest(
    groups: &[Group],
    known: &BTreeSet<IndexVersion>,
    pinned: IndexVersion,
) -> IndexVersion {
    let here = reach(groups, pinned);
    let newer: BTreeSet<IndexVersion> = known.range(pinned..).copied().collect();
    let choice = if here > 0.0 { &newer } else { known };
    match best(groups, choice) {
        Some(other) if reach(groups, other) > here => other,
        _ => pinned,
    }
}
