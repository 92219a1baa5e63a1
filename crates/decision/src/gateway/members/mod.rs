//! What hosts tell each other where every one of them is a home: who there is, and which requests
//! crash backend servers.
//!
//! The number of hosts decides what each may take of the servers' connections and of the extra
//! attempts. Assumed too low, 21 hosts with a share for 9 had 3,801 connections of a day ended by
//! servers that had too many, and no room for the routes that few ask for. Assumed too high, each
//! takes less than it could. A request that crashes servers is found by the host that loses two of
//! them to it; without a word to the others it would take two more at each of them.
//!
//! Everything goes in datagrams: a lost one is a probe that failed, and no connection can fall silent
//! between two hosts. [`member::Table`] and [`fact::Table`] decide what is believed; this keeps the
//! questions that are open and translates between their actions and datagrams.

mod readers;
mod remote;
mod strength;

use super::helper::{Candidate, Centicores, Remote};
use super::source::Readers;
use crate::fact;
use crate::member::{
    self, Action as TableAction, BucketRange, Change, Event as TableEvent, LogLine, MemberId,
    Message, Page, ProbeId, Seed, Settings,
};
use crate::placement::Homes;
use crate::{Time, placement};
use monsoonring_configuration::id::{DataCentreId, Incarnation};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Bound of the changes in one datagram, in bytes: with the facts and the sender it stays under the
/// 1,472 bytes that an Ethernet frame carries.
const MAX_CHANGE_BYTES: usize = 800;

/// Bound of the facts in one datagram, in bytes.
const MAX_FACT_BYTES: usize = 300;

/// Bound of a page of the table, in bytes; one bucket goes in any case.
const MAX_PAGE_BYTES: usize = 1_200;

/// Time for which a host that died or left is known_hosts. It may come back in seconds, and until then
/// the others must not take its part: two sides of a partition would take the whole twice.
const TOMBSTONE_LIFE: Duration = Duration::from_secs(10 * 60);

/// Time that a page may take.
const PAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Hosts that are told at once what crashes servers. A caller that asks again is at the next host
/// within milliseconds; beyond these it goes with the probes, within seconds.
const MAX_IMMEDIATE_RECIPIENTS: usize = 64;

/// What one host sends to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A probe.
    Probe(ProbeId, Box<Message>),
    /// The answer to the probe of that number.
    Answer(ProbeId, Box<Message>),
    /// A request that the receiver probe somebody in the sender's place.
    ProbeFor(ProbeId, MemberId),
    /// A request for a page of the table.
    Pull(BucketRange),
    /// The page that was requested.
    Page(Page),
    /// Something found out just now.
    Fact(fact::Entry),
    /// How strong the sender is.
    Strength(Centicores, Reply),
    /// A question who fans out for others in the receiver's data centre.
    AskCandidates,
    /// Who fans out for others in the sender's data centre.
    Candidates(Vec<Candidate>),
}

/// Whether the sender waits for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// It does.
    Wanted,
    /// It does not.
    Unwanted,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time passes; to be fed several times a second.
    Tick,
    /// A datagram came from this address.
    Received(MemberId, Datagram),
    /// A home here found something out, to be held for that long.
    Found(fact::Key, Duration),
    /// Parts of searches may go to these other data centres from now on.
    RemoteDataCentres(BTreeSet<DataCentreId>),
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send(MemberId, Datagram),
    /// A fact that was not known here before; for the homes.
    Learned(fact::Entry),
    /// A host in the same data centre has this strength.
    Strength(MemberId, Centicores),
    /// These hosts of another data centre may fan out for this one.
    Remote(Remote),
    /// The hosts to publish_hosts by changed.
    Hosts(Homes),
    /// Who reads the store changed.
    Readers(Readers),
    /// Write a line to the log.
    Log(LogLine),
}

/// A probe in somebody's place.
#[derive(Clone, Copy, Debug)]
struct Relay {
    asker: MemberId,
    probe: ProbeId,
    target: MemberId,
    until: Time,
}

/// An own probe that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    target: MemberId,
    until: Time,
}

/// One host's part.
///
/// Invariant: the numbers told last are never below those assumed, nor below the hosts known.
#[derive(Debug)]
pub struct Members {
    table: member::Table,
    facts: fact::Table,
    assumed: Homes,
    published: Homes,
    /// Hosts known when they were last known_hosts.
    known_hosts: usize,
    data_centre: DataCentreId,
    /// By host in the same data centre, this one too.
    strengths: BTreeMap<MemberId, Centicores>,
    /// Hosts that were asked for theirs: how often, and when they are asked again.
    strength_requests: BTreeMap<MemberId, (u32, Time)>,
    /// Data centres whose hosts parts of searches may go to.
    discoveries: BTreeMap<DataCentreId, remote::Discovery>,
    /// Hosts known in the same data centre, this one too.
    near: usize,
    /// Members that served when it was last looked who of them is strong.
    serving: usize,
    /// Who reads the store, as told last.
    readers: Readers,
    pending: BTreeMap<ProbeId, Pending>,
    /// Probes in the place of others, by numbers that the table does not use.
    relays: BTreeMap<ProbeId, Relay>,
    next_relay: ProbeId,
    pulling: Option<Pending>,
    actions: Vec<Action>,
}

