//! Tests the choice of a host to delegate a search to, and how hosts divide capacity when some fan out for others.

use monsoonring_configuration::Range;
use monsoonring_configuration::id::DataCentreId;
use monsoonring_decision::Time;
use monsoonring_decision::gateway::helper::{Candidate, Outcome, Remote, Table};
use monsoonring_decision::member::MemberId;
use monsoonring_decision::placement::{Division, Homes, Role};
use monsoonring_decision::query::coverage::KeySet;
use std::collections::BTreeMap;
use test_case::test_case;

const OWN: u32 = 12;

fn ms(time: u64) -> Time {
    Time::from_millis(time)
}

fn host(number: u8) -> MemberId {
    MemberId::from(([10, 0, 0, number], 8_224))
}

fn table(strengths: &[u32]) -> Table {
    let mut table = Table::new(OWN);
    for (number, strength) in (0..).zip(strengths) {
        table.set_strength(host(number), *strength);
    }
    table
}

#[test_case(&[12, 12], false; "equal")]
#[test_case(&[20], false; "slightly_stronger")]
#[test_case(&[12, 24], true; "twice_as_strong")]
fn choose_requires_much_stronger_hosts(strengths: &[u32], expected: bool) {
    assert_eq!(table(strengths).choose(ms(0)).is_some(), expected);
}

#[test]
fn choose_with_unknown_own_strength_delegates_nothing() {
    let mut table = Table::new(0);
    table.set_strength(host(1), 50);
    assert!(table.is_empty());
}

#[test]
fn choose_is_proportional_to_strength() {
    let mut table = table(&[25, 100]);
    let chosen: Vec<MemberId> = (0..10).filter_map(|_| table.choose(ms(0))).collect();
    let weaker = chosen.iter().filter(|chosen| **chosen == host(0)).count();
    assert_eq!((chosen.len(), weaker), (10, 2));
}

// Guards against sending every delegated search to the idle host with the lowest address.
#[test]
fn choose_idle_helpers_take_turns() {
    let mut table = table(&[50, 50, 50]);
    let mut chosen = [0; 3];
    for number in 0..30 {
        let now = ms(number * 500);
        let helper = table.choose(now).expect("all hosts are available");
        table.finished(helper, Outcome::Answered, now + ms(80));
        let index = (0..3).find(|index| host(*index) == helper);
        chosen[usize::from(index.expect("the helper is in the table"))] += 1;
    }
    assert_eq!(chosen, [10; 3]);
}

/// Returns candidates of another data centre, given as host number and strength.
fn remote(data_centre: &str, round_trip: u64, hosts: &[(u8, u32)]) -> Remote {
    let candidates = hosts.iter().map(|&(number, strength)| Candidate {
        host: host(number),
        strength,
    });
    Remote {
        data_centre: data_centre.into(),
        candidates: candidates.collect(),
        round_trip: ms(round_trip),
    }
}

/// Returns the shards without local servers, by data centre and count.
fn lacking(held: &[(&str, u64)]) -> BTreeMap<DataCentreId, KeySet> {
    let held = held.iter();
    held.map(|&(data_centre, count)| (data_centre.into(), KeySet::from(Range::new(0, count))))
        .collect()
}

/// Delegates shards and returns the chosen host, if any.
fn delegate(
    table: &mut Table,
    lacking: &BTreeMap<DataCentreId, KeySet>,
    now: u64,
) -> Option<MemberId> {
    table
        .delegate(lacking, ms(now))
        .map(|delegation| delegation.host)
}

// Guards against a data centre asking all remote servers itself where a stronger host near them can search for it.
#[test_case(12; "at_a_weak_host")]
#[test_case(50; "at_a_strong_host")]
fn delegate_prefers_the_data_centre_with_most_shards(own: u32) {
    let mut table = Table::new(own);
    table.set_strength(host(1), 100);
    table.set_remote(remote("north", 1, &[(11, 50), (12, 50)]));
    table.set_remote(remote("south", 1, &[(21, 50)]));
    let lacking = lacking(&[("north", 21), ("south", 14)]);
    let chosen = [0, 1, 2].map(|now| delegate(&mut table, &lacking, now));
    assert_eq!(chosen, [Some(host(11)), Some(host(12)), Some(host(11))]);
    let delegation = table.delegate(&lacking, ms(3)).expect("there are hosts");
    assert_eq!(delegation.keys.len(), 21);
}

#[test]
fn delegate_skips_weaker_hosts() {
    let mut table = Table::new(50);
    table.set_remote(remote("north", 1, &[(11, 12)]));
    assert_eq!(delegate(&mut table, &lacking(&[("north", 21)]), 0), None);
}

#[test]
fn delegate_prefers_a_nearby_region() {
    let mut table = Table::new(12);
    table.set_remote(remote("nearby", 1, &[(11, 50)]));
    table.set_remote(remote("abroad", 40, &[(21, 50)]));
    let both = lacking(&[("nearby", 7), ("abroad", 21)]);
    assert_eq!(delegate(&mut table, &both, 0), Some(host(11)));
    let only = lacking(&[("abroad", 21)]);
    assert_eq!(delegate(&mut table, &only, 0), Some(host(21)));
}

