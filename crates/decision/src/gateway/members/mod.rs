//! Communication between hosts: membership, crash reports, strengths and helpers.
//!
//! The number of hosts determines each host's share of the servers' connections and of the retry
//! and hedge budgets. If it is assumed too low, servers reject connections; if too high, capacity
//! is left unused. A request that crashes servers is detected by the host that loses two of them to
//! it, or one after another host has announced a crash; without a report to the others, each would
//! lose two more.
//!
//! All messages are datagrams. A lost one is equivalent to a failed probe, and there are no
//! connections that could fail silently. [`member::Table`] and [`fact::Table`] hold the membership
//! and the facts; this module tracks pending requests and converts their actions to datagrams and
//! back.

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

/// Maximum size of the changes in a datagram, in bytes. With facts and sender the datagram stays
/// below the 1,472 bytes of UDP payload in an Ethernet frame.
const MAX_CHANGE_BYTES: usize = 800;

/// Maximum size of the facts in a datagram, in bytes.
const MAX_FACT_BYTES: usize = 300;

/// Maximum size of a page of the table, in bytes; a page holds at least one bucket.
const MAX_PAGE_BYTES: usize = 1_200;

/// Time for which a dead or departed host still counts. It may return within seconds, and the two
/// sides of a partition must not each use the full connection limit.
const TOMBSTONE_LIFE: Duration = Duration::from_secs(10 * 60);

/// Timeout of a page request, and of a relayed probe.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of hosts that a new fact is sent to immediately, as a caller retries at another
/// host within milliseconds. The other hosts receive it with probes, within seconds.
const MAX_IMMEDIATE_RECIPIENTS: usize = 64;

/// A message between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A probe.
    Probe(ProbeId, Box<Message>),
    /// The answer to a probe.
    Answer(ProbeId, Box<Message>),
    /// Asks the receiver to probe another host for the sender.
    ProbeFor(ProbeId, MemberId),
    /// Requests a page of the membership table.
    Pull(BucketRange),
    /// The requested page.
    Page(Page),
    /// A fact that the sender has just learned.
    Fact(fact::Entry),
    /// The strength of the sender.
    Strength(Centicores, Reply),
    /// Requests the hosts in the receiver's data centre that fan out for others.
    AskCandidates,
    /// The hosts in the sender's data centre that fan out for others.
    Candidates(Vec<Candidate>),
}

/// Whether the sender expects a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// A reply is expected.
    Wanted,
    /// No reply is expected.
    Unwanted,
}

/// An input of [`Members::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed; due several times per second.
    Tick,
    /// A datagram arrived from this address.
    Received(MemberId, Datagram),
    /// A home on this host found a version of a fact, valid for this time.
    Found(fact::Key, u64, Duration),
    /// Searches may be delegated to these data centres.
    RemoteDataCentres(BTreeSet<DataCentreId>),
}

/// An output of [`Members::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send(MemberId, Datagram),
    /// Pass a new fact to the homes.
    Learned(fact::Entry),
    /// Record the strength of a host in the same data centre.
    Strength(MemberId, Centicores),
    /// Replace the hosts of another data centre that fan out for others.
    Remote(Remote),
    /// Apply new numbers of hosts, which determine this host's shares.
    Hosts(Homes),
    /// Replace the readers of the store.
    Readers(Readers),
    /// Write a log line.
    Log(LogLine),
}

/// A probe on behalf of another host.
#[derive(Clone, Copy, Debug)]
struct Relay {
    asker: MemberId,
    probe: ProbeId,
    target: MemberId,
    until: Time,
}

/// A probe or page request that awaits its answer.
#[derive(Clone, Copy, Debug)]
struct Pending {
    target: MemberId,
    until: Time,
}

/// State of one host.
///
/// Invariant: the published host counts are never below the assumed counts or the number of known
/// hosts.
#[derive(Debug)]
pub struct Members {
    table: member::Table,
    facts: fact::Table,
    assumed: Homes,
    published: Homes,
    /// Number of known hosts when the counts were last updated.
    known_hosts: usize,
    data_centre: DataCentreId,
    /// Strengths of the hosts in this data centre, including this one.
    strengths: BTreeMap<MemberId, Centicores>,
    /// Requests for unknown strengths: number sent, and time of the next.
    strength_requests: BTreeMap<MemberId, (u32, Time)>,
    /// Discovery of helpers, by remote data centre.
    discoveries: BTreeMap<DataCentreId, remote::Discovery>,
    /// Number of known hosts in this data centre, including this one.
    near: usize,
    /// Number of serving members at the last update of the strengths.
    serving: usize,
    /// The readers as published last.
    readers: Readers,
    pending: BTreeMap<ProbeId, Pending>,
    /// Relayed probes, by IDs that count down and so don't collide with the table's own.
    relays: BTreeMap<ProbeId, Relay>,
    next_relay: ProbeId,
    pending_pull: Option<Pending>,
    actions: Vec<Action>,
}

