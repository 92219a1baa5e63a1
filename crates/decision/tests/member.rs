//! Failures of members and of the network between them.

mod network;

use monsoonring_decision::Time;
use monsoonring_decision::member::{
    Action, Change, Event, Incarnation, Page, Seed, Settings, Span, State, Table,
};
use network::{Network, STEP, id, table};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);

fn state(network: &Network, observer: usize, of: usize) -> Option<State> {
    network.tables[observer].get(id(of)).map(|c| c.state)
}

fn all_see(network: &Network, of: usize, expected: State) -> bool {
    let mut observers = (0..network.tables.len()).filter(|n| *n != of && network.running[*n]);
    observers.all(|observer| state(network, observer, of) == Some(expected))
}

fn change(of: usize, start: u64, refutation: u32, state: State) -> Change {
    Change {
        id: id(of),
        incarnation: Incarnation { start, refutation },
        state,
        data_centre: "dc0".into(),
    }
}

/// Feeds changes to a table as a peer's page.
fn feed(table: &mut Table, changes: &[Change], now: Time) -> Vec<Action> {
    let (changes, rest) = (changes.to_vec(), None);
    table.handle(Event::Pulled(id(9_999), Page { changes, rest }), now)
}

/// Tells a table that a later process of the member, of which it had not heard, is dead: this is
/// believed at once, since there is nobody to refute it.
fn bury(table: &mut Table, of: usize, now: Time) -> Change {
    let dead = change(of, 2, 0, State::Dead);
    feed(table, std::slice::from_ref(&dead), now);
    dead
}

fn logged(network: &Network, own: usize, what: &str) -> bool {
    let of_own = network.log.iter().filter(|(number, _)| *number == own);
    of_own.into_iter().any(|(_, action)| is_line(action, what))
}

fn is_line(action: &Action, what: &str) -> bool {
    matches!(action, Action::Log(line) if line.what == what)
}

fn listed(network: &mut Network) {
    let seeds: Vec<Seed> = (0..network.tables.len())
        .map(|n| Seed {
            id: id(n),
            leaving: false,
        })
        .collect();
    for number in 0..network.tables.len() {
        network.feed(number, Event::Listed(seeds.clone()));
    }
}

#[test_case(2)]
#[test_case(8)]
#[test_case(64)]
fn tick_stopped_process_is_dead_everywhere(count: usize) {
    // Symptom: queries are passed on to a home that is gone.
    // Events: a process dies without a word.
    // Cause: only missing answers tell of it, and only to those who happen to probe it.
    let mut network = Network::joined(count);
    network.running[0] = false;
    network.run(SECOND * 20);
    assert!(all_see(&network, 0, State::Dead));
    assert_eq!(network.tables[1].serving(), count - 1);
}

#[test]
fn heard_false_suspicion_is_refuted() {
    // Symptom: a healthy daemon loses its routes.
    // Events: one member suspects another; the suspicion spreads; the suspect hears of it.
    // Cause: probes were lost, the process is well.
    let mut network = Network::joined(8);
    let suspicion = change(0, 1, 0, State::Suspect);
    feed(&mut network.tables[1], &[suspicion], network.now);
    network.run(SECOND * 10);
    assert!(all_see(&network, 0, State::Alive));
    let incarnation = network.tables[1].get(id(0)).map(|c| c.incarnation);
    assert_eq!(incarnation.map(|i| i.refutation), Some(1));
}

#[test]
fn declare_replacement_outranks_old_refutations() {
    // Symptom: a replaced host is never used.
    // Events: a process refutes 9 times and dies; a new one starts on its address.
    // Cause: counted together, the old refutations would outrank the new process.
    let mut table = table(1, 1, Time::ZERO);
    feed(&mut table, &[change(0, 5, 9, State::Dead)], Time::ZERO);
    feed(&mut table, &[change(0, 6, 0, State::Alive)], Time::ZERO);
    assert_eq!(table.get(id(0)).map(|c| c.state), Some(State::Alive));
    feed(&mut table, &[change(0, 5, 99, State::Dead)], Time::ZERO);
    assert_eq!(table.get(id(0)).map(|c| c.state), Some(State::Alive));
}

