//! A randomized soak test of the real daemon: several processes under load and injected faults, with
//! invariants checked against what callers received and servers ran.
//!
//! A seed determines the hosts, the load, and the faults with their times, but not how processes interleave. A
//! seed that failed will probably fail again, but need not.
#![allow(
    dead_code,
    reason = "the example and the test each use only some items"
)]

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

/// Result of setting up or running the soak.
pub(crate) type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// Services of the shards that searches cover. Half of them are in each data centre, so that hosts delegate parts
/// of searches to each other.
const SHARDS: [&str; 8] = ["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7"];

/// Service of the non-idempotent requests.
const ONCE_SERVICE: &str = "ledger";

/// Servers per service.
const REPLICAS: usize = 2;

/// Requests per second that a cold server may get.
pub(crate) const COLD_MAX_RATE: usize = 12;

/// Concurrent callers.
const CALLERS: usize = 6;

/// Time by which a host must give complete answers after its start, and after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Result of one seed.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) seed: u64,
    pub(crate) hosts: u8,
    /// Faults injected, by kind.
    pub(crate) faults: BTreeMap<&'static str, u32>,
    /// Requests by HTTP status; 0 stands for no answer.
    pub(crate) answers: BTreeMap<u16, u32>,
    /// Parts of searches that hosts delegated to others, counted by the processes running at the end.
    pub(crate) delegated_parts: u64,
    pub(crate) violations: Vec<Violation>,
}

/// The store and the backend servers that the hosts use.
pub(crate) struct World {
    store: Store,
    servers: Vec<Server>,
    version: u64,
    /// Backups of the store, one from before each fault.
    backups: Vec<Backup>,
}

impl World {
    async fn start() -> Self {
        let store = Store::start().await;
        let mut servers = Vec::new();
        for (number, service) in SHARDS.into_iter().chain([ONCE_SERVICE]).enumerate() {
            for replica in 0..REPLICAS {
                // Another run may reuse the port: the process id keeps its hosts from taking this run's answers.
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
            backups: Vec::new(),
        };
        world.configure();
        world
    }

    /// Publishes the next version of the configuration.
    fn configure(&mut self) {
        self.version += 1;
        let routes: [Value; 2] = [
            fan_out_route("map", "/map/", &SHARDS),
            single_route("once", "/once/", "non_idempotent", ONCE_SERVICE),
        ];
        let services: Vec<&str> = SHARDS.into_iter().chain([ONCE_SERVICE]).collect();
        let mut document = configuration(self.version, &routes, &services);
        limit_cold_load(&mut document, COLD_MAX_RATE, Duration::from_secs(1));
        self.store.put("op/config", &document);
    }

    /// Restores the store to its content from before the last `ago` faults.
    fn restore_store(&mut self, ago: usize) {
        let remaining = self.backups.len().saturating_sub(ago);
        if let Some(backup) = self.backups.drain(remaining..).next() {
            self.store.restore(backup);
        }
    }

    /// Registers the servers and publishes the configuration again.
    fn rewrite_store(&mut self) {
        for server in &self.servers {
            server.register(&self.store, "ready");
        }
        self.configure();
    }

    /// Returns the requests that the servers of a data centre received, by server.
    fn requests_in(&self, data_centre: &str) -> Vec<Vec<String>> {
        let servers = self.servers.iter().enumerate();
        let local =
            servers.filter(|(number, _)| host::data_centre(number / REPLICAS) == data_centre);
        local.map(|(_, server)| server.executed()).collect()
    }

    /// Returns how often servers ran the request with this path.
    fn run_count(&self, path: &str) -> usize {
        let requests = self.servers.iter().flat_map(Server::executed);
        requests
            .filter(|target| target.split(' ').nth(1) == Some(path))
            .count()
    }
}

fn record(service: &str) -> String {
    format!("record-of-{service:<6}")
}

fn records() -> Records {
    let entry = |service: &str| (service.to_owned(), vec![record(service)]);
    SHARDS.into_iter().map(entry).collect()
}

/// Status that callers received for non-idempotent requests, by id; `None` if there was no answer.
type Statuses = Arc<Mutex<BTreeMap<String, Option<u16>>>>;

/// Runs one caller, which sends requests until `end`. Returns the number of answers by status, and the violations.
async fn run_caller(
    name: String,
    fronts: Vec<SocketAddr>,
    end: Instant,
    mut rng: ChaCha8Rng,
    statuses: Statuses,
) -> (BTreeMap<u16, u32>, Vec<Violation>) {
    let (mut answers, mut violations) = (BTreeMap::new(), Vec::new());
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("{name}-{number}");
        let front = fronts[rng.random_range(0..fronts.len())];
        let is_once = rng.random_bool(0.3);
        let path = if is_once { "once" } else { "map" };
        let path = format!("/{path}/{id}");
        let timeout = Duration::from_millis(rng.random_range(20..3_000));
        let request = client::send(front, "GET", &path, &id, "1500");
        let reply = tokio::time::timeout(timeout, request).await.ok().flatten();
        let status = reply.as_ref().map(|reply| reply.status.as_u16());
        *answers.entry(status.unwrap_or(0)).or_default() += 1;
        match &reply {
            _ if is_once => {
                let mut statuses = statuses
                    .lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner);
                statuses.insert(id, status);
            }
            Some(reply) if reply.status.is_success() => {
                violations.extend(check::search(&id, reply, &records()).err());
            }
            _ => {}
        }
        sleep(Duration::from_millis(rng.random_range(0..20))).await;
    }
    (answers, violations)
}

