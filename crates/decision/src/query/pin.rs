//! Selection of the index version that new queries pin.
//!
//! During a roll-out servers load the new version one by one and later drop the old one. Pinning
//! the new version too early loses the groups that don't serve it yet; pinning the old version too
//! long loses the groups that have dropped it. The pin advances when every group can carry the new
//! version, and otherwise only if the pinned version reaches less of the data than another.

use monsoonring_configuration::id::IndexVersion;
use std::collections::BTreeSet;

/// Index versions served by the usable replicas of one group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Group {
    /// The group's share of the data.
    pub weight: f64,
    /// Versions that each usable replica serves; empty if unknown.
    pub replicas: Vec<Vec<IndexVersion>>,
}

impl Group {
    fn serving(&self, version: IndexVersion) -> usize {
        let serves = |versions: &&Vec<IndexVersion>| versions.contains(&version);
        self.replicas.iter().filter(serves).count()
    }

    /// Returns whether at least half of the usable replicas, and at least one, serve the version.
    fn can_carry(&self, version: IndexVersion) -> bool {
        let serving = self.serving(version);
        serving > 0 && 2 * serving >= self.replicas.len()
    }
}

/// The pinned index version of a route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pin {
    version: Option<IndexVersion>,
}

impl Pin {
    /// Returns the version that new queries pin, `None` if no version is known.
    pub fn version(&self) -> Option<IndexVersion> {
        self.version
    }

    /// Updates the pin from the current state of the groups, and returns the version if it changed.
    pub fn update(&mut self, groups: &[Group], minimum: IndexVersion) -> Option<IndexVersion> {
        let next = self.decide(groups, minimum);
        let changed = next != self.version;
        self.version = next;
        next.filter(|_| changed)
    }

    fn decide(&self, groups: &[Group], minimum: IndexVersion) -> Option<IndexVersion> {
        let known = known(groups, minimum);
        let carried =
            |version: &&IndexVersion| groups.iter().all(|group| group.can_carry(**version));
        let ready = known.iter().rev().find(carried).copied();
        let pinned = self.version.filter(|version| *version >= minimum);
        match (pinned, ready) {
            (Some(pinned), Some(ready)) if ready > pinned => Some(ready),
            (Some(pinned), _) => Some(best_or_pinned(groups, &known, pinned)),
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

/// Returns the weight of the groups with at least one usable replica that serves the version.
fn reach(groups: &[Group], version: IndexVersion) -> f64 {
    let reached = groups.iter().filter(|group| group.serving(version) > 0);
    reached.map(|group| group.weight).sum()
}

/// Returns the version with the greatest reach, the newest among equals.
fn best(groups: &[Group], known: &BTreeSet<IndexVersion>) -> Option<IndexVersion> {
    let by_reach = |a: &&IndexVersion, b: &&IndexVersion| {
        let (left, right) = (reach(groups, **a), reach(groups, **b));
        left.total_cmp(&right).then(a.cmp(b))
    };
    known.iter().max_by(by_reach).copied()
}

/// Returns the pinned version unless a newer one has a greater reach. An older version is chosen
/// only if no server serves the pinned one, so that answers don't go back in time during an outage.
fn best_or_pinned(
    groups: &[Group],
    known: &BTreeSet<IndexVersion>,
    pinned: IndexVersion,
) -> IndexVersion {
    let pinned_reach = reach(groups, pinned);
    let newer: BTreeSet<IndexVersion> = known.range(pinned..).copied().collect();
    let candidates = if pinned_reach > 0.0 { &newer } else { known };
    match best(groups, candidates) {
        Some(version) if reach(groups, version) > pinned_reach => version,
        _ => pinned,
    }
}
