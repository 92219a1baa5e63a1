//! Drives a home with events, as the daemon does, and records its actions.
//!
//! A connection opens immediately unless its server is in `refusing` or `pending`. Tests send the
//! replies. The transcript has a line per event and action; the golden files hold transcripts. It
//! omits wake-ups, and ticks that cause no action other than a wake-up.
#![allow(dead_code, reason = "no test file uses all of it")]

use monsoonring_configuration::Range;
use monsoonring_configuration::document::{
    Capacity, Class, Group, Hedge, Kind, Retry, Route, SoftDeadline,
};
use monsoonring_configuration::id::{BackendServerId, IndexVersion};
use monsoonring_decision::attempt::{
    AttemptId, ConnectFailure, ConnectionId, Failure, Refusal, ReplyIdentity,
};
use monsoonring_decision::backend::suspect::CrashSignal;
use monsoonring_decision::home::action::{Decision, Send};
use monsoonring_decision::home::event::{Request, Scope};
use monsoonring_decision::home::{Action, Event, Home};
use monsoonring_decision::outcome::{Answer, Outcome};
use monsoonring_decision::placement::{Allocation, Division};
use monsoonring_decision::policy::Policy;
use monsoonring_decision::reply::{Item, Reply, Report};
use monsoonring_decision::{RequestId, Time};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Number of keys in each group of a test route.
pub(crate) const KEYS_PER_GROUP: u64 = 100;

/// Index version that test servers serve by default.
pub(crate) const VERSION: IndexVersion = 6;

/// Returns the time `value` milliseconds after the start.
pub(crate) fn ms(value: u64) -> Time {
    Time::from_millis(value)
}

/// Returns the address of a replica in a group.
pub(crate) fn server(group: usize, replica: usize) -> BackendServerId {
    let address = format!("127.0.{}.{}:9000", group + 1, replica + 1);
    address.parse().expect("the address is valid")
}

/// Returns a search route with this many groups, each with this many replicas.
pub(crate) fn route(groups: usize, replicas: usize) -> Route {
    let group = |index: usize| Group {
        name: format!("g{index}").into(),
        keys: Range::new(
            index as u64 * KEYS_PER_GROUP,
            (index as u64 + 1) * KEYS_PER_GROUP,
        ),
        weight: 1.0,
        backend_servers: (0..replicas)
            .map(|replica| server(index, replica))
            .collect(),
    };
    Route {
        name: "dispatch-map".into(),
        kind: Kind::Search,
        callers: vec!["dispatcher".into()],
        deadline_ms: 1000,
        soft_deadline: None,
        hedge: Hedge {
            budget_percent: 100.0,
            quantile: 0.95,
        },
        retry: Retry {
            budget_percent: 100.0,
            attempts: 3,
        },
        capacity: Capacity {
            slots: 3,
            connections: 30,
            connect_ms: 6,
        },
        max_body_bytes: 65536,
        minimum_index_version: 0,
        keys: Range::new(0, groups as u64 * KEYS_PER_GROUP),
        groups: (0..groups).map(group).collect(),
    }
}

/// Returns a search route like [`route`] that never hedges.
pub(crate) fn without_hedges(groups: usize, replicas: usize) -> Route {
    let mut route = route(groups, replicas);
    route.hedge.budget_percent = 0.0;
    route
}

/// Returns a search route whose soft deadline accepts answers that cover half of the keys.
pub(crate) fn gate_desk(groups: usize, replicas: usize) -> Route {
    let mut route = route(groups, replicas);
    route.name = "gate-desk".into();
    route.soft_deadline = Some(SoftDeadline {
        after_ms: 200,
        coverage: 0.5,
    });
    route
}

/// Returns a route of non-idempotent requests.
pub(crate) fn tickets(replicas: usize) -> Route {
    let mut route = route(1, replicas);
    route.name = "repair-tickets".into();
    route.kind = Kind::Execute;
    route
}

