//! Event loop of the simulation.

mod callers;
mod faults;
mod servers;

use crate::simulation::day::Day;
use crate::simulation::host::{Driver, NoContent};
use crate::simulation::server::{ConnectionKey, JobId, Server};
use crate::simulation::site::Site;
use crate::simulation::statistics::Statistics;
use crate::simulation::timeline::Timeline;
use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::attempt::{AttemptId, Failure};
use monsoonring_decision::gateway::table::Route;
use monsoonring_decision::home::action::Send;
use monsoonring_decision::home::{Action, Event};
use monsoonring_decision::outcome::Outcome;
use monsoonring_decision::policy::Policy;
use monsoonring_decision::{RequestId, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Time before the first request, in which homes open connections.
const WARM_UP: Duration = Duration::from_secs(5);

/// Time after which a cancelled attempt's connection is closed, as in the daemon.
const CANCEL_CLOSE_DELAY: Duration = Duration::from_millis(200);

/// A caller retries after a refusal if the wait is at most the remaining time divided by this.
const MAX_WAIT_DIVISOR: u32 = 3;

/// Maximum number of retries of a caller.
const MAX_RETRIES: u32 = 1;

/// An event of the simulation.
enum ScheduledEvent {
    /// A request of a kind is due.
    Arrival(usize),
    /// A caller's request reaches a host.
    RequestReceived(Caller),
    /// An answer, refusal or failure reaches a caller.
    AnswerReceived(Caller, Reply),
    /// An event reaches the home of a host and pool.
    HomeEvent(usize, usize, Event<NoContent>),
    /// The server has closed a connection.
    ConnectionClosed(ConnectionKey),
    /// A connection request reaches a server.
    Connect(ConnectionKey, usize),
    /// An attempt reaches a server over this connection.
    Attempt(ConnectionKey, usize, Box<Send<NoContent>>),
    /// The close of a connection reaches a server.
    Disconnect(ConnectionKey, usize),
    /// A server has finished a job.
    JobDone(usize, JobId),
    /// A fault starts (`true`) or ends (`false`).
    FaultChanged(usize, bool),
}

/// A caller with a request.
#[derive(Clone, Copy, Debug)]
struct Caller {
    id: RequestId,
    kind: usize,
    requested_at: Time,
    retries: u32,
    /// Whether this request is a retry after a refusal.
    was_refused: bool,
}

/// Result that a caller receives.
#[derive(Clone, Copy, Debug)]
enum Reply {
    Answer(f64),
    Refused(Duration),
    Failed,
}

struct World<'a> {
    site: &'a Site,
    day: &'a Day,
    rng: ChaCha8Rng,
    now: Time,
    timeline: Timeline<ScheduledEvent>,
    host_data_centres: Vec<usize>,
    /// Homes by host and pool.
    homes: Vec<Vec<Driver>>,
    servers: Vec<Server>,
    /// Data centre of each server.
    server_data_centres: Vec<usize>,
    /// Index of each server by its address.
    servers_by_address: HashMap<BackendServerId, usize>,
    /// Server of each connection that is not closed.
    open: HashMap<ConnectionKey, usize>,
    /// Servers affected by each fault, by index of the fault.
    affected: HashMap<usize, Vec<usize>>,
    /// Routes by kind of request.
    routes: Vec<Route>,
    callers: HashMap<RequestId, Caller>,
    /// Shards that each request in progress has sent attempts to.
    reached: HashMap<RequestId, HashSet<u64>>,
    next_request: RequestId,
    burst: f64,
    statistics: Statistics,
}

/// Simulates a day with a seed.
pub fn run(site: &Site, day: &Day, policy: Policy, seed: u64) -> Statistics {
    let mut world = World::new(site, day, policy, seed);
    while let Some((at, next)) = world.timeline.pop() {
        world.now = at;
        world.dispatch(next);
        if world.callers.is_empty() && at > WARM_UP + day.length {
            break;
        }
    }
    world.statistics
}