#[test]
fn declare_newer_start_supersedes_own_process() {
    // Symptom: two processes answer for one address.
    // Events: a host is replaced under the same address while the old process is paused.
    // Cause: the old process wakes up and believes that it still holds the address.
    let mut network = Network::joined(3);
    feed(
        &mut network.tables[0],
        &[change(0, 2, 0, State::Alive)],
        network.now,
    );
    network.run(SECOND * 30);
    assert!(!network.tables[0].is_current());
    let refutation = network.tables[0].get(id(0)).map(|c| c.incarnation.start);
    assert_eq!(
        refutation,
        Some(1),
        "the old process must not take the new start number"
    );
}

#[test]
fn tick_paused_process_is_not_current_until_refreshed() {
    // Symptom: a daemon takes queries on facts that are minutes old.
    // Events: a process is paused; meanwhile a member dies; the process wakes up.
    // Cause: nothing in the process's state tells it that time has passed.
    let mut network = Network::joined(8);
    network.running[0] = false;
    network.run(SECOND * 20);
    network.running[1] = false;
    network.run(SECOND * 20);
    network.running[0] = true;
    let actions = network.tables[0].handle(Event::Tick, network.now);
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::Paused(gap) if *gap > SECOND * 30))
    );
    assert!(!network.tables[0].is_current());
    network.run(SECOND * 5);
    assert!(network.tables[0].is_current());
    assert_eq!(state(&network, 0, 1), Some(State::Dead));
    assert!(
        all_see(&network, 0, State::Alive),
        "its own death must be refuted"
    );
}

#[test]
fn tick_paused_process_buries_nobody() {
    // Symptom: after a pause a daemon declares healthy members dead.
    // Events: a member is suspected; the process is paused for longer than the suspicion.
    // Cause: the refutation waits unread while the suspicion's time is counted as over.
    let mut table = Network::joined(3).tables.swap_remove(0);
    let mut now = SECOND * 50;
    table.handle(Event::Tick, now);
    feed(&mut table, &[change(1, 1, 0, State::Suspect)], now);
    now += SECOND * 60;
    table.handle(Event::Tick, now);
    assert_eq!(table.get(id(1)).map(|c| c.state), Some(State::Suspect));
}

#[test_case(State::Alive, 0)]
#[test_case(State::Suspect, 0)]
fn declare_late_gossip_does_not_revive_dead(late: State, refutation: u32) {
    // Symptom: a dead member is served to again, dies again, and so on.
    // Events: a member dies; a daemon that was cut off passes on what it knew before.
    // Cause: a dead member that is simply forgotten looks like a new one.
    let mut network = Network::joined(3);
    network.running[0] = false;
    network.run(SECOND * 3600);
    let now = network.now;
    feed(
        &mut network.tables[1],
        &[change(0, 1, refutation, late)],
        now,
    );
    assert_eq!(state(&network, 1, 0), Some(State::Dead));
}

#[test]
fn tick_tombstone_is_forgotten_after_its_life() {
    let mut table = Network::joined(3).tables.swap_remove(0);
    let mut now = SECOND * 50;
    bury(&mut table, 1, now);
    let end = now + Settings::default().tombstone_life;
    while now <= end + SECOND {
        now += SECOND * 2;
        table.handle(Event::Tick, now);
    }
    assert_eq!(table.get(id(1)), None);
}

