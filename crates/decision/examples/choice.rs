//! Measures the choice between replicas alone: queries to every group, exponential work times,
//! homes that know their own attempts and what servers report on their replies.
//!
//! `cargo run --release -p monsoonring-decision --example choice -- HOMES`

use monsoonring_decision::backend::Fleet;
use monsoonring_decision::reply::{Load, Report};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::{net::SocketAddr, time::Duration};

const GROUPS: usize = 10;
const REPLICAS: usize = 3;
const SLOTS: u32 = 3;
const WORK: f64 = 0.010;
const HOP: f64 = 0.000_5;
const QUERIES: usize = 30_000;
const WARM_UP: usize = 3_000;
const SEEDS: std::ops::Range<u64> = 0..3;

/// What a home goes by, and whether the reports that it gets are lies.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Random,
    Own,
    /// Own attempts and reports, by the trust that a server has earned: the code of the product.
    Trust(bool),
    /// Own attempts and reports, both in full.
    Belief(bool),
}

/// Number of the attempt, its home and its server; the query follows from the number.
type Attempt = (usize, usize, usize);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Query,
    Arrive(Attempt),
    Done(Attempt),
    Reply(Attempt, u32),
}

struct Bench {
    policy: Policy,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    fleets: Vec<Fleet>,
    /// Own attempts and the others' load by the last report, by home and server.
    estimated: Vec<Vec<(u32, u32)>>,
    busy: Vec<u32>,
    queues: Vec<VecDeque<Attempt>>,
    /// Start and missing replies of each query.
    queries: Vec<(Duration, usize)>,
    took: Vec<Duration>,
}

fn address(server: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + server as u16))
}

fn fleet(homes: usize) -> Fleet {
    let group = |group: usize| {
        let servers: Vec<_> = (0..REPLICAS)
            .map(|i| address(group * REPLICAS + i))
            .collect();
        serde_json::json!({"name": group.to_string(), "backend_servers": servers,
            "keys": {"start": group, "end": group + 1}})
    };
    let route = serde_json::json!({"name": "bench", "kind": "search", "callers": [],
        "deadline_ms": 1_000, "capacity": {"slots": SLOTS, "connections": 10_000},
        "keys": {"start": 0, "end": GROUPS}, "groups": (0..GROUPS).map(group).collect::<Vec<_>>()});
    let route = serde_json::from_value(route).expect("the route follows the schema");
    Fleet::new(&route, homes, Duration::ZERO)
}

impl Bench {
    fn run(&mut self, gap: f64) {
        self.push(Duration::ZERO, 0.0, Event::Query);
        while let Some(Reverse((now, event))) = self.events.pop() {
            match event {
                Event::Query if self.queries.len() == QUERIES => {}
                Event::Query => {
                    self.query(now);
                    let wait = self.exponential(gap);
                    self.push(now, wait, Event::Query);
                }
                Event::Arrive(attempt) if self.busy[attempt.2] < SLOTS => {
                    self.busy[attempt.2] += 1;
                    self.work(now, attempt);
                }
                Event::Arrive(attempt) => self.queues[attempt.2].push_back(attempt),
                Event::Done(attempt) => self.done(now, attempt),
                Event::Reply(attempt, load) => self.reply(now, attempt, load),
            }
        }
    }

