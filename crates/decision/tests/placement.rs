//! Tests the number and choice of a route's homes, and the connection limit while membership views differ.

use monsoonring_configuration::document::Capacity;
use monsoonring_decision::member::MemberId;
use monsoonring_decision::placement::{
    CONTROL_CONNECTIONS, Difference, HomeLoad, Member, choose, homes, select, share,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

fn id(number: usize) -> MemberId {
    let [.., high, low] = number.to_be_bytes();
    MemberId::from(([10, 0, high, low], 7000))
}

fn members(numbers: impl IntoIterator<Item = usize>, data_centres: usize) -> Vec<Member> {
    let member = |number| Member {
        id: id(number),
        data_centre: format!("dc{}", number % data_centres).into(),
    };
    numbers.into_iter().map(member).collect()
}

fn capacity(slots: u32, connections: u32) -> Capacity {
    Capacity {
        slots,
        connections,
        connect_ms: 1,
    }
}

#[test_case(3, 30, 10, 8 => 3; "dispatch_map")]
#[test_case(2, 110, 20, 8 => 8; "planner_desk")]
#[test_case(2, 25, 10, 7 => 4; "gate_desk")]
#[test_case(3, 40, 7, 7 => 5; "contracts")]
#[test_case(3, 30, 160, 3_800 => 7; "many_groups_at_design_size")]
#[test_case(3, 30, 10, 3_800 => 3; "few_groups_at_design_size")]
#[test_case(2, 110, 20, 3_800 => 18; "many_connections_at_design_size")]
#[test_case(3, 30, 10, 2 => 2; "all_members_when_few")]
#[test_case(3, 2, 500, 100 => 1; "scarce_connections")]
fn homes_number(slots: u32, connections: u32, groups: usize, members: usize) -> usize {
    homes(&capacity(slots, connections), groups, members)
}

#[test_case(30, 3 => 4; "dispatch_map")]
#[test_case(110, 8 => 5; "planner_desk")]
#[test_case(25, 4 => 2; "gate_desk")]
#[test_case(30, 15 => 1; "more_homes_than_fit")]
#[test_case(1, 1 => 1; "one_connection")]
fn share_of_one_home(limit: u32, count: usize) -> u32 {
    share(limit, count)
}

#[test]
fn share_in_a_partition_stays_within_the_limit() {
    // Guards against exceeding a server's connection limit when both sides of a partition place homes.
    let capacity = capacity(3, 30);
    let connections = |side: Vec<Member>| {
        let count = homes(&capacity, 10, side.len());
        let chosen = select("dispatch-map", &side, count);
        (share(capacity.connections, count) + CONTROL_CONNECTIONS)
            * u32::try_from(chosen.len()).expect("few homes")
    };
    let total = connections(members(0..4, 4)) + connections(members(4..8, 4));
    assert!(total <= capacity.connections, "{total} connections");
}

#[test]
fn select_spreads_homes_over_data_centres() {
    // Guards against losing all homes of a route with one data centre.
    for route in 0..200 {
        let chosen = select(&format!("route-{route}"), &members(0..84, 4), 5);
        let mut by_data_centre: BTreeMap<usize, usize> = BTreeMap::new();
        for home in chosen {
            let number = (0..84).find(|n| id(*n) == home).expect("a member");
            *by_data_centre.entry(number % 4).or_default() += 1;
        }
        assert!(by_data_centre.values().all(|count| *count <= 2));
    }
}

#[test]
fn select_in_uneven_data_centres_fills_the_count() {
    // One data centre has one member, the other has eight.
    let mut uneven = members(0..1, 1);
    uneven.extend((1..9).map(|n| Member {
        id: id(n),
        data_centre: "other".into(),
    }));
    assert_eq!(select("route", &uneven, 6).len(), 6);
}

#[test]
fn choose_prefers_the_own_home() {
    let load = |n, outstanding| HomeLoad {
        id: id(n),
        near: true,
        suspect: false,
        outstanding,
    };
    let all = [load(1, 0), load(2, 90)];
    assert_eq!(choose(id(2), 7, &all), Some(id(2)));
    assert_eq!(choose(id(3), 7, &[]), None);
}

#[test_case(0, 0, false => 1; "near_at_equal_load")]
#[test_case(9, 0, false => 2; "remote_when_near_is_busy")]
#[test_case(0, 9, true => 2; "suspect_only_as_last_resort")]
fn choose_between(near_load: u32, remote_load: u32, near_suspect: bool) -> usize {
    let near = HomeLoad {
        id: id(1),
        near: true,
        suspect: near_suspect,
        outstanding: near_load,
    };
    let remote = HomeLoad {
        id: id(2),
        near: false,
        suspect: false,
        outstanding: remote_load,
    };
    let chosen = choose(id(3), 7, &[near, remote]);
    if chosen == Some(id(1)) { 1 } else { 2 }
}

#[test]
fn choose_spreads_over_idle_homes() {
    // Guards against one home of an idle route receiving every query.
    let homes: Vec<HomeLoad> = (0..5)
        .map(|n| HomeLoad {
            id: id(n),
            near: true,
            suspect: false,
            outstanding: 0,
        })
        .collect();
    let mut counts: BTreeMap<MemberId, usize> = BTreeMap::new();
    for request in 0..1_000 {
        let home = choose(id(9), request, &homes).expect("there are homes");
        *counts.entry(home).or_default() += 1;
    }
    assert_eq!(counts.len(), 5);
    assert!(
        counts.values().all(|count| (150..250).contains(count)),
        "{counts:?}"
    );
}

/// Returns the connections to one backend server by home, as one view places them.
fn connections_by_home(
    route: &str,
    view: &[Member],
    capacity: &Capacity,
    groups: usize,
) -> BTreeMap<MemberId, u32> {
    let count = homes(capacity, groups, view.len());
    let each = share(capacity.connections, count) + CONTROL_CONNECTIONS;
    select(route, view, count)
        .into_iter()
        .map(|home| (home, each))
        .collect()
}

proptest! {
    /// Under any two views, each home opens at most the larger of its two shares.
    #[test]
    fn share_any_two_views_stay_within_the_limit(
        first in prop::collection::btree_set(0..60usize, 1..40),
        second in prop::collection::btree_set(0..60usize, 1..40),
        slots in 1..6u32, connections in 4..130u32, groups in 1..200usize, data_centres in 1..8usize,
    ) {
        let capacity = capacity(slots, connections);
        let mut all = connections_by_home("route", &members(first, data_centres), &capacity, groups);
        for (home, each) in connections_by_home("route", &members(second, data_centres), &capacity, groups) {
            let largest = all.entry(home).or_insert(0);
            *largest = each.max(*largest);
        }
        let sum: u32 = all.values().sum();
        prop_assert!(sum <= connections, "{} connections of {}", sum, connections);
    }

    /// Several views that each miss one member stay within the limit together.
    #[test]
    fn share_many_close_views_stay_within_the_limit(
        missing in prop::collection::vec(0..40usize, 1..5), connections in 20..130u32,
    ) {
        let capacity = capacity(3, connections);
        let mut all: BTreeMap<MemberId, u32> = BTreeMap::new();
        for gone in missing {
            let view = members((0..40).filter(|n| *n != gone), 4);
            all.extend(connections_by_home("route", &view, &capacity, 10));
        }
        let sum: u32 = all.values().sum();
        prop_assert!(sum <= connections, "{} connections of {}", sum, connections);
    }

    #[test]
    fn select_one_change_moves_one_home(
        numbers in prop::collection::btree_set(0..300usize, 20..80),
        gone in any::<prop::sample::Index>(), count in 1..12usize, route in "[a-z]{1,12}",
    ) {
        let before: Vec<usize> = numbers.into_iter().collect();
        let gone = before[gone.index(before.len())];
        let after = before.iter().copied().filter(|n| *n != gone);
        let old: BTreeSet<_> = select(&route, &members(before.clone(), 3), count).into_iter().collect();
        let new: BTreeSet<_> = select(&route, &members(after, 3), count).into_iter().collect();
        let kept = old.iter().filter(|home| **home != id(gone)).count();
        // The limit per data centre can move one more home to another data centre.
        prop_assert!(old.intersection(&new).count() + 1 >= kept);
        if !old.contains(&id(gone)) {
            prop_assert_eq!(old, new);
        }
    }

    #[test]
    fn select_ignores_the_order_of_members(count in 1..12usize, rotation in 0..50usize) {
        let ordered = members(0..50, 4);
        let mut rotated = ordered.clone();
        rotated.rotate_left(rotation);
        prop_assert_eq!(select("route", &ordered, count), select("route", &rotated, count));
    }
}

/// Size of a data centre for which [`Difference`] needs to consider only the changed members.
const LARGE: usize = 40;

proptest! {
    // Guards against daemons that disagree on a route's homes because one of them skipped a change that affects it.
    #[test]
    fn may_affect_false_means_the_same_homes(
        data_centres in 1..4_usize,
        gone in prop::collection::vec(0..3 * LARGE, 0..3),
        added in prop::collection::vec(0..400_usize, 0..3),
        count in 1..=32_usize,
    ) {
        let all = members(0..data_centres * LARGE, data_centres);
        let mut new = all.clone();
        new.retain(|member| gone.iter().all(|number| member.id != id(*number)));
        let first = data_centres * LARGE;
        new.extend(members(added.iter().map(|number| first + number).collect::<BTreeSet<_>>(), data_centres));
        let difference = Difference::between(&all, &new);
        for route in 0..20 {
            let route = format!("route-{route}");
            let homes = select(&route, &all, count);
            if !difference.may_affect(&route, &homes) {
                prop_assert_eq!(select(&route, &new, count), homes);
            }
        }
    }
}

#[test]
fn may_affect_few_routes_of_a_large_fleet() {
    let all = members(0..3_800, 21);
    let difference = Difference::between(&all, &all[1..]);
    let affected = (0..271).map(|route| format!("route-{route}"));
    let affected = affected.filter(|route| difference.may_affect(route, &select(route, &all, 10)));
    let is_home = |route: &String| select(route, &all, 10).contains(&all[0].id);
    let affected: Vec<String> = affected.collect();
    assert!(affected.iter().all(is_home), "{affected:?}");
    assert!(affected.len() < 27, "{affected:?}");
}

#[test_case(3, 0..39, 1; "small_data_centre")]
#[test_case(3, 0..200, 2; "lost_data_centre")]
fn may_affect_all_routes(data_centres: usize, remaining: std::ops::Range<usize>, every: usize) {
    let all = members(0..200, data_centres);
    let remaining: Vec<Member> = members(remaining, data_centres);
    let is_kept = |member: &Member| every == 1 || &*member.data_centre != "dc1";
    let remaining: Vec<Member> = remaining.into_iter().filter(is_kept).collect();
    let difference = Difference::between(&all, &remaining);
    assert!(difference.may_affect("any", &[]));
}
