//! Which host fans a search out in another one's place, and what each may take then.

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

#[test_case(&[12, 12], false; "alike")]
#[test_case(&[20], false; "hardly_stronger")]
#[test_case(&[12, 24], true; "twice_as_strong")]
fn choose_takes_hosts_that_are_far_stronger(strengths: &[u32], found: bool) {
    assert_eq!(table(strengths).choose(ms(0)).is_some(), found);
}

#[test]
fn choose_unknown_own_strength_hands_nothing_on() {
    let mut table = Table::new(0);
    table.set_strength(host(1), 50);
    assert!(table.is_empty());
}

#[test]
fn choose_divides_by_strength() {
    let mut table = table(&[25, 100]);
    let chosen: Vec<MemberId> = (0..10).filter_map(|_| table.choose(ms(0))).collect();
    let weaker = chosen.iter().filter(|one| **one == host(0)).count();
    assert_eq!((chosen.len(), weaker), (10, 2));
}

// Symptom: two of three hosts that fan out stand idle, and the third runs out of extra attempts: 959 were denied in
//          14 s at 195 hosts while servers were slow.
// Events:  hosts hand one search on at a time, each answered before the next one comes.
// Cause:   among helpers that were all idle the one with the lowest address was taken each time.
#[test]
fn choose_idle_helpers_take_turns() {
    let mut table = table(&[50, 50, 50]);
    let mut chosen = [0; 3];
    for number in 0..30 {
        let now = ms(number * 500);
        let helper = table.choose(now).expect("all are well");
        table.finished(helper, Outcome::Answered, now + ms(80));
        let index = (0..3).find(|index| host(*index) == helper);
        chosen[usize::from(index.expect("it is one of them"))] += 1;
    }
    assert_eq!(chosen, [10; 3]);
}

/// Hosts of another data centre with their strengths.
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

/// As many shards that only these data centres have servers of.
fn lacking(held: &[(&str, u64)]) -> BTreeMap<DataCentreId, KeySet> {
    let held = held.iter();
    held.map(|&(data_centre, count)| (data_centre.into(), KeySet::from(Range::new(0, count))))
        .collect()
}

/// Returns who was chosen for a part, if somebody was.
fn share(
    table: &mut Table,
    lacking: &BTreeMap<DataCentreId, KeySet>,
    now: u64,
) -> Option<MemberId> {
    table.delegate(lacking, ms(now)).map(|share| share.host)
}

// Symptom: each of 21 to 31 shards of a search sends its kilobyte from one data centre to another.
// Events:  a data centre holds servers of half of the shards; others hold the other half, or a part of it.
// Cause:   whoever fans out asked all servers itself.
#[test_case(12; "at_a_weak_host")]
#[test_case(50; "at_a_strong_host")]
fn share_goes_where_most_of_the_shards_are(own: u32) {
    let mut table = Table::new(own);
    table.set_strength(host(1), 100);
    table.set_remote(remote("north", 1, &[(11, 50), (12, 50)]));
    table.set_remote(remote("south", 1, &[(21, 50)]));
    let lacking = lacking(&[("north", 21), ("south", 14)]);
    let chosen = [0, 1, 2].map(|now| share(&mut table, &lacking, now));
    assert_eq!(chosen, [Some(host(11)), Some(host(12)), Some(host(11))]);
    let share = table.delegate(&lacking, ms(3)).expect("there are hosts");
    assert_eq!(share.keys.len(), 21);
}

#[test]
fn share_weaker_hosts_are_not_asked() {
    let mut table = Table::new(50);
    table.set_remote(remote("north", 1, &[(11, 12)]));
    assert_eq!(share(&mut table, &lacking(&[("north", 21)]), 0), None);
}

#[test]
fn share_another_region_is_not_asked_where_one_nearby_could_be() {
    let mut table = Table::new(12);
    table.set_remote(remote("nearby", 1, &[(11, 50)]));
    table.set_remote(remote("abroad", 40, &[(21, 50)]));
    let both = lacking(&[("nearby", 7), ("abroad", 21)]);
    assert_eq!(share(&mut table, &both, 0), Some(host(11)));
    let only = lacking(&[("abroad", 21)]);
    assert_eq!(share(&mut table, &only, 0), Some(host(21)));
}

// Symptom: while servers are slow or gone, one search after the other lacks what another host did not get.
// Events:  the answer for a part lacks much, or does not come.
// Cause:   the next part was handed over all the same. Who asks all servers itself weighs what is missing together.
#[test_case(Outcome::Incomplete; "poor")]
#[test_case(Outcome::Failed; "lost")]
fn share_after_a_poor_answer_all_servers_are_asked_from_here(ended: Outcome) {
    let mut table = Table::new(12);
    table.set_remote(remote("north", 1, &[(11, 50), (12, 50)]));
    let lacking = lacking(&[("north", 21)]);
    let first = share(&mut table, &lacking, 0).expect("there are hosts");
    table.finished(first, ended, ms(100));
    assert_eq!(share(&mut table, &lacking, 1_000), None);
    assert!(share(&mut table, &lacking, 2_200).is_some());
}

