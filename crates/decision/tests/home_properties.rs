//! Invariants of a home under random sequences of events.

mod session;

use monsoonring_configuration::Range;
use monsoonring_configuration::document::Route;
use monsoonring_decision::attempt::{AttemptId, Failure, Refusal};
use monsoonring_decision::home::Event;
use monsoonring_decision::home::action::Send;
use monsoonring_decision::outcome::{Answer, Outcome};
use monsoonring_decision::query::coverage::{KeySet, share};
use monsoonring_decision::reply::{Item, Reply, Report};
use proptest::prelude::*;
use session::{Session, VERSION, gate_desk, ms, refused, report, route, server, tickets};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const GROUPS: usize = 3;
const REPLICAS: usize = 3;
const PERCENT: f64 = 20.0;
/// Longer than any request's deadline plus the time that its connections stay open afterwards.
const DRAIN_MS: u64 = 5000;

/// A step of a random sequence. `nth` selects an attempt or server, modulo their number.
#[derive(Clone, Copy, Debug)]
enum Step {
    Submit,
    Answer { nth: usize, keys: u64, version: u64 },
    Mismatched(usize),
    Fail { nth: usize, kind: usize },
    Abandon(u128),
    Advance(u64),
    MoveBorder(u64),
    Poll { nth: usize, versions: usize },
    Leave(usize),
    Suspect(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let nth = || 0..60_usize;
    prop_oneof![
        4 => Just(Step::Submit),
        8 => (nth(), 1..=100_u64, VERSION..=VERSION + 1)
            .prop_map(|(nth, keys, version)| Step::Answer { nth, keys, version }),
        1 => nth().prop_map(Step::Mismatched),
        4 => (nth(), 0..9_usize).prop_map(|(nth, kind)| Step::Fail { nth, kind }),
        1 => (1..9_u128).prop_map(Step::Abandon),
        4 => (1..300_u64).prop_map(Step::Advance),
        1 => (1..300_u64).prop_map(Step::MoveBorder),
        2 => (0..9_usize, 0..3_usize).prop_map(|(nth, versions)| Step::Poll { nth, versions }),
        1 => (0..9_usize).prop_map(Step::Leave),
        1 => (1..9_u64).prop_map(Step::Suspect),
    ]
}

fn failure(kind: usize) -> Failure {
    let report = Report::default;
    match kind {
        0 => Failure::Lost,
        1 => Failure::Mismatched,
        2 => Failure::ServerError { report: report() },
        3 => Failure::Cancelled { report: report() },
        4 => Failure::NotSent,
        5 => refused(Refusal::Shedding),
        6 => refused(Refusal::Starting),
        7 => refused(Refusal::IndexVersion {
            served: vec![VERSION + 1],
        }),
        _ => refused(Refusal::Deadline),
    }
}

/// Returns whether the failure proves that the attempt did not run.
fn is_not_run(failure: &Failure) -> bool {
    matches!(failure, Failure::Refused { .. } | Failure::NotSent)
}

/// Returns the route with all keys split at `border` between groups 0 and 1.
fn split_at(mut route: Route, border: u64) -> Route {
    let end = route.keys.end;
    route.groups.truncate(2);
    route.groups[0].keys = Range::new(0, border);
    route.groups[1].keys = Range::new(border, end);
    route.groups[1].backend_servers.push(server(2, 0));
    route
}

/// Returns a reply that covers `percent` of each requested range, with an item per key whose value
/// is the version.
fn partial_reply(send: &Send, percent: u64, version: u64) -> Reply {
    let part = |range: &Range| Range::new(range.start, range.start + range.len() * percent / 100);
    let ranges: Vec<Range> = send.ranges.iter().map(part).collect();
    let keys = ranges.iter().flat_map(|range| range.start..range.end);
    let item = |key| Item {
        key,
        value: version.to_string().into(),
    };
    Reply {
        index_version: Some(version),
        items: keys.map(item).collect(),
        ranges,
        report: report(&[version]),
    }
}

/// A session, and how each attempt ended.
struct Trial {
    session: Session,
    route: Route,
    submitted: u128,
    /// For each attempt that has ended: whether it provably did not run.
    ended: BTreeMap<AttemptId, bool>,
}

impl Trial {
    fn new(route: Route) -> Self {
        Self {
            session: Session::polled(route.clone(), &[VERSION]),
            route,
            submitted: 0,
            ended: BTreeMap::new(),
        }
    }

    fn nth(&self, nth: usize) -> Option<Send> {
        let sends = &self.session.sends;
        let count = sends.len();
        (count > 0).then(|| sends[nth % count].clone())
    }

    fn end(&mut self, send: &Send, not_run: bool, event: Event) {
        self.ended.entry(send.attempt).or_insert(not_run);
        self.session.handle(event);
    }

