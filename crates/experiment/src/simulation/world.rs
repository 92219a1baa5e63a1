//! The loop: callers ask, homes decide, servers work.

use super::day::{Day, Fault};
use super::host::{self, Blank, Driver};
use super::server::{Begun, Job, Line, Number, Server, Taken};
use super::site::Site;
use super::tally::{Ended, Tally};
use super::timeline::Timeline;
use super::work;
use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::attempt::{AttemptId, Failure, Refusal, Unopened};
use monsoonring_decision::home::action::Send;
use monsoonring_decision::home::event::Request;
use monsoonring_decision::home::{Action, Event, Terms};
use monsoonring_decision::outcome::Outcome;
use monsoonring_decision::policy::Policy;
use monsoonring_decision::{RequestId, Time};
use rand::seq::SliceRandom;
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
    terms: Vec<Terms>,
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
        let terms = site.kinds.iter().map(|kind| site.route(kind).terms());
        let mut world = Self {
            terms: terms.collect(),
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
        for host in 0..self.places.len() {
            self.homes.push(Vec::new());
            for pool in 0..self.site.pools.len() {
                let seed = self.rng.random();
                let (driver, actions) =
                    Driver::start(self.site, pool, self.places[host], policy, seed);
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

    fn arrival(&mut self, kind: usize) {
        if self.now >= LEAD + self.day.length {
            return;
        }
        let per_second = self.site.kinds[kind].per_second * self.burst;
        let gap = work::gap(per_second, &mut self.rng);
        self.timeline.add(self.now + gap, Next::Arrival(kind));
        let caller = Caller {
            id: self.next_request,
            kind,
            asked: self.now,
            retries: RETRIES,
            returns: false,
        };
        self.next_request += 1;
        self.ask(caller, self.now);
    }

    fn ask(&mut self, caller: Caller, at: Time) {
        let reaches = at + self.site.caller_delay;
        self.timeline.add(reaches, Next::Asked(caller));
    }

    fn asked(&mut self, caller: Caller) {
        let kind = &self.site.kinds[caller.kind];
        let host = self.rng.random_range(0..self.places.len());
        self.callers.insert(caller.id, caller);
        self.reached.insert(caller.id, HashSet::new());
        let request = Request {
            id: caller.id,
            caller: "caller".into(),
            class: self.site.route(kind).class(),
            deadline: caller.asked + kind.deadline,
            fingerprint: caller.id as u64,
            body: (),
            execute_key: None,
            terms: Some(self.terms[caller.kind]),
        };
        self.heard(host, kind.pool, Event::Request(request));
    }

    fn answered(&mut self, caller: Caller, reply: Reply) {
        let deadline = caller.asked + self.site.kinds[caller.kind].deadline;
        let left = deadline.saturating_sub(self.now);
        let back = match reply {
            Reply::Answer(coverage) if !left.is_zero() => {
                return self.ended(caller, Some(coverage));
            }
            Reply::Refused(wait) if wait <= left / PATIENCE => Some(wait),
            Reply::Failed if !left.is_zero() => Some(Duration::ZERO),
            _ => None,
        };
        if let Reply::Refused(_) = reply {
            self.tally.refused.0 += 1;
            self.tally.refused.1 += u64::from(caller.returns);
        }
        match back.filter(|_| caller.retries > 0) {
            Some(wait) => {
                let caller = Caller {
                    id: self.next_request,
                    retries: caller.retries - 1,
                    returns: matches!(reply, Reply::Refused(_)),
                    ..caller
                };
                self.next_request += 1;
                self.ask(caller, self.now + wait);
            }
            None => self.ended(caller, None),
        }
    }

    fn ended(&mut self, caller: Caller, coverage: Option<f64>) {
        let ended = Ended {
            kind: caller.kind,
            asked: caller.asked - LEAD,
            answer: coverage.map(|coverage| (self.now - LEAD, coverage)),
        };
        self.tally.ended(self.site, ended);
    }

    fn heard(&mut self, host: usize, pool: usize, event: Event<Blank>) {
        let actions = self.homes[host][pool].on(event, self.now);
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
                Action::TellLeaving(..) | Action::TellSuspect(..) | Action::Log(_) => {}
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

    fn connect(&mut self, line: Line, server: usize) {
        match self.servers[server].connect(line, self.now) {
            Taken::Begun(number, end) => self.timeline.add(end, Next::Done(server, number)),
            Taken::Waiting => {}
            Taken::Refused => {
                let why = match self.servers[server].down {
                    true => Unopened::Refused,
                    false => Unopened::Ended,
                };
                self.tally.unopened += u64::from(why == Unopened::Ended);
                self.tell(line, server, Event::Unopened(line.connection, why));
            }
        }
    }

    fn attempt(&mut self, line: Line, number: usize, send: Send<Blank>) {
        let server = &mut self.servers[number];
        if !server.has(line) {
            return;
        }
        let kind = self.callers.get(&send.request).map(|caller| caller.kind);
        let (mean, spread) = match kind {
            Some(kind) => self.site.kinds[kind].work,
            // Its caller has its answer already; the server does not know.
            None => self.site.kinds[0].work,
        };
        let took = work::duration(mean, spread, &mut self.rng);
        let refuses = server.refusing > 0.0 && self.rng.random_bool(server.refusing);
        let job = Job::Attempt(send.attempt, send.ranges);
        let taken = match refuses {
            true => Taken::Refused,
            false => server.attempt(line, job, took, self.now),
        };
        match taken {
            Taken::Begun(job, end) => self.timeline.add(end, Next::Done(number, job)),
            Taken::Waiting => {}
            Taken::Refused => {
                let failure = Failure::Refused {
                    refusal: Refusal::Shedding,
                    retry_after: None,
                    report: host::report(self.servers[number].load()),
                };
                self.tell(line, number, Event::Failed(send.attempt, failure));
            }
        }
    }

    fn done(&mut self, server: usize, number: Number) {
        let (ended, begun) = self.servers[server].done(number, self.now);
        self.begun(server, begun);
        let Some((line, job)) = ended else { return };
        let (load, failing) = (self.servers[server].load(), self.servers[server].failing);
        let event = match job {
            Job::Connect => Event::Opened(line.connection),
            Job::Attempt(attempt, _) if failing > 0.0 && self.rng.random_bool(failing) => {
                let report = host::report(load);
                Event::Failed(attempt, Failure::Ran { report })
            }
            Job::Attempt(attempt, ranges) => Event::Reply(attempt, host::reply(ranges, load)),
        };
        self.tell(line, server, event);
    }

    fn begun(&mut self, server: usize, begun: Vec<Begun>) {
        for (number, end) in begun {
            self.timeline.add(end, Next::Done(server, number));
        }
    }

    /// Sends something back over a connection.
    fn tell(&mut self, line: Line, server: usize, event: Event<Blank>) {
        let at = self.now + self.delay(line.host, self.stand[server]);
        self.timeline
            .add(at, Next::Heard(line.host, line.pool, event));
    }

    fn spell(&mut self, number: usize, begins: bool) {
        let fault = self.day.spells[number].fault;
        if begins {
            let chosen = self.choose(fault);
            self.chosen.insert(number, chosen);
        }
        for server in self.chosen.get(&number).cloned().unwrap_or_default() {
            self.strike(server, fault, begins);
        }
        if let Fault::Burst(factor) = fault {
            self.burst = if begins { factor } else { 1.0 };
        }
    }

    fn choose(&mut self, fault: Fault) -> Vec<usize> {
        let pool = &self.site.pools[0];
        let mut all: Vec<usize> = (0..pool.shards * pool.replicas).collect();
        match fault {
            Fault::Slow { share, .. }
            | Fault::Down { share }
            | Fault::Refusing { share, .. }
            | Fault::Failing { share, .. } => {
                all.shuffle(&mut self.rng);
                all.truncate((share * all.len() as f64).round() as usize);
                all
            }
            Fault::ShardDown => {
                let shard = self.rng.random_range(0..pool.shards);
                let first = shard * pool.replicas;
                (first..first + pool.replicas).collect()
            }
            Fault::Burst(_) => Vec::new(),
        }
    }

    fn strike(&mut self, number: usize, fault: Fault, begins: bool) {
        let server = &mut self.servers[number];
        match fault {
            Fault::Slow { factor, .. } => server.slow = if begins { factor } else { 1.0 },
            Fault::Refusing { chance, .. } => server.refusing = if begins { chance } else { 0.0 },
            Fault::Failing { chance, .. } => server.failing = if begins { chance } else { 0.0 },
            Fault::Down { .. } | Fault::ShardDown if !begins => server.down = false,
            Fault::Down { .. } | Fault::ShardDown => {
                for line in self.servers[number].crash() {
                    let at = self.now + self.delay(line.host, self.stand[number]);
                    self.timeline.add(at, Next::Ended(line));
                }
            }
            Fault::Burst(_) => {}
        }
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
