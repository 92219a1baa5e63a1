//! A randomized soak of the real program: several processes, faults from outside them, and promises that
//! are checked from what callers are told and what servers run.
//!
//! A seed decides hosts, load, faults and when each comes; how processes interleave is up to the machine. So
//! a seed that failed is likely to fail again, and not certain to.
#![allow(dead_code, reason = "the example and the test each use a part")]

pub(crate) mod check;
mod fault;
mod host;
#[path = "../../../../platform/tests/support/mod.rs"]
pub(crate) mod support;

use check::{Records, Violation};
use fault::Fault;
use host::Host;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::client;
use support::daemon::{configuration, fan_out_route, limit_cold_load, single_route};
use support::server::Server;
use support::store::{Backup, Store};
use tokio::time::{Instant, sleep};

/// Result of a step; what failed is told to whoever runs the soak.
pub(crate) type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// Services of the searches, and of the requests that may run once. The servers of half of the shards are in one data
/// centre and those of the others in the other one, so that hosts look through parts of searches for each other.
const SHARDS: [&str; 8] = ["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7"];
const LEDGER: &str = "ledger";

/// Servers of each service.
const REPLICAS: usize = 2;

/// Requests in a second that a cold server bears.
pub(crate) const BEARS: usize = 12;

/// Callers that ask at the same time.
const CALLERS: usize = 6;

/// Time that a host has at its start, and after the last fault, until it answers whole again.
const REGAIN: Duration = Duration::from_secs(20);

/// What a run did and found.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) seed: u64,
    pub(crate) hosts: u8,
    /// By kind: faults injected.
    pub(crate) faults: BTreeMap<&'static str, u32>,
    /// By status, 0 where there was no answer: requests.
    pub(crate) answers: BTreeMap<u16, u32>,
    /// Parts of searches that hosts looked through for others, as far as the processes that ran at the end know.
    pub(crate) parts: u64,
    pub(crate) violations: Vec<Violation>,
}

/// What runs beside the hosts.
pub(crate) struct World {
    store: Store,
    servers: Vec<Server>,
    version: u64,
    /// What the store held before each of the faults so far.
    copies: Vec<Backup>,
}

impl World {
    async fn start() -> Self {
        let store = Store::start().await;
        let mut servers = Vec::new();
        for (number, service) in SHARDS.into_iter().chain([LEDGER]).enumerate() {
            for replica in 0..REPLICAS {
                // A host of another run must not be answered for this one's where a port is given out again.
                let instance = format!("i-{service}-{replica}-{}", std::process::id());
                let record = record(service);
                let server = Server::start(&store, &instance, service, &[&record]).await;
                server.register_in(&store, host::data_centre(number), "ready");
                servers.push(server);
            }
        }
        let mut world = Self {
            store,
            servers,
            version: 1,
            copies: Vec::new(),
        };
        world.configure();
        world
    }

    /// Publishes the next version of the configuration.
    fn configure(&mut self) {
        self.version += 1;
        let routes: [Value; 2] = [
            fan_out_route("map", "/map/", &SHARDS),
            single_route("once", "/once/", "non_idempotent", LEDGER),
        ];
        let services: Vec<&str> = SHARDS.into_iter().chain([LEDGER]).collect();
        let mut document = configuration(self.version, &routes, &services);
        limit_cold_load(&mut document, BEARS, Duration::from_secs(1));
        self.store.put("op/config", &document);
    }

    /// Puts the store back to what it held before so many faults.
    fn go_back(&mut self, ago: usize) {
        let kept = self.copies.len().saturating_sub(ago);
        if let Some(copy) = self.copies.drain(kept..).next() {
            self.store.restore(copy);
        }
    }

    /// Writes again what operators and servers had written.
    fn write_again(&mut self) {
        for server in &self.servers {
            server.register(&self.store, "ready");
        }
        self.configure();
    }

    /// Returns the requests that the servers of a data centre got, by server.
    fn ran_in(&self, data_centre: &str) -> Vec<Vec<String>> {
        let servers = self.servers.iter().enumerate();
        let there =
            servers.filter(|(number, _)| host::data_centre(number / REPLICAS) == data_centre);
        there.map(|(_, server)| server.executed()).collect()
    }

    /// Returns how often servers ran the request that was sent to this path.
    fn runs(&self, path: &str) -> usize {
        let ran = self.servers.iter().flat_map(Server::executed);
        ran.filter(|target| target.split(' ').nth(1) == Some(path))
            .count()
    }
}

fn record(service: &str) -> String {
    format!("record-of-{service:<6}")
}

fn records() -> Records {
    let of = |service: &str| (service.to_owned(), vec![record(service)]);
    SHARDS.into_iter().map(of).collect()
}

/// What callers were told of requests that may run once, by id.
type Tickets = Arc<Mutex<BTreeMap<String, Option<u16>>>>;

