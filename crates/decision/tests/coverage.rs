//! Coverage by keys, and merging of replies by keys.

mod session;

use monsoonring_configuration::Range;
use monsoonring_configuration::document::Route;
use monsoonring_decision::query::coverage::{KeySet, is_complete, missing, share};
use monsoonring_decision::query::merge::{Error, Merge, check};
use proptest::prelude::*;
use session::{VERSION, reply, route};
use std::collections::BTreeSet;
use test_case::test_case;

const KEY_SPACE: u64 = 60;

fn set(ranges: &[(u64, u64)]) -> KeySet {
    let ranges = ranges.iter().map(|(start, end)| Range::new(*start, *end));
    ranges.collect()
}

fn keys(set: &KeySet) -> BTreeSet<u64> {
    set.ranges()
        .iter()
        .flat_map(|range| range.start..range.end)
        .collect()
}

#[test_case(&[], 0.0; "no keys")]
#[test_case(&[(0, 400)], 1.0; "all keys")]
#[test_case(&[(0, 100), (100, 150)], 0.375; "one group and a half")]
#[test_case(&[(0, 100), (0, 100)], 0.25; "duplicate range")]
#[test_case(&[(50, 150)], 0.25; "across a group boundary")]
#[test_case(&[(390, 500)], 0.025; "beyond the route")]
fn share_of_equal_groups_counts_keys(ranges: &[(u64, u64)], expected: f64) {
    assert!((share(&set(ranges), &route(4, 1)) - expected).abs() < 1e-12);
}

#[test]
fn share_uses_group_weights() {
    let mut route = route(2, 1);
    route.groups[0].weight = 3.0;
    assert!((share(&set(&[(0, 50)]), &route) - 0.375).abs() < 1e-12);
}

#[test]
fn share_without_a_weightless_group_is_not_complete() {
    // Guards against an answer that is marked complete although it misses the keys of a group with
    // weight 0.
    let mut route = route(2, 1);
    route.groups[1].weight = 0.0;
    let covered = set(&[(0, 100)]);
    assert!(share(&covered, &route) < 1.0);
    assert_eq!(missing(&covered, &route), set(&[(100, 200)]));
}

#[test]
fn accept_overlapping_replies_takes_no_item_twice() {
    // Guards against duplicate items when the old and the new server of a split group both answer
    // for the same keys.
    let mut merge = Merge::default();
    let requested = set(&[(0, 100)]);
    let first = merge.accept(&requested, reply(&[Range::new(0, 60)], VERSION));
    assert_eq!(first, set(&[(0, 60)]));
    let second = merge.accept(
        &requested,
        reply(&[Range::new(0, 40), Range::new(40, 100)], VERSION),
    );
    assert_eq!(second, set(&[(60, 100)]));
    let merged: Vec<u64> = merge.into_items().iter().map(|item| item.key).collect();
    assert_eq!(
        merged,
        [0],
        "items at 0 and 40 were covered by the first reply"
    );
}

#[test]
fn accept_drops_keys_not_requested() {
    let mut merge = Merge::default();
    let requested = set(&[(0, 10)]);
    merge.accept(
        &requested,
        reply(&[Range::new(0, 10), Range::new(20, 30)], VERSION),
    );
    assert_eq!(merge.covered(), &requested);
    assert_eq!(merge.into_items().len(), 1);
}

#[test]
fn check_item_outside_its_ranges_is_an_error() {
    let mut invalid = reply(&[Range::new(0, 10)], VERSION);
    invalid.items[0].key = 10;
    assert_eq!(check(&invalid), Err(Error::Outside { key: 10 }));
}

fn some_ranges() -> impl Strategy<Value = Vec<(u64, u64)>> {
    prop::collection::vec((0..KEY_SPACE, 0..KEY_SPACE), 0..8)
}

proptest! {
    #[test]
    fn set_operations_agree_with_sets_of_keys(left in some_ranges(), right in some_ranges()) {
        let (a, b) = (set(&left), set(&right));
        let (ka, kb) = (keys(&a), keys(&b));
        let expected: BTreeSet<u64> = left.iter().flat_map(|(start, end)| *start..*end).collect();
        prop_assert_eq!(&ka, &expected);
        prop_assert_eq!(keys(&a.intersection(&b)), ka.intersection(&kb).copied().collect::<BTreeSet<_>>());
        prop_assert_eq!(keys(&a.difference(&b)), ka.difference(&kb).copied().collect::<BTreeSet<_>>());
        for key in 0..KEY_SPACE {
            prop_assert_eq!(a.contains(key), ka.contains(&key));
        }
        let gaps = a.ranges().windows(2).all(|pair| pair[0].end < pair[1].start);
        prop_assert!(gaps, "ranges overlap or touch: {:?}", a);
    }

    #[test]
    fn is_complete_agrees_with_missing(ranges in some_ranges(), start in 0..KEY_SPACE, end in 0..KEY_SPACE) {
        let covered = set(&ranges);
        let route = Route { keys: Range::new(start, end), ..route(1, 1) };
        prop_assert_eq!(is_complete(&covered, &route), missing(&covered, &route).is_empty());
        let complete = set(&[ranges, vec![(start, end)]].concat());
        prop_assert!(is_complete(&complete, &route));
    }

    #[test]
    fn accept_any_replies_merge_each_key_once(replies in prop::collection::vec((some_ranges(), some_ranges()), 0..6)) {
        let mut merge = Merge::default();
        let mut added = 0;
        for (requested, claimed) in replies {
            let claimed = set(&claimed);
            let mut full = reply(claimed.ranges(), VERSION);
            full.items = keys(&claimed).into_iter().map(|key| monsoonring_decision::reply::Item { key, value: "".into() }).collect();
            added += keys(&merge.accept(&set(&requested), full)).len();
        }
        let covered = keys(merge.covered());
        prop_assert_eq!(covered.len(), added);
        let items: Vec<u64> = merge.into_items().iter().map(|item| item.key).collect();
        prop_assert_eq!(items, covered.into_iter().collect::<Vec<_>>());
    }
}