    fn answer(&mut self, send: &Send, keys: u64, version: u64) {
        let event = match send.ranges.is_empty() {
            true => Event::Executed(send.attempt, "0".into(), report(&[VERSION])),
            false => Event::Reply(send.attempt, partial_reply(send, keys, version)),
        };
        self.end(send, false, event);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Submit => {
                self.submitted += 1;
                self.session.submit(self.submitted);
            }
            Step::Answer { nth, keys, version } => {
                if let Some(send) = self.nth(nth) {
                    self.answer(&send, keys, version);
                }
            }
            Step::Mismatched(nth) => {
                if let Some(send) = self.nth(nth).filter(|send| !send.ranges.is_empty()) {
                    let mut mismatched = partial_reply(&send, 100, VERSION);
                    mismatched.ranges.clear();
                    self.end(&send, false, Event::Reply(send.attempt, mismatched));
                }
            }
            Step::Fail { nth, kind } => {
                if let Some(send) = self.nth(nth) {
                    let failure = failure(kind);
                    let not_run = is_not_run(&failure);
                    self.end(&send, not_run, Event::Failed(send.attempt, failure));
                }
            }
            Step::Abandon(id) => self.session.handle(Event::Abandoned(id)),
            Step::Advance(time) => self.session.advance(ms(time)),
            Step::MoveBorder(border) => self.move_border(border),
            Step::Poll { nth, versions } => {
                let served = [vec![VERSION], vec![VERSION, VERSION + 1], vec![VERSION + 1]];
                let event = Event::Polled(self.server(nth), Some(report(&served[versions])));
                self.session.handle(event);
            }
            Step::Leave(nth) => {
                let event = Event::Leaving {
                    backend_server: self.server(nth),
                    start: Some(1),
                };
                self.session.handle(event);
            }
            Step::Suspect(fingerprint) => {
                let until = self.session.now + ms(100);
                self.session.handle(Event::Suspect { fingerprint, until });
            }
        }
    }

    /// Returns the connection on which a step delivers a mismatched reply, if any.
    fn spoiled_connection(&self, step: Step) -> Option<u64> {
        let nth = match step {
            Step::Mismatched(nth) | Step::Fail { nth, kind: 1 } => nth,
            _ => return None,
        };
        let in_flight = |send: &Send| !self.ended.contains_key(&send.attempt);
        self.nth(nth).filter(in_flight).map(|send| send.connection)
    }

    fn server(&self, nth: usize) -> std::net::SocketAddr {
        server(nth / REPLICAS, nth % REPLICAS)
    }

    fn move_border(&mut self, border: u64) {
        if self.route.groups.len() > 1 {
            self.route = split_at(route(GROUPS, REPLICAS), border);
            self.route = constrained(self.route.clone());
            self.session
                .handle(Event::Route(Arc::new(self.route.clone())));
        }
    }

    /// Carries out the steps and then advances past every deadline.
    fn run(&mut self, steps: Vec<Step>) {
        for step in steps {
            self.step(step);
        }
        self.session.advance(ms(DRAIN_MS));
        assert_eq!(self.session.home.in_progress(), 0);
        assert_eq!(self.session.home.fleet().outstanding(), 0);
    }

    fn sends(&self, request: u128) -> Vec<&Send> {
        let sends = self.session.sends.iter();
        sends.filter(|send| send.request == request).collect()
    }

    fn is_not_run(&self, send: &Send) -> bool {
        self.ended.get(&send.attempt).copied().unwrap_or(false)
    }

    fn logged_count(&self, label: &str) -> usize {
        let log = self.session.log.iter();
        log.filter(|decision| decision.label == label).count()
    }
}

fn check_answer(answer: &Answer, keys: Range) {
    let keys_of: Vec<u64> = answer.items.iter().map(|item| item.key).collect();
    let missing: KeySet = answer.missing.iter().copied().collect();
    let covered = KeySet::from(keys).difference(&missing);
    let expected: Vec<u64> = covered
        .ranges()
        .iter()
        .flat_map(|range| range.start..range.end)
        .collect();
    assert_eq!(
        keys_of, expected,
        "each covered key once, and no missing key"
    );
    let version = answer.index_version.to_string();
    assert!(
        answer.items.iter().all(|item| *item.value == *version),
        "all items have the answer's version"
    );
    assert_eq!(answer.coverage == 1.0, answer.missing.is_empty());
}

