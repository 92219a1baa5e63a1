//! Measures what a change of a server costs a host on the platform, by the number of shards.
//!
//! `cargo run --release -p monsoonring-decision --example placing`
#![allow(clippy::print_stdout, reason = "it is a report")]

use monsoonring_configuration::id::DataCentreId;
use monsoonring_decision::Time;
use monsoonring_decision::gateway::registry::{Entry, Event, Order, Registry, State};
use monsoonring_decision::gateway::table::{Limits, Table};
use monsoonring_decision::gateway::{Shards, shards};
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

const DATA_CENTRES: usize = 6;
const REPLICAS: usize = 5;
const ROUNDS: u32 = 200;

fn entry(number: usize) -> Entry {
    let [.., high, low] = number.to_be_bytes();
    Entry {
        instance: format!("i-{number}").into(),
        service: format!("service-{}", number / REPLICAS).into(),
        address: SocketAddr::from(([10, 0, high, low], 8080)),
        data_centre: format!("dc{}", number % DATA_CENTRES).into(),
        slots: 3,
        state: State::Ready,
        cold_for: Duration::ZERO,
        order: Order::default(),
        revision: 1,
    }
}

fn main() {
    println!("| shards | servers | microseconds a change |\n|---|---|---|");
    let own: DataCentreId = "dc0".into();
    for count in [10, 63, 160, 1_000] {
        let set: Shards = (0..count)
            .map(|shard| format!("service-{shard}").into())
            .collect();
        let mut registry = Registry::default();
        let servers = (0..count * REPLICAS).map(entry).collect();
        registry.handle(Event::Listed(servers), Time::ZERO);
        let limits = Limits { body_bytes: 1 };
        let table = Table::new(1, limits, Default::default(), Vec::new());
        let began = Instant::now();
        for _ in 0..ROUNDS {
            let usable = registry.usable();
            black_box(shards::route(&set, &table, &usable, 0.2));
            black_box(shards::expected(&set, &usable));
            black_box(shards::remote_servers(&set, &usable, &own));
            black_box(shards::remote_shards(&set, &usable, &own));
        }
        let each = began.elapsed() / ROUNDS;
        println!("| {count} | {} | {} |", count * REPLICAS, each.as_micros());
    }
}