    fn push(&mut self, now: Duration, wait: f64, event: Event) {
        self.events
            .push(Reverse((now + Duration::from_secs_f64(wait), event)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn query(&mut self, now: Duration) {
        let (query, home) = (
            self.queries.len(),
            self.rng.random_range(0..self.fleets.len()),
        );
        self.queries.push((now, GROUPS));
        for group in 0..GROUPS {
            let server = self.choose(group * REPLICAS, home, now);
            let attempt = (query * GROUPS + group, home, server);
            self.fleets[home].sent(address(server), attempt.0 as u64, now);
            self.estimated[home][server].0 += 1;
            self.push(now, HOP, Event::Arrive(attempt));
        }
    }

    fn choose(&mut self, first: usize, home: usize, now: Duration) -> usize {
        let shift = self.rng.random_range(0..REPLICAS);
        let mut all = (0..REPLICAS).map(|index| first + (index + shift) % REPLICAS);
        match self.policy {
            Policy::Random => first + shift,
            Policy::Belief(_) => all
                .min_by_key(|server| {
                    self.estimated[home][*server].0 + self.estimated[home][*server].1
                })
                .unwrap_or(first),
            Policy::Own | Policy::Trust(_) => {
                let all: Vec<_> = all.by_ref().map(address).collect();
                let choice = self.fleets[home].choose(&all, &[], None, now, &mut self.rng);
                usize::from(choice.expect("all are open").server.port()) - 1_000
            }
        }
    }

    fn work(&mut self, now: Duration, attempt: Attempt) {
        let work = self.exponential(WORK);
        self.push(now, work, Event::Done(attempt));
    }

    fn done(&mut self, now: Duration, attempt: Attempt) {
        let server = attempt.2;
        match self.queues[server].pop_front() {
            Some(next) => self.work(now, next),
            None => self.busy[server] -= 1,
        }
        let load = self.busy[server] + self.queues[server].len() as u32;
        let lies = matches!(self.policy, Policy::Trust(true) | Policy::Belief(true));
        let load = match server % REPLICAS {
            0 if lies => 0,
            1 if lies => self.rng.random_range(0..10),
            _ if lies => 10_u32.saturating_sub(load),
            _ => load,
        };
        self.push(now, HOP, Event::Reply(attempt, load));
    }

    fn reply(&mut self, now: Duration, (number, home, server): Attempt, load: u32) {
        let queued = load.saturating_sub(SLOTS);
        let said = Load {
            busy: load - queued,
            slots: SLOTS,
            queued,
        };
        let load_said = (self.policy != Policy::Own).then_some(said);
        let report = Report {
            load: load_said,
            ..Report::default()
        };
        self.fleets[home].replied(number as u64, &report, now);
        let own = self.estimated[home][server].0 - 1;
        self.estimated[home][server] = (own, load.saturating_sub(own));
        let (start, missing) = &mut self.queries[number / GROUPS];
        *missing -= 1;
        if *missing == 0 && number / GROUPS >= WARM_UP {
            self.took.push(now - *start);
        }
    }
}

fn measure(policy: Policy, utilisation: f64, homes: usize, seed: u64) -> Vec<Duration> {
    let servers = GROUPS * REPLICAS;
    let mut bench = Bench {
        policy,
        rng: ChaCha8Rng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        fleets: (0..homes).map(|_| fleet(homes)).collect(),
        estimated: vec![vec![(0, 0); servers]; homes],
        busy: vec![0; servers],
        queues: vec![VecDeque::new(); servers],
        queries: Vec::new(),
        took: Vec::new(),
    };
    bench.run(WORK / (f64::from(SLOTS) * REPLICAS as f64 * utilisation));
    bench.took
}

fn main() {
    let homes = std::env::args()
        .nth(1)
        .map_or(8, |homes| homes.parse().expect("number of homes"));
    let policies = [
        ("random", Policy::Random),
        ("own", Policy::Own),
        ("own + reports, trust", Policy::Trust(false)),
        ("own + lies, trust", Policy::Trust(true)),
        ("own + reports, belief", Policy::Belief(false)),
        ("own + lies, belief", Policy::Belief(true)),
    ];
    println!("{homes} homes, ms per query: load, policy, p50, p99, p99.9");
    for (load, (name, policy)) in [0.5, 0.7, 0.9]
        .iter()
        .flat_map(|load| policies.map(|one| (load, one)))
    {
        let mut took: Vec<_> = SEEDS
            .flat_map(|seed| measure(policy, *load, homes, seed))
            .collect();
        took.sort_unstable();
        let at = |quantile| took[(took.len() as f64 * quantile) as usize].as_secs_f64() * 1_000.0;
        println!(
            "{load} {name:22} {:6.1} {:6.1} {:6.1}",
            at(0.5),
            at(0.99),
            at(0.999)
        );
    }
}