impl<'a> World<'a> {
    fn new(site: &'a Site, day: &'a Day, policy: Policy, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut servers, mut server_data_centres, mut servers_by_address) =
            (Vec::new(), Vec::new(), HashMap::new());
        for (pool, of) in site.pools.iter().enumerate() {
            for (shard, replica) in
                (0..of.shards).flat_map(|s| (0..of.replicas).map(move |r| (s, r)))
            {
                servers_by_address.insert(Site::address(pool, shard, replica), servers.len());
                server_data_centres.push(site.data_centre(shard, replica));
                servers.push(Server::new(of, &mut rng));
            }
        }
        let mut world = Self {
            routes: site.kinds.iter().map(|kind| site.route(kind)).collect(),
            host_data_centres: site.host_data_centres(),
            homes: Vec::new(),
            servers,
            server_data_centres,
            servers_by_address,
            open: HashMap::new(),
            affected: HashMap::new(),
            timeline: Timeline::default(),
            callers: HashMap::new(),
            reached: HashMap::new(),
            next_request: 1,
            burst: 1.0,
            statistics: Statistics::new(site, day.length),
            now: Time::ZERO,
            site,
            day,
            rng,
        };
        world.set_up(policy);
        world
    }

    fn set_up(&mut self, policy: Policy) {
        let known = (&self.site.table(), &self.site.registry());
        for host in 0..self.host_data_centres.len() {
            self.homes.push(Vec::new());
            for pool in 0..self.site.pools.len() {
                let seed = self.rng.random();
                let (driver, actions) = Driver::start(
                    self.site,
                    known,
                    pool,
                    self.host_data_centres[host],
                    policy,
                    seed,
                );
                self.homes[host].push(driver);
                self.carry_out(host, pool, actions);
            }
        }
        for kind in 0..self.site.kinds.len() {
            self.timeline.add(WARM_UP, ScheduledEvent::Arrival(kind));
        }
        for (number, fault) in self.day.faults.iter().enumerate() {
            self.timeline.add(
                WARM_UP + fault.at,
                ScheduledEvent::FaultChanged(number, true),
            );
            let end = WARM_UP + fault.at + fault.length;
            self.timeline
                .add(end, ScheduledEvent::FaultChanged(number, false));
        }
    }

    fn dispatch(&mut self, next: ScheduledEvent) {
        match next {
            ScheduledEvent::Arrival(kind) => self.arrival(kind),
            ScheduledEvent::RequestReceived(caller) => self.receive_request(caller),
            ScheduledEvent::AnswerReceived(caller, reply) => self.receive_answer(caller, reply),
            ScheduledEvent::HomeEvent(host, pool, event) => self.deliver(host, pool, event),
            ScheduledEvent::ConnectionClosed(key) => {
                self.open.remove(&key);
                for event in self.homes[key.host][key.pool].close_events(key.connection) {
                    self.deliver(key.host, key.pool, event);
                }
            }
            ScheduledEvent::Connect(key, server) => self.connect(key, server),
            ScheduledEvent::Attempt(key, server, send) => self.attempt(key, server, *send),
            ScheduledEvent::Disconnect(key, server) => {
                let started = self.servers[server].disconnect(key, self.now);
                self.schedule_jobs(server, started);
            }
            ScheduledEvent::JobDone(server, number) => self.complete_job(server, number),
            ScheduledEvent::FaultChanged(number, starts) => self.change_fault(number, starts),
        }
    }

    fn deliver(&mut self, host: usize, pool: usize, event: Event<NoContent>) {
        let actions = self.homes[host][pool].handle(event, self.now);
        self.carry_out(host, pool, actions);
    }

    fn carry_out(&mut self, host: usize, pool: usize, actions: Vec<Action<NoContent>>) {
        for action in actions {
            match action {
                Action::Open(connection, address) => {
                    let key = ConnectionKey {
                        host,
                        pool,
                        connection,
                    };
                    let (server, delay) = self.server_and_delay(host, address);
                    self.open.insert(key, server);
                    let at = self.now + delay;
                    self.timeline.add(at, ScheduledEvent::Connect(key, server));
                }
                Action::Close(connection) => self.close(host, pool, connection),
                Action::Send(send) => self.send(host, pool, send),
                Action::Cancel(attempt, _) => self.cancel(host, pool, attempt),
                Action::Finish(request, outcome) => self.finish(request, &outcome),
                Action::Wake(at) => {
                    self.timeline
                        .add(at, ScheduledEvent::HomeEvent(host, pool, Event::Tick));
                }
                Action::AnnounceLeaving(..)
                | Action::AnnounceSuspect(..)
                | Action::AnnounceCrashEvidence(..)
                | Action::Log(_) => {}
            }
        }
    }

    fn close(&mut self, host: usize, pool: usize, connection: u64) {
        let key = ConnectionKey {
            host,
            pool,
            connection,
        };
        if let Some(server) = self.open.remove(&key) {
            let at = self.now + self.delay(host, self.server_data_centres[server]);
            self.timeline
                .add(at, ScheduledEvent::Disconnect(key, server));
        }
    }

    fn send(&mut self, host: usize, pool: usize, send: Send<NoContent>) {
        let now = self.now.saturating_sub(WARM_UP);
        let range = send.ranges.first().map_or(0, |range| range.start);
        if let Some(reached) = self.reached.get_mut(&send.request) {
            self.statistics.record_attempt(now, reached.insert(range));
        }
        if !self.homes[host][pool]
            .connections
            .contains_key(&send.connection)
        {
            let failed = Event::Failed(send.attempt, Failure::NotSent);
            self.timeline
                .add(self.now, ScheduledEvent::HomeEvent(host, pool, failed));
            return;
        }
        let key = ConnectionKey {
            host,
            pool,
            connection: send.connection,
        };
        let (server, delay) = self.server_and_delay(host, send.backend_server);
        let next = ScheduledEvent::Attempt(key, server, Box::new(send));
        self.timeline.add(self.now + delay, next);
    }

    fn cancel(&mut self, host: usize, pool: usize, attempt: AttemptId) {
        let dropped = Event::Failed(attempt, Failure::Dropped);
        let next = ScheduledEvent::HomeEvent(host, pool, dropped);
        self.timeline.add(self.now + CANCEL_CLOSE_DELAY, next);
    }

    fn finish(&mut self, request: RequestId, outcome: &Outcome<()>) {
        self.reached.remove(&request);
        let Some(caller) = self.callers.remove(&request) else {
            return;
        };
        let reply = match outcome {
            Outcome::Answered(answer) => Reply::Answer(answer.coverage),
            Outcome::NotRun { retry_after, .. } => Reply::Refused(retry_after.unwrap_or_default()),
            _ => Reply::Failed,
        };
        let at = self.now + self.site.caller_delay;
        self.timeline
            .add(at, ScheduledEvent::AnswerReceived(caller, reply));
    }

    /// Returns the index of a server and the one-way delay to it.
    fn server_and_delay(&self, host: usize, address: BackendServerId) -> (usize, Duration) {
        let server = self.servers_by_address[&address];
        (server, self.delay(host, self.server_data_centres[server]))
    }

    fn delay(&self, host: usize, data_centre: usize) -> Duration {
        match self.host_data_centres[host] == data_centre {
            true => self.site.delay.0,
            false => self.site.delay.1,
        }
    }
}
