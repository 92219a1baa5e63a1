//! Failures of members, and what is believed of them.

mod network;

use monsoonring_decision::Time;
use monsoonring_decision::member::{Action, Event, Seed, Settings, State};
use network::{Network, SECOND, STEP, all_see, bury, change, feed, id, state, table};
use test_case::test_case;

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
    while now < Settings::default().refresh_timeout {
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
