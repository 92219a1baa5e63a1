//! The task of one route.

use super::gauges::Gauges;
use super::handle::{Handle, Input};
use super::poll;
use crate::backend::{self, Connection, Endpoint};
use crate::clock::Clock;
use crate::log;
use crate::metrics::Metrics;
use crate::node::recent::{Line, Recent};
use monsoonring_configuration::document::Route;
use monsoonring_configuration::id::{BackendServerId, Incarnation, RouteId};
use monsoonring_decision::attempt::{ConnectionId, Failure};
use monsoonring_decision::home::action::{Decision, Send};
use monsoonring_decision::home::{Action, Alarm, Event, Home};
use monsoonring_decision::outcome::Outcome;
use monsoonring_decision::policy::Policy;
use monsoonring_decision::{Fingerprint, RequestId};
use slog::Logger;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

/// Something that a home found out and that the other homes should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Fact {
    /// A backend server is leaving.
    Leaving(BackendServerId, Option<Incarnation>),
    /// Requests with this fingerprint crash backend servers; refused for that long.
    Suspect(Fingerprint, Duration),
}

/// Where facts go.
pub(crate) type Facts = mpsc::UnboundedSender<Fact>;

/// What a route's task is started with.
pub(crate) struct Settings {
    pub(crate) route: Arc<Route>,
    pub(crate) homes: usize,
    pub(crate) policy: Policy,
    pub(crate) seed: u64,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) facts: Facts,
    pub(crate) recent: Recent,
}

/// Starts the task of a route. It ends when the last handle is gone and nothing is in flight.
pub(crate) fn spawn(settings: Settings) -> Handle {
    let (inputs, queue) = mpsc::unbounded_channel();
    tokio::spawn(run(settings, queue));
    Handle::new(inputs)
}

async fn run(settings: Settings, mut queue: mpsc::UnboundedReceiver<Input>) {
    let (report, mut reports) = mpsc::unbounded_channel();
    let now = settings.clock.now();
    let (home, actions) = Home::with_policy(
        settings.route.clone(),
        settings.homes,
        settings.seed,
        settings.policy,
        now,
    );
    let servers = poll::Servers::of(&settings.route);
    let endpoint = Endpoint::default();
    let first = usize::try_from(settings.seed).unwrap_or_default();
    let poller = poll::spawn(servers.clone(), endpoint.clone(), report.clone(), first);
    let mut controller = Controller::new(settings, home, report, endpoint, servers);
    controller.perform(actions);
    let mut open = true;
    while open || controller.home.in_progress() > 0 {
        let wake = controller.clock.instant(
            controller
                .alarm
                .next()
                .unwrap_or(controller.clock.now() + IDLE),
        );
        tokio::select! {
            input = queue.recv(), if open => match input {
                Some(input) => controller.input(input),
                None => open = false,
            },
            Some(event) = reports.recv() => controller.event(event),
            () = sleep_until(wake.into()) => controller.event(Event::Tick),
        }
    }
    poller.abort();
}

/// Longest time without a tick.
const IDLE: Duration = Duration::from_millis(200);

struct Controller {
    home: Home,
    clock: Clock,
    log: Logger,
    metrics: Arc<Metrics>,
    facts: Facts,
    recent: Recent,
    route: RouteId,
    report: backend::Report,
    endpoint: Endpoint,
    servers: poll::Servers,
    connections: HashMap<ConnectionId, Connection>,
    waiting: HashMap<RequestId, oneshot::Sender<Outcome>>,
    alarm: Alarm,
    gauges: Gauges,
}

impl Controller {
    fn new(
        settings: Settings,
        home: Home,
        report: backend::Report,
        endpoint: Endpoint,
        servers: poll::Servers,
    ) -> Self {
        let gauges = Gauges::new(settings.metrics.clone(), settings.route.name.clone());
        Self {
            home,
            clock: settings.clock,
            log: settings.log,
            metrics: settings.metrics,
            facts: settings.facts,
            recent: settings.recent,
            route: settings.route.name.clone(),
            report,
            endpoint,
            servers,
            connections: HashMap::new(),
            waiting: HashMap::new(),
            alarm: Alarm::default(),
            gauges,
        }
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::Request(request, sender) => {
                self.waiting.insert(request.id, sender);
                self.event(Event::Request(request));
            }
            Input::Event(event) => self.event(event),
            Input::State(sender) => {
                let _ = sender.send(self.state());
            }
        }
    }

    fn event(&mut self, event: Event) {
        match &event {
            Event::Abandoned(request) => drop(self.waiting.remove(request)),
            Event::Closed(connection) => drop(self.connections.remove(connection)),
            Event::Opened(_) => self.metrics.home.opened(&self.route),
            Event::Failed(_, failure) => self.metrics.home.failed(&self.route, failure),
            Event::Route(route) => self.servers.replace(route),
            _ => {}
        }
        let now = self.clock.now();
        self.alarm.feed(now);
        let actions = self.home.on(event, now);
        self.perform(actions);
        self.gauges.follow(&self.home, self.connections.len(), now);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Open(id, backend_server) => {
                let report = self.report.clone();
                let connection = backend::spawn(id, backend_server, self.clock, report);
                self.connections.insert(id, connection);
            }
            Action::Close(id) => drop(self.connections.remove(&id)),
            Action::Send(send) => self.send(send),
            Action::Cancel(attempt, backend_server) => {
                let endpoint = self.endpoint.clone();
                self.metrics.home.cancelled(&self.route);
                tokio::spawn(async move { endpoint.cancel(backend_server, attempt).await });
            }
            Action::Finish(request, outcome) => self.finish(request, outcome),
            Action::TellLeaving(backend_server, start) => {
                let _ = self.facts.send(Fact::Leaving(backend_server, start));
            }
            Action::TellSuspect(fingerprint, life) => {
                let _ = self.facts.send(Fact::Suspect(fingerprint, life));
            }
            Action::Wake(at) => self.alarm.ask(at),
            Action::Log(decision) => {
                self.log(decision);
            }
        }
    }

    fn log(&self, decision: Decision) {
        self.metrics.home.decided(&self.route, decision.what);
        log::Decision {
            request: decision.request,
            route: &self.route,
            range: None,
            backend_server: decision.backend_server,
            what: decision.what,
            reason: &decision.why,
        }
        .log(&self.log);
        self.keep(decision);
    }

    fn keep(&self, decision: Decision) {
        let Some(request) = decision.request else {
            return;
        };
        self.recent.keep(Line {
            request,
            at: self.clock.now(),
            route: self.route.clone(),
            what: decision.what,
            backend_server: decision.backend_server,
            home: None,
            why: decision.why,
        });
    }

    fn state(&self) -> serde_json::Value {
        serde_json::json!({
            "in_progress": self.home.in_progress(),
            "index_version": self.home.index_version(),
            "connections": self.connections.len(),
            "backend_servers": self.home.fleet().snapshot(self.clock.now()),
        })
    }

    fn send(&mut self, send: Send) {
        let unsent = match self.connections.get(&send.connection) {
            Some(connection) => connection.send(send).err().map(|send| send.attempt),
            None => Some(send.attempt),
        };
        // Through the queue and not at once: the home must see it after the actions of this event.
        if let Some(attempt) = unsent {
            let _ = self.report.send(Event::Failed(attempt, Failure::NotSent));
        }
    }

    fn finish(&mut self, request: RequestId, outcome: Outcome) {
        if let Some(sender) = self.waiting.remove(&request) {
            let _ = sender.send(outcome);
        }
    }
}
