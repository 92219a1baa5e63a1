//! Measures the membership state machine alone: bytes a second, and the time until all know that a
//! member left, that one died, and that a data centre (one of 21) died.
//!
//! `cargo run --release -p monsoonring-decision --example membership -- [members…]`. It knows no
//! latency and no load, so the rounds are those of the protocol and the bytes those of the messages
//! without their attachments, envelopes and encryption.

#[path = "../tests/network/mod.rs"]
mod network;

use monsoonring_decision::member::{Action, Event, State};
use network::{Network, id};
use std::ops::Range;
use std::time::Duration;

const SIZES: [usize; 4] = [8, 64, 512, 3_800];
const LOSSES: [f64; 2] = [0.0, 0.02];
/// Data centres at design size; one of them is stopped.
const DATA_CENTRES: usize = 21;
const QUIET: Duration = Duration::from_secs(30);
const LONGEST: Duration = Duration::from_secs(180);

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).flat_map(|n| n.parse()).collect();
    let sizes = if sizes.is_empty() { &SIZES[..] } else { &sizes };
    println!("      n  loss  quiet B/s     leave s      death s    data centre s  its B/s   false");
    println!("               mean/worst  median/worst median/worst median/worst mean/worst deaths");
    for &count in sizes {
        for loss in LOSSES {
            measure(count, loss);
        }
    }
}

fn measure(count: usize, loss: f64) {
    let mut network = Network::joined(count);
    network.set_loss(loss);
    network.run(QUIET);
    reset(&mut network);
    network.run(QUIET);
    let quiet = rates(&network, QUIET);
    network.feed(1, Event::Leave { successor: None });
    let left = until_all_know(&mut network, |s| matches!(s, State::Left { .. }), &[1]);
    let death = stop(&mut network, 0..1);
    let (before, dead) = (network.now, (count / DATA_CENTRES).max(1));
    reset(&mut network);
    let many = stop(&mut network, 2..2 + dead);
    let busy = rates(&network, network.now - before);
    let false_deaths = network
        .log
        .iter()
        .filter(|(own, action)| network.running[*own] && is_false_death(action, 2 + dead))
        .count();
    println!(
        "{count:>7} {:>4}% {:>6}/{:<6} {:>6.2}/{:<6.2} {:>6.2}/{:<6.2} {:>5.2}/{:<6.2} {:>6}/{:<6} {false_deaths:>5}",
        loss * 100.0,
        quiet.0,
        quiet.1,
        left.0,
        left.1,
        death.0,
        death.1,
        many.0,
        many.1,
        busy.0,
        busy.1,
    );
}

/// Stops members without a word; returns the median and longest time until the others know of all.
fn stop(network: &mut Network, dead: Range<usize>) -> (f64, f64) {
    dead.clone()
        .for_each(|number| network.running[number] = false);
    let dead: Vec<usize> = dead.collect();
    until_all_know(network, |state| state == State::Dead, &dead)
}

/// Returns the median and longest time until every running member knows of all that are named.
fn until_all_know(network: &mut Network, knows: fn(State) -> bool, of: &[usize]) -> (f64, f64) {
    let began = network.now;
    let mut times = vec![None; network.tables.len()];
    let observers: Vec<usize> = (2..times.len())
        .filter(|n| network.running[*n] && !of.contains(n))
        .collect();
    while observers.iter().any(|n| times[*n].is_none()) && network.now - began < LONGEST {
        network.step();
        for &number in &observers {
            let table = &network.tables[number];
            let state = |of: &usize| table.get(id(*of)).map(|change| change.state);
            if times[number].is_none() && of.iter().all(|of| state(of).is_some_and(knows)) {
                times[number] = Some(network.now - began);
            }
        }
    }
    let time = |n: &usize| times[*n].unwrap_or(Duration::MAX).as_secs_f64();
    let mut known: Vec<f64> = observers.iter().map(time).collect();
    known.sort_by(f64::total_cmp);
    (known[known.len() / 2], known[known.len() - 1])
}

fn reset(network: &mut Network) {
    network.bytes.iter_mut().for_each(|bytes| *bytes = 0);
}

/// Bytes a second, sent and received: mean and highest over the members.
fn rates(network: &Network, time: Duration) -> (u64, u64) {
    let seconds = time.as_secs_f64().max(1.0);
    let total: usize = network.bytes.iter().sum();
    let mean = total as f64 / network.bytes.len() as f64 / seconds;
    let most = network.bytes.iter().max().copied().unwrap_or(0) as f64 / seconds;
    (mean as u64, most as u64)
}

/// A death of a member that runs; those below `dead` were stopped.
fn is_false_death(action: &Action, dead: usize) -> bool {
    matches!(action, Action::Changed(member, State::Dead)
        if (0..dead).all(|number| *member != id(number)))
}
