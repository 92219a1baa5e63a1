//! Routes that get few requests, beside busy ones, at servers whose connection limit is nearly reached.
//!
//! Guards against an added route that is refused at every host because each host keeps a connection
//! ready at every server for the first routes: the connections that the added route opens on demand
//! are rejected by the servers.

mod support;

use monsoonring_decision::attempt::ConnectionId;
use monsoonring_decision::backend::pool::{Command, Pool};
use monsoonring_decision::placement::{Division, Homes, Role};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, HashMap};
use support::{ms, route, server};
use test_case::test_case;

/// Number of hosts, and of the data centres that they are in.
const HOSTS: usize = 61;
const DATA_CENTRES: usize = 4;

/// Number of servers of the only shard.
const SERVERS: u16 = 3;

/// Configured connection limit of each server.
const CONFIGURED_CONNECTIONS: u32 = 62;

/// Connections that each server accepts while it has a queue.
const ACCEPTED_CONNECTIONS: usize = 50;

/// Length of the simulation and of one step, in milliseconds.
const DURATION_MS: u64 = 20_000;
const STEP_MS: u64 = 10;

/// Longest time that a request waits for a connection, in steps.
const MAX_WAIT_STEPS: u64 = 10;

/// Service time of a request, in steps.
const WORK_STEPS: u64 = 3;

/// Probability that a host gets a request on the first routes in a step: two per second.
const FIRST_CHANCE: f64 = 0.02;

/// Probability of a request on the added route: one every two seconds.
const ADDED_CHANCE: f64 = 0.005;

/// The requests and connections of one host for one set of shards.
struct ShardSet {
    pool: Pool,
    /// Servers that are preferred.
    near: BTreeSet<u16>,
    /// Server of each open connection.
    open: HashMap<ConnectionId, usize>,
    /// Waiting requests: their server and the step in which they arrived.
    waiting: Vec<(u16, u64)>,
    /// Requests in service: their connection and the step in which they end.
    working: Vec<(ConnectionId, u64)>,
    requests: u32,
    served: u32,
}

impl ShardSet {
    fn new(division: Division, remote: &BTreeSet<u16>) -> Self {
        let mut route = route(1, SERVERS);
        route.capacity.connections = CONFIGURED_CONNECTIONS;
        let mut pool = Pool::new(&route, division, 1, ms(0));
        pool.set_remote(remote.iter().map(|number| server(*number)).collect());
        Self {
            pool,
            near: (0..SERVERS)
                .filter(|number| !remote.contains(number))
                .collect(),
            open: HashMap::new(),
            waiting: Vec::new(),
            working: Vec::new(),
            requests: 0,
            served: 0,
        }
    }

    /// Assigns a request to a reachable server, preferably nearby; refuses it if no server is
    /// reachable.
    fn submit(&mut self, step: u64, rng: &mut ChaCha8Rng) {
        self.requests += 1;
        let reachable = (0..SERVERS).filter(|number| self.pool.is_reachable(server(*number)));
        let reachable: Vec<u16> = reachable.collect();
        let near = reachable.iter().find(|number| self.near.contains(number));
        let any = || reachable.get(rng.random_range(0..reachable.len().max(1)));
        if let Some(chosen) = near.or_else(any) {
            self.waiting.push((*chosen, step));
        }
    }

    /// Ends finished requests, assigns waiting ones to connections, and opens and closes connections.
    fn step(&mut self, open: &mut [usize], step: u64) {
        let now = ms(step * STEP_MS);
        let working = std::mem::take(&mut self.working).into_iter();
        let (ended, working): (Vec<_>, _) = working.partition(|(_, until)| *until <= step);
        self.working = working;
        for (id, _) in ended {
            self.pool.release(id, now);
        }
        for (chosen, requested_at) in std::mem::take(&mut self.waiting) {
            match self.pool.acquire(server(chosen), &[], now) {
                Some(id) => {
                    self.working.push((id, step + WORK_STEPS));
                    self.served += 1;
                }
                None if step - requested_at < MAX_WAIT_STEPS => {
                    self.waiting.push((chosen, requested_at))
                }
                None => {}
            }
        }
        loop {
            let commands = self.pool.reconcile(now);
            if commands.is_empty() {
                return;
            }
            for command in commands {
                self.carry_out(command, open, step);
            }
        }
    }

