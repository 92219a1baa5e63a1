//! Counts what a home's decisions cost without input or output, in figures that do not depend on
//! the machine's load. It counts the allocations itself; valgrind counts the instructions:
//!
//! `cargo build --release -p monsoonring-decision --example instructions`, then
//! `valgrind --tool=callgrind --toggle-collect='*Bench::decide' target/release/examples/instructions`
//!
//! Divided by the sub-queries that it prints, the total is the instructions of each.

use monsoonring_configuration::document::{Class, Kind};
use monsoonring_decision::Time;
use monsoonring_decision::admission::Urgency;
use monsoonring_decision::home::Params;
use monsoonring_decision::home::event::{Request, Scope};
use monsoonring_decision::home::{Action, Event, Home};
use monsoonring_decision::reply::{Item, Load, Reply, Report};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const GROUPS: u16 = 160;
const REPLICAS: u16 = 3;
const HOMES: usize = 4;
const SLOTS: u32 = 3;
const ITEMS: u64 = 2;
const KEYS: u64 = 100;
const GAP: Duration = Duration::from_millis(8);
const WORK: f64 = 0.010;
const HOP: Duration = Duration::from_micros(500);
const DEADLINE: Duration = Duration::from_millis(1_000);
const WARM_UP: u32 = 100;
const DEFAULT_QUERIES: u32 = 200;

/// An event that is to come, in the order of time.
struct Coming {
    at: Time,
    number: u64,
    event: Event,
}

impl PartialEq for Coming {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Coming {}

impl PartialOrd for Coming {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Coming {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// A home, and backend servers that always answer.
struct Bench {
    home: Home,
    rng: ChaCha8Rng,
    coming: BinaryHeap<Coming>,
    number: u64,
    attempts: u64,
    decisions: u64,
    answers: u64,
    /// Whether the home knows its servers, so that what it does counts.
    warm: bool,
    /// Allocations inside of the home alone.
    allocated: usize,
}

fn route() -> serde_json::Value {
    let group = |group: u16| {
        let servers: Vec<_> = (0..REPLICAS)
            .map(|replica| SocketAddr::from(([127, 0, 0, 1], 1_000 + group * REPLICAS + replica)))
            .collect();
        let start = u64::from(group) * KEYS;
        serde_json::json!({"name": group.to_string(), "backend_servers": servers,
            "keys": {"start": start, "end": start + KEYS}})
    };
    serde_json::json!({"name": "cost", "kind": "search", "callers": [], "deadline_ms": 1_000,
        "capacity": {"slots": SLOTS, "connections": 120},
        "hedge": {"budget_percent": 5.0, "quantile": 0.95}, "retry": {"budget_percent": 10.0},
        "keys": {"start": 0, "end": u64::from(GROUPS) * KEYS},
        "groups": (0..GROUPS).map(group).collect::<Vec<_>>()})
}

impl Bench {
    fn new() -> Self {
        let route = serde_json::from_value(route()).expect("the route follows the schema");
        let (home, actions) = Home::new(Arc::new(route), HOMES, 1, Duration::ZERO);
        let mut bench = Self {
            home,
            rng: ChaCha8Rng::seed_from_u64(2),
            coming: BinaryHeap::new(),
            number: 0,
            attempts: 0,
            decisions: 0,
            answers: 0,
            warm: false,
            allocated: 0,
        };
        bench.perform(actions, Duration::ZERO);
        bench
    }

    fn run(&mut self, queries: std::ops::Range<u32>) {
        for query in queries {
            let at = GAP * query;
            while self.coming.peek().is_some_and(|coming| coming.at <= at) {
                let Some(coming) = self.coming.pop() else {
                    break;
                };
                self.feed(coming.event, coming.at);
            }
            self.feed(Event::Request(request(query, at)), at);
        }
    }

    fn feed(&mut self, event: Event, now: Time) {
        let region = Region::new(ALLOCATOR);
        let actions = match self.warm {
            true => self.decide(event, now),
            false => self.home.handle(event, now),
        };
        let change = region.change();
        self.allocated += change.allocations + change.reallocations;
        self.perform(actions, now);
    }

    /// Has a name of its own, for valgrind to count in.
    #[inline(never)]
    fn decide(&mut self, event: Event, now: Time) -> Vec<Action> {
        self.home.handle(event, now)
    }

    fn perform(&mut self, actions: Vec<Action>, now: Time) {
        for action in actions {
            match action {
                Action::Open(connection, _) => self.push(now + HOP, Event::Opened(connection)),
                Action::Send(send) => {
                    self.attempts += 1;
                    let work = -WORK * (1.0 - self.rng.random::<f64>()).ln();
                    let at = now + HOP + Duration::from_secs_f64(work);
                    let reply = self.reply(&send.ranges);
                    self.push(at, Event::Reply(send.attempt, reply));
                }
                Action::Wake(at) => self.push(at, Event::Tick),
                Action::Log(_) => self.decisions += 1,
                Action::Finish(..) => self.answers += 1,
                _ => {}
            }
        }
    }

    fn push(&mut self, at: Time, event: Event) {
        self.number += 1;
        let number = self.number;
        self.coming.push(Coming { at, number, event });
    }

    fn reply(&mut self, ranges: &[monsoonring_configuration::Range]) -> Reply {
        let start = ranges.first().map_or(0, |range| range.start);
        let item = |index| Item {
            key: start + index,
            value: "{\"place\":1}".into(),
        };
        let load = Load {
            busy: self.rng.random_range(0..=SLOTS),
            slots: SLOTS,
            queued: 0,
        };
        Reply {
            index_version: Some(7),
            ranges: ranges.to_vec(),
            items: (0..ITEMS).map(item).collect(),
            report: Report {
                load: Some(load),
                index_versions: vec![7],
                start: Some(1),
                draining: false,
            },
        }
    }
}

fn request(number: u32, now: Time) -> Request {
    Request {
        id: u128::from(number) + 1,
        caller: "dispatcher".into(),
        class: Class::Normal,
        deadline: now + DEADLINE,
        fingerprint: u64::from(number),
        body: "{\"near\":[1,2]}".into(),
        execute_key: None,
        params: ranked().then(|| params(number)),
        scope: Scope::default(),
    }
}

/// Tells whether requests have ranks: `--ranked` alternates two of them.
fn ranked() -> bool {
    std::env::args().any(|argument| argument == "--ranked")
}

fn params(number: u32) -> Params {
    let rank = number % 2;
    Params {
        kind: Kind::Search,
        max_runs: u32::MAX,
        soft_deadline: None,
        min_coverage: 0.0,
        work: u64::from(rank),
        urgency: Some(Urgency {
            rank,
            objective: DEADLINE / (4 - 2 * rank),
        }),
    }
}

fn main() {
    let queries = std::env::args()
        .skip_while(|argument| argument != "--queries")
        .nth(1)
        .map_or(DEFAULT_QUERIES, |count| count.parse().expect("a number"));
    let mut bench = Bench::new();
    bench.run(0..WARM_UP);
    (bench.attempts, bench.decisions, bench.answers) = (0, 0, 0);
    (bench.allocated, bench.warm) = (0, true);
    bench.run(WARM_UP..WARM_UP + queries);
    println!(
        "{} answers, {} sub-queries, {} decisions",
        bench.answers, bench.attempts, bench.decisions
    );
    println!(
        "{:.2} allocations each sub-query",
        bench.allocated as f64 / bench.attempts as f64
    );
}
