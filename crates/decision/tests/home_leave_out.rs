//! Searches over groups some of which are short of servers, played against servers that queue.

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

/// Time that a server works on an attempt, in milliseconds.
const WORK: u64 = 20;

/// Time up to the soft deadline, and that in which an answer is worth most, in milliseconds.
const SOFT: u64 = 100;
const OBJECTIVE: u64 = 106;

const SEARCHES: u64 = 400;

/// One backend server: what it works on, with the time left, and what waits.
#[derive(Default)]
struct Queue {
    running: Vec<(Send, u64)>,
    waiting: VecDeque<Send>,
}

impl Queue {
    /// Lets a millisecond pass. Returns what was finished.
    fn step(&mut self) -> Vec<Send> {
        self.running.iter_mut().for_each(|(_, left)| *left -= 1);
        let (done, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(_, left)| *left == 0);
        self.running = running;
        while self.running.len() < SLOTS {
            let Some(next) = self.waiting.pop_front() else {
                break;
            };
            self.running.push((next, WORK));
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

/// The load, and what came of it.
struct Played {
    session: Session,
    servers: BTreeMap<BackendServerId, Queue>,
    sent: usize,
    cancelled: usize,
    began: BTreeMap<u128, u64>,
    took: BTreeMap<u128, u64>,
}

impl Played {
    fn step(&mut self, now: u64) {
        let session = &mut self.session;
        session.pass(ms(1));
        for attempt in session.cancels.split_off(self.cancelled) {
            for queue in self.servers.values_mut() {
                if let Some(at) = queue.waiting.iter().position(|one| one.attempt == attempt) {
                    queue.waiting.remove(at);
                    let report = queue.report();
                    session.fail(attempt, Failure::Cancelled { report });
                }
            }
        }
        self.cancelled = session.cancels.len();
        for send in &session.sends[self.sent..] {
            let queue = self.servers.entry(send.backend_server).or_default();
            queue.waiting.push_back(send.clone());
        }
        self.sent = session.sends.len();
        for queue in self.servers.values_mut() {
            for send in queue.step() {
                let mut reply = reply(&send.ranges, session::VERSION);
                reply.report = queue.report();
                session.on(Event::Reply(send.attempt, reply));
            }
        }
        for (id, began) in &self.began {
            if session.is_finished(*id) {
                self.took.entry(*id).or_insert(now - began);
            }
        }
    }

    fn in_time(&self) -> usize {
        let answered = |id: &u128| matches!(self.session.outcome(*id), Outcome::Answered(_));
        let in_time = self.took.iter().filter(|(_, took)| **took <= OBJECTIVE);
        in_time.filter(|(id, _)| answered(id)).count()
    }
}

/// Plays searches that come every so many milliseconds, where `short` groups have one server and the
/// others three.
fn play(short: usize, every: u64) -> Played {
    let mut groups = route(GROUPS, 3);
    groups.capacity.slots = SLOTS as u32;
    groups.deadline_ms = 2 * SOFT;
    for group in &mut groups.groups[..short] {
        group.backend_servers.truncate(1);
    }
    let mut played = Played {
        session: Session::divided(groups, Division::among_all_hosts(2, 4.0)),
        servers: (0..short)
            .map(|one| (server(one, 0), Queue::default()))
            .collect(),
        sent: 0,
        cancelled: 0,
        began: BTreeMap::new(),
        took: BTreeMap::new(),
    };
    for now in 0..SEARCHES * every + 4 * SOFT {
        let id = u128::from(now / every) + 1;
        if now % every == 0 && id <= u128::from(SEARCHES) {
            let terms = Params {
                kind: Kind::Search,
                max_runs: 2,
                soft_deadline: Some(SoftDeadline {
                    after_ms: SOFT,
                    coverage: 0.9,
                }),
                min_coverage: 0.9,
                work: 1,
                urgency: None,
            };
            played.began.insert(id, now);
            let asked = Request {
                params: Some(terms),
                ..request(id, played.session.now)
            };
            played.session.on(Event::Request(asked));
        }
        played.step(now);
    }
    played
}

// Symptom: one search in four is answered late and one in twenty refused, though each could do without
//          one group of ten.
// Events:  two groups have one server of three left, and more is asked of each than it can do.
// Cause:   every search asked both; the more waited for, the later all were.
#[test_case(1, 9; "one_group_short")]
#[test_case(2, 9; "two_groups_short")]
#[test_case(2, 7; "two_groups_far_short")]
fn search_groups_short_of_servers_answers_in_time(short: usize, every: u64) {
    let played = play(short, every);
    let share = played.in_time() as f64 / SEARCHES as f64;
    assert!(share >= 0.95, "{share} in time");
}

#[test]
fn search_with_servers_enough_leaves_nothing_out() {
    let played = play(0, 9);
    assert!(!played.session.logged("leave_out"));
    assert!(played.in_time() as u64 == SEARCHES);
}
