//! Searches of several ranks at overloaded servers, simulated with several homes and servers with
//! queues.

mod session;

use monsoonring_configuration::document::{Kind, SoftDeadline};
use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::RequestId;
use monsoonring_decision::admission::{Rank, Urgency};
use monsoonring_decision::attempt::Failure;
use monsoonring_decision::home::Params;
use monsoonring_decision::home::action::Send;
use monsoonring_decision::home::event::{Event, Request};
use monsoonring_decision::outcome::{Outcome, Reason};
use monsoonring_decision::placement::Division;
use monsoonring_decision::reply::{Load, Report};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use session::{Session, ms, reply, request, route};
use std::collections::{BTreeMap, HashMap, VecDeque};
use test_case::test_case;

const HOMES: usize = 4;
const GROUPS: usize = 8;
const REPLICAS: usize = 3;
const SLOTS: usize = 4;

/// Deadline of a search, in milliseconds.
const DEADLINE_MS: u64 = 2_000;

/// A refusal has to come within the objective divided by this.
const REFUSAL_DIVISOR: u64 = 4;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
struct RequestKind {
    rank: Rank,
    /// Latency up to which an answer is in time, in milliseconds.
    objective: u64,
    /// Service time of each part, in milliseconds.
    work: u64,
    /// Load, as a share of the servers' capacity.
    load: f64,
}

const URGENT: RequestKind = RequestKind {
    rank: 0,
    objective: 80,
    work: 9,
    load: 0.1,
};

const ROUTINE: RequestKind = RequestKind {
    rank: 1,
    objective: 300,
    work: 28,
    load: 1.0,
};

impl RequestKind {
    fn with_load(self, load: f64) -> Self {
        Self { load, ..self }
    }

    /// Returns the arrival rate in searches per millisecond.
    fn rate(&self) -> f64 {
        self.load * (REPLICAS * SLOTS) as f64 / self.work as f64
    }

    fn params(&self) -> Params {
        Params {
            kind: Kind::Search,
            max_runs: 2,
            soft_deadline: Some(SoftDeadline {
                after_ms: self.objective,
                coverage: 0.85,
            }),
            min_coverage: 0.85,
            work: u64::from(self.rank),
            urgency: Some(Urgency {
                rank: self.rank,
                objective: ms(self.objective),
            }),
        }
    }
}

/// A backend server with its attempts in service and in its queue.
#[derive(Default)]
struct Queue {
    running: Vec<(usize, Send, u64)>,
    waiting: VecDeque<(usize, Send)>,
    /// End of its current pause, in milliseconds.
    paused: u64,
}

