//! Homes that take servers for slower than they are, and refuse what could be served.
//!
//! Servers are idle: each attempt takes its work, or until the deadline that it was sent with.

mod session;

use monsoonring_configuration::document::Kind;
use monsoonring_decision::admission::Urgency;
use monsoonring_decision::attempt::Failure;
use monsoonring_decision::home::Params;
use monsoonring_decision::home::action::Send;
use monsoonring_decision::home::event::{Event, Request};
use monsoonring_decision::outcome::Outcome;
use monsoonring_decision::placement::Division;
use monsoonring_decision::{RequestId, WorkKind};
use session::{Session, ms, reply, request, route};
use std::collections::HashMap;
use test_case::test_case;

/// Servers of each shard.
const REPLICAS: usize = 7;

/// A kind of request; times are in milliseconds.
#[derive(Clone, Copy, Debug)]
struct RequestKind {
    name: WorkKind,
    work: u64,
    timeout: u64,
}

/// Longer than its timeout.
const REPORT: RequestKind = RequestKind {
    name: 1,
    work: 3_000,
    timeout: 2_000,
};

const CHECK: RequestKind = RequestKind {
    name: 2,
    work: 5,
    timeout: 1_000,
};

const QUICK_CHECK: RequestKind = RequestKind {
    timeout: 250,
    ..CHECK
};

/// A quick request of the kind that was too long before.
const QUICK_REPORT: RequestKind = RequestKind {
    work: 5,
    timeout: 1_000,
    ..REPORT
};

/// Takes most of its timeout.
const EXPORT: RequestKind = RequestKind {
    name: 3,
    work: 1_500,
    timeout: 2_000,
};

impl RequestKind {
    fn params(&self) -> Params {
        Params {
            kind: Kind::Search,
            max_runs: 2,
            soft_deadline: None,
            min_coverage: 0.0,
            work: self.name,
            urgency: Some(Urgency {
                rank: 2,
                objective: ms(self.timeout / 2),
            }),
        }
    }
}

/// An attempt at a server.
struct Running {
    home: usize,
    send: Send,
    ends: u64,
    is_finished: bool,
}

/// Homes and their servers.
struct Simulation {
    homes: Vec<Session>,
    now: u64,
    sends_seen: Vec<usize>,
    running: Vec<Running>,
    kinds: HashMap<RequestId, RequestKind>,
    /// Homes that are stopped, and since when their events wait.
    stopped: Vec<bool>,
    next: RequestId,
}

impl Simulation {
    fn new(homes: usize, shards: usize) -> Self {
        let mut route = route(shards, REPLICAS);
        route.deadline_ms = 1_000;
        let home =
            || Session::with_division(route.clone(), Division::among_all_hosts(homes, 100.0));
        Self {
            homes: (0..homes).map(|_| home()).collect(),
            now: 0,
            sends_seen: vec![0; homes],
            running: Vec::new(),
            kinds: HashMap::new(),
            stopped: vec![false; homes],
            next: 0,
        }
    }

    /// Submits a request to a home.
    fn submit(&mut self, home: usize, kind: RequestKind) -> RequestId {
        self.next += 1;
        let id = self.next;
        self.kinds.insert(id, kind);
        let session = &mut self.homes[home];
        session.handle(Event::Request(Request {
            deadline: session.now + ms(kind.timeout),
            params: Some(kind.params()),
            ..request(id, session.now)
        }));
        id
    }

    fn advance(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            self.now += 1;
            self.step();
        }
    }

    fn step(&mut self) {
        for home in 0..self.homes.len() {
            if self.stopped[home] {
                continue;
            }
            let behind = ms(self.now) - self.homes[home].now;
            self.homes[home].advance(behind);
            for send in &self.homes[home].sends[self.sends_seen[home]..] {
                let kind = self.kinds[&send.request];
                let deadline = u64::try_from(send.deadline.as_millis()).expect("a short time");
                self.running.push(Running {
                    home,
                    send: send.clone(),
                    ends: (self.now + kind.work).min(deadline),
                    is_finished: self.now + kind.work <= deadline,
                });
            }
            self.sends_seen[home] = self.homes[home].sends.len();
        }
        let is_done = |running: &Running| running.ends <= self.now && !self.stopped[running.home];
        let running = std::mem::take(&mut self.running).into_iter();
        let (done, running): (Vec<_>, Vec<_>) = running.partition(is_done);
        self.running = running;
        for Running {
            home,
            send,
            is_finished,
            ..
        } in done
        {
            let event = match is_finished {
                true => Event::Reply(send.attempt, reply(&send.ranges, session::VERSION)),
                false => Event::Failed(
                    send.attempt,
                    Failure::ServerError {
                        report: session::report(&[session::VERSION]),
                    },
                ),
            };
            self.homes[home].handle(event);
        }
    }

    fn is_answered(&self, home: usize, id: RequestId) -> bool {
        let mut finishes = self.homes[home].finishes.iter();
        finishes
            .any(|(finished, outcome)| *finished == id && matches!(outcome, Outcome::Answered(_)))
    }

    /// Submits requests to every home, one after the other, and returns the least share that a home answers.
    fn served(&mut self, kind: RequestKind, count: usize, pause: u64) -> f64 {
        let mut submitted = Vec::new();
        for _ in 0..count {
            for home in 0..self.homes.len() {
                submitted.push((home, self.submit(home, kind)));
            }
            self.advance(pause);
        }
        self.advance(kind.timeout);
        let share = |home| {
            let own = submitted.iter().filter(|(at, _)| *at == home);
            let answered = own.filter(|(home, id)| self.is_answered(*home, *id));
            answered.count() as f64 / count as f64
        };
        (0..self.homes.len()).map(share).fold(1.0, f64::min)
    }

    /// Stops a home or lets it go on, as SIGSTOP and SIGCONT do.
    fn set_stopped(&mut self, stopped: bool) {
        self.stopped.fill(stopped);
    }
}

