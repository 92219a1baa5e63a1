//! Failures of the network between members.

mod network;

use monsoonring_decision::member::{Action, Event, Seed, State, Table};
use network::{
    Network, SECOND, STEP, all_see, change, feed, id, is_line, listed, logged, state, table,
};
use std::collections::BTreeSet;
use test_case::test_case;

#[test]
fn tick_lost_leave_is_corrected() {
    // Symptom: two daemons differ about a member for ever.
    // Events: a change was sent as often as it is ever sent and never reached one daemon.
    // Cause: messages are lost, and nobody repeats the change.
    let mut network = Network::joined(8);
    network.cut = Box::new(|from, to| from == 7 || to == 7);
    network.feed(0, Event::Leave { successor: None });
    network.run(SECOND);
    network.running[0] = false;
    for number in 1..7 {
        // Everything that was to be passed on is used up.
        for _ in 0..50 {
            network.tables[number].message(id(1));
        }
    }
    network.cut = Box::new(|_, _| false);
    network.run(SECOND * 60);
    assert_eq!(state(&network, 7, 0), Some(State::Left { successor: None }));
}

#[test]
fn tick_lost_news_of_a_newcomer_is_repaired() {
    // Symptom: one daemon never uses a new member that everybody else uses.
    // Events: the newcomer's news does not reach that daemon; the path between the two is broken.
    // Cause: nobody passes the news on any more, and who does not know has nothing to be corrected.
    let mut network = Network::joined(8);
    network.add(table(8, 1, network.now));
    network.cut = Box::new(|from, to| from == 7 || to == 7);
    let seed = Seed {
        id: id(1),
        leaving: false,
    };
    network.feed(8, Event::Listed(vec![seed]));
    network.run(SECOND * 3);
    for number in [0, 1, 2, 3, 4, 5, 6, 8] {
        // Everything that was to be passed on is used up.
        for _ in 0..50 {
            network.tables[number].message(id(1));
        }
    }
    assert_eq!(state(&network, 7, 8), None);
    network.cut = Box::new(|from, to| from.min(to) == 7 && from.max(to) == 8);
    network.run(SECOND * 60);
    assert_eq!(state(&network, 7, 8), Some(State::Alive));
}

#[test_case(8, 4; "halves")]
#[test_case(8, 1; "one_cut_off")]
#[test_case(30, 10; "third")]
fn tick_partition_serves_on_both_sides_and_rejoins(count: usize, cut_off: usize) {
    // Symptom: after a partition the sides never find each other again.
    // Events: the fleet is partitioned for longer than the suspicion, then heals.
    // Cause: each side has buried the other, and nobody probes the dead.
    let mut network = Network::joined(count);
    listed(&mut network);
    network.cut = Box::new(move |from, to| (from < cut_off) != (to < cut_off));
    network.run(SECOND * 60);
    assert_eq!(network.tables[0].serving(), cut_off);
    assert_eq!(network.tables[count - 1].serving(), count - cut_off);
    assert!(network.tables.iter().all(Table::is_current));
    assert!(network.tables[0].is_isolated());
    network.cut = Box::new(|_, _| false);
    network.run(SECOND * 120);
    let serving: Vec<usize> = network.tables.iter().map(Table::serving).collect();
    assert_eq!(serving, vec![count; count]);
    assert!(!network.tables[0].is_isolated());
}

#[test]
fn failed_one_broken_path_is_no_death() {
    // Symptom: a member is declared dead that everybody else reaches.
    // Events: messages from one member to one other are lost, the other way they are not.
    // Cause: the path is broken, not the member.
    let mut network = Network::joined(8);
    network.cut = Box::new(|from, to| (from, to) == (1, 2));
    network.run(SECOND * 120);
    assert!(all_see(&network, 2, State::Alive));
    let refuted = (0..8).any(|number| logged(&network, number, "refute"));
    assert!(
        !refuted,
        "helpers reach it, so nobody should have suspected it"
    );
}

#[test_case(60; "for_good")]
#[test_case(8; "for_a_while")]
fn failed_deaf_member_does_not_accuse_others(seconds: u32) {
    // Symptom: every member refutes a suspicion at the same time.
    // Events: one member's messages get out, but nothing reaches it; then it may hear again.
    // Cause: to that member everybody else looks dead.
    let mut network = Network::joined(16);
    network.cut = Box::new(|_, to| to == 3);
    network.run(SECOND * seconds);
    network.cut = Box::new(move |_, to| to == 3 && seconds == 60);
    network.run(SECOND * 30);
    let expected = if seconds == 60 {
        State::Dead
    } else {
        State::Alive
    };
    assert!(all_see(&network, 3, expected));
    let others = (0..16).filter(|number| *number != 3);
    let refuted = others
        .filter(|number| logged(&network, *number, "refute"))
        .count();
    // Those that it probed before it could notice that it is deaf.
    assert!(refuted <= 3, "{refuted} members had to refute");
}

#[test_case(1; "one_deaf_for_a_while")]
#[test_case(3; "a_rack")]
fn tick_rejoining_minority_accuses_nobody(cut_off: usize) {
    // Symptom: after the partition of one rack the whole fleet is suspected or dead at once.
    // Events: a few members are cut off, bury all the others, and come back.
    // Cause: they pass on what they concluded while they were cut off.
    let count = 30;
    let mut network = Network::joined(count);
    listed(&mut network);
    network.cut = Box::new(move |from, to| (from < cut_off) != (to < cut_off));
    network.run(SECOND * 60);
    assert_eq!(network.tables[0].serving(), cut_off);
    network.log.clear();
    network.cut = Box::new(|_, _| false);
    network.run(SECOND * 60);
    let others = || network.log.iter().filter(|(own, _)| *own >= cut_off);
    let died = |n: usize| {
        let death = Action::Changed(id(n), State::Dead);
        others().any(|(_, action)| *action == death)
    };
    assert!(!(cut_off..count).any(died), "a death is believed");
    let refuted = others().filter(|(_, action)| is_line(action, "refute"));
    let named: BTreeSet<usize> = refuted.map(|(own, _)| *own).collect();
    assert!(named.len() <= 9, "{} members had to refute", named.len());
    let serving: Vec<usize> = network.tables.iter().map(Table::serving).collect();
    assert_eq!(serving, vec![count; count]);
}

#[test]
fn tick_flapping_member_gets_longer_suspicion() {
    // Symptom: homes move to and fro.
    // Events: a member is suspected and refutes, again and again.
    // Cause: a process that stalls for a few seconds at a time dies and revives with each stall.
    let dies_after = |flaps: u32| {
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
        let suspect = |table: &Table| table.get(id(1)).map(|c| c.state) == Some(State::Suspect);
        while suspect(&table) && now - began < SECOND * 100 {
            now += STEP;
            table.handle(Event::Tick, now);
        }
        now - began
    };
    assert_eq!(dies_after(2), dies_after(0) * 3);
    assert_eq!(dies_after(9), dies_after(4), "the damping is bounded");
}
