//! The task that drives the home of a route.

use super::gauges::Gauges;
use super::handle::{Handle, Input};
use super::management::{self, Management};
use crate::backend::{self, Codec, Connection};
use crate::body::Memory;
use crate::clock::Clock;
use crate::log;
use crate::metrics::Metrics;
use crate::node::history::{History, Record};
use monsoonring_configuration::document::Route;
use monsoonring_configuration::id::{BackendServerId, Incarnation, RouteId};
use monsoonring_decision::attempt::{ConnectionId, Failure};
use monsoonring_decision::backend::suspect::Announcement;
use monsoonring_decision::content::Content;
use monsoonring_decision::home::action::{Decision, Send};
use monsoonring_decision::home::{Action, Event, Home, Wakeup};
use monsoonring_decision::outcome::Outcome;
use monsoonring_decision::placement::Allocation;
use monsoonring_decision::policy::Policy;
use monsoonring_decision::{Fingerprint, RequestId};
use slog::Logger;
use std::collections::HashMap;
use std::fmt::{Display, Formatter};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

/// A fact that a home found and that is published to the other homes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Fact {
    /// A backend server is leaving; identified by its start number if that is known.
    Leaving(BackendServerId, Option<Incarnation>),
    /// Requests with this fingerprint crash backend servers and are refused for this time.
    Suspect(Fingerprint, Duration),
    /// A backend server crashed under a request, or that is withdrawn.
    CrashEvidence(Announcement),
}

/// Queue of the facts to publish.
pub(crate) type Facts = mpsc::UnboundedSender<Fact>;

/// Outcome of a request with this content type.
type RequestOutcome<C> = Outcome<<C as Content>::Value>;

/// Configuration and dependencies of a route's task.
pub(crate) struct Settings<K> {
    pub(crate) codec: K,
    pub(crate) management: Management,
    pub(crate) route: Arc<Route>,
    pub(crate) allocation: Allocation,
    pub(crate) policy: Policy,
    pub(crate) seed: u64,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) facts: Facts,
    /// Memory for responses, shared by all routes.
    pub(crate) memory: Arc<Memory>,
    /// History in which decisions are recorded for operators, if operators can query it.
    pub(crate) history: Option<History>,
}

/// Starts the task of a route. It ends when the last handle is dropped and no request is in
/// progress.
pub(crate) fn spawn<K: Codec>(settings: Settings<K>) -> Handle<K::Content> {
    let (inputs, queue) = mpsc::unbounded_channel();
    tokio::spawn(run(settings, queue));
    Handle::new(inputs)
}

async fn run<K: Codec>(
    settings: Settings<K>,
    mut queue: mpsc::UnboundedReceiver<Input<K::Content>>,
) {
    let (events, mut event_queue) = mpsc::unbounded_channel();
    let now = settings.clock.now();
    let (home, actions) = Home::with_policy(
        settings.route.clone(),
        settings.allocation.clone(),
        settings.seed,
        settings.policy,
        now,
    );
    let management = settings.management.start(&settings, &events);
    let mut controller = Controller::new(settings, home, events, management);
    controller.perform(actions);
    let mut open = true;
    while open || controller.home.in_progress() > 0 {
        let wake = controller.clock.instant(
            controller
                .wakeup
                .next()
                .unwrap_or(controller.clock.now() + MAX_TICK_INTERVAL),
        );
        tokio::select! {
            input = queue.recv(), if open => match input {
                Some(input) => controller.handle_input(input),
                None => open = false,
            },
            Some(event) = event_queue.recv() => controller.handle_event(event),
            () = sleep_until(wake.into()) => controller.handle_event(Event::Tick),
        }
    }
}

/// Maximum time between ticks of an idle home.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Reasons of several decisions on one log line, each with its backend server.
struct CombinedReason<'a>(&'a [Decision]);

impl Display for CombinedReason<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        for (index, decision) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("; ")?;
            }
            if let Some(server) = decision.backend_server {
                write!(formatter, "{server}: ")?;
            }
            write!(formatter, "{}", decision.rationale)?;
        }
        Ok(())
    }
}

struct Controller<K: Codec> {
    home: Home<K::Content>,
    codec: K,
    clock: Clock,
    log: Logger,
    metrics: Arc<Metrics>,
    facts: Facts,
    memory: Arc<Memory>,
    history: Option<History>,
    route: RouteId,
    events: backend::EventSender<K::Content>,
    management: management::Channel,
    connections: HashMap<ConnectionId, Connection<K>>,
    waiting: HashMap<RequestId, oneshot::Sender<RequestOutcome<K::Content>>>,
    wakeup: Wakeup,
    gauges: Gauges,
}

impl<K: Codec> Controller<K> {
    fn new(
        settings: Settings<K>,
        home: Home<K::Content>,
        events: backend::EventSender<K::Content>,
        management: management::Channel,
    ) -> Self {
        let gauges = Gauges::new(settings.metrics.clone(), settings.route.name.clone());
        Self {
            home,
            clock: settings.clock,
            log: settings.log,
            metrics: settings.metrics,
            facts: settings.facts,
            memory: settings.memory,
            history: settings.history,
            route: settings.route.name.clone(),
            events,
            codec: settings.codec,
            management,
            connections: HashMap::new(),
            waiting: HashMap::new(),
            wakeup: Wakeup::default(),
            gauges,
        }
    }

