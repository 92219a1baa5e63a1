//! Searches over groups that lack capacity, simulated against servers with queues.

mod session;

use monsoonring_configuration::document::{Kind, SoftDeadline};
use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::attempt::Failure;
use monsoonring_decision::home::Params;
use monsoonring_decision::home::action::Send;
use monsoonring_decision::home::event::{Event, Request};
use monsoonring_decision::outcome::Outcome;
use monsoonring_decision::placement::Division;
use monsoonring_decision::reply::{Load, Report};
use session::{Session, ms, reply, request, route, server};
use std::collections::{BTreeMap, VecDeque};
use test_case::test_case;

const GROUPS: usize = 10;
const SLOTS: usize = 2;

/// Service time of an attempt, in milliseconds.
const WORK_MS: u64 = 20;

/// Soft deadline after the start of a search, in milliseconds.
const SOFT_DEADLINE_MS: u64 = 100;

/// Latency up to which an answer is in time, in milliseconds.
const OBJECTIVE_MS: u64 = 106;

const SEARCH_COUNT: u64 = 400;

/// A backend server: attempts in service with their remaining time, and waiting attempts.
#[derive(Default)]
struct Queue {
    running: Vec<(Send, u64)>,
    waiting: VecDeque<Send>,
}

impl Queue {
    /// Advances by a millisecond and returns the finished attempts.
    fn step(&mut self) -> Vec<Send> {
        self.running
            .iter_mut()
            .for_each(|(_, remaining)| *remaining -= 1);
        let (done, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(_, remaining)| *remaining == 0);
        self.running = running;
        while self.running.len() < SLOTS {
            let Some(next) = self.waiting.pop_front() else {
                break;
            };
            self.running.push((next, WORK_MS));
        }
        let done: Vec<(Send, u64)> = done;
        done.into_iter().map(|(send, _)| send).collect()
    }

    fn report(&self) -> Report {
        Report {
            load: Some(Load {
                busy: self.running.len() as u32,
                queued: self.waiting.len() as u32,
                slots: SLOTS as u32,
            }),
            ..session::report(&[session::VERSION])
        }
    }
}

/// A home with simulated servers, and the start and duration of each search.
struct Simulation {
    session: Session,
    servers: BTreeMap<BackendServerId, Queue>,
    sends_seen: usize,
    cancels_seen: usize,
    starts: BTreeMap<u128, u64>,
    durations: BTreeMap<u128, u64>,
}

impl Simulation {
    fn step(&mut self, now: u64) {
        let session = &mut self.session;
        session.advance(ms(1));
        for attempt in session.cancels.split_off(self.cancels_seen) {
            for queue in self.servers.values_mut() {
                if let Some(index) = queue
                    .waiting
                    .iter()
                    .position(|send| send.attempt == attempt)
                {
                    queue.waiting.remove(index);
                    let report = queue.report();
                    session.fail(attempt, Failure::Cancelled { report });
                }
            }
        }
        self.cancels_seen = session.cancels.len();
        for send in &session.sends[self.sends_seen..] {
            let queue = self.servers.entry(send.backend_server).or_default();
            queue.waiting.push_back(send.clone());
        }
        self.sends_seen = session.sends.len();
        for queue in self.servers.values_mut() {
            for send in queue.step() {
                let mut reply = reply(&send.ranges, session::VERSION);
                reply.report = queue.report();
                session.handle(Event::Reply(send.attempt, reply));
            }
        }
        for (id, start) in &self.starts {
            if session.is_finished(*id) {
                self.durations.entry(*id).or_insert(now - start);
            }
        }
    }

    fn in_time(&self) -> usize {
        let answered = |id: &u128| matches!(self.session.outcome(*id), Outcome::Answered(_));
        let in_time = self
            .durations
            .iter()
            .filter(|(_, duration)| **duration <= OBJECTIVE_MS);
        in_time.filter(|(id, _)| answered(id)).count()
    }
}

/// Simulates a search every `interval` milliseconds. The first `short_groups` groups have one server,
/// the others three.
fn simulate(short_groups: usize, interval: u64) -> Simulation {
    let mut groups = route(GROUPS, 3);
    groups.capacity.slots = SLOTS as u32;
    groups.deadline_ms = 2 * SOFT_DEADLINE_MS;
    for group in &mut groups.groups[..short_groups] {
        group.backend_servers.truncate(1);
    }
    let mut simulation = Simulation {
        session: Session::with_division(groups, Division::among_all_hosts(2, 4.0)),
        servers: (0..short_groups)
            .map(|group| (server(group, 0), Queue::default()))
            .collect(),
        sends_seen: 0,
        cancels_seen: 0,
        starts: BTreeMap::new(),
        durations: BTreeMap::new(),
    };
    for now in 0..SEARCH_COUNT * interval + 4 * SOFT_DEADLINE_MS {
        let id = u128::from(now / interval) + 1;
        if now % interval == 0 && id <= u128::from(SEARCH_COUNT) {
            let params = Params {
                kind: Kind::Search,
                max_runs: 2,
                soft_deadline: Some(SoftDeadline {
                    after_ms: SOFT_DEADLINE_MS,
                    coverage: 0.9,
                }),
                min_coverage: 0.9,
                work: 1,
                urgency: None,
            };
            simulation.starts.insert(id, now);
            let request_with_params = Request {
                params: Some(params),
                ..request(id, simulation.session.now)
            };
            simulation
                .session
                .handle(Event::Request(request_with_params));
        }
        simulation.step(now);
    }
    simulation
}

// Guards against late and refused searches when one or two overloaded groups, which an answer can
// do without, are waited for by every search.
#[test_case(1, 9; "one_group_short")]
#[test_case(2, 9; "two_groups_short")]
#[test_case(2, 7; "two_groups_far_short")]
fn search_groups_short_of_servers_are_left_out_to_be_in_time(short_groups: usize, interval: u64) {
    let simulation = simulate(short_groups, interval);
    let share = simulation.in_time() as f64 / SEARCH_COUNT as f64;
    assert!(share >= 0.95, "{share} in time");
}

#[test]
fn search_with_enough_servers_leaves_nothing_out() {
    let simulation = simulate(0, 9);
    assert!(!simulation.session.has_logged("leave_out"));
    assert!(simulation.in_time() as u64 == SEARCH_COUNT);
}
