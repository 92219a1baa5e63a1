//! What there is: hosts, backend servers, and what callers ask.
//!
//! The figures are those of the users' sheets of their two deployments, and of the same grown.

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

/// Longest queue of a backend server.
const QUEUE: usize = 12;

/// Servers that answer the same requests, in one service or one for each shard.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Shards; 1 for a service without any.
    pub shards: usize,
    /// Servers of each shard.
    pub replicas: usize,
    /// Requests that a server works on at the same time.
    pub slots: usize,
    /// Requests that wait at a server at most.
    pub queue: usize,
    /// Connections that a server accepts.
    pub connections: usize,
    /// Time for which a new connection takes a slot.
    pub connect: Duration,
    /// Stops of each server.
    pub pauses: Option<Pauses>,
}

/// Requests of one kind.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// The pool that it is sent to.
    pub pool: usize,
    /// Requests a second over all hosts.
    pub per_second: f64,
    /// Mean time that one takes at a server, and its coefficient of variation.
    pub work: (Duration, f64),
    /// Time within which an answer is worth most.
    pub objective: Duration,
    /// Time that callers wait.
    pub deadline: Duration,
    /// What an answer within the objective is worth, and one after it.
    pub worth: (f64, f64),
    /// Rank; lower comes first.
    pub priority: u32,
    /// Share of the shards that an answer needs.
    pub least: f64,
}

/// One deployment.
#[derive(Clone, Debug)]
pub struct Site {
    /// Its name.
    pub name: &'static str,
    /// Hosts in each data centre.
    pub hosts: Vec<usize>,
    /// Time one way within a data centre, and between two.
    pub delay: (Duration, Duration),
    /// Time one way between callers and hosts.
    pub caller_delay: Duration,
    /// Extra attempts allowed beyond a share of the first ones, over all hosts.
    pub slack: f64,
    /// The backend servers.
    pub pools: Vec<Pool>,
    /// What callers ask.
    pub kinds: Vec<Kind>,
}

fn ms(value: f64) -> Duration {
    Duration::from_secs_f64(value / 1_000.0)
}

impl Site {
    /// The hydrant registry.
    pub fn hydrant() -> Self {
        let search = |name, per_second, work, objective, deadline, worth, priority, least| Kind {
            name,
            pool: 0,
            per_second,
            work: (ms(work), 0.35),
            objective: ms(objective),
            deadline: ms(deadline),
            worth,
            priority,
            least,
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

    /// The beet intake search.
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

    /// The hydrant registry grown to so many hosts, with the load and the servers of each shard
    /// growing alike.
    pub fn grown(hosts: usize) -> Self {
        /// Hosts and shards of the grown deployment that the sheet describes.
        const SHEET_HOSTS: usize = 61;
        const SHARDS: usize = 36;
        let mut site = Self::hydrant();
        let times = hosts as f64 / SHEET_HOSTS as f64;
        let replicas = (3.0 * times).round().max(3.0) as usize;
        site.name = "grown";
        site.hosts = (0..4).map(|place| (hosts + place) / 4).collect();
        site.slack = 162.0;
        site.pools = vec![
            pool((SHARDS, replicas), (4, 62), 6.0, Some((150.0, 3_600.0))),
            pool((1, (19.0 * times).ceil() as usize), (2, 430), 1.0, None),
        ];
        let rates = [96.5, 32.2, 32.2];
        for (kind, per_second) in site.kinds.iter_mut().zip(rates) {
            kind.per_second = per_second * times;
        }
        site.kinds[0].least = 0.95;
        site.kinds[1].least = 0.85;
        site
    }

    /// Returns the number of hosts.
    pub fn host_count(&self) -> usize {
        self.hosts.iter().sum()
    }

    /// Returns the number of hosts that each of them reckons with.
    pub fn reckoned_hosts(&self) -> usize {
        self.host_count().max(assumed_hosts(self.hosts.len()).all)
    }

    /// Returns the data centre of each host.
    pub fn host_places(&self) -> Vec<usize> {
        let places = self.hosts.iter().enumerate();
        places
            .flat_map(|(place, count)| std::iter::repeat_n(place, *count))
            .collect()
    }

    /// Returns the data centre of a server: those of a shard are spread, and each shard begins with
    /// another one.
    pub fn place(&self, shard: usize, replica: usize) -> usize {
        (shard + replica) % self.hosts.len()
    }

    /// Returns the name of a data centre.
    pub fn place_name(place: usize) -> String {
        format!("place{place}")
    }

    /// Returns the address of a server.
    ///
    /// # Panics
    ///
    /// There are more than 65,536 servers in a shard.
    pub fn address(pool: usize, shard: usize, replica: usize) -> BackendServerId {
        let [high, low] = u16::try_from(replica).expect("few replicas").to_be_bytes();
        let first = u8::try_from(10 + pool * 100 + shard).expect("few shards");
        (Ipv4Addr::new(10, first, high, low), PORT).into()
    }

    /// Returns the shards of a pool.
    pub fn shards(&self, pool: usize) -> Shards {
        let shards = 0..self.pools[pool].shards;
        shards
            .map(|shard| format!("pool{pool}-{shard}").into())
            .collect()
    }

    /// Returns the routes as the configuration of a gateway has them.
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
                    min_coverage: kind.least,
                }),
            },
        }
    }

    /// Returns the registry with all servers in it.
    pub fn registry(&self) -> Registry {
        let mut entries = Vec::new();
        for (pool, of) in self.pools.iter().enumerate() {
            for (shard, service) in self.shards(pool).iter().enumerate() {
                entries.extend((0..of.replicas).map(|replica| Entry {
                    instance: format!("{pool}-{shard}-{replica}").into(),
                    service: service.clone(),
                    address: Self::address(pool, shard, replica),
                    data_centre: Self::place_name(self.place(shard, replica)).into(),
                    slots: of.slots as u32,
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
        queue: QUEUE,
        connections,
        connect: ms(connect),
        pauses: pauses.map(|(length, every)| Pauses {
            length: ms(length),
            every: ms(every),
        }),
    }
}