/// Returns an urgent request that has 1000 ms until its deadline.
pub(crate) fn request(id: RequestId, now: Time) -> Request {
    Request {
        id,
        caller: "dispatcher".into(),
        class: Class::Urgent,
        deadline: now + ms(1000),
        fingerprint: id as u64,
        body: "{}".into(),
        execute_key: None,
        params: None,
        scope: Scope::default(),
    }
}

/// Returns the report of a healthy server that serves `versions`.
pub(crate) fn report(versions: &[IndexVersion]) -> Report {
    Report {
        load: None,
        index_versions: versions.to_vec(),
        start: Some(1),
        draining: false,
    }
}

/// Returns a reply that covers `ranges`, with one item at the start of each range.
pub(crate) fn reply(ranges: &[Range], version: IndexVersion) -> Reply {
    let item = |range: &Range| Item {
        key: range.start,
        value: "{}".into(),
    };
    Reply {
        index_version: Some(version),
        ranges: ranges.to_vec(),
        items: ranges.iter().map(item).collect(),
        report: report(&[version]),
    }
}

/// Returns the failure of an attempt that the server refused.
pub(crate) fn refused(refusal: Refusal) -> Failure {
    Failure::Refused {
        refusal,
        retry_after: None,
        report: Report::default(),
    }
}