#[test]
fn probed_sender_learns_what_it_has_wrong() {
    // Symptom: a daemon goes on using a dead member although its peers know better.
    // Events: the news of the death was passed on and is passed on no more; a daemon that missed
    // it probes one that knows.
    // Cause: changes are sent a bounded number of times.
    let mut network = Network::joined(4);
    let dead = bury(&mut network.tables[0], 3, network.now);
    let mut message = network.tables[1].message(id(0));
    message.changes = vec![change(3, 1, 0, State::Alive)];
    let actions = network.tables[0].handle(Event::Probed(message), network.now);
    let corrected = |a: &Action| matches!(a, Action::Reply(m) if m.changes.first() == Some(&dead));
    assert!(actions.iter().any(corrected));
}

#[test]
fn tick_lost_news_is_repaired() {
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

#[test]
fn failed_deaf_member_does_not_accuse_others() {
    // Symptom: every member refutes a suspicion at the same time.
    // Events: one member's messages get out, but nothing reaches it.
    // Cause: to that member everybody else looks dead.
    let mut network = Network::joined(16);
    network.cut = Box::new(|_, to| to == 3);
    network.run(SECOND * 60);
    assert!(all_see(&network, 3, State::Dead));
    let refuted = (0..16)
        .filter(|number| logged(&network, *number, "refute"))
        .count();
    // Those that it probed before it could notice that it is deaf.
    assert!(refuted <= 3, "{refuted} members had to refute");
}

#[test]
fn declare_told_death_is_a_suspicion_first() {
    // Symptom: a member that answers every probe is dead everywhere for seconds.
    // Events: one member misses a refutation, buries the suspect and tells the others.
    // Cause: they believe the death at once, so that the refutation comes too late.
    let mut network = Network::joined(8);
    feed(
        &mut network.tables[1],
        &[change(0, 1, 0, State::Dead)],
        network.now,
    );
    network.run(SECOND * 20);
    let died = |action: &Action| matches!(action, Action::Changed(_, State::Dead));
    assert!(!network.log.iter().any(|(_, action)| died(action)));
    assert!(all_see(&network, 0, State::Alive));
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
        while table.get(id(1)).map(|c| c.state) == Some(State::Suspect) {
            now += STEP;
            table.handle(Event::Tick, now);
        }
        now - began
    };
    assert_eq!(dies_after(2), dies_after(0) * 3);
    assert_eq!(dies_after(9), dies_after(4), "the damping is bounded");
}

#[test_case(State::Alive; "alive")]
#[test_case(State::Suspect; "suspect")]
#[test_case(State::Dead; "dead")]
fn declare_left_member_stays_left(later: State) {
    // Symptom: a member that stopped gracefully is treated as crashed, its successor is not asked.
    // Events: it leaves and stops answering; others suspect it, under whatever refutation.
    // Cause: a death looks newer than the leave.
    let mut table = table(1, 1, Time::ZERO);
    let successor = Some(id(5));
    let left = change(0, 1, 0, State::Left { successor });
    feed(
        &mut table,
        &[left.clone(), change(0, 1, 7, later)],
        Time::ZERO,
    );
    assert_eq!(table.get(id(0)), Some(&left));
}

#[test]
fn listed_leaving_host_is_told_and_not_placed_on() {
    let mut network = Network::joined(3);
    let seeds = [0, 1, 2].map(|n| Seed {
        id: id(n),
        leaving: n == 0,
    });
    let actions = network.tables[0].handle(Event::Listed(seeds.to_vec()), network.now);
    assert!(actions.contains(&Action::Leaving));
    network.feed(1, Event::Listed(seeds.to_vec()));
    assert!(network.tables[1].members().iter().all(|m| m.id != id(0)));
    assert_eq!(
        state(&network, 1, 0),
        Some(State::Alive),
        "it still finishes its work"
    );
}

#[test]
fn tick_start_without_peers_goes_on_alone() {
    let mut table = table(0, 1, Time::ZERO);
    let mut now = Time::ZERO;
    table.handle(Event::Tick, now);
    assert!(!table.is_current());
    while now < Settings::default().patience {
        now += STEP;
        table.handle(Event::Tick, now);
    }
    assert!(table.is_current());
}

