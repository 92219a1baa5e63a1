//! The loop: callers ask, homes decide, servers work.

mod callers;
mod servers;
mod spells;

use crate::simulation::day::Day;
use crate::simulation::host::{Blank, Driver};
use crate::simulation::server::{Line, Number, Server};
use crate::simulation::site::Site;
use crate::simulation::tally::Tally;
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

/// Time that hosts have before callers come.
const LEAD: Duration = Duration::from_secs(5);

/// Time after which a cancelled attempt's connection is closed, as the daemon does it.
const CLOSE_AFTER: Duration = Duration::from_millis(200);

/// Part of the time left that callers wait at most when they are told to come back.
const PATIENCE: u32 = 3;

/// Times that callers ask again after an answer that is none.
const RETRIES: u32 = 1;

/// Something to come.
enum Next {
    /// A request of a kind is due.
    Arrival(usize),
    /// A caller's request reaches a host.
    Asked(Caller),
    /// An answer, or its lack, reaches a caller.
    Answered(Caller, Reply),
    /// A home hears of something.
    Heard(usize, usize, Event<Blank>),
    /// The server at the other end of a connection has ended it.
    Ended(Line),
    /// Something reaches a server.
    Connect(Line, usize),
    /// An attempt that was sent on this connection does.
    Attempt(Line, usize, Box<Send<Blank>>),
    /// The end of a connection does.
    Disconnect(Line, usize),
    /// A server has finished a job.
    Done(usize, Number),
    /// A spell begins or ends.
    Spell(usize, bool),
}

/// A caller with a request.
#[derive(Clone, Copy, Debug)]
struct Caller {
    id: RequestId,
    kind: usize,
    asked: Time,
    retries: u32,
    /// Whether it comes back after a refusal.
    returns: bool,
}

/// What a caller gets.
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
    timeline: Timeline<Next>,
    places: Vec<usize>,
    /// By host, by pool.
    homes: Vec<Vec<Driver>>,
    servers: Vec<Server>,
    /// Data centre of each server.
    stand: Vec<usize>,
    /// By address: number of a server.
    numbers: HashMap<BackendServerId, usize>,
    /// Server at the other end of each connection that is not closed.
    ends: HashMap<Line, usize>,
    /// Servers of the first pool that a spell has chosen.
    chosen: HashMap<usize, Vec<usize>>,
    /// By kind of request.
    routes: Vec<Route>,
    callers: HashMap<RequestId, Caller>,
    /// Shards to which a request went already, while it is in progress.
    reached: HashMap<RequestId, HashSet<u64>>,
    next_request: RequestId,
    burst: f64,
    tally: Tally,
}

/// Plays a day under a seed.
pub fn run(site: &Site, day: &Day, policy: Policy, seed: u64) -> Tally {
    let mut world = World::new(site, day, policy, seed);
    while let Some((at, next)) = world.timeline.pop() {
        world.now = at;
        world.happens(next);
        if world.callers.is_empty() && at > LEAD + day.length {
            break;
        }
    }
    world.tally
}

