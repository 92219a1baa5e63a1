//! Tests the member table against failures, restarts and pauses of members.

mod network;

use monsoonring_decision::Time;
use monsoonring_decision::member::{Action, Event, Seed, Settings, State};
use network::{Network, SECOND, TICK, all_see, change, declare_dead, feed, id, state, table};
use test_case::test_case;

#[test_case(2)]
#[test_case(8)]
#[test_case(64)]
fn tick_stopped_process_is_declared_dead_everywhere(count: usize) {
    // Guards against forwarding queries to a home that is gone.
    let mut network = Network::joined(count);
    network.running[0] = false;
    network.run(SECOND * 20);
    assert!(all_see(&network, 0, State::Dead));
    assert_eq!(network.tables[1].serving(), count - 1);
}

#[test]
fn handle_false_suspicion_is_refuted() {
    // Guards against a healthy daemon losing its routes because probes were lost.
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
    // Guards against ignoring a replacement because the old process had a higher refutation count.
    let mut table = table(1, 1, Time::ZERO);
    feed(&mut table, &[change(0, 5, 9, State::Dead)], Time::ZERO);
    feed(&mut table, &[change(0, 6, 0, State::Alive)], Time::ZERO);
    assert_eq!(table.get(id(0)).map(|c| c.state), Some(State::Alive));
    feed(&mut table, &[change(0, 5, 99, State::Dead)], Time::ZERO);
    assert_eq!(table.get(id(0)).map(|c| c.state), Some(State::Alive));
}

#[test]
fn declare_newer_start_supersedes_own_process() {
    // Guards against a replaced process that wakes up and still claims its address.
    let mut network = Network::joined(3);
    feed(
        &mut network.tables[0],
        &[change(0, 2, 0, State::Alive)],
        network.now,
    );
    network.run(SECOND * 30);
    assert!(!network.tables[0].is_current());
    let start = network.tables[0].get(id(0)).map(|c| c.incarnation.start);
    assert_eq!(
        start,
        Some(1),
        "the old process must not adopt the new start number"
    );
}

#[test]
fn tick_paused_process_is_not_current_until_refreshed() {
    // Guards against a process that serves from outdated membership after a long pause.
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
        "the woken process must refute its death"
    );
}

#[test]
fn tick_paused_process_declares_nobody_dead() {
    // Guards against a process that declares healthy members dead after a pause: their refutations are still unread.
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
    // Guards against reviving a dead member by outdated gossip.
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
fn tick_removes_expired_tombstone() {
    let mut table = Network::joined(3).tables.swap_remove(0);
    let mut now = SECOND * 50;
    declare_dead(&mut table, 1, now);
    let end = now + Settings::default().tombstone_life;
    while now <= end + SECOND {
        now += SECOND * 2;
        table.handle(Event::Tick, now);
    }
    assert_eq!(table.get(id(1)), None);
}

#[test]
fn probed_reply_corrects_the_sender() {
    // Guards against a daemon that missed a change keeping a dead member, as changes are sent a limited number of times.
    let mut network = Network::joined(4);
    let dead = declare_dead(&mut network.tables[0], 3, network.now);
    let mut message = network.tables[1].message(id(0));
    message.changes = vec![change(3, 1, 0, State::Alive)];
    let actions = network.tables[0].handle(Event::Probed(message), network.now);
    let has_correction =
        |a: &Action| matches!(a, Action::Reply(m) if m.changes.first() == Some(&dead));
    assert!(actions.iter().any(has_correction));
}

#[test]
fn declare_reported_death_is_suspicion_first() {
    // Guards against accepting a reported death that the member can still refute.
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

#[test_case(State::Alive; "alive")]
#[test_case(State::Suspect; "suspect")]
#[test_case(State::Dead; "dead")]
fn declare_after_leave_is_ignored(later: State) {
    // Guards against treating a member that left as crashed, which would skip its successor.
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
fn listed_leaving_host_is_notified_and_excluded_from_placement() {
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
        "the member still runs"
    );
}

#[test]
fn tick_without_peers_becomes_current_after_the_timeout() {
    let mut table = table(0, 1, Time::ZERO);
    let mut now = Time::ZERO;
    table.handle(Event::Tick, now);
    assert!(!table.is_current());
    while now < Settings::default().refresh_timeout {
        now += TICK;
        table.handle(Event::Tick, now);
    }
    assert!(table.is_current());
}

#[test]
fn listed_newcomer_finds_all_members_from_one_seed() {
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
