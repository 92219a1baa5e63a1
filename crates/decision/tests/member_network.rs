//! Tests the member table against lost messages, broken paths and partitions.

mod network;

use monsoonring_decision::member::{Action, Event, Seed, State, Table};
use network::{
    Network, SECOND, TICK, all_see, change, feed, has_logged, id, is_log, list_seeds, state, table,
};
use std::collections::BTreeSet;
use test_case::test_case;

#[test]
fn tick_lost_leave_is_repaired() {
    // Guards against tables that differ for good after a change was sent the maximum number of times and still lost.
    let mut network = Network::joined(8);
    network.is_dropped = Box::new(|from, to| from == 7 || to == 7);
    network.feed(0, Event::Leave { successor: None });
    network.run(SECOND);
    network.running[0] = false;
    for number in 1..7 {
        // Exhausts the number of times that each change is sent.
        for _ in 0..50 {
            network.tables[number].message(id(1));
        }
    }
    network.is_dropped = Box::new(|_, _| false);
    network.run(SECOND * 60);
    assert_eq!(state(&network, 7, 0), Some(State::Left { successor: None }));
}

#[test]
fn tick_lost_announcement_of_a_newcomer_is_repaired() {
    // Guards against a daemon never learning of a newcomer: it has no entry that a probe could correct.
    let mut network = Network::joined(8);
    network.add(table(8, 1, network.now));
    network.is_dropped = Box::new(|from, to| from == 7 || to == 7);
    let seed = Seed {
        id: id(1),
        leaving: false,
    };
    network.feed(8, Event::Listed(vec![seed]));
    network.run(SECOND * 3);
    for number in [0, 1, 2, 3, 4, 5, 6, 8] {
        // Exhausts the number of times that each change is sent.
        for _ in 0..50 {
            network.tables[number].message(id(1));
        }
    }
    assert_eq!(state(&network, 7, 8), None);
    network.is_dropped = Box::new(|from, to| from.min(to) == 7 && from.max(to) == 8);
    network.run(SECOND * 60);
    assert_eq!(state(&network, 7, 8), Some(State::Alive));
}

#[test_case(8, 4; "halves")]
#[test_case(8, 1; "one_isolated")]
#[test_case(30, 10; "third")]
fn tick_partition_keeps_both_sides_current_and_heals(count: usize, isolated: usize) {
    // Guards against the sides of a partition never finding each other again, as each considers the other dead.
    let mut network = Network::joined(count);
    list_seeds(&mut network);
    network.is_dropped = Box::new(move |from, to| (from < isolated) != (to < isolated));
    network.run(SECOND * 60);
    assert_eq!(network.tables[0].serving(), isolated);
    assert_eq!(network.tables[count - 1].serving(), count - isolated);
    assert!(network.tables.iter().all(Table::is_current));
    assert!(network.tables[0].is_isolated());
    network.is_dropped = Box::new(|_, _| false);
    network.run(SECOND * 120);
    let serving: Vec<usize> = network.tables.iter().map(Table::serving).collect();
    assert_eq!(serving, vec![count; count]);
    assert!(!network.tables[0].is_isolated());
}

#[test]
fn failed_probe_on_one_path_is_not_a_death() {
    // Guards against declaring a member dead because one path to it is broken in one direction.
    let mut network = Network::joined(8);
    network.is_dropped = Box::new(|from, to| (from, to) == (1, 2));
    network.run(SECOND * 120);
    assert!(all_see(&network, 2, State::Alive));
    let refuted = (0..8).any(|number| has_logged(&network, number, "refute"));
    assert!(
        !refuted,
        "helpers reach the member, so no member may suspect it"
    );
}

#[test_case(60; "for_good")]
#[test_case(8; "for_a_while")]
fn failed_probes_of_a_deaf_member_do_not_suspect_others(seconds: u32) {
    // Guards against a member that receives nothing making all others refute suspicions.
    let mut network = Network::joined(16);
    network.is_dropped = Box::new(|_, to| to == 3);
    network.run(SECOND * seconds);
    network.is_dropped = Box::new(move |_, to| to == 3 && seconds == 60);
    network.run(SECOND * 30);
    let expected = if seconds == 60 {
        State::Dead
    } else {
        State::Alive
    };
    assert!(all_see(&network, 3, expected));
    let others = (0..16).filter(|number| *number != 3);
    let refuted = others
        .filter(|number| has_logged(&network, *number, "refute"))
        .count();
    // Members that it probes before it detects that it receives nothing.
    assert!(refuted <= 3, "{refuted} members had to refute");
}

#[test_case(1; "one_member")]
#[test_case(3; "a_rack")]
fn tick_rejoining_minority_does_not_spread_suspicion(isolated: usize) {
    // Guards against an isolated minority spreading its suspicions and deaths when it rejoins.
    let count = 30;
    let mut network = Network::joined(count);
    list_seeds(&mut network);
    network.is_dropped = Box::new(move |from, to| (from < isolated) != (to < isolated));
    network.run(SECOND * 60);
    assert_eq!(network.tables[0].serving(), isolated);
    network.log.clear();
    network.is_dropped = Box::new(|_, _| false);
    network.run(SECOND * 60);
    let others = || network.log.iter().filter(|(own, _)| *own >= isolated);
    let died = |n: usize| {
        let death = Action::Changed(id(n), State::Dead);
        others().any(|(_, action)| *action == death)
    };
    assert!(!(isolated..count).any(died), "a member is declared dead");
    let refuted = others().filter(|(_, action)| is_log(action, "refute"));
    let refuting: BTreeSet<usize> = refuted.map(|(own, _)| *own).collect();
    assert!(
        refuting.len() <= 9,
        "{} members had to refute",
        refuting.len()
    );
    let serving: Vec<usize> = network.tables.iter().map(Table::serving).collect();
    assert_eq!(serving, vec![count; count]);
}

#[test]
fn tick_flapping_member_is_suspected_longer() {
    // Guards against homes moving back and forth because a process stalls repeatedly.
    let suspicion_time = |flaps: u32| {
        let mut table = Network::joined(3).tables.swap_remove(0);
        let mut now = SECOND * 50;
        table.handle(Event::Tick, now);
        for refutation in 0..flaps {
            feed(&mut table, &[change(1, 1, refutation, State::Suspect)], now);
            feed(
                &mut table,
                &[change(1, 1, refutation + 1, State::Alive)],
                now,
            );
        }
        feed(&mut table, &[change(1, 1, flaps, State::Suspect)], now);
        let began = now;
        let is_suspect = |table: &Table| table.get(id(1)).map(|c| c.state) == Some(State::Suspect);
        while is_suspect(&table) && now - began < SECOND * 100 {
            now += TICK;
            table.handle(Event::Tick, now);
        }
        now - began
    };
    assert_eq!(suspicion_time(2), suspicion_time(0) * 3);
    assert_eq!(
        suspicion_time(9),
        suspicion_time(4),
        "the damping is bounded"
    );
}