impl<'a> World<'a> {
    fn new(site: &'a Site, day: &'a Day, policy: Policy, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut servers, mut stand, mut numbers) = (Vec::new(), Vec::new(), HashMap::new());
        for (pool, of) in site.pools.iter().enumerate() {
            for (shard, replica) in
                (0..of.shards).flat_map(|s| (0..of.replicas).map(move |r| (s, r)))
            {
                numbers.insert(Site::address(pool, shard, replica), servers.len());
                stand.push(site.place(shard, replica));
                servers.push(Server::new(of, &mut rng));
            }
        }
        let mut world = Self {
            routes: site.kinds.iter().map(|kind| site.route(kind)).collect(),
            places: site.host_places(),
            homes: Vec::new(),
            servers,
            stand,
            numbers,
            ends: HashMap::new(),
            chosen: HashMap::new(),
            timeline: Timeline::default(),
            callers: HashMap::new(),
            reached: HashMap::new(),
            next_request: 1,
            burst: 1.0,
            tally: Tally::new(site, day.length),
            now: Time::ZERO,
            site,
            day,
            rng,
        };
        world.begin(policy);
        world
    }

    fn begin(&mut self, policy: Policy) {
        let known = (&self.site.table(), &self.site.registry());
        for host in 0..self.places.len() {
            self.homes.push(Vec::new());
            for pool in 0..self.site.pools.len() {
                let seed = self.rng.random();
                let (driver, actions) =
                    Driver::start(self.site, known, pool, self.places[host], policy, seed);
                self.homes[host].push(driver);
                self.carry_out(host, pool, actions);
            }
        }
        for kind in 0..self.site.kinds.len() {
            self.timeline.add(LEAD, Next::Arrival(kind));
        }
        for (number, spell) in self.day.spells.iter().enumerate() {
            self.timeline
                .add(LEAD + spell.at, Next::Spell(number, true));
            let end = LEAD + spell.at + spell.length;
            self.timeline.add(end, Next::Spell(number, false));
        }
    }

    fn happens(&mut self, next: Next) {
        match next {
            Next::Arrival(kind) => self.arrival(kind),
            Next::Asked(caller) => self.asked(caller),
            Next::Answered(caller, reply) => self.answered(caller, reply),
            Next::Heard(host, pool, event) => self.heard(host, pool, event),
            Next::Ended(line) => {
                self.ends.remove(&line);
                for event in self.homes[line.host][line.pool].closed(line.connection) {
                    self.heard(line.host, line.pool, event);
                }
            }
            Next::Connect(line, server) => self.connect(line, server),
            Next::Attempt(line, server, send) => self.attempt(line, server, *send),
            Next::Disconnect(line, server) => {
                let begun = self.servers[server].disconnect(line, self.now);
                self.begun(server, begun);
            }
            Next::Done(server, number) => self.done(server, number),
            Next::Spell(number, begins) => self.spell(number, begins),
        }
    }

    fn heard(&mut self, host: usize, pool: usize, event: Event<Blank>) {
        let actions = self.homes[host][pool].handle(event, self.now);
        self.carry_out(host, pool, actions);
    }

    fn carry_out(&mut self, host: usize, pool: usize, actions: Vec<Action<Blank>>) {
        for action in actions {
            match action {
                Action::Open(connection, address) => {
                    let line = Line {
                        host,
                        pool,
                        connection,
                    };
                    let (server, delay) = self.way(host, address);
                    self.ends.insert(line, server);
                    let at = self.now + delay;
                    self.timeline.add(at, Next::Connect(line, server));
                }
                Action::Close(connection) => self.close(host, pool, connection),
                Action::Send(send) => self.send(host, pool, send),
                Action::Cancel(attempt, _) => self.cancel(host, pool, attempt),
                Action::Finish(request, outcome) => self.finish(request, &outcome),
                Action::Wake(at) => {
                    self.timeline.add(at, Next::Heard(host, pool, Event::Tick));
                }
                Action::AnnounceLeaving(..) | Action::AnnounceSuspect(..) | Action::Log(_) => {}
            }
        }
    }

    fn close(&mut self, host: usize, pool: usize, connection: u64) {
        let line = Line {
            host,
            pool,
            connection,
        };
        if let Some(server) = self.ends.remove(&line) {
            let at = self.now + self.delay(host, self.stand[server]);
            self.timeline.add(at, Next::Disconnect(line, server));
        }
    }

    fn send(&mut self, host: usize, pool: usize, send: Send<Blank>) {
        let now = self.now.saturating_sub(LEAD);
        let range = send.ranges.first().map_or(0, |range| range.start);
        if let Some(reached) = self.reached.get_mut(&send.request) {
            self.tally.sent(now, reached.insert(range));
        }
        if !self.homes[host][pool]
            .connections
            .contains_key(&send.connection)
        {
            let failed = Event::Failed(send.attempt, Failure::NotSent);
            self.timeline.add(self.now, Next::Heard(host, pool, failed));
            return;
        }
        let line = Line {
            host,
            pool,
            connection: send.connection,
        };
        let (server, delay) = self.way(host, send.backend_server);
        let next = Next::Attempt(line, server, Box::new(send));
        self.timeline.add(self.now + delay, next);
    }

    fn cancel(&mut self, host: usize, pool: usize, attempt: AttemptId) {
        let dropped = Event::Failed(attempt, Failure::Dropped);
        let next = Next::Heard(host, pool, dropped);
        self.timeline.add(self.now + CLOSE_AFTER, next);
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
        self.timeline.add(at, Next::Answered(caller, reply));
    }

    /// Returns the number of a server and the time to it.
    fn way(&self, host: usize, address: BackendServerId) -> (usize, Duration) {
        let server = self.numbers[&address];
        (server, self.delay(host, self.stand[server]))
    }

    fn delay(&self, host: usize, place: usize) -> Duration {
        match self.places[host] == place {
            true => self.site.delay.0,
            false => self.site.delay.1,
        }
    }
}
