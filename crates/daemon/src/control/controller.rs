//! The control task: drives the member table, the configuration's holder and the fact table.

use super::document::LoadedDocument;
use super::handle::{Handle, Input};
use super::pause::Detector;
use super::probe::{self, Driver};
use super::view::View;
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::peer::Pool;
use crate::platform;
use crate::service::Configuration;
use monsoonring_configuration::id::Incarnation;
use monsoonring_configuration::section::Section;
use monsoonring_decision::configuration::{self, Contact, Holder, Version, is_reader, outranks};
use monsoonring_decision::fact;
use monsoonring_decision::member::{self, MemberId, Message, State, Table};
use monsoonring_decision::placement::Member;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use slog::{Logger, info, warn};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

/// Interval between ticks: a fraction of the shortest membership timer.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum size of the facts in one message, in bytes.
const MAX_FACT_BYTES: usize = 400;

/// Interval at which a reader reads the host list. Readers are the few daemons of a data centre
/// that read the platform's services for all of its daemons.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between updates of the member metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the daemons that aren't readers read the host list. They learn of leaving
/// backend servers through facts and need the list only to find members after a long partition.
const NON_READER_LIST_INTERVAL: Duration = Duration::from_secs(300);

/// Lifetime of the fact that a backend server is leaving.
pub(crate) const LEAVING_LIFETIME: Duration = Duration::from_secs(30 * 60);

/// Configuration and dependencies of the control task.
pub(crate) struct Settings {
    pub(crate) own: Member,
    pub(crate) start: Incarnation,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) members: member::Settings,
    pub(crate) seed: u64,
    pub(crate) clock: Clock,
    pub(crate) service: platform::Service,
    pub(crate) list: platform::List,
    pub(crate) peers: Pool,
    pub(crate) log: Logger,
    pub(crate) metrics: Arc<Metrics>,
    /// Queue of the facts that are new to this daemon.
    pub(crate) new_facts: mpsc::UnboundedSender<NewFact>,
}

/// A fact that is new to this daemon.
pub(crate) struct NewFact {
    pub(crate) entry: fact::Entry,
    /// Whether this daemon found the fact.
    pub(crate) found_here: bool,
}

/// Starts the control task.
pub(crate) fn spawn(settings: Settings) -> Handle {
    let (inputs, queue) = mpsc::unbounded_channel();
    let (view, receiver) = watch::channel(View::default());
    let pause_detector = Arc::new(Detector::new(
        settings.clock,
        settings.members.pause_threshold,
    ));
    let handle = Handle::new(inputs, receiver, pause_detector.clone());
    let controller = Controller::new(settings, handle.clone(), view, pause_detector);
    tokio::spawn(controller.run(queue));
    handle
}

struct Controller {
    own: Member,
    seeds: Vec<SocketAddr>,
    clock: Clock,
    log: Logger,
    metrics: Arc<Metrics>,
    new_facts: mpsc::UnboundedSender<NewFact>,
    table: Table,
    holder: Holder,
    facts: fact::Table,
    driver: Driver,
    list: platform::List,
    view: watch::Sender<View>,
    pause_detector: Arc<Detector>,
    /// The document that the holder is deciding on.
    candidate: Option<LoadedDocument>,
    /// The document in force.
    in_force: Option<(LoadedDocument, Arc<Configuration>)>,
    members: Arc<[Member]>,
    suspects: Arc<BTreeSet<MemberId>>,
    /// Whether this daemon reads the platform's services for its data centre.
    is_reader: bool,
    /// Whether the holder has been informed of the members.
    holder_informed: bool,
    next_list: monsoonring_decision::Time,
    next_metrics: monsoonring_decision::Time,
}

