//! Simulated deployments: hosts, backend servers and kinds of requests.
//!
//! The figures are from the users' descriptions of two deployments, and of a larger one.

use super::work::Pauses;
use monsoonring_configuration::document::Kind as RouteKind;
use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::Time;
use monsoonring_decision::gateway::registry::{Entry, Event, Order, Registry, State};
use monsoonring_decision::gateway::table::{FanOut, Limits, Route, Target, WeightedTarget};
use monsoonring_decision::gateway::{Shards, Table};
use monsoonring_decision::placement::assumed_hosts;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Port of all backend servers.
const PORT: u16 = 9_000;

/// Maximum queue length of a backend server.
const MAX_QUEUE: usize = 12;

/// Backend servers for the same kinds of requests, optionally divided into shards.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Number of shards; 1 for a service without shards.
    pub shards: usize,
    /// Number of servers per shard.
    pub replicas: usize,
    /// Number of requests that a server executes concurrently.
    pub slots: usize,
    /// Maximum queue length of a server.
    pub queue: usize,
    /// Maximum number of connections per server.
    pub connections: usize,
    /// Time for which a new connection occupies a slot.
    pub connect: Duration,
    /// Periodic pauses of each server.
    pub pauses: Option<Pauses>,
}

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Name in reports.
    pub name: &'static str,
    /// Index of the pool that serves it.
    pub pool: usize,
    /// Requests per second over all hosts.
    pub per_second: f64,
    /// Mean service time and its coefficient of variation.
    pub work: (Duration, f64),
    /// Latency objective; later answers are worth less.
    pub objective: Duration,
    /// Deadline of the callers.
    pub deadline: Duration,
    /// Worth of an answer within the objective, and of a later one.
    pub worth: (f64, f64),
    /// Priority; lower values are served first.
    pub priority: u32,
    /// Minimum share of the shards that an answer must cover.
    pub min_coverage: f64,
}

/// A simulated deployment.
#[derive(Clone, Debug)]
pub struct Site {
    /// Name in reports.
    pub name: &'static str,
    /// Number of hosts in each data centre.
    pub hosts: Vec<usize>,
    /// One-way delay within a data centre, and between data centres.
    pub delay: (Duration, Duration),
    /// One-way delay between callers and hosts.
    pub caller_delay: Duration,
    /// Burst of extra attempts allowed over all hosts, in addition to the share of first attempts.
    pub slack: f64,
    /// Pools of backend servers.
    pub pools: Vec<Pool>,
    /// Kinds of requests that callers send.
    pub kinds: Vec<Kind>,
}

fn ms(value: f64) -> Duration {
    Duration::from_secs_f64(value / 1_000.0)
}

impl Site {
    /// Returns the deployment of the hydrant registry.
    pub fn hydrant() -> Self {
        let search =
            |name, per_second, work, objective, deadline, worth, priority, min_coverage| Kind {
                name,
                pool: 0,
                per_second,
                work: (ms(work), 0.35),
                objective: ms(objective),
                deadline: ms(deadline),
                worth,
                priority,
                min_coverage,
            };
        Self {
            name: "hydrant",
            hosts: vec![3, 3, 1, 2],
            delay: (ms(0.2), ms(0.5)),
            caller_delay: ms(1.0),
            slack: 58.0,
            pools: vec![
                pool((10, 3), (3, 31), 6.0, Some((150.0, 3_600.0))),
                pool((1, 22), (2, 110), 1.0, None),
            ],
            kinds: vec![
                search("nearby", 135.0, 15.0, 120.0, 2_000.0, (2.0, 0.1), 1, 0.89),
                search("status", 45.1, 5.0, 60.0, 1_000.0, (1.0, 0.1), 2, 0.75),
                Kind {
                    pool: 1,
                    work: (ms(120.0), 0.5),
                    ..search("record", 45.1, 0.0, 500.0, 8_000.0, (1.0, 0.1), 2, 0.0)
                },
            ],
        }
    }

    /// Returns the deployment of the beet intake search.
    pub fn beet() -> Self {
        let mut site = Self::hydrant();
        site.name = "beet";
        site.hosts = vec![3, 2, 2];
        site.slack = 54.0;
        site.pools = vec![
            pool((10, 3), (2, 26), 6.0, Some((100.0, 2_400.0))),
            pool((1, 7), (3, 39), 1.0, None),
        ];
        let lookups = [
            ("lookup", 135.0, 7.5, 80.0, 400.0, (2.0, 0.1)),
            ("sample", 44.9, 2.5, 40.0, 250.0, (1.0, 0.1)),
            ("contract", 44.9, 60.0, 250.0, 1_500.0, (1.0, 0.3)),
        ];
        for (kind, (name, per_second, work, objective, deadline, worth)) in
            site.kinds.iter_mut().zip(lookups)
        {
            kind.name = name;
            kind.per_second = per_second;
            kind.work.0 = ms(work);
            kind.objective = ms(objective);
            kind.deadline = ms(deadline);
            kind.worth = worth;
        }
        site
    }

