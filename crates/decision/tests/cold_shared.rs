//! Cold backend servers that several homes of each process share, with hosts and homes that come and go.

mod session;

use monsoonring_configuration::document::Route;
use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::Time;
use monsoonring_decision::backend::{ColdLimit, Ledger};
use monsoonring_decision::home::Event;
use monsoonring_decision::outcome::Outcome;
use monsoonring_decision::placement::{Allocation, Division, Homes, Role};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use session::{Session, ms, route, server};
use std::collections::BTreeSet;
use test_case::test_case;

/// Highest rate that a cold server can serve, in requests per second from all hosts together.
const MAX_RATE: f64 = 20.0;

/// Length of the simulation and of one step, in milliseconds.
const DURATION_MS: u64 = 9_000;
const STEP_MS: u64 = 5;

/// Requests per second of all hosts together for each set, far above the rate of the cold servers.
const REQUESTS_PER_SECOND: f64 = 90.0;

/// Time for which a host that starts sends cold servers nothing, in milliseconds.
const DISCOVERY_MS: u64 = 3_000;

/// Time until a change has reached a host, at most, in milliseconds.
const PROPAGATION_MS: u64 = 300;

/// Servers of the shard that all sets contain; both are cold.
fn cold_servers() -> [BackendServerId; 2] {
    [server(0, 0), server(0, 1)]
}

/// Sets of shards: the shared one alone, with another, with a third, and with both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Set {
    Single,
    WithSecond,
    WithThird,
    All,
}

impl Set {
    fn route(self) -> Route {
        let mut route = match self {
            Self::Single => route(1, 2),
            Self::WithSecond | Self::WithThird => route(2, 2),
            Self::All => route(3, 2),
        };
        if self == Self::WithThird {
            route.groups[1].backend_servers = vec![server(2, 0), server(2, 1)];
        }
        route.hedge.budget_percent = 0.0;
        route
    }
}

/// What changes while the servers are cold; times are in milliseconds.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// A version names a set.
    Add(u64, Set),
    /// A version no longer names a set; its home ends its requests.
    Remove(u64, Set),
    /// A third of the hosts restart.
    Restart(u64),
    /// Two halves of the hosts no longer see each other, until the second time.
    Cut(u64, u64),
}

/// The home of one set, with its attempts in progress.
struct Home {
    set: Set,
    session: Session,
    sends_seen: usize,
    due: Vec<(Time, usize)>,
    is_named: bool,
}

/// A host: its homes, and the ledger that they share.
struct Host {
    ledger: Ledger,
    started: u64,
    rank: usize,
    homes: Vec<Home>,
}

struct Simulation {
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    /// Arrivals at the cold servers.
    arrivals: Vec<(Time, BackendServerId)>,
    answered: usize,
    submitted: u128,
}

fn even(near: usize, rank: usize) -> Homes {
    Homes {
        all: near,
        near,
        strong: 0,
        role: Role::Even,
        rank,
    }
}

impl Simulation {
    fn new(hosts: usize) -> Self {
        let host = |rank| Host {
            ledger: Ledger::default(),
            started: 0,
            rank,
            homes: Vec::new(),
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(5),
            hosts: (0..hosts).map(host).collect(),
            arrivals: Vec::new(),
            answered: 0,
            submitted: 0,
        }
    }

    /// Starts the home of a set at a host, or names it again.
    fn add(&mut self, host: usize, set: Set, now: u64, near: usize) {
        let Host {
            ledger,
            started,
            rank,
            homes,
        } = &mut self.hosts[host];
        if let Some(home) = homes.iter_mut().find(|home| home.set == set) {
            home.is_named = true;
            return;
        }
        let allocation = Allocation {
            division: Division::among_all_hosts(even(near, *rank % near), 58.0),
            remote_servers: BTreeSet::new(),
            cold: ledger.clone(),
        };
        let mut session = Session::with_division(set.route(), allocation);
        session.now = ms(now);
        session.handle(cold_event(now, *started));
        homes.push(Home {
            set,
            session,
            sends_seen: 0,
            due: Vec::new(),
            is_named: true,
        });
    }

    fn apply(&mut self, change: Change, now: u64) {
        let count = self.hosts.len();
        for host in 0..count {
            let at = |at: u64| at + (host as u64 * 37) % PROPAGATION_MS / STEP_MS * STEP_MS == now;
            match change {
                Change::Add(time, set) if at(time) => self.add(host, set, now, count),
                Change::Remove(time, set) if at(time) => {
                    let homes = self.hosts[host].homes.iter_mut();
                    homes
                        .filter(|home| home.set == set)
                        .for_each(|home| home.is_named = false);
                }
                Change::Restart(time) if at(time) && host % 3 == 0 => {
                    let homes = std::mem::take(&mut self.hosts[host].homes);
                    self.hosts[host].ledger = Ledger::default();
                    self.hosts[host].started = now;
                    for home in homes.iter().filter(|home| home.is_named) {
                        self.add(host, home.set, now, count);
                    }
                }
                Change::Cut(from, until) if at(from) || at(until) => {
                    let near = if at(from) { count.div_ceil(2) } else { count };
                    for home in &mut self.hosts[host].homes {
                        let event = Event::Homes(even(near, host % near));
                        home.session.handle(event);
                    }
                }
                _ => {}
            }
        }
    }