    fn carry_out(&mut self, command: Command, open: &mut [usize], step: u64) {
        let now = ms(step * STEP_MS);
        match command {
            Command::Open(id, to) => {
                let to = usize::from(to.port() - server(0).port());
                if open[to] < ACCEPTED_CONNECTIONS {
                    open[to] += 1;
                    self.open.insert(id, to);
                    self.pool.opened(id, now);
                } else {
                    self.pool.rejected(id, now);
                }
            }
            Command::Close(id) => {
                if let Some(to) = self.open.remove(&id) {
                    open[to] -= 1;
                }
            }
        }
    }
}

/// Returns the served shares of the requests on the first routes and on the added one.
fn simulate(homes: impl Fn(usize) -> Homes, is_remote: impl Fn(usize, u16) -> bool) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut sets = Vec::new();
    for host in 0..HOSTS {
        let remote: BTreeSet<u16> = (0..SERVERS)
            .filter(|number| is_remote(host, *number))
            .collect();
        let division = Division::among_all_hosts(homes(host), 162.0);
        let mut first = ShardSet::new(division, &remote);
        first.pool.set_identity(host as u64);
        sets.push(first);
        sets.push(ShardSet::new(division.on_demand(), &remote));
    }
    let mut open = vec![0; usize::from(SERVERS)];
    for step in 0..DURATION_MS / STEP_MS {
        for (index, chance) in (0..sets.len()).zip([FIRST_CHANCE, ADDED_CHANCE].into_iter().cycle())
        {
            if rng.random_bool(chance) {
                sets[index].submit(step, &mut rng);
            }
            sets[index].step(&mut open, step);
        }
    }
    let share = |offset: usize| {
        let selected: Vec<&ShardSet> = sets.iter().skip(offset).step_by(2).collect();
        let sum = |field: fn(&ShardSet) -> u32| {
            f64::from(selected.iter().map(|set| field(set)).sum::<u32>())
        };
        sum(|set| set.served) / sum(|set| set.requests)
    };
    (share(0), share(1))
}

fn is_in_other_data_centre(host: usize, server: u16) -> bool {
    host % DATA_CENTRES != usize::from(server) % DATA_CENTRES
}

/// Returns a host's view of the homes, of which a tenth are strong and the others weak.
fn strong_and_weak(host: usize) -> Homes {
    let role = match host / DATA_CENTRES % 10 {
        0 => Role::Strong,
        _ => Role::Weak,
    };
    Homes {
        all: HOSTS,
        near: HOSTS / DATA_CENTRES,
        strong: 2,
        role,
        rank: 0,
    }
}

fn equal_hosts(_host: usize) -> Homes {
    Homes {
        near: HOSTS / DATA_CENTRES,
        ..Homes::from(HOSTS)
    }
}

#[test_case(equal_hosts; "equal_hosts")]
#[test_case(strong_and_weak; "strong_and_weak_hosts")]
fn added_route_is_served_like_the_first(homes: fn(usize) -> Homes) {
    let (first, added) = simulate(homes, is_in_other_data_centre);
    assert!(first > 0.95, "of the first routes {first:.3} served");
    assert!(
        added > 0.9,
        "of the added route {added:.3} served, {first:.3} of the first"
    );
}

#[test]
fn added_route_is_refused_if_all_hosts_keep_connections_everywhere() {
    // No server counts as remote, so every host keeps a connection to each server.
    let (first, added) = simulate(|_| Homes::from(HOSTS), |_, _| false);
    assert!(
        added < 0.6,
        "of the added route {added:.3} served, {first:.3} of the first"
    );
}