// Guards against a service that is refused for good because the first requests outlasted their timeout.
#[test_case(1, 1, CHECK; "one_home")]
#[test_case(3, 1, CHECK; "three_homes")]
#[test_case(9, 1, CHECK; "nine_homes")]
#[test_case(1, 4, CHECK; "one_home_four_shards")]
#[test_case(9, 4, CHECK; "nine_homes_four_shards")]
#[test_case(3, 1, QUICK_CHECK; "quick")]
#[test_case(9, 1, QUICK_REPORT; "of_the_same_kind")]
#[test_case(9, 4, QUICK_REPORT; "of_the_same_kind_four_shards")]
fn request_after_others_outlasted_their_timeout_is_served(
    homes: usize,
    shards: usize,
    kind: RequestKind,
) {
    let mut simulation = Simulation::new(homes, shards);
    for _ in 0..2 {
        for home in 0..homes {
            simulation.submit(home, REPORT);
        }
        simulation.advance(REPORT.timeout + 500);
    }
    simulation.advance(4_000);
    let served = simulation.served(kind, 80, 500);
    assert!(served >= 0.95, "{served} of the requests are served");
}

// Guards against a service that is refused for good because the host stood still with its first request in flight.
#[test_case(1, 1, 1_500, CHECK; "one_home")]
#[test_case(3, 1, 2_500, CHECK; "three_homes")]
#[test_case(9, 1, 2_000, QUICK_CHECK; "nine_homes")]
#[test_case(3, 4, 2_500, QUICK_CHECK; "four_shards")]
fn request_after_the_home_stood_still_is_served(
    homes: usize,
    shards: usize,
    stopped_ms: u64,
    kind: RequestKind,
) {
    let mut simulation = Simulation::new(homes, shards);
    simulation.advance(100);
    let first = RequestKind {
        timeout: 8_000,
        ..kind
    };
    for home in 0..homes {
        simulation.submit(home, first);
    }
    simulation.advance(2);
    simulation.set_stopped(true);
    simulation.advance(stopped_ms);
    simulation.set_stopped(false);
    simulation.advance(100);
    let served = simulation.served(kind, 80, 100);
    assert!(served >= 0.95, "{served} of the requests are served");
}

// Guards against quick requests that are refused by the service time of long ones at the same servers.
#[test_case(1, 1; "one_home")]
#[test_case(9, 1; "nine_homes")]
#[test_case(3, 4; "four_shards")]
fn request_beside_long_ones_is_served(homes: usize, shards: usize) {
    let mut simulation = Simulation::new(homes, shards);
    for _ in 0..20 {
        for home in 0..homes {
            simulation.submit(home, EXPORT);
        }
        simulation.advance(EXPORT.work);
    }
    let served = simulation.served(CHECK, 80, 100);
    assert!(served >= 0.95, "{served} of the requests are served");
}

// Guards against probes that take the servers from requests that can be served.
#[test_case(1; "one_home")]
#[test_case(3; "three_homes")]
#[test_case(9; "nine_homes")]
fn request_that_cannot_be_served_is_rarely_sent(homes: usize) {
    let mut simulation = Simulation::new(homes, 1);
    let hopeless = RequestKind {
        timeout: 1_000,
        ..REPORT
    };
    // The homes learn how long the kind takes at least.
    for home in 0..homes {
        simulation.submit(home, REPORT);
    }
    simulation.advance(REPORT.timeout + 500);
    let sends = |simulation: &Simulation| -> usize {
        simulation.homes.iter().map(|home| home.sends.len()).sum()
    };
    simulation.served(hopeless, 100, 100);
    let before = sends(&simulation);
    let requests = 200;
    simulation.served(hopeless, requests, 100);
    let sent = sends(&simulation) - before;
    // A request a second over all homes, each at two servers, in 20 s and the time until the last has ended.
    let seconds = requests / 10 + 1;
    assert!(sent > 0, "the belief is tested");
    assert!(
        sent <= 2 * seconds + 2 * homes,
        "{sent} attempts in {seconds} s"
    );
}