/// Returns the highest number of times within a second.
pub(crate) fn peak_rate(mut times: Vec<Time>) -> usize {
    times.sort_unstable();
    let within = |from: &Time| {
        let is_within = |at: &&Time| **at >= *from && **at < *from + Time::from_secs(1);
        times.iter().filter(is_within).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// A home and the actions that it has returned.
pub(crate) struct Session {
    pub(crate) home: Home,
    pub(crate) now: Time,
    /// Servers that refuse every connect.
    pub(crate) refusing: BTreeSet<BackendServerId>,
    /// Servers to which connections stay pending until the test opens them.
    pub(crate) pending: BTreeSet<BackendServerId>,
    /// Connections that the home asked to open.
    pub(crate) opens: Vec<(ConnectionId, BackendServerId)>,
    /// Attempts sent, including those that have ended.
    pub(crate) sends: Vec<Send>,
    pub(crate) cancels: Vec<AttemptId>,
    pub(crate) closes: Vec<ConnectionId>,
    pub(crate) finishes: Vec<(RequestId, Outcome)>,
    pub(crate) other_actions: Vec<Action>,
    pub(crate) log: Vec<Decision>,
    pub(crate) transcript: String,
    wakes: BTreeSet<Time>,
}

impl Session {
    pub(crate) fn new(route: Route) -> Self {
        Self::refusing(route, &[])
    }

    /// Returns a session in which the `refusing` servers refuse every connect.
    pub(crate) fn refusing(route: Route, refusing: &[BackendServerId]) -> Self {
        Self::with_connects(route, refusing, &[])
    }

    /// Returns a session in which connections to the `pending` servers stay pending.
    pub(crate) fn pending(route: Route, pending: &[BackendServerId]) -> Self {
        Self::with_connects(route, &[], pending)
    }

    fn with_connects(
        route: Route,
        refusing: &[BackendServerId],
        pending: &[BackendServerId],
    ) -> Self {
        let (home, actions) = Home::new(Arc::new(route), 1, 7, Time::ZERO);
        Self::with_home(home, actions, refusing, pending)
    }

    /// Returns a session with servers whose replies identify the request and not the attempt.
    pub(crate) fn with_unnamed_attempts(route: Route) -> Self {
        let policy = Policy {
            reply_identity: ReplyIdentity::Request,
            ..Policy::default()
        };
        let (home, actions) = Home::with_policy(Arc::new(route), 1, 7, policy, Time::ZERO);
        Self::with_home(home, actions, &[], &[])
    }

    /// Returns a session for one of `hosts` hosts that are all homes of the route. Only a refused
    /// connect counts as a server crash.
    pub(crate) fn with_hosts(route: Route, hosts: usize) -> Self {
        Self::with_division(route, Division::among_all_hosts(hosts, 58.0))
    }

    /// Like [`Self::with_hosts`], with the given division of the servers' capacity.
    pub(crate) fn with_division(route: Route, division: impl Into<Allocation>) -> Self {
        let policy = Policy {
            crash_signal: CrashSignal::ConnectFailed,
            reply_identity: ReplyIdentity::Request,
            ..Policy::default()
        };
        let (home, actions) = Home::with_policy(Arc::new(route), division, 7, policy, Time::ZERO);
        Self::with_home(home, actions, &[], &[])
    }

    /// Returns a session whose home admits every request.
    pub(crate) fn admitting_all(route: Route) -> Self {
        let policy = Policy {
            admit_all: true,
            ..Policy::default()
        };
        let (home, actions) = Home::with_policy(Arc::new(route), 1, 7, policy, Time::ZERO);
        Self::with_home(home, actions, &[], &[])
    }

    fn with_home(
        home: Home,
        actions: Vec<Action>,
        refusing: &[BackendServerId],
        pending: &[BackendServerId],
    ) -> Self {
        let mut session = Self {
            home,
            now: Time::ZERO,
            refusing: refusing.iter().copied().collect(),
            pending: pending.iter().copied().collect(),
            opens: Vec::new(),
            sends: Vec::new(),
            cancels: Vec::new(),
            closes: Vec::new(),
            finishes: Vec::new(),
            other_actions: Vec::new(),
            log: Vec::new(),
            transcript: String::new(),
            wakes: BTreeSet::new(),
        };
        session.carry_out(actions);
        session
    }

    /// Returns a session in which a poll of each server has reported `versions`.
    pub(crate) fn polled(route: Route, versions: &[IndexVersion]) -> Self {
        let servers = route.groups.iter().flat_map(|group| &group.backend_servers);
        let servers: Vec<BackendServerId> = servers.copied().collect();
        let mut session = Self::new(route);
        for server in servers {
            session.handle(Event::Polled(server, Some(report(versions))));
        }
        session
    }

    /// Sends the home an event and carries out the resulting actions.
    pub(crate) fn handle(&mut self, event: Event) {
        let line = describe_event(&event);
        let is_tick = event == Event::Tick;
        let actions = self.home.handle(event, self.now);
        let only_wakes = actions
            .iter()
            .all(|action| matches!(action, Action::Wake(_)));
        if !(is_tick && only_wakes) {
            self.write("<-", &line);
        }
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            if !matches!(action, Action::Wake(_)) {
                self.write("->", &describe_action(&action));
            }
            match action {
                Action::Open(connection, server) => {
                    self.opens.push((connection, server));
                    if self.pending.contains(&server) {
                        continue;
                    }
                    let event = match self.refusing.contains(&server) {
                        true => Event::ConnectFailed(connection, ConnectFailure::Refused),
                        false => Event::Opened(connection),
                    };
                    self.write("<-", &describe_event(&event));
                    actions.extend(self.home.handle(event, self.now));
                }
                Action::Close(connection) => self.closes.push(connection),
                Action::Send(send) => self.sends.push(send),
                Action::Cancel(attempt, _) => self.cancels.push(attempt),
                Action::Finish(request, outcome) => self.finishes.push((request, outcome)),
                Action::Wake(at) => {
                    self.wakes.insert(at);
                }
                Action::Log(decision) => self.log.push(decision),
                action => self.other_actions.push(action),
            }
        }
    }

    fn write(&mut self, direction: &str, text: &str) {
        let line = format!("{:>6} {direction} {text}\n", self.now.as_millis());
        self.transcript.push_str(&line);
    }

    /// Advances the time, with a tick at each wake-up that the home scheduled.
    pub(crate) fn advance(&mut self, time: Time) {
        let end = self.now + time;
        while let Some(at) = self.wakes.first().copied().filter(|at| *at <= end) {
            self.wakes.remove(&at);
            self.now = at.max(self.now);
            self.handle(Event::Tick);
        }
        self.now = end;
        self.handle(Event::Tick);
    }

    pub(crate) fn submit(&mut self, id: RequestId) {
        self.handle(Event::Request(request(id, self.now)));
    }

    /// Answers an attempt in full, at the requested index version or [`VERSION`].
    pub(crate) fn answer(&mut self, send: &Send) {
        let version = send.index_version.unwrap_or(VERSION);
        self.handle(Event::Reply(send.attempt, reply(&send.ranges, version)));
    }

    /// Answers the attempts from index `from` on, including those sent meanwhile.
    pub(crate) fn answer_from(&mut self, from: usize) {
        let mut next = from;
        while let Some(send) = self.sends.get(next).cloned() {
            self.answer(&send);
            next += 1;
        }
    }

    pub(crate) fn fail(&mut self, attempt: AttemptId, failure: Failure) {
        self.handle(Event::Failed(attempt, failure));
    }

    /// Returns the attempts sent to the servers of a group.
    pub(crate) fn sends_to(&self, group: usize) -> Vec<Send> {
        let sends = self.sends.iter();
        let to_group = sends.filter(|send| (0..9).any(|r| server(group, r) == send.backend_server));
        to_group.cloned().collect()
    }

    /// Returns the outcome of a request; panics unless there is exactly one.
    pub(crate) fn outcome(&self, id: RequestId) -> &Outcome {
        let finishes = self.finishes.iter().filter(|(request, _)| *request == id);
        let outcomes: Vec<&Outcome> = finishes.map(|(_, outcome)| outcome).collect();
        assert_eq!(
            outcomes.len(),
            1,
            "request {id} has exactly one outcome: {outcomes:?}"
        );
        outcomes[0]
    }

    pub(crate) fn is_finished(&self, id: RequestId) -> bool {
        self.finishes.iter().any(|(request, _)| *request == id)
    }

    pub(crate) fn answer_to(&self, id: RequestId) -> &Answer {
        match self.outcome(id) {
            Outcome::Answered(answer) => answer,
            other => unreachable!("request {id} was not answered: {other:?}"),
        }
    }

    /// Returns whether the home has logged a decision with this `what` label.
    pub(crate) fn has_logged(&self, label: &str) -> bool {
        self.log.iter().any(|decision| decision.label == label)
    }
}

fn describe_event(event: &Event) -> String {
    match event {
        Event::Request(request) => format!("request {}", request.id),
        Event::Reply(attempt, reply) => format!(
            "reply {attempt} version {:?} ranges {}",
            reply.index_version,
            ranges(&reply.ranges)
        ),
        Event::Executed(attempt, value, _) => format!("executed {attempt} {value}"),
        Event::Polled(server, report) => {
            let versions = report.as_ref().map(|report| &report.index_versions);
            format!("polled {server} {versions:?}")
        }
        Event::Route(_) => "route".to_owned(),
        other => format!("{other:?}"),
    }
}

fn describe_action(action: &Action) -> String {
    match action {
        Action::Send(send) => format!(
            "send {} on {} to {} version {:?} ranges {}",
            send.attempt,
            send.connection,
            send.backend_server,
            send.index_version,
            ranges(&send.ranges)
        ),
        Action::Log(decision) => {
            let server = decision.backend_server;
            let server = server.map_or_else(String::new, |server| format!(" {server}"));
            format!("log {}{server} ({})", decision.label, decision.rationale)
        }
        Action::Finish(request, outcome) => format!("finish {request} {outcome:?}"),
        other => format!("{other:?}"),
    }
}

fn ranges(ranges: &[Range]) -> String {
    let texts: Vec<String> = ranges.iter().map(Range::to_string).collect();
    texts.join(",")
}