impl Members {
    /// Makes the part of a host that knows the `seeds` and reckons with `assumed` hosts at least.
    pub fn new(
        own: placement::Member,
        start: Incarnation,
        seeds: &[MemberId],
        strength: Centicores,
        assumed: Homes,
        now: Time,
        rng: ChaCha8Rng,
    ) -> Self {
        let settings = Settings {
            tombstone_life: TOMBSTONE_LIFE,
            message_bytes: MAX_CHANGE_BYTES,
            page_bytes: MAX_PAGE_BYTES,
            ..Settings::default()
        };
        let data_centre = own.data_centre.clone();
        let own_id = own.id;
        let mut table = member::Table::new(own, start, settings, now, rng);
        let seeds = seeds.iter().map(|&id| Seed { id, leaving: false });
        table.handle(TableEvent::Listed(seeds.collect()), now);
        Self {
            table,
            facts: fact::Table::default(),
            assumed,
            published: assumed,
            known_hosts: 0,
            data_centre,
            strengths: BTreeMap::from([(own_id, strength)]),
            strength_requests: BTreeMap::new(),
            discoveries: BTreeMap::new(),
            near: 0,
            serving: 0,
            readers: Readers {
                is_reader: true,
                others: Vec::new(),
            },
            pending: BTreeMap::new(),
            relays: BTreeMap::new(),
            next_relay: ProbeId::MAX,
            pulling: None,
            actions: Vec::new(),
        }
    }