impl Controller {
    fn new(
        settings: Settings,
        handle: Handle,
        view: watch::Sender<View>,
        pause_detector: Arc<Detector>,
    ) -> Self {
        let now = settings.clock.now();
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let holder = Holder::new(now, ChaCha8Rng::from_rng(&mut rng));
        let own = settings.own.clone();
        let table = Table::new(own, settings.start, settings.members, now, rng);
        let driver = Driver::new(
            handle,
            settings.peers,
            settings.service,
            settings.log.clone(),
        );
        Self {
            own: settings.own,
            seeds: settings.seeds,
            clock: settings.clock,
            log: settings.log,
            metrics: settings.metrics,
            new_facts: settings.new_facts,
            table,
            holder,
            facts: fact::Table::default(),
            driver,
            list: settings.list,
            view,
            pause_detector,
            candidate: None,
            in_force: None,
            members: Arc::default(),
            suspects: Arc::default(),
            is_reader: true,
            holder_informed: false,
            next_list: now,
            next_metrics: now,
        }
    }

    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<Input>) {
        let seeds = self
            .seeds
            .iter()
            .map(|&id| member::Seed { id, leaving: false })
            .collect();
        self.handle_member(member::Event::Listed(seeds), None);
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.tick(),
                input = queue.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        self.handle_member(member::Event::Tick, None);
        if self.holder_informed != self.table.is_current() {
            self.members = self.table.members().into();
            self.update_holder();
        }
        self.handle_configuration(configuration::Event::Tick);
        let now = self.clock.now();
        self.facts.expire(now);
        if now >= self.next_metrics {
            self.next_metrics = now + METRICS_INTERVAL;
            let states = self.table.iter().map(|change| change.state);
            self.metrics.control.set_members(states);
        }
        if now >= self.next_list {
            let period = if self.is_reader {
                LIST_INTERVAL
            } else {
                NON_READER_LIST_INTERVAL
            };
            self.next_list = now + period;
            self.driver
                .list(&self.list, &self.view.borrow(), &self.seeds);
        }
        self.publish();
        self.pause_detector.record_tick();
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Probed(message, reply) => {
                let message = self.process_attachment(message);
                self.handle_member(member::Event::Probed(message), Some(reply));
            }
            Input::Message(to, reply) => {
                let message = self.table.message(to);
                let _ = reply.send(self.attach(message));
            }
            Input::Page(range, reply) => drop(reply.send(self.table.page(range))),
            Input::Sections(min_version, reply) => drop(reply.send(self.sections(min_version))),
            Input::Start(member, reply) => {
                let change = self.table.get(member);
                let _ = reply.send(change.map(|change| change.incarnation.start));
            }
            Input::Members(reply) => drop(reply.send(self.table.iter().cloned().collect())),
            Input::Facts(reply) => {
                let facts = self.facts.iter(self.clock.now()).collect();
                let _ = reply.send(facts);
            }
            Input::Member(event) => self.receive_member_event(event),
            Input::Configuration(event) => self.handle_configuration(event),
            Input::Document(peer, document) => self.handle_document(peer, *document),
            Input::LeavingServers(leaving) => {
                for server in leaving {
                    self.learn(fact::Key::Leaving(server), 0, LEAVING_LIFETIME);
                }
            }
            Input::RemoteFact(entry, from) => self.receive_facts(vec![entry], from),
            Input::LocalFact(key, version, lifetime) => self.learn(key, version, lifetime),
        }
        self.publish();
    }

    fn receive_member_event(&mut self, event: member::Event) {
        let event = match event {
            member::Event::Acked(probe, message) => {
                member::Event::Acked(probe, self.process_attachment(message))
            }
            member::Event::Overheard(message) => {
                member::Event::Overheard(self.process_attachment(message))
            }
            event => event,
        };
        self.handle_member(event, None);
    }

    /// Processes and removes a message's attachment, and returns the message.
    fn process_attachment(&mut self, mut message: Message) -> Message {
        let attachment = std::mem::take(&mut message.attachment);
        self.handle_configuration(configuration::Event::Peer(
            message.from,
            attachment.configuration,
        ));
        if let Some(contact) = attachment
            .contact
            .filter(|contact| contact.by != self.own.id)
        {
            let outranks = outranks(contact.by, self.own.id);
            self.handle_configuration(configuration::Event::Contacted(contact, outranks));
        }
        self.receive_facts(attachment.facts, message.from);
        message
    }

    fn receive_facts(&mut self, entries: Vec<fact::Entry>, from: MemberId) {
        for entry in self.facts.receive(entries, self.clock.now()) {
            self.metrics.control.record_fact(&entry.key, "heard");
            info!(self.log, "fact"; "what" => "heard", "fact" => format!("{:?}", entry.key),
                "from" => %from, "life_ms" => entry.life.as_millis());
            let _ = self.new_facts.send(NewFact {
                entry,
                found_here: false,
            });
        }
    }

    /// Attaches the configuration's version, the last contact with the service and facts to a
    /// message.
    fn attach(&mut self, mut message: Message) -> Message {
        let now = self.clock.now();
        message.attachment.configuration = self.holder.in_force();
        message.attachment.contact = self.holder.contact(now).map(|(by, age)| Contact {
            by: by.unwrap_or(self.own.id),
            age,
        });
        // The others are pushed to the homes when they are found.
        let facts = self.facts.pick(MAX_FACT_BYTES, now).into_iter();
        message.attachment.facts = facts.filter(|entry| entry.key.is_attachable()).collect();
        message
    }

    /// Adds a fact found by this daemon.
    fn learn(&mut self, key: fact::Key, version: u64, lifetime: Duration) {
        let now = self.clock.now();
        let Some(entry) = self.facts.learn(key, version, lifetime, now) else {
            return;
        };
        self.metrics.control.record_fact(&entry.key, "learned");
        info!(self.log, "fact"; "what" => "learned", "fact" => format!("{:?}", entry.key),
            "life_ms" => entry.life.as_millis());
        let _ = self.new_facts.send(NewFact {
            entry,
            found_here: true,
        });
        // Spreads the fact without waiting for the next periodic probe.
        self.handle_member(member::Event::Burst, None);
    }

    fn handle_member(&mut self, event: member::Event, reply: Option<probe::Reply>) {
        let mut reply = reply;
        let actions = self.table.handle(event, self.clock.now());
        for action in actions {
            self.perform(action, &mut reply);
        }
    }

    fn perform(&mut self, action: member::Action, reply: &mut Option<probe::Reply>) {
        match action {
            member::Action::Probe {
                probe,
                to,
                message,
                timeout,
            } => {
                let message = self.attach(message);
                self.driver.probe(probe, to, message, timeout);
            }
            member::Action::ProbeVia {
                probe,
                target,
                helpers,
                timeout,
            } => {
                self.driver.probe_via(probe, target, helpers, timeout);
            }
            member::Action::Reply(message) => {
                let message = self.attach(message);
                if let Some(reply) = reply.take() {
                    let _ = reply.send(message);
                }
            }
            member::Action::Pull(from, range) => self.driver.pull(from, range),
            member::Action::Changed(member, state) => self.handle_state_change(member, state),
            member::Action::Paused(gap) => {
                self.metrics.control.pauses.inc();
                warn!(self.log, "member"; "what" => "paused", "gap_ms" => gap.as_millis());
                self.pause_detector.record_pause();
                self.handle_configuration(configuration::Event::Paused);
            }
            member::Action::Leaving => {
                warn!(self.log, "member"; "what" => "listed as leaving", "member" => %self.own.id);
            }
            member::Action::Log(line) => {
                info!(self.log, "member"; "what" => line.label, "member" => %line.member,
                    "why" => line.reason);
            }
        }
    }

    fn handle_state_change(&mut self, member: MemberId, state: State) {
        self.metrics.control.record_member_change(state);
        if !state.is_serving() {
            // Drop the connection to a dead process: it would be reused for the next call to a new
            // process on the same address, and that call would fail.
            self.driver.forget(member);
        }
        self.members = self.table.members().into();
        self.suspects = Arc::new(self.table.suspects().collect());
        self.facts.set_members(self.members.len());
        self.update_holder();
    }

    /// Informs the configuration's holder of the members once the table is current.
    ///
    /// Until then a starting daemon appears to be alone. It would trust a stale service, adopt an
    /// older document than its peers have, and become ready with it.
    fn update_holder(&mut self) {
        self.holder_informed = self.table.is_current();
        if !self.holder_informed {
            return;
        }
        self.is_reader = is_reader(&self.own, &self.members);
        let peers = self.members.len().saturating_sub(1);
        let reader = self.is_reader;
        self.handle_configuration(configuration::Event::Members { reader, peers });
    }

    /// Passes a document from the service or a peer to the holder.
    fn handle_document(&mut self, peer: Option<MemberId>, document: LoadedDocument) {
        let (version, faults) = (document.version, document.faults());
        self.candidate = Some(document);
        self.handle_configuration(match peer {
            None => configuration::Event::Served(version, faults),
            Some(peer) => configuration::Event::Fetched(peer, version, faults),
        });
        self.candidate = None;
    }

    fn handle_configuration(&mut self, event: configuration::Event) {
        if event == configuration::Event::ServiceFailed {
            self.metrics.control.service_failures.inc();
        }
        let actions = self.holder.handle(event, self.clock.now());
        for action in actions {
            match action {
                configuration::Action::Read => self.driver.read(),
                configuration::Action::Watch { after, wait } => self.driver.watch(after, wait),
                configuration::Action::Fetch(peer, version) => {
                    self.driver.fetch(peer, version, self.local_sections());
                }
                configuration::Action::Adopt(version, _) => self.adopt(version),
                configuration::Action::Log(line) => {
                    self.metrics.control.record_configuration_event(line.label);
                    info!(self.log, "configuration"; "what" => line.label, "why" => line.reason,
                        "revision" => line.version.revision,
                        "digest" => format!("{:032x}", line.version.digest));
                }
            }
        }
    }

    fn adopt(&mut self, version: Version) {
        let Some(document) = self
            .candidate
            .take_if(|document| document.version == version)
        else {
            return;
        };
        let Some(configuration) = document.configuration() else {
            return;
        };
        self.metrics.control.set_revision(version.revision);
        self.in_force = Some((document, configuration));
        self.handle_member(member::Event::Burst, None);
    }

    fn sections(&self, min_version: Version) -> Option<(Version, Arc<[Section]>)> {
        let (document, _) = self.in_force.as_ref()?;
        (document.version >= min_version).then(|| (document.version, document.sections.clone()))
    }

    /// Returns the sections of the document in force; empty until the first is adopted.
    fn local_sections(&self) -> Arc<[Section]> {
        let in_force = self.in_force.as_ref();
        in_force
            .map(|(document, _)| document.sections.clone())
            .unwrap_or_default()
    }

    /// Publishes the view if it has changed.
    fn publish(&self) {
        let view = self.build_view();
        let control = &self.metrics.control;
        control.set_readiness(view.check_ready().is_ok(), view.isolated, view.conflicts);
        self.view.send_if_modified(|published| {
            let changed = !published.is_same(&view);
            if changed {
                *published = view;
            }
            changed
        });
    }

    fn build_view(&self) -> View {
        View {
            configuration: self
                .in_force
                .as_ref()
                .map(|(_, configuration)| configuration.clone()),
            version: self.holder.in_force(),
            members: self.members.clone(),
            suspects: self.suspects.clone(),
            members_current: self.table.is_current(),
            configuration_current: self.holder.is_current(),
            isolated: self.table.is_isolated(),
            conflicts: self.holder.conflicts(),
        }
    }
}
