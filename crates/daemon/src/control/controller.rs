//! The control task.

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

/// Time between two ticks: a fraction of the shortest time that the members count in.
const TICK: Duration = Duration::from_millis(50);

/// Bytes of facts on one message.
const FACT_BYTES: usize = 400;

/// Time between two readings of the host list by a reader of the data centre.
const LIST_PERIOD: Duration = Duration::from_secs(2);

/// Time between two counts of the members.
const COUNT_PERIOD: Duration = Duration::from_secs(1);

/// Time between two readings by any other daemon. What the list says of backend servers reaches it
/// as facts; the list itself only matters to find members after a long partition.
const LIST_PERIOD_OTHERS: Duration = Duration::from_secs(300);

/// Time for which the members remember that a backend server is leaving.
pub(crate) const LEAVING_LIFE: Duration = Duration::from_secs(30 * 60);

/// What the control task is started with.
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
    /// Where facts go that this daemon has not known before.
    pub(crate) news: mpsc::UnboundedSender<NewFact>,
}

/// A fact that this daemon has not known before.
pub(crate) struct NewFact {
    pub(crate) entry: fact::Entry,
    /// Whether it was found here.
    pub(crate) own: bool,
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
    news: mpsc::UnboundedSender<NewFact>,
    table: Table,
    holder: Holder,
    facts: fact::Table,
    driver: Driver,
    list: platform::List,
    view: watch::Sender<View>,
    pause_detector: Arc<Detector>,
    /// The document that the holder is deciding on.
    read: Option<LoadedDocument>,
    /// The document in force.
    in_force: Option<(LoadedDocument, Arc<Configuration>)>,
    members: Arc<[Member]>,
    suspects: Arc<BTreeSet<MemberId>>,
    reader: bool,
    /// Whether the holder knows of the members.
    announced: bool,
    next_list: monsoonring_decision::Time,
    next_count: monsoonring_decision::Time,
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
            news: settings.news,
            table,
            holder,
            facts: fact::Table::default(),
            driver,
            list: settings.list,
            view,
            pause_detector,
            read: None,
            in_force: None,
            members: Arc::default(),
            suspects: Arc::default(),
            reader: true,
            announced: false,
            next_list: now,
            next_count: now,
        }
    }

    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<Input>) {
        let seeds = self
            .seeds
            .iter()
            .map(|&id| member::Seed { id, leaving: false })
            .collect();
        self.member(member::Event::Listed(seeds), None);
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => self.tick(),
                input = queue.recv() => match input {
                    Some(input) => self.input(input),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        self.member(member::Event::Tick, None);
        if self.announced != self.table.is_current() {
            self.members = self.table.members().into();
            self.announce();
        }
        self.configuration(configuration::Event::Tick);
        let now = self.clock.now();
        self.facts.expire(now);
        if now >= self.next_count {
            self.next_count = now + COUNT_PERIOD;
            let states = self.table.iter().map(|change| change.state);
            self.metrics.control.set_members(states);
        }
        if now >= self.next_list {
            let period = if self.reader {
                LIST_PERIOD
            } else {
                LIST_PERIOD_OTHERS
            };
            self.next_list = now + period;
            self.driver
                .list(&self.list, &self.view.borrow(), &self.seeds);
        }
        self.publish();
        self.pause_detector.record_tick();
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::Probed(message, reply) => {
                let message = self.received(message);
                self.member(member::Event::Probed(message), Some(reply));
            }
            Input::Message(to, reply) => {
                let message = self.table.message(to);
                let _ = reply.send(self.attach(message));
            }
            Input::Page(span, reply) => drop(reply.send(self.table.page(span))),
            Input::Sections(least, reply) => drop(reply.send(self.sections(least))),
            Input::Start(member, reply) => {
                let change = self.table.get(member);
                let _ = reply.send(change.map(|change| change.incarnation.start));
            }
            Input::Members(reply) => drop(reply.send(self.table.iter().cloned().collect())),
            Input::Facts(reply) => {
                let facts = self.facts.iter(self.clock.now()).collect();
                let _ = reply.send(facts);
            }
            Input::Member(event) => self.member_event(event),
            Input::Configuration(event) => self.configuration(event),
            Input::Document(peer, read) => self.read(peer, *read),
            Input::LeavingServers(leaving) => {
                for server in leaving {
                    self.learn(fact::Key::Leaving(server), 0, LEAVING_LIFE);
                }
            }
            Input::RemoteFact(entry, from) => self.heard(vec![entry], from),
            Input::LocalFact(key, version, life) => self.learn(key, version, life),
        }
        self.publish();
    }

    fn member_event(&mut self, event: member::Event) {
        let event = match event {
            member::Event::Acked(probe, message) => {
                member::Event::Acked(probe, self.received(message))
            }
            member::Event::Overheard(message) => member::Event::Overheard(self.received(message)),
            event => event,
        };
        self.member(event, None);
    }

    /// Takes what rides on a message to those whom it concerns, and returns the message.
    fn received(&mut self, mut message: Message) -> Message {
        let attachment = std::mem::take(&mut message.attachment);
        self.configuration(configuration::Event::Peer(
            message.from,
            attachment.configuration,
        ));
        if let Some(contact) = attachment
            .contact
            .filter(|contact| contact.by != self.own.id)
        {
            let outranks = outranks(contact.by, self.own.id);
            self.configuration(configuration::Event::Contacted(contact, outranks));
        }
        self.heard(attachment.facts, message.from);
        message
    }

    fn heard(&mut self, entries: Vec<fact::Entry>, from: MemberId) {
        for entry in self.facts.receive(entries, self.clock.now()) {
            self.metrics.control.fact(&entry.key, "heard");
            info!(self.log, "fact"; "what" => "heard", "fact" => format!("{:?}", entry.key),
                "from" => %from, "life_ms" => entry.life.as_millis());
            let _ = self.news.send(NewFact { entry, own: false });
        }
    }

    fn attach(&mut self, mut message: Message) -> Message {
        let now = self.clock.now();
        message.attachment.configuration = self.holder.in_force();
        message.attachment.contact = self.holder.contact(now).map(|(by, age)| Contact {
            by: by.unwrap_or(self.own.id),
            age,
        });
        message.attachment.facts = self.facts.pick(FACT_BYTES, now);
        message
    }

    fn learn(&mut self, key: fact::Key, version: u64, life: Duration) {
        let now = self.clock.now();
        let Some(entry) = self.facts.learn(key, version, life, now) else {
            return;
        };
        self.metrics.control.fact(&entry.key, "learned");
        info!(self.log, "fact"; "what" => "learned", "fact" => format!("{:?}", entry.key),
            "life_ms" => entry.life.as_millis());
        let _ = self.news.send(NewFact { entry, own: true });
        self.member(member::Event::Burst, None);
    }

    fn member(&mut self, event: member::Event, reply: Option<probe::Reply>) {
        let mut reply = reply;
        let actions = self.table.handle(event, self.clock.now());
        for action in actions {
            self.carry_out(action, &mut reply);
        }
    }

    fn carry_out(&mut self, action: member::Action, reply: &mut Option<probe::Reply>) {
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
            member::Action::Pull(from, span) => self.driver.pull(from, span),
            member::Action::Changed(member, state) => self.changed(member, state),
            member::Action::Paused(gap) => {
                self.metrics.control.pauses.inc();
                warn!(self.log, "member"; "what" => "paused", "gap_ms" => gap.as_millis());
                self.pause_detector.record_pause();
                self.configuration(configuration::Event::Paused);
            }
            member::Action::Leaving => {
                warn!(self.log, "member"; "what" => "listed as leaving", "member" => %self.own.id);
            }
            member::Action::Log(line) => {
                info!(self.log, "member"; "what" => line.what, "member" => %line.member,
                    "why" => line.why);
            }
        }
    }

    fn changed(&mut self, member: MemberId, state: State) {
        self.metrics.control.changed(state);
        if !state.is_serving() {
            // A stream to a dead process would be used for the next call to its successor on the
            // same address, and fail that call.
            self.driver.forget(member);
        }
        self.members = self.table.members().into();
        self.suspects = Arc::new(self.table.suspects().collect());
        self.facts.set_members(self.members.len());
        self.announce();
    }

    /// Tells the configuration's holder of the members, once the table is current.
    ///
    /// Before that a daemon that starts seems to be alone. It would believe a service that is stale,
    /// adopt an older document than its peers hold, and be ready with it.
    fn announce(&mut self) {
        self.announced = self.table.is_current();
        if !self.announced {
            return;
        }
        self.reader = is_reader(&self.own, &self.members);
        let peers = self.members.len().saturating_sub(1);
        let reader = self.reader;
        self.configuration(configuration::Event::Members { reader, peers });
    }

    /// Takes a document that the service or a peer gave.
    fn read(&mut self, peer: Option<MemberId>, read: LoadedDocument) {
        let (version, faults) = (read.version, read.faults());
        self.read = Some(read);
        self.configuration(match peer {
            None => configuration::Event::Served(version, faults),
            Some(peer) => configuration::Event::Fetched(peer, version, faults),
        });
        self.read = None;
    }

    fn configuration(&mut self, event: configuration::Event) {
        if event == configuration::Event::ServiceFailed {
            self.metrics.control.service_failures.inc();
        }
        let actions = self.holder.handle(event, self.clock.now());
        for action in actions {
            match action {
                configuration::Action::Read => self.driver.read(),
                configuration::Action::Watch { after, wait } => self.driver.watch(after, wait),
                configuration::Action::Fetch(peer, version) => {
                    self.driver.fetch(peer, version, self.held());
                }
                configuration::Action::Adopt(version, _) => self.adopt(version),
                configuration::Action::Log(line) => {
                    self.metrics.control.decided(line.what);
                    info!(self.log, "configuration"; "what" => line.what, "why" => line.why,
                        "revision" => line.version.revision,
                        "digest" => format!("{:032x}", line.version.digest));
                }
            }
        }
    }

    fn adopt(&mut self, version: Version) {
        let Some(read) = self.read.take_if(|read| read.version == version) else {
            return;
        };
        let Some(configuration) = read.configuration() else {
            return;
        };
        self.metrics.control.set_revision(version.revision);
        self.in_force = Some((read, configuration));
        self.member(member::Event::Burst, None);
    }

    fn sections(&self, least: Version) -> Option<(Version, Arc<[Section]>)> {
        let (read, _) = self.in_force.as_ref()?;
        (read.version >= least).then(|| (read.version, read.sections.clone()))
    }

    /// Returns the sections of the document in force, none before the first.
    fn held(&self) -> Arc<[Section]> {
        let held = self.in_force.as_ref();
        held.map(|(read, _)| read.sections.clone())
            .unwrap_or_default()
    }

    /// Publishes the view if it has changed.
    fn publish(&self) {
        let view = self.current();
        let control = &self.metrics.control;
        control.set_standing(view.ready().is_ok(), view.isolated, view.conflicts);
        self.view.send_if_modified(|published| {
            let changed = !published.is_same(&view);
            if changed {
                *published = view;
            }
            changed
        });
    }

    fn current(&self) -> View {
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