/// Returns the route with small budgets, and so few connections that requests wait for them.
fn constrained(mut route: Route) -> Route {
    route.capacity.connections = 3;
    route.hedge.budget_percent = PERCENT;
    route.retry.budget_percent = PERCENT;
    route
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    #[test]
    fn search_any_events_end_once_with_a_correct_outcome(steps in prop::collection::vec(step(), 0..60), soft: bool) {
        let base = if soft { gate_desk(GROUPS, REPLICAS) } else { route(GROUPS, REPLICAS) };
        let mut trial = Trial::new(constrained(base));
        trial.run(steps);
        for id in 1..=trial.submitted {
            match trial.session.outcome(id) {
                Outcome::Answered(answer) => check_answer(answer, trial.route.keys),
                Outcome::NotRun { .. } => prop_assert!(trial.sends(id).iter().all(|send| trial.is_not_run(send))),
                Outcome::Failed { .. } => {}
                other => prop_assert!(false, "{:?}", other),
            }
        }
    }

    #[test]
    fn search_fixed_placement_coverage_is_the_merged_weight(steps in prop::collection::vec(step(), 0..60)) {
        let mut weighted = constrained(route(GROUPS, REPLICAS));
        weighted.groups[0].weight = 5.0;
        let mut trial = Trial::new(weighted);
        let steps = steps.into_iter().filter(|step| !matches!(step, Step::MoveBorder(_)));
        trial.run(steps.collect());
        for (_, outcome) in &trial.session.finishes {
            if let Outcome::Answered(answer) = outcome {
                let missing: KeySet = answer.missing.iter().copied().collect();
                let covered = KeySet::from(trial.route.keys).difference(&missing);
                prop_assert_eq!(answer.coverage, share(&covered, &trial.route));
            }
        }
    }

    #[test]
    fn search_any_events_keep_extra_attempts_in_budget(steps in prop::collection::vec(step(), 0..80)) {
        let mut trial = Trial::new(constrained(route(GROUPS, REPLICAS)));
        trial.run(steps);
        let allowed = 1.0 + PERCENT / 100.0 * trial.logged_count("send") as f64;
        let returned = |what: &str| {
            let log = trial.session.log.iter();
            log.filter(|decision| decision.rationale.to_string().contains(what)).count()
        };
        let retries = trial.logged_count("retry") + trial.logged_count("overdue");
        let retries = retries - returned("retry given back");
        prop_assert!(retries as f64 <= allowed, "{}", trial.session.transcript);
        let hedges = trial.logged_count("hedge") + trial.logged_count("late hedge");
        let hedges = hedges - returned("hedge given back");
        prop_assert!(hedges as f64 <= allowed, "{}", trial.session.transcript);
    }

    #[test]
    fn search_connection_carries_one_attempt_at_a_time(steps in prop::collection::vec(step(), 0..60)) {
        let mut trial = Trial::new(constrained(route(GROUPS, REPLICAS)));
        let mut in_use: BTreeMap<u64, AttemptId> = BTreeMap::new();
        let mut spoiled: BTreeSet<u64> = BTreeSet::new();
        let mut seen = 0;
        for step in steps {
            spoiled.extend(trial.spoiled_connection(step));
            trial.step(step);
            for send in &trial.session.sends[seen..] {
                prop_assert!(!spoiled.contains(&send.connection), "connection reused after a mismatched reply");
                let before = in_use.insert(send.connection, send.attempt);
                let free = before.is_none_or(|before| trial.ended.contains_key(&before));
                prop_assert!(free, "connection {} is in use", send.connection);
            }
            seen = trial.session.sends.len();
            let closed: BTreeSet<u64> = trial.session.closes.iter().copied().collect();
            in_use.retain(|connection, _| !closed.contains(connection));
        }
    }

    #[test]
    fn search_leaving_server_gets_no_attempts(steps in prop::collection::vec(step(), 0..60)) {
        let mut trial = Trial::new(constrained(route(GROUPS, REPLICAS)));
        let mut leaving = BTreeSet::new();
        let mut seen = 0;
        for step in steps {
            if let Step::Leave(nth) = step {
                leaving.insert(trial.server(nth));
            }
            trial.step(step);
            for send in &trial.session.sends[seen..] {
                prop_assert!(!leaving.contains(&send.backend_server));
            }
            seen = trial.session.sends.len();
        }
    }

    #[test]
    fn execute_any_events_run_at_most_once(steps in prop::collection::vec(step(), 0..60)) {
        let mut trial = Trial::new(constrained(tickets(REPLICAS)));
        let mut seen = 0;
        for step in steps {
            trial.step(step);
            for send in &trial.session.sends[seen..] {
                let others = trial.sends(send.request).into_iter();
                let mut before = others.filter(|other| other.attempt < send.attempt);
                prop_assert!(before.all(|other| trial.is_not_run(other)), "a second run is possible");
            }
            seen = trial.session.sends.len();
        }
        trial.run(Vec::new());
        for id in 1..=trial.submitted {
            let sends = trial.sends(id);
            match trial.session.outcome(id) {
                Outcome::NotRun { .. } => prop_assert!(sends.iter().all(|send| trial.is_not_run(send))),
                Outcome::Unknown { .. } | Outcome::Executed(_) => prop_assert!(!sends.is_empty()),
                Outcome::Failed { .. } => {}
                other => prop_assert!(false, "{:?}", other),
            }
        }
    }
}