/// One caller, which asks until its time is over. Returns what it was told, by status.
async fn call(
    name: String,
    fronts: Vec<SocketAddr>,
    until: Instant,
    mut rng: ChaCha8Rng,
    tickets: Tickets,
) -> (BTreeMap<u16, u32>, Vec<Violation>) {
    let (mut answers, mut violations) = (BTreeMap::new(), Vec::new());
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let id = format!("{name}-{number}");
        let front = fronts[rng.random_range(0..fronts.len())];
        let is_once = rng.random_bool(0.3);
        let path = if is_once { "once" } else { "map" };
        let path = format!("/{path}/{id}");
        let leaves = Duration::from_millis(rng.random_range(20..3_000));
        let asked = client::send(front, "GET", &path, &id, "1500");
        let told = tokio::time::timeout(leaves, asked).await.ok().flatten();
        let status = told.as_ref().map(|told| told.status.as_u16());
        *answers.entry(status.unwrap_or(0)).or_default() += 1;
        match &told {
            _ if is_once => {
                let mut tickets = tickets
                    .lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner);
                tickets.insert(id, status);
            }
            Some(told) if told.status.is_success() => {
                violations.extend(check::search(&id, told, &records()).err());
            }
            _ => {}
        }
        sleep(Duration::from_millis(rng.random_range(0..20))).await;
    }
    (answers, violations)
}

/// Waits until a host answers a search whole.
async fn regained(front: SocketAddr) -> bool {
    let until = Instant::now() + REGAIN;
    while Instant::now() < until {
        let told = client::send(front, "GET", "/map/regained", "regained", "1500").await;
        let is_whole = |told: &client::Reply| told.status.is_success() && told.missing() == Some(0);
        if told.is_some_and(|told| is_whole(&told)) {
            return true;
        }
        sleep(Duration::from_millis(100)).await;
    }
    false
}

/// Plays one seed for a time.
///
/// # Errors
///
/// What is needed for it could not be set up.
pub(crate) async fn play(
    seed: u64,
    time: Duration,
    binary: &Path,
    folder: &Path,
) -> Result<Report> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let count: u8 = rng.random_range(2..=5);
    let mut world = World::start().await;
    let mut hosts = Vec::new();
    for number in 0..count {
        hosts.push(Host::start(
            (number, count),
            world.store.address,
            binary,
            folder,
        )?);
    }
    let mut report = Report {
        seed,
        hosts: count,
        ..Report::default()
    };
    let fronts: Vec<SocketAddr> = hosts.iter().map(|host| host.front).collect();
    expect_all(&fronts, "serves after its start", &mut report).await;
    let until = Instant::now() + time;
    let tickets = Tickets::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let name = format!("c{number}");
            let rng = ChaCha8Rng::seed_from_u64(rng.random());
            tokio::spawn(call(name, fronts.clone(), until, rng, tickets.clone()))
        })
        .collect();
    while Instant::now() < until {
        sleep(Duration::from_millis(rng.random_range(100..500))).await;
        world.copies.push(world.store.backup());
        let fault = Fault::draw(&mut rng, usize::from(count), world.servers.len());
        *report.faults.entry(fault.name()).or_default() += 1;
        report
            .violations
            .extend(fault.inject(&mut world, &mut hosts).await?);
    }
    fault::lift_all(&mut world, &mut hosts)?;
    for caller in callers {
        let (answers, violations) = caller.await?;
        for (status, times) in answers {
            *report.answers.entry(status).or_default() += times;
        }
        report.violations.extend(violations);
    }
    expect_all(&fronts, "serves again after the last fault", &mut report).await;
    for host in &hosts {
        report.parts += parts(host.metrics).await;
    }
    let tickets = tickets
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .clone();
    for (id, status) in tickets {
        let runs = world.runs(&format!("/once/{id}"));
        report
            .violations
            .extend(check::once(&id, status, runs).err());
    }
    Ok(report)
}

/// Returns how many parts of searches other hosts looked through for this one.
async fn parts(metrics: SocketAddr) -> u64 {
    const COUNTER: &str = "monsoonring_relays_total{outcome=\"part answered\"} ";
    let page = client::send(metrics, "GET", "/metrics", "m", "1000").await;
    let body = page.map(|page| page.body).unwrap_or_default();
    let count = body.lines().find_map(|line| line.strip_prefix(COUNTER));
    count.and_then(|text| text.parse().ok()).unwrap_or(0)
}

async fn expect_all(fronts: &[SocketAddr], promise: &'static str, report: &mut Report) {
    for front in fronts {
        if !regained(*front).await {
            report.violations.push(Violation {
                promise,
                id: front.to_string(),
                seen: format!("no whole answer in {REGAIN:?}"),
            });
        }
    }
}