impl Members {
    /// Creates the state of a host that knows the `seeds` and assumes at least `assumed` hosts.
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
            pending_pull: None,
            actions: Vec::new(),
        }
    }

    /// Processes an event and returns the resulting actions.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Received(from, datagram) => self.receive(from, datagram, now),
            Event::Found(key, version, life) => self.record_fact(key, version, life, now),
            Event::RemoteDataCentres(data_centres) => {
                self.set_remote_data_centres(&data_centres, now)
            }
        }
        self.update_known_hosts();
        std::mem::take(&mut self.actions)
    }

    /// Returns the host counts that determine this host's shares. They include recently dead hosts
    /// and are never below the assumed counts, as a host that starts or is partitioned knows few
    /// others.
    pub fn hosts(&self) -> Homes {
        self.published
    }

    /// Returns the number of serving members, including this one.
    pub fn serving(&self) -> usize {
        self.table.serving()
    }

    /// Returns the state of all members, including recently dead ones.
    pub fn changes(&self) -> Vec<Change> {
        self.table.iter().cloned().collect()
    }

    /// Returns all valid facts.
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
        if let Some(pending_pull) = self
            .pending_pull
            .filter(|pending_pull| pending_pull.until <= now)
        {
            self.pending_pull = None;
            self.handle_table_event(TableEvent::PullFailed(pending_pull.target), now);
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

    fn receive(&mut self, from: MemberId, datagram: Datagram, now: Time) {
        match datagram {
            // Ignores messages with a wrong sender: a delayed message from a host that has since
            // changed its address would revive the old member.
            Datagram::Probe(_, ref message) if message.from != from => {}
            Datagram::Probe(probe, message) => self.receive_probe(from, probe, *message, now),
            Datagram::Answer(probe, message) => self.receive_answer(probe, *message, now),
            Datagram::ProbeFor(probe, target) => self.relay_probe(from, probe, target, now),
            Datagram::Pull(range) => {
                let page = self.table.page(range);
                self.send(from, Datagram::Page(page));
            }
            Datagram::Page(page) => {
                if self
                    .pending_pull
                    .take_if(|pending| pending.target == from)
                    .is_some()
                {
                    self.handle_table_event(TableEvent::Pulled(from, page), now);
                }
            }
            Datagram::Fact(entry) => self.receive_facts(vec![entry], now),
            Datagram::Strength(strength, reply) => self.receive_strength(from, strength, reply),
            Datagram::AskCandidates => self.send_candidates(from),
            Datagram::Candidates(candidates) => self.receive_candidates(from, candidates, now),
        }
    }

    fn receive_probe(&mut self, from: MemberId, probe: ProbeId, mut message: Message, now: Time) {
        self.receive_facts(std::mem::take(&mut message.attachment.facts), now);
        for action in self.table.handle(TableEvent::Probed(message), now) {
            match action {
                TableAction::Reply(reply) => {
                    let reply = self.attach(from, reply, now);
                    self.send(from, Datagram::Answer(probe, reply.into()));
                }
                other => self.execute(other, now),
            }
        }
    }

    /// Processes the answer to a probe, or forwards it if the probe was relayed. A late answer
    /// still carries valid changes.
    fn receive_answer(&mut self, probe: ProbeId, mut message: Message, now: Time) {
        if let Some(relay) = self.relays.remove(&probe) {
            if relay.target == message.from {
                self.send(relay.asker, Datagram::Answer(relay.probe, message.into()));
            }
            return;
        }
        self.receive_facts(std::mem::take(&mut message.attachment.facts), now);
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

    fn relay_probe(&mut self, asker: MemberId, probe: ProbeId, target: MemberId, now: Time) {
        let relay = Relay {
            asker,
            probe,
            target,
            until: now + REQUEST_TIMEOUT,
        };
        let relay_id = self.next_relay;
        self.next_relay -= 1;
        self.relays.insert(relay_id, relay);
        let message = self.table.message(target);
        let message = self.attach(target, message, now);
        self.send(target, Datagram::Probe(relay_id, message.into()));
    }

    fn record_fact(&mut self, key: fact::Key, version: u64, life: Duration, now: Time) {
        let Some(entry) = self.facts.learn(key, version, life, now) else {
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

    fn receive_facts(&mut self, entries: Vec<fact::Entry>, now: Time) {
        let learned = self.facts.receive(entries, now);
        self.actions
            .extend(learned.into_iter().map(Action::Learned));
    }

    /// Attaches facts to a message, and sends those that can't be attached on their own.
    fn attach(&mut self, to: MemberId, mut message: Message, now: Time) -> Message {
        let facts = self.facts.pick(MAX_FACT_BYTES, now).into_iter();
        let (attached, separate): (Vec<_>, Vec<_>) =
            facts.partition(|entry| entry.key.is_attachable());
        for entry in separate {
            self.send(to, Datagram::Fact(entry));
        }
        message.attachment.facts = attached;
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
                self.track_probe(probe, to, now + timeout);
                let message = self.attach(to, message, now);
                self.send(to, Datagram::Probe(probe, message.into()));
            }
            TableAction::ProbeVia {
                probe,
                target,
                helpers,
                timeout,
            } => {
                self.track_probe(probe, target, now + timeout);
                for helper in helpers {
                    self.send(helper, Datagram::ProbeFor(probe, target));
                }
            }
            TableAction::Pull(from, range) => {
                self.pending_pull = Some(Pending {
                    target: from,
                    until: now + REQUEST_TIMEOUT,
                });
                self.send(from, Datagram::Pull(range));
            }
            TableAction::Log(line) => self.actions.push(Action::Log(line)),
            // Replies are sent in `receive_probe`. The others need no action: after a pause, a host learns
            // of changes from the store, and hosts are not registered anywhere.
            TableAction::Reply(_)
            | TableAction::Changed(..)
            | TableAction::Paused(_)
            | TableAction::Leaving => {}
        }
    }

    fn track_probe(&mut self, probe: ProbeId, target: MemberId, until: Time) {
        self.pending.insert(probe, Pending { target, until });
    }

    fn send(&mut self, to: MemberId, datagram: Datagram) {
        self.actions.push(Action::Send(to, datagram));
    }

    fn update_known_hosts(&mut self) {
        let known = self.table.known();
        if known != self.known_hosts {
            self.known_hosts = known;
            self.facts.set_members(known);
            self.publish_hosts();
        }
    }
}