// Guards against delegating again to a host whose answers are incomplete or missing: answers would lack more than
// a search that asks all servers itself.
#[test_case(Outcome::Incomplete; "incomplete")]
#[test_case(Outcome::Failed; "failed")]
fn delegate_after_a_failure_pauses(outcome: Outcome) {
    let mut table = Table::new(12);
    table.set_remote(remote("north", 1, &[(11, 50), (12, 50)]));
    let lacking = lacking(&[("north", 21)]);
    let first = delegate(&mut table, &lacking, 0).expect("there are hosts");
    table.finished(first, outcome, ms(100));
    assert_eq!(delegate(&mut table, &lacking, 1_000), None);
    assert!(delegate(&mut table, &lacking, 2_200).is_some());
}

#[test]
fn choose_with_remote_candidates_only_is_none() {
    let mut table = Table::new(12);
    table.set_remote(remote("north", 1, &[(11, 50)]));
    assert_eq!(table.choose(ms(0)), None);
    assert!(table.is_empty());
}

#[test]
fn set_remote_replaces_earlier_candidates() {
    let mut table = Table::new(12);
    table.set_remote(remote("north", 1, &[(11, 50), (12, 50)]));
    table.set_remote(remote("north", 1, &[(12, 50)]));
    let lacking = lacking(&[("north", 21)]);
    let chosen = [0, 1].map(|now| delegate(&mut table, &lacking, now));
    assert_eq!(chosen, [Some(host(12)); 2]);
}

// Guards against one search after the other waiting for a host that lost power.
#[test]
fn finished_failed_host_is_avoided_for_a_while() {
    let mut table = table(&[50]);
    let mut now = ms(0);
    let mut tries = 0;
    while now < ms(10_000) {
        if let Some(host) = table.choose(now) {
            table.finished(host, Outcome::Failed, now);
            tries += 1;
        }
        now += ms(10);
    }
    assert!((3..=6).contains(&tries), "{tries} searches failed");
    let host = table.choose(ms(30_000)).expect("the host is tried again");
    table.finished(host, Outcome::Answered, ms(30_000));
    assert!(
        table.choose(ms(30_001)).is_some(),
        "the host is available again"
    );
}

#[test]
fn finished_declined_host_is_retried_soon() {
    let mut table = table(&[50]);
    let host = table.choose(ms(0)).expect("the host is available");
    table.finished(host, Outcome::Declined, ms(0));
    assert_eq!(table.choose(ms(50)), None);
    assert_eq!(table.choose(ms(150)), Some(host));
}

#[test]
fn set_strength_of_a_restarted_host_makes_it_available() {
    let mut table = table(&[50]);
    let host = table.choose(ms(0)).expect("the host is available");
    table.finished(host, Outcome::Failed, ms(0));
    table.set_strength(host, 50);
    assert_eq!(table.choose(ms(1)), Some(host));
}

/// Returns the homes in data centres of these sizes, with `strong` hosts in each that fan out for the others.
fn fleet(near: &[usize], strong: usize) -> Vec<Homes> {
    let all = near.iter().sum();
    let of = |near: usize| {
        (0..near).map(move |number| Homes {
            all,
            near,
            strong,
            rank: number,
            role: match () {
                () if strong == 0 => Role::Even,
                () if number < strong => Role::Strong,
                () => Role::Weak,
            },
        })
    };
    near.iter().copied().flat_map(of).collect()
}

// Guards against hosts together making more extra attempts than the limit, or far fewer, for any sizes of data
// centres.
#[test_case(&[3, 3, 2], 0; "8_equal_hosts")]
#[test_case(&[30, 31, 28], 2; "89_hosts")]
#[test_case(&[30, 31, 28], 0; "89_equal_hosts")]
#[test_case(&[16, 15, 15, 15], 1; "61_hosts")]
#[test_case(&[100, 150, 50], 5; "300_hosts_unevenly_placed")]
#[test_case(&[180, 181, 180, 180], 9; "many_hosts")]
fn slack_of_all_homes_adds_up_to_the_limit(near: &[usize], strong: usize) {
    let parts = fleet(near, strong).into_iter();
    let slack = parts.filter_map(|homes| Division::among_all_hosts(homes, 218.0).slack());
    let slack: f64 = slack.sum();
    assert!(slack <= 218.0 * 1.001, "{slack}");
    assert!(slack >= 218.0 * 0.9, "{slack}");
}

// Guards against idle connections of many hosts exceeding the connection limit of a server.
#[test_case(&[3, 3, 2], 0, 41, true; "8_equal_hosts")]
#[test_case(&[30, 31, 28], 2, 76, true; "89_hosts")]
#[test_case(&[30, 31, 28], 0, 76, true; "89_equal_hosts")]
#[test_case(&[100, 100, 100], 0, 64, false; "300_equal_hosts")]
fn idle_connections_leave_room_for_a_restart(
    near: &[usize],
    strong: usize,
    limit: u32,
    all_nearby_keep_one: bool,
) {
    let fleet = fleet(near, strong);
    let idle = |homes: &Homes| Division::among_all_hosts(*homes, 218.0).idle_share(limit);
    // The homes in the data centre of one server.
    let nearby = fleet.iter().take(near[0]);
    let together: f64 = nearby.clone().map(idle).sum();
    assert!(together <= f64::from(limit) * 0.5, "{together}");
    let keepers = nearby.filter(|homes| homes.role != Role::Weak);
    assert_eq!(
        keepers.map(idle).all(|share| share >= 1.0),
        all_nearby_keep_one
    );
}