    /// Takes in what happened and returns what is to be done.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Received(from, datagram) => self.received(from, datagram, now),
            Event::Found(key, life) => self.found(key, life, now),
            Event::RemoteDataCentres(data_centres) => {
                self.set_remote_data_centres(&data_centres, now)
            }
        }
        self.update_count();
        std::mem::take(&mut self.actions)
    }

    /// Returns the hosts to publish_hosts by: those known, the lately dead among them, and never
    /// fewer than assumed, as a host that starts or is cut off knows few.
    pub fn hosts(&self) -> Homes {
        self.published
    }

    /// Returns the members that serve, this one included.
    pub fn serving(&self) -> usize {
        self.table.serving()
    }

    /// Returns all that is known of members, the lately dead among them.
    pub fn changes(&self) -> Vec<Change> {
        self.table.iter().cloned().collect()
    }

    /// Returns all facts that hold.
    pub fn facts(&self, now: Time) -> Vec<fact::Entry> {
        self.facts.iter(now).collect()
    }

    fn tick(&mut self, now: Time) {
        self.facts.expire(now);
        self.relays.retain(|_, relay| relay.until > now);
        let expired: Vec<ProbeId> = (self.pending.iter())
            .filter(|(_, pending)| pending.until <= now)
            .map(|(probe, _)| *probe)
            .collect();
        for probe in expired {
            self.pending.remove(&probe);
            self.handle_table_event(TableEvent::Failed(probe), now);
        }
        if let Some(pulling) = self.pulling.filter(|pulling| pulling.until <= now) {
            self.pulling = None;
            self.handle_table_event(TableEvent::PullFailed(pulling.target), now);
        }
        self.handle_table_event(TableEvent::Tick, now);
        if self.table.serving() != self.serving {
            self.serving = self.table.serving();
            self.forget_strengths();
            self.choose_readers();
        }
        if self.strengths.len() < self.near {
            self.ask_strengths(now);
        }
        self.ask_candidates(now);
    }

    fn received(&mut self, from: MemberId, datagram: Datagram, now: Time) {
        match datagram {
            // Who speaks in another's name is not heard: a copy of an old message from a host that
            // has another address now would bring the old one back.
            Datagram::Probe(_, ref message) if message.from != from => {}
            Datagram::Probe(probe, message) => self.probed(from, probe, *message, now),
            Datagram::Answer(probe, message) => self.answered(probe, *message, now),
            Datagram::ProbeFor(probe, target) => self.probe_for(from, probe, target, now),
            Datagram::Pull(span) => {
                let page = self.table.page(span);
                self.send(from, Datagram::Page(page));
            }
            Datagram::Page(page) => {
                if self
                    .pulling
                    .take_if(|pending| pending.target == from)
                    .is_some()
                {
                    self.handle_table_event(TableEvent::Pulled(from, page), now);
                }
            }
            Datagram::Fact(entry) => self.learn(vec![entry], now),
            Datagram::Strength(strength, reply) => self.receive_strength(from, strength, reply),
            Datagram::AskCandidates => self.send_candidates(from),
            Datagram::Candidates(candidates) => self.receive_candidates(from, candidates, now),
        }
    }

    fn probed(&mut self, from: MemberId, probe: ProbeId, mut message: Message, now: Time) {
        self.learn(std::mem::take(&mut message.attachment.facts), now);
        for action in self.table.handle(TableEvent::Probed(message), now) {
            match action {
                TableAction::Reply(reply) => {
                    let reply = self.attach(reply, now);
                    self.send(from, Datagram::Answer(probe, reply.into()));
                }
                other => self.execute(other, now),
            }
        }
    }

    /// Takes an answer, or passes it on to whom it is for. One that came too late is news all the
    /// same.
    fn answered(&mut self, probe: ProbeId, mut message: Message, now: Time) {
        if let Some(relay) = self.relays.remove(&probe) {
            if relay.target == message.from {
                self.send(relay.asker, Datagram::Answer(relay.probe, message.into()));
            }
            return;
        }
        self.learn(std::mem::take(&mut message.attachment.facts), now);
        let pending = self.pending.get(&probe);
        let event = match pending.is_some_and(|pending| pending.target == message.from) {
            true => {
                self.pending.remove(&probe);
                TableEvent::Acked(probe, message)
            }
            false => TableEvent::Overheard(message),
        };
        self.handle_table_event(event, now);
    }

    fn probe_for(&mut self, asker: MemberId, probe: ProbeId, target: MemberId, now: Time) {
        let relay = Relay {
            asker,
            probe,
            target,
            until: now + PAGE_TIMEOUT,
        };
        let number = self.next_relay;
        self.next_relay -= 1;
        self.relays.insert(number, relay);
        let message = self.table.message(target);
        let message = self.attach(message, now);
        self.send(target, Datagram::Probe(number, message.into()));
    }

    fn found(&mut self, key: fact::Key, life: Duration, now: Time) {
        let Some(entry) = self.facts.learn(key, 0, life, now) else {
            return;
        };
        let others = self.table.members().into_iter().map(|member| member.id);
        let own = self.table.own();
        let others = others
            .filter(|id| *id != own)
            .take(MAX_IMMEDIATE_RECIPIENTS);
        let sends = others.map(|other| Action::Send(other, Datagram::Fact(entry.clone())));
        self.actions.extend(sends);
        self.actions.push(Action::Learned(entry));
    }

    fn learn(&mut self, entries: Vec<fact::Entry>, now: Time) {
        let learned = self.facts.receive(entries, now);
        self.actions
            .extend(learned.into_iter().map(Action::Learned));
    }

    fn attach(&mut self, mut message: Message, now: Time) -> Message {
        message.attachment.facts = self.facts.pick(MAX_FACT_BYTES, now);
        message
    }

    fn handle_table_event(&mut self, event: TableEvent, now: Time) {
        for action in self.table.handle(event, now) {
            self.execute(action, now);
        }
    }

    fn execute(&mut self, action: TableAction, now: Time) {
        match action {
            TableAction::Probe {
                probe,
                to,
                message,
                timeout,
            } => {
                self.ask(probe, to, now + timeout);
                let message = self.attach(message, now);
                self.send(to, Datagram::Probe(probe, message.into()));
            }
            TableAction::ProbeVia {
                probe,
                target,
                helpers,
                timeout,
            } => {
                self.ask(probe, target, now + timeout);
                for helper in helpers {
                    self.send(helper, Datagram::ProbeFor(probe, target));
                }
            }
            TableAction::Pull(from, span) => {
                self.pulling = Some(Pending {
                    target: from,
                    until: now + PAGE_TIMEOUT,
                });
                self.send(from, Datagram::Pull(span));
            }
            TableAction::Log(line) => self.actions.push(Action::Log(line)),
            // Answers go out where the probe is known; nobody waits for the rest here: a host that
            // was paused learns from the store what changed meanwhile, and no list names hosts.
            TableAction::Reply(_)
            | TableAction::Changed(..)
            | TableAction::Paused(_)
            | TableAction::Leaving => {}
        }
    }

    fn ask(&mut self, probe: ProbeId, target: MemberId, until: Time) {
        self.pending.insert(probe, Pending { target, until });
    }

    fn send(&mut self, to: MemberId, datagram: Datagram) {
        self.actions.push(Action::Send(to, datagram));
    }

    fn update_count(&mut self) {
        let known = self.table.known();
        if known != self.known_hosts {
            self.known_hosts = known;
            self.facts.set_members(known);
            self.publish_hosts();
        }
    }
}