impl Queue {
    fn step(&mut self, now: u64, work: impl Fn(&Send) -> u64) -> Vec<(usize, Send)> {
        if now < self.paused {
            return Vec::new();
        }
        self.running
            .iter_mut()
            .for_each(|(.., remaining)| *remaining -= 1);
        let (done, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(.., remaining)| *remaining == 0);
        self.running = running;
        while self.running.len() < SLOTS {
            let Some((home, next)) = self.waiting.pop_front() else {
                break;
            };
            let remaining = work(&next);
            self.running.push((home, next, remaining));
        }
        done.into_iter()
            .map(|(home, send, _)| (home, send))
            .collect()
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

/// A submitted search and its outcome.
struct Search {
    kind: RequestKind,
    arrived: u64,
    duration: Option<u64>,
    /// Whether it was answered; `None` while it is in progress.
    answered: Option<bool>,
    is_overload: bool,
}

/// The homes, the servers and the outcomes of the searches.
struct Simulation {
    rng: ChaCha8Rng,
    homes: Vec<Session>,
    sends_seen: Vec<usize>,
    cancels_seen: Vec<usize>,
    finishes_seen: Vec<usize>,
    servers: BTreeMap<BackendServerId, Queue>,
    searches: HashMap<RequestId, Search>,
}

impl Simulation {
    fn new() -> Self {
        let mut groups = route(GROUPS, REPLICAS);
        groups.capacity.slots = SLOTS as u32;
        groups.capacity.connections = 200;
        groups.deadline_ms = 600;
        let home =
            || Session::with_division(groups.clone(), Division::among_all_hosts(HOMES, 100.0));
        Self {
            rng: ChaCha8Rng::seed_from_u64(3),
            homes: (0..HOMES).map(|_| home()).collect(),
            sends_seen: vec![0; HOMES],
            cancels_seen: vec![0; HOMES],
            finishes_seen: vec![0; HOMES],
            servers: BTreeMap::new(),
            searches: HashMap::new(),
        }
    }

    /// Simulates the given load from one time to another, in milliseconds.
    fn run(mut self, kinds: &[RequestKind], from: u64, to: u64) -> Self {
        for now in from..to {
            for kind in kinds {
                let mut rate = kind.rate();
                while self.rng.random::<f64>() < rate {
                    self.submit(*kind, now);
                    rate -= 1.0;
                }
            }
            self.step(now);
        }
        self
    }

    fn submit(&mut self, kind: RequestKind, now: u64) {
        let id = self.searches.len() as RequestId + 1;
        let home = self.rng.random_range(0..HOMES);
        let session = &mut self.homes[home];
        self.searches.insert(
            id,
            Search {
                kind,
                arrived: now,
                duration: None,
                answered: None,
                is_overload: false,
            },
        );
        session.handle(Event::Request(Request {
            deadline: session.now + ms(DEADLINE_MS),
            params: Some(kind.params()),
            ..request(id, session.now)
        }));
    }

    fn step(&mut self, now: u64) {
        for home in 0..HOMES {
            self.homes[home].advance(ms(1));
            self.apply_cancels(home);
            for send in &self.homes[home].sends[self.sends_seen[home]..] {
                let queue = self.servers.entry(send.backend_server).or_default();
                queue.waiting.push_back((home, send.clone()));
            }
            self.sends_seen[home] = self.homes[home].sends.len();
        }
        let searches = &self.searches;
        let work = |send: &Send| searches[&send.request].kind.work;
        for queue in self.servers.values_mut() {
            // Each server pauses now and then, independently of the others.
            if self.rng.random::<f64>() < 1.0 / 6_000.0 {
                queue.paused = now + 250;
            }
            for (home, send) in queue.step(now, work) {
                let mut reply = reply(&send.ranges, session::VERSION);
                reply.report = queue.report();
                self.homes[home].handle(Event::Reply(send.attempt, reply));
            }
        }
        for home in 0..HOMES {
            let finishes = &self.homes[home].finishes[self.finishes_seen[home]..];
            for (id, outcome) in finishes {
                let search = self.searches.get_mut(id).expect("the search was submitted");
                search.duration = Some(now - search.arrived);
                search.answered = Some(matches!(outcome, Outcome::Answered(_)));
                search.is_overload = matches!(
                    outcome,
                    Outcome::NotRun {
                        reason: Reason::Overload,
                        ..
                    }
                );
            }
            self.finishes_seen[home] = self.homes[home].finishes.len();
        }
    }

    fn apply_cancels(&mut self, home: usize) {
        let cancels = self.homes[home].cancels[self.cancels_seen[home]..].to_vec();
        self.cancels_seen[home] += cancels.len();
        for attempt in cancels {
            for queue in self.servers.values_mut() {
                let is_cancelled =
                    |(owner, send): &(usize, Send)| *owner == home && send.attempt == attempt;
                if let Some(index) = queue.waiting.iter().position(is_cancelled) {
                    queue.waiting.remove(index);
                    let report = queue.report();
                    self.homes[home].fail(attempt, Failure::Cancelled { report });
                }
            }
        }
    }

    /// Returns the searches of a rank submitted since `from`.
    fn searches_of(&self, rank: Rank, from: u64) -> Vec<&Search> {
        let searches = self.searches.values();
        searches
            .filter(|search| search.kind.rank == rank && search.arrived >= from)
            .collect()
    }

    fn in_time(&self, rank: Rank, from: u64) -> f64 {
        self.share(rank, from, |search| {
            let in_time = search
                .duration
                .is_some_and(|duration| duration <= search.kind.objective + 5);
            in_time && search.answered == Some(true)
        })
    }

    fn late(&self, rank: Rank, from: u64) -> f64 {
        self.share(rank, from, |search| {
            let late = search
                .duration
                .is_some_and(|duration| duration > search.kind.objective + 5);
            late && search.answered == Some(true)
        })
    }

    fn share(&self, rank: Rank, from: u64, predicate: impl Fn(&Search) -> bool) -> f64 {
        let searches = self.searches_of(rank, from);
        searches.iter().filter(|search| predicate(search)).count() as f64
            / searches.len().max(1) as f64
    }
}

/// Time after which the homes know the usual latencies and searches are counted, in milliseconds.
const WARM_UP_MS: u64 = 1_000;

// Guards against urgent searches that wait in the servers' queues behind less urgent ones, and
// against late answers, under overload.
#[test_case(0.7; "0_8_of_capacity")]
#[test_case(0.9; "at_capacity")]
#[test_case(1.4; "one_and_a_half_times_capacity")]
#[test_case(1.9; "twice_capacity")]
#[test_case(3.9; "four_times_capacity")]
fn search_over_capacity_serves_urgent_in_time(load: f64) {
    let simulation = Simulation::new().run(&[URGENT, ROUTINE.with_load(load)], 0, 5_000);
    let urgent = simulation.in_time(0, WARM_UP_MS);
    let routine = simulation.in_time(1, WARM_UP_MS);
    let late = simulation.late(1, WARM_UP_MS);
    assert!(
        urgent >= 0.9,
        "urgent {urgent}, routine {routine}, late {late}"
    );
    assert!(
        late <= 0.05,
        "urgent {urgent}, routine {routine}, late {late}"
    );
    // At least three fifths of the capacity that urgent searches leave is used in time.
    let capacity = (0.9 / load).min(1.0);
    assert!(routine >= 0.6 * capacity, "routine {routine} of {capacity}");
}

// Guards against starvation of less urgent searches while urgent ones alone exceed the capacity.
#[test]
fn search_less_urgent_does_not_starve() {
    let simulation =
        Simulation::new().run(&[URGENT.with_load(2.0), ROUTINE.with_load(0.2)], 0, 5_000);
    let answered =
        |rank| simulation.share(rank, WARM_UP_MS, |search| search.answered == Some(true));
    let (urgent, routine) = (answered(0), answered(1));
    assert!(
        routine >= 0.25 * urgent,
        "urgent {urgent}, routine {routine}"
    );
    assert!(urgent >= 0.25, "urgent {urgent}, routine {routine}");
}

// Guards against refused and late searches for seconds after a surge, due to a backlog or a limit
// that stays low.
#[test]
fn search_after_surge_is_served_within_a_second() {
    let surge = [URGENT, ROUTINE.with_load(3.9)];
    let calm = [URGENT, ROUTINE.with_load(0.4)];
    let simulation = Simulation::new()
        .run(&surge, 0, 3_000)
        .run(&calm, 3_000, 6_000);
    for rank in [0, 1] {
        // One in 24 servers is paused at any time.
        let share = simulation.in_time(rank, 4_000);
        assert!(share >= 0.95, "rank {rank}: {share}");
    }
}

// Guards against callers that wait nearly until their deadline to be refused.
#[test]
fn search_over_capacity_is_refused_early() {
    let simulation = Simulation::new().run(&[URGENT, ROUTINE.with_load(3.9)], 0, 4_000);
    let refused = simulation.searches_of(1, WARM_UP_MS).into_iter();
    let refused: Vec<_> = refused.filter(|search| search.is_overload).collect();
    assert!(!refused.is_empty());
    for search in refused {
        let duration = search.duration.expect("the search has finished");
        assert!(
            duration <= search.kind.objective / REFUSAL_DIVISOR,
            "after {duration} ms"
        );
    }
}

// Guards against ranks that are treated alike: with ten ranks under overload the first must be
// served better than the last.
#[test]
fn search_of_ten_ranks_is_served_in_order() {
    let kinds: Vec<RequestKind> = (0..10)
        .map(|rank| RequestKind {
            rank,
            load: 0.2,
            ..ROUTINE
        })
        .collect();
    let simulation = Simulation::new().run(&kinds, 0, 5_000);
    let served = |ranks: std::ops::Range<Rank>| -> f64 {
        let count = f64::from(ranks.end - ranks.start);
        ranks
            .map(|rank| simulation.in_time(rank, WARM_UP_MS))
            .sum::<f64>()
            / count
    };
    let (first, last) = (served(0..3), served(7..10));
    assert!(first >= last + 0.05, "first {first}, last {last}");
    let lowest = (0..10).map(|rank| simulation.in_time(rank, WARM_UP_MS));
    let lowest = lowest.fold(1.0, f64::min);
    assert!(lowest > 0.0, "a rank got no answers in time");
}

/// Simulates a low load while all servers of the first `groups` groups report long queues that do not
/// exist. Returns the share of the less urgent searches that are in time.
fn run_with_false_reports(groups: usize) -> f64 {
    let mut simulation = Simulation::new();
    let false_report = Report {
        load: Some(Load {
            busy: SLOTS as u32,
            queued: 1_000,
            slots: SLOTS as u32,
        }),
        ..session::report(&[session::VERSION])
    };
    let servers: Vec<BackendServerId> = (0..groups)
        .flat_map(|group| (0..REPLICAS).map(move |replica| session::server(group, replica)))
        .collect();
    for now in 0..3_000 {
        simulation = simulation.run(&[URGENT, ROUTINE.with_load(0.3)], now, now + 1);
        for home in &mut simulation.homes {
            for server in &servers {
                home.handle(Event::Polled(*server, Some(false_report.clone())));
            }
        }
    }
    simulation.in_time(1, WARM_UP_MS)
}

// Guards against refused searches when the servers of one group, which an answer can do without,
// report queues that do not exist.
#[test]
fn search_at_servers_that_report_too_much_is_served() {
    let share = run_with_false_reports(1);
    assert!(share >= 0.9, "{share}");
}

// Guards against refused searches when the servers of half of the groups report queues that do not
// exist. A reported queue counts for up to three times the latency of the answers, which is longer
// than urgent searches can wait.
#[test]
fn search_at_many_servers_that_report_too_much_is_served() {
    let share = run_with_false_reports(GROUPS / 2);
    assert!(share >= 0.9, "{share}");
}