#[test]
fn share_with_hosts_elsewhere_whole_searches_stay() {
    let mut table = Table::new(12);
    table.set_remote(remote("north", 1, &[(11, 50)]));
    assert_eq!(table.choose(ms(0)), None);
    assert!(table.is_empty());
}

#[test]
fn told_remote_who_is_not_named_any_more_is_not_asked() {
    let mut table = Table::new(12);
    table.set_remote(remote("north", 1, &[(11, 50), (12, 50)]));
    table.set_remote(remote("north", 1, &[(12, 50)]));
    let lacking = lacking(&[("north", 21)]);
    let chosen = [0, 1].map(|now| share(&mut table, &lacking, now));
    assert_eq!(chosen, [Some(host(12)); 2]);
}

// Symptom: searches wait for a host that has lost power, one after the other.
// Events:  a search handed to it is lost; others come.
// Cause:   nothing was learned from the one that was lost.
#[test]
fn ended_lost_helper_is_left_for_a_while() {
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
    assert!((3..=6).contains(&tries), "{tries} searches were lost");
    let host = table.choose(ms(30_000)).expect("it is tried again");
    table.finished(host, Outcome::Answered, ms(30_000));
    assert!(table.choose(ms(30_001)).is_some(), "it is well again");
}

#[test]
fn ended_declined_helper_is_asked_again_soon() {
    let mut table = table(&[50]);
    let host = table.choose(ms(0)).expect("it is there");
    table.finished(host, Outcome::Declined, ms(0));
    assert_eq!(table.choose(ms(50)), None);
    assert_eq!(table.choose(ms(150)), Some(host));
}

#[test]
fn told_after_a_start_helper_is_asked_at_once() {
    let mut table = table(&[50]);
    let host = table.choose(ms(0)).expect("it is there");
    table.finished(host, Outcome::Failed, ms(0));
    table.set_strength(host, 50);
    assert_eq!(table.choose(ms(1)), Some(host));
}

/// Homes of data centres of these sizes, each with so many that fan out.
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

// Symptom: owners find more extra attempts than they allow beyond the ratio.
// Events:  any sizes of data centres, and any number of hosts that fan out for the others.
// Cause:   what one host reckons that the others take is not what they take.
#[test_case(&[3, 3, 2], 0; "8_hosts_alike")]
#[test_case(&[30, 31, 28], 2; "89_hosts")]
#[test_case(&[30, 31, 28], 0; "89_hosts_alike")]
#[test_case(&[16, 15, 15, 15], 1; "61_hosts")]
#[test_case(&[100, 150, 50], 5; "300_hosts_unevenly_placed")]
#[test_case(&[180, 181, 180, 180], 9; "many_hosts")]
fn slack_of_all_homes_is_what_owners_allow(near: &[usize], strong: usize) {
    let parts = fleet(near, strong).into_iter();
    let slack = parts.filter_map(|homes| Division::among_all_hosts(homes, 218.0).slack());
    let slack: f64 = slack.sum();
    assert!(slack <= 218.0 * 1.001, "{slack}");
    assert!(slack >= 218.0 * 0.9, "{slack}");
}

// Symptom: servers end connections that they have too many of, 203,276 of them in a calm minute.
// Events:  89 hosts each keep a connection ready at every server, which takes 76.
// Cause:   what is kept ready did not depend on how many hosts there are.
#[test_case(&[3, 3, 2], 0, 41, true; "8_hosts_alike")]
#[test_case(&[30, 31, 28], 2, 76, true; "89_hosts")]
#[test_case(&[30, 31, 28], 0, 76, true; "89_hosts_alike")]
#[test_case(&[100, 100, 100], 0, 64, false; "300_hosts_alike")]
fn connections_kept_ready_leave_room_for_a_restart(
    near: &[usize],
    strong: usize,
    limit: u32,
    all_nearby_keep_one: bool,
) {
    let fleet = fleet(near, strong);
    let kept = |homes: &Homes| Division::among_all_hosts(*homes, 218.0).idle_share(limit);
    // Those nearby one server.
    let nearby = fleet.iter().take(near[0]);
    let together: f64 = nearby.clone().map(kept).sum();
    assert!(together <= f64::from(limit) * 0.5, "{together}");
    let keepers = nearby.filter(|homes| homes.role != Role::Weak);
    assert_eq!(keepers.map(kept).all(|one| one >= 1.0), all_nearby_keep_one);
}
