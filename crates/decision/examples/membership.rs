//! Measures the membership state machine alone: bytes, spread of a change, detection of a death.
//!
//! `cargo run --release -p monsoonring-decision --example membership -- [members…]`. It knows no
//! latency and no load, so the rounds are those of the protocol and the bytes those of the messages
//! without their attachments, envelopes and encryption.

#[path = "../tests/support/mod.rs"]
#[allow(dead_code)]
mod support;

use monsoonring_decision::member::{Action, Event, State};
use std::time::Duration;
use support::{Network, id};

const SIZES: [usize; 4] = [8, 64, 512, 3_800];
const LOSSES: [f64; 2] = [0.0, 0.02];
const QUIET: Duration = Duration::from_secs(30);
const LONGEST: Duration = Duration::from_secs(180);

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).flat_map(|n| n.parse()).collect();
    let sizes = if sizes.is_empty() { &SIZES[..] } else { &sizes };
    println!(
        "      n  loss  quiet B/s  worst B/s  spread s median/worst  death s median/worst  busy B/s  false deaths"
    );
    for &count in sizes {
        for loss in LOSSES {
            measure(count, loss);
        }
    }
}

fn measure(count: usize, loss: f64) {
    let mut network = Network::joined(count);
    network.lose(loss);
    network.run(QUIET);
    reset(&mut network);
    network.run(QUIET);
    let (quiet, worst) = rates(&network, QUIET);
    let spread = spread_of_leave(&mut network);
    let before = network.now;
    reset(&mut network);
    let death = spread_of_death(&mut network);
    let (busy, _) = rates(&network, network.now - before);
    let false_deaths = network
        .log
        .iter()
        .filter(|(_, action)| is_false_death(action))
        .count();
    println!(
        "{count:>7}  {:>3}%  {quiet:>9}  {worst:>9}  {:>10.2}/{:<10.2}  {:>9.2}/{:<10.2}  {busy:>8}  {false_deaths:>12}",
        loss * 100.0,
        spread.0,
        spread.1,
        death.0,
        death.1,
    );
}

/// Member 1 leaves; returns the median and longest time until the others know, in seconds.
fn spread_of_leave(network: &mut Network) -> (f64, f64) {
    network.feed(1, Event::Leave { successor: None });
    until_all_know(network, |state| matches!(state, State::Left { .. }), 1)
}

/// Member 0 stops without a word; returns the median and longest time until the others know.
fn spread_of_death(network: &mut Network) -> (f64, f64) {
    network.running[0] = false;
    until_all_know(network, |state| state == State::Dead, 0)
}

fn until_all_know(network: &mut Network, knows: fn(State) -> bool, of: usize) -> (f64, f64) {
    let began = network.now;
    let mut times = vec![None; network.tables.len()];
    times[0] = Some(Duration::ZERO);
    times[1] = Some(Duration::ZERO);
    while times.contains(&None) && network.now - began < LONGEST {
        network.step();
        for (table, time) in network.tables.iter().zip(&mut times) {
            let state = table.get(id(of)).map(|change| change.state);
            if time.is_none() && state.is_some_and(knows) {
                *time = Some(network.now - began);
            }
        }
    }
    let mut known: Vec<f64> = times[2..]
        .iter()
        .map(|t| t.unwrap_or(Duration::MAX).as_secs_f64())
        .collect();
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

fn is_false_death(action: &Action) -> bool {
    matches!(action, Action::Changed(member, State::Dead) if *member != id(0))
}