    fn step(&mut self, now: u64) {
        let rate = REQUESTS_PER_SECOND / self.hosts.len() as f64 * STEP_MS as f64 / 1_000.0;
        for host in &mut self.hosts {
            for home in &mut host.homes {
                let behind = ms(now) - home.session.now;
                home.session.advance(behind);
                if now == host.started + DISCOVERY_MS && host.started > 0 {
                    home.session.handle(cold_event(now, 0));
                }
                if home.is_named && self.rng.random_bool(rate.min(1.0)) {
                    self.submitted += 1;
                    home.session.submit(self.submitted);
                }
                home.record_sends(&mut self.arrivals);
                home.answer_due(ms(now));
                home.record_sends(&mut self.arrivals);
            }
        }
    }

    fn run(mut self, changes: &[Change]) -> Self {
        for host in 0..self.hosts.len() {
            self.add(host, Set::Single, 0, self.hosts.len());
        }
        for now in (STEP_MS..DURATION_MS).step_by(STEP_MS as usize) {
            for change in changes {
                self.apply(*change, now);
            }
            self.step(now);
        }
        let homes = self.hosts.iter().flat_map(|host| &host.homes);
        let finishes = homes.flat_map(|home| &home.session.finishes);
        let is_answered = |(_, outcome): &&(u128, Outcome)| matches!(outcome, Outcome::Answered(_));
        self.answered = finishes.filter(is_answered).count();
        self
    }

    /// Returns the most arrivals at a server within a second.
    fn peak(&self, to: BackendServerId) -> usize {
        let times = self.arrivals.iter().filter(|(_, server)| *server == to);
        session::peak_rate(times.map(|(at, _)| *at).collect())
    }
}

/// Returns the limits of the cold servers at a host; one that starts has none of the rate at first.
fn cold_event(now: u64, started: u64) -> Event {
    let is_starting = started > 0 && now < started + DISCOVERY_MS;
    let limit = ColdLimit {
        until: ms(10 * DURATION_MS),
        max_rate: if is_starting { 0.0 } else { MAX_RATE },
    };
    Event::Cold(cold_servers().map(|server| (server, limit)).into())
}

impl Home {
    fn record_sends(&mut self, arrivals: &mut Vec<(Time, BackendServerId)>) {
        while let Some(send) = self.session.sends.get(self.sends_seen) {
            if cold_servers().contains(&send.backend_server) {
                arrivals.push((self.session.now, send.backend_server));
            }
            self.due.push((self.session.now + ms(10), self.sends_seen));
            self.sends_seen += 1;
        }
    }

    fn answer_due(&mut self, now: Time) {
        let due = std::mem::take(&mut self.due).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = due.partition(|(at, _)| *at <= now);
        self.due = later;
        for (_, index) in due {
            let send = self.session.sends[index].clone();
            self.session.answer(&send);
        }
    }
}

// Guards against a cold server that gets its quota once for each home of a host, and crashes.
#[test_case(3, &[]; "three_hosts")]
#[test_case(3, &[Change::Add(2_000, Set::WithSecond), Change::Add(2_000, Set::WithThird)]; "two_overlapping_sets_are_added")]
#[test_case(3, &[Change::Add(2_000, Set::All)]; "a_larger_set_is_added")]
#[test_case(9, &[Change::Add(1_000, Set::All), Change::Remove(4_000, Set::All)]; "a_larger_set_is_added_and_removed")]
#[test_case(9, &[Change::Add(1_000, Set::WithSecond), Change::Remove(3_000, Set::Single), Change::Add(3_500, Set::WithThird), Change::Remove(5_000, Set::WithSecond), Change::Add(5_000, Set::Single), Change::Add(6_000, Set::All)]; "changes_in_series")]
#[test_case(9, &[Change::Add(1_000, Set::WithThird), Change::Restart(2_000), Change::Add(3_000, Set::All), Change::Restart(5_500)]; "restarts_between_changes")]
#[test_case(9, &[Change::Add(1_000, Set::WithSecond), Change::Cut(2_000, 6_000), Change::Add(3_000, Set::WithThird)]; "a_cut_between_hosts")]
#[test_case(91, &[Change::Add(1_000, Set::WithSecond), Change::Add(2_000, Set::WithThird)]; "many_hosts")]
#[test_case(91, &[Change::Add(1_000, Set::All), Change::Restart(2_000), Change::Cut(3_000, 6_000), Change::Remove(5_000, Set::Single)]; "many_hosts_restart_and_are_cut")]
fn cold_server_of_several_homes_stays_within_max_rate(hosts: usize, changes: &[Change]) {
    let simulation = Simulation::new(hosts).run(changes);
    for server in cold_servers() {
        let peak = simulation.peak(server);
        assert!(peak as f64 <= MAX_RATE, "{peak} in a second at {server}");
        assert!(peak > 0, "{server} is warmed up");
    }
    // Two servers at half of the maximum rate each, without the time for which restarted hosts wait.
    let least = 2.0 * MAX_RATE / 2.0 * (DURATION_MS / 1_000) as f64 / 3.0;
    assert!(
        simulation.answered as f64 >= least,
        "{} of {} requests answered",
        simulation.answered,
        simulation.submitted
    );
}