#[test]
fn listed_newcomer_finds_all_from_one_seed() {
    let mut network = Network::joined(8);
    network.tables[0] = table(0, 2, network.now);
    network.feed(
        0,
        Event::Listed(vec![Seed {
            id: id(5),
            leaving: false,
        }]),
    );
    network.run(SECOND * 5);
    assert!(network.tables[0].is_current());
    assert_eq!(network.tables[0].serving(), 8);
    assert!(all_see(&network, 0, State::Alive));
}

#[test]
fn message_size_is_bounded_and_covers_the_encoding() {
    let mut table = table(0, 1, Time::ZERO);
    let left = State::Left {
        successor: Some(id(7)),
    };
    let many: Vec<Change> = (1..500).map(|n| change(n, 1, 0, left)).collect();
    table.handle(Event::Tick, Time::ZERO);
    feed(&mut table, &many, Time::ZERO);
    for _ in 0..20 {
        let message = table.message(id(3));
        let carried: usize = message.changes.iter().map(Change::size).sum();
        assert!(carried <= Settings::default().message_bytes);
        // The attachment is empty: one tag and one length.
        let encoded = bincode::serialize(&message).expect("a message encodes");
        assert!(
            encoded.len() <= message.size() + 1 + 8,
            "{} bytes",
            encoded.len()
        );
    }
    let page = table.page(Span { first: 0, last: 63 });
    let bytes: usize = page.changes.iter().map(Change::size).sum();
    assert!(bytes <= Settings::default().page_bytes && page.rest.is_some());
}

fn any_state() -> impl Strategy<Value = State> {
    prop_oneof![
        Just(State::Alive),
        Just(State::Suspect),
        Just(State::Dead),
        Just(State::Left { successor: None }),
        Just(State::Left {
            successor: Some(id(7))
        }),
    ]
}

fn any_change() -> impl Strategy<Value = Change> {
    (1..4usize, 0..3u64, 0..3u32, any_state()).prop_map(|(of, s, r, state)| change(of, s, r, state))
}

proptest! {
    #[test]
    fn supersedes_is_a_total_order(a in any_change(), b in any_change()) {
        let b = Change { id: a.id, ..b };
        prop_assert_eq!(a.supersedes(&b) || b.supersedes(&a), a != b);
        prop_assert!(!(a.supersedes(&b) && b.supersedes(&a)));
    }

    #[test]
    fn declare_any_order_ends_the_same(
        changes in prop::collection::vec(any_change(), 1..20),
        again in prop::collection::vec(0..20usize, 0..20),
        keys in prop::collection::vec(any::<u32>(), 40),
    ) {
        let mut shuffled: Vec<Change> = changes.clone();
        shuffled.extend(again.iter().filter_map(|n| changes.get(*n)).cloned());
        let mut order: Vec<usize> = (0..shuffled.len()).collect();
        order.sort_by_key(|n| keys[*n]);
        let shuffled: Vec<Change> = order.iter().map(|n| shuffled[*n].clone()).collect();
        let (mut one, mut other) = (table(0, 1, Time::ZERO), table(0, 1, Time::ZERO));
        feed(&mut one, &changes, Time::ZERO);
        feed(&mut other, &shuffled, Time::ZERO);
        for of in 1..4 {
            prop_assert_eq!(one.get(id(of)), other.get(id(of)));
        }
        prop_assert_eq!(one.serving(), other.serving());
        for bucket in 0..64 {
            let span = Span { first: bucket, last: bucket };
            prop_assert_eq!(one.page(span), other.page(span));
        }
    }

    #[test]
    fn tick_lossy_network_converges(loss in 0.0..0.5f64, count in 2..12usize) {
        let mut network = Network::joined(count);
        listed(&mut network);
        network.lose(loss);
        network.run(SECOND * 60);
        network.cut = Box::new(|_, _| false);
        network.run(SECOND * 120);
        let serving: Vec<usize> = network.tables.iter().map(Table::serving).collect();
        prop_assert_eq!(serving, vec![count; count]);
    }
}