/// Waits until a host gives a complete answer to a search. Returns `false` if it does not in time.
async fn has_recovered(front: SocketAddr) -> bool {
    let end = Instant::now() + RECOVERY_TIMEOUT;
    while Instant::now() < end {
        let reply = client::send(front, "GET", "/map/regained", "regained", "1500").await;
        let is_complete =
            |reply: &client::Reply| reply.status.is_success() && reply.missing() == Some(0);
        if reply.is_some_and(|reply| is_complete(&reply)) {
            return true;
        }
        sleep(Duration::from_millis(100)).await;
    }
    false
}

/// Runs one seed with load for `time`.
///
/// # Errors
///
/// Returns an error if the hosts could not be started or signalled.
pub(crate) async fn run_seed(
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
            number,
            0..count,
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
    check_recovery(&fronts, "recovery after start", &mut report).await;
    let end = Instant::now() + time;
    let statuses = Statuses::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let name = format!("c{number}");
            let rng = ChaCha8Rng::seed_from_u64(rng.random());
            tokio::spawn(run_caller(name, fronts.clone(), end, rng, statuses.clone()))
        })
        .collect();
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(100..500))).await;
        world.backups.push(world.store.backup());
        let fault = Fault::random(&mut rng, usize::from(count), world.servers.len());
        *report.faults.entry(fault.name()).or_default() += 1;
        report
            .violations
            .extend(fault.inject(&mut world, &mut hosts).await?);
    }
    fault::revert_all(&mut world, &mut hosts)?;
    for caller in callers {
        let (answers, violations) = caller.await?;
        for (status, requests) in answers {
            *report.answers.entry(status).or_default() += requests;
        }
        report.violations.extend(violations);
    }
    check_recovery(&fronts, "recovery after the last fault", &mut report).await;
    for host in &hosts {
        report.delegated_parts += delegated_parts(host.metrics).await;
    }
    let statuses = statuses
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .clone();
    for (id, status) in statuses {
        let runs = world.run_count(&format!("/once/{id}"));
        report
            .violations
            .extend(check::at_most_once(&id, status, runs).err());
    }
    Ok(report)
}

/// Returns the number of parts of searches that other hosts answered for this one, from its metrics.
async fn delegated_parts(metrics: SocketAddr) -> u64 {
    const COUNTER: &str = "monsoonring_relays_total{outcome=\"part answered\"} ";
    let page = client::send(metrics, "GET", "/metrics", "m", "1000").await;
    let body = page.map(|page| page.body).unwrap_or_default();
    let count = body.lines().find_map(|line| line.strip_prefix(COUNTER));
    count.and_then(|text| text.parse().ok()).unwrap_or(0)
}

async fn check_recovery(fronts: &[SocketAddr], invariant: &'static str, report: &mut Report) {
    for front in fronts {
        if !has_recovered(*front).await {
            report.violations.push(Violation {
                invariant,
                id: front.to_string(),
                details: format!("no complete answer in {RECOVERY_TIMEOUT:?}"),
            });
        }
    }
}