    /// Returns a larger hydrant registry. Load and replicas scale with the number of hosts.
    pub fn grown(hosts: usize) -> Self {
        /// Hosts of the described deployment that rates and replicas are scaled from.
        const SHEET_HOSTS: usize = 61;
        const SHARDS: usize = 36;
        let mut site = Self::hydrant();
        let scale = hosts as f64 / SHEET_HOSTS as f64;
        let replicas = (3.0 * scale).round().max(3.0) as usize;
        site.name = "grown";
        site.hosts = (0..4).map(|index| (hosts + index) / 4).collect();
        site.slack = 162.0;
        site.pools = vec![
            pool((SHARDS, replicas), (4, 62), 6.0, Some((150.0, 3_600.0))),
            pool((1, (19.0 * scale).ceil() as usize), (2, 430), 1.0, None),
        ];
        let rates = [96.5, 32.2, 32.2];
        for (kind, per_second) in site.kinds.iter_mut().zip(rates) {
            kind.per_second = per_second * scale;
        }
        site.kinds[0].min_coverage = 0.95;
        site.kinds[1].min_coverage = 0.85;
        site
    }

    /// Returns the number of hosts.
    pub fn host_count(&self) -> usize {
        self.hosts.iter().sum()
    }

    /// Returns the number of hosts that each host assumes.
    pub fn expected_hosts(&self) -> usize {
        self.host_count().max(assumed_hosts(self.hosts.len()).all)
    }

    /// Returns the index of the data centre of each host.
    pub fn host_data_centres(&self) -> Vec<usize> {
        let data_centres = self.hosts.iter().enumerate();
        data_centres
            .flat_map(|(index, count)| std::iter::repeat_n(index, *count))
            .collect()
    }

    /// Returns the index of a server's data centre. Replicas of a shard are spread over the data centres.
    pub fn data_centre(&self, shard: usize, replica: usize) -> usize {
        (shard + replica) % self.hosts.len()
    }

    /// Returns the name of a data centre.
    pub fn data_centre_name(index: usize) -> String {
        format!("place{index}")
    }

    /// Returns the address of a server.
    ///
    /// # Panics
    ///
    /// Panics if the shard has more than 65,536 servers, or the pool too many shards for an octet.
    pub fn address(pool: usize, shard: usize, replica: usize) -> BackendServerId {
        let [high, low] = u16::try_from(replica)
            .expect("replica fits in 16 bits")
            .to_be_bytes();
        let first = u8::try_from(10 + pool * 100 + shard).expect("shard fits in an address octet");
        (Ipv4Addr::new(10, first, high, low), PORT).into()
    }

    /// Returns the shards of a pool.
    pub fn shards(&self, pool: usize) -> Shards {
        let shards = 0..self.pools[pool].shards;
        shards
            .map(|shard| format!("pool{pool}-{shard}").into())
            .collect()
    }

    /// Returns the route table of the gateway.
    pub fn table(&self) -> Table {
        let limits = Limits { body_bytes: 0 };
        let pools = 0..self.pools.len();
        let connections = pools.flat_map(|pool| {
            let limit = self.pools[pool].connections as u32;
            let shards: Vec<_> = self.shards(pool).iter().cloned().collect();
            shards.into_iter().map(move |shard| (shard, limit))
        });
        let routes = self.kinds.iter().map(|kind| self.route(kind)).collect();
        Table::new(1, limits, connections.collect(), routes)
    }

    /// Returns the route of a kind of request.
    pub fn route(&self, kind: &Kind) -> Route {
        let shards = self.shards(kind.pool);
        Route {
            name: kind.name.into(),
            host: self.name.into(),
            prefix: format!("/{}/", kind.name).into(),
            kind: RouteKind::Search,
            timeout: kind.deadline,
            objective: kind.objective,
            attempts: 2,
            priority: kind.priority,
            target: match shards.len() {
                1 => Target::Split(vec![WeightedTarget {
                    shards,
                    weight: 1.0,
                }]),
                _ => Target::FanOut(FanOut {
                    shards,
                    max_records: 0,
                    min_coverage: kind.min_coverage,
                }),
            },
        }
    }

    /// Returns a registry that contains all servers.
    pub fn registry(&self) -> Registry {
        let mut entries = Vec::new();
        for (pool, spec) in self.pools.iter().enumerate() {
            for (shard, service) in self.shards(pool).iter().enumerate() {
                entries.extend((0..spec.replicas).map(|replica| Entry {
                    instance: format!("{pool}-{shard}-{replica}").into(),
                    service: service.clone(),
                    address: Self::address(pool, shard, replica),
                    data_centre: Self::data_centre_name(self.data_centre(shard, replica)).into(),
                    slots: spec.slots as u32,
                    state: State::Ready,
                    cold_for: Duration::ZERO,
                    order: Order::default(),
                    revision: 1,
                }));
            }
        }
        let mut registry = Registry::default();
        registry.handle(Event::Listed(entries), Time::ZERO);
        registry
    }
}

fn pool(
    (shards, replicas): (usize, usize),
    (slots, connections): (usize, usize),
    connect: f64,
    pauses: Option<(f64, f64)>,
) -> Pool {
    Pool {
        shards,
        replicas,
        slots,
        queue: MAX_QUEUE,
        connections,
        connect: ms(connect),
        pauses: pauses.map(|(length, every)| Pauses {
            length: ms(length),
            every: ms(every),
        }),
    }
}