    fn handle_input(&mut self, input: Input<K::Content>) {
        match input {
            Input::Request(request, sender) => {
                self.waiting.insert(request.id, sender);
                self.handle_event(Event::Request(request));
            }
            Input::Event(event) => self.handle_event(event),
            Input::State(sender) => {
                let _ = sender.send(self.state());
            }
        }
    }

    fn handle_event(&mut self, event: Event<K::Content>) {
        match &event {
            Event::Abandoned(request) => drop(self.waiting.remove(request)),
            Event::Closed(connection) | Event::ConnectFailed(connection, _) => {
                drop(self.connections.remove(connection));
            }
            Event::Opened(_) => self.metrics.home.record_connection(&self.route),
            Event::Failed(_, failure) => self.metrics.home.record_failure(&self.route, failure),
            Event::Route(route) => self.management.update(route),
            _ => {}
        }
        let now = self.clock.now();
        self.wakeup.on_event(now);
        let actions = self.home.handle(event, now);
        self.perform(actions);
        self.gauges.update(&self.home, self.connections.len(), now);
    }

    fn perform(&mut self, actions: Vec<Action<K::Content>>) {
        let mut decisions = Vec::new();
        for action in actions {
            match action {
                Action::Log(decision) => decisions.push(decision),
                other => self.perform_one(other),
            }
        }
        self.log(&decisions);
        for decision in decisions {
            self.record(decision);
        }
    }

    fn perform_one(&mut self, action: Action<K::Content>) {
        match action {
            Action::Open(id, backend_server) => {
                let events = self.events.clone();
                let (codec, memory) = (self.codec.clone(), self.memory.clone());
                let connection =
                    backend::spawn(id, backend_server, self.clock, codec, memory, events);
                self.connections.insert(id, connection);
            }
            Action::Close(id) => drop(self.connections.remove(&id)),
            Action::Send(send) => self.send(send),
            Action::Cancel(attempt, backend_server) => {
                self.metrics.home.record_cancellation(&self.route);
                self.management
                    .cancel(attempt, backend_server, &self.events);
            }
            Action::Finish(request, outcome) => self.finish(request, outcome),
            Action::AnnounceLeaving(backend_server, start) => {
                let _ = self.facts.send(Fact::Leaving(backend_server, start));
            }
            Action::AnnounceSuspect(fingerprint, life) => {
                let _ = self.facts.send(Fact::Suspect(fingerprint, life));
            }
            Action::AnnounceCrashEvidence(announcement) => {
                let _ = self.facts.send(Fact::CrashEvidence(announcement));
            }
            Action::Wake(at) => self.wakeup.schedule(at),
            // `perform` logs all decisions of an event together.
            Action::Log(_) => {}
        }
    }

    /// Logs the decisions of one event with one line per request and label. A fan-out to many
    /// groups would otherwise write a line for each, at a notable cost in CPU time.
    fn log(&self, decisions: &[Decision]) {
        for decision in decisions {
            self.metrics
                .home
                .record_decision(&self.route, decision.label);
        }
        let is_same_kind = |left: &Decision, right: &Decision| {
            left.request.is_some() && (left.request, left.label) == (right.request, right.label)
        };
        for chunk in decisions.chunk_by(is_same_kind) {
            let [first, ..] = chunk else { continue };
            let line = log::Decision {
                request: first.request,
                route: &self.route,
                range: None,
                backend_server: first.backend_server,
                what: first.label,
                reason: &first.rationale,
            };
            match chunk {
                [_] => line.log(&self.log),
                _ => log::Decision {
                    request: line.request,
                    route: line.route,
                    range: line.range,
                    backend_server: None,
                    what: line.what,
                    reason: &CombinedReason(chunk),
                }
                .log(&self.log),
            }
        }
    }

    fn record(&self, decision: Decision) {
        let (Some(request), Some(history)) = (decision.request, &self.history) else {
            return;
        };
        history.record(Record {
            request,
            at: self.clock.now(),
            route: self.route.clone(),
            label: decision.label,
            backend_server: decision.backend_server,
            home: None,
            rationale: decision.rationale,
        });
    }

    fn state(&mut self) -> serde_json::Value {
        let now = self.clock.now();
        serde_json::json!({
            "retries_left": self.home.retries_left(now),
            "in_progress": self.home.in_progress(),
            "index_version": self.home.index_version(),
            "connections": self.connections.len(),
            "backend_servers": self.home.fleet().snapshot(now),
        })
    }

    fn send(&mut self, send: Send<K::Content>) {
        let failed = match self.connections.get(&send.connection) {
            Some(connection) => connection.send(send).err().map(|send| send.attempt),
            None => Some(send.attempt),
        };
        // Queued, because the home must handle it after the remaining actions of this event.
        if let Some(attempt) = failed {
            let _ = self.events.send(Event::Failed(attempt, Failure::NotSent));
        }
    }

    fn finish(&mut self, request: RequestId, outcome: RequestOutcome<K::Content>) {
        if let Some(sender) = self.waiting.remove(&request) {
            let _ = sender.send(outcome);
        }
    }
}
