//! Selection of the index version that new queries pin.

use monsoonring_decision::query::pin::{Group, Pin};
use test_case::test_case;

const OLD: &[u64] = &[6];
const BOTH: &[u64] = &[6, 7];
const NEW: &[u64] = &[7];
const UNKNOWN: &[u64] = &[];

fn groups(replicas: &[&[&[u64]]]) -> Vec<Group> {
    let group = |replicas: &&[&[u64]]| Group {
        weight: 1.0,
        replicas: replicas.iter().map(|versions| versions.to_vec()).collect(),
    };
    replicas.iter().map(group).collect()
}

fn pinned_at(version: u64) -> Pin {
    let mut pin = Pin::default();
    let versions: &[&[u64]] = &[&[version]];
    pin.update(&groups(&[versions]), 0);
    pin
}

#[test_case(&[&[BOTH, BOTH, OLD], &[BOTH, BOTH, OLD]], 7; "every group carries the new version")]
#[test_case(&[&[BOTH, BOTH, BOTH], &[OLD, OLD, OLD]], 6; "a group does not serve the new version")]
#[test_case(&[&[BOTH, BOTH, BOTH], &[BOTH, OLD, OLD]], 6; "a group serves the new version on less than half")]
#[test_case(&[&[BOTH, BOTH], &[BOTH, UNKNOWN, UNKNOWN]], 6; "most versions of a group are unknown")]
#[test_case(&[&[BOTH, BOTH], &[]], 6; "a group has no usable server")]
#[test_case(&[&[NEW, NEW], &[OLD, OLD], &[OLD, OLD]], 6; "the old version reaches more groups")]
#[test_case(&[&[NEW, NEW], &[NEW, BOTH], &[OLD, OLD]], 6; "both versions reach as many groups")]
#[test_case(&[&[NEW, NEW], &[NEW, NEW], &[OLD, OLD]], 7; "the new version reaches more groups")]
#[test_case(&[&[&[5], &[5]], &[&[5], &[5]]], 5; "the pinned version is not served")]
#[test_case(&[&[&[5], OLD], &[&[5], &[5]]], 6; "an older version reaches more groups")]
fn update_while_6_is_pinned_selects(replicas: &[&[&[u64]]], expected: u64) {
    let mut pin = pinned_at(6);
    pin.update(&groups(replicas), 0);
    assert_eq!(pin.version(), Some(expected));
}

#[test]
fn update_below_the_minimum_is_never_pinned() {
    let mut pin = Pin::default();
    pin.update(&groups(&[&[OLD, OLD]]), 7);
    assert_eq!(pin.version(), None);
}
