//! Simulates a network of member tables in one thread.
//!
//! Each tick executes every action of every table immediately, except for messages that a test drops. Latency and load
//! are not simulated.
#![allow(dead_code, reason = "each test file uses a part")]

use monsoonring_decision::member::{
    Action, Change, Event, Incarnation, MemberId, Message, Page, Seed, Settings, State, Table,
};
use monsoonring_decision::{Time, placement};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::time::Duration;

/// Interval of ticks.
pub(crate) const TICK: Duration = Duration::from_millis(250);

/// Time in which every member pulls a table and announces itself.
const JOIN_TIME: Duration = Duration::from_secs(40);

/// Returns whether a message is lost, given its sender and receiver.
pub(crate) type DropRule = Box<dyn FnMut(usize, usize) -> bool>;

/// The tables of all members, by number, and the actions that they returned.
pub(crate) struct Network {
    pub(crate) tables: Vec<Table>,
    /// Whether each process runs. A stopped process neither ticks nor replies.
    pub(crate) running: Vec<bool>,
    pub(crate) now: Time,
    pub(crate) is_dropped: DropRule,
    /// Bytes sent and received by each member.
    pub(crate) bytes: Vec<usize>,
    /// Actions other than messages, with the number of the member that returned them.
    pub(crate) log: Vec<(usize, Action)>,
}

pub(crate) fn id(number: usize) -> MemberId {
    let [.., high, low] = number.to_be_bytes();
    MemberId::from(([10, 0, high, low], 7000))
}

pub(crate) fn member(number: usize, data_centres: usize) -> placement::Member {
    placement::Member {
        id: id(number),
        data_centre: format!("dc{}", number % data_centres).into(),
    }
}

pub(crate) fn table(number: usize, start: u64, now: Time) -> Table {
    let rng = ChaCha8Rng::seed_from_u64(number as u64 + start);
    Table::new(member(number, 3), start, Settings::default(), now, rng)
}

impl Network {
    /// Returns a network whose members all know each other and are current.
    pub(crate) fn joined(count: usize) -> Self {
        let tables: Vec<Table> = (0..count).map(|n| table(n, 1, Time::ZERO)).collect();
        let range = monsoonring_decision::member::BucketRange { first: 0, last: 63 };
        let all = tables.iter().flat_map(|table| table.page(range).changes);
        let changes: Vec<_> = all.collect();
        let mut network = Self {
            running: vec![true; count],
            bytes: vec![0; count],
            tables,
            now: Time::ZERO,
            is_dropped: Box::new(|_, _| false),
            log: Vec::new(),
        };
        for table in &mut network.tables {
            let (changes, rest) = (changes.clone(), None);
            table.handle(Event::Pulled(id(count), Page { changes, rest }), Time::ZERO);
        }
        network.run(JOIN_TIME);
        network.log.clear();
        network
    }

    /// Adds a running member. The number in its address must be the next one.
    pub(crate) fn add(&mut self, table: Table) {
        self.tables.push(table);
        self.running.push(true);
        self.bytes.push(0);
    }

    /// Drops each message with this probability.
    pub(crate) fn set_loss(&mut self, probability: f64) {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        self.is_dropped = Box::new(move |_, _| rng.random_bool(probability));
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    pub(crate) fn step(&mut self) {
        self.now += TICK;
        for number in 0..self.tables.len() {
            if self.running[number] {
                self.feed(number, Event::Tick);
            }
        }
    }

    /// Feeds an event to a member and executes all resulting actions.
    pub(crate) fn feed(&mut self, number: usize, event: Event) {
        let mut events = VecDeque::from([(number, event)]);
        while let Some((number, event)) = events.pop_front() {
            for action in self.tables[number].handle(event, self.now) {
                self.execute(number, action, &mut events);
            }
        }
    }

    fn execute(&mut self, own: usize, action: Action, events: &mut VecDeque<(usize, Event)>) {
        match action {
            Action::Probe {
                probe, to, message, ..
            } => {
                let reply = self.exchange(own, to, message, events);
                events.push_back((
                    own,
                    reply.map_or(Event::Failed(probe), |m| Event::Acked(probe, m)),
                ));
            }
            Action::ProbeVia {
                probe,
                target,
                helpers,
                ..
            } => {
                let reply = helpers
                    .iter()
                    .find_map(|helper| self.relay(own, *helper, target, events));
                events.push_back((
                    own,
                    reply.map_or(Event::Failed(probe), |m| Event::Acked(probe, m)),
                ));
            }
            Action::Pull(from, range) => {
                let reachable = self.number(from).filter(|peer| self.reaches(own, *peer));
                events.push_back((
                    own,
                    match reachable {
                        Some(peer) => {
                            let page = self.tables[peer].page(range);
                            self.bytes[own] += page.size();
                            self.bytes[peer] += page.size();
                            Event::Pulled(from, page)
                        }
                        None => Event::PullFailed(from),
                    },
                ));
            }
            other => self.log.push((own, other)),
        }
    }

    fn relay(
        &mut self,
        own: usize,
        helper: MemberId,
        target: MemberId,
        events: &mut VecDeque<(usize, Event)>,
    ) -> Option<Message> {
        let helper = self.number(helper)?;
        if !self.reaches(own, helper) {
            return None;
        }
        let message = self.tables[helper].message(target);
        let reply = self.exchange(helper, target, message, events)?;
        self.reaches(helper, own).then_some(reply)
    }

    fn exchange(
        &mut self,
        own: usize,
        to: MemberId,
        message: Message,
        events: &mut VecDeque<(usize, Event)>,
    ) -> Option<Message> {
        let peer = self.number(to)?;
        self.bytes[own] += message.size();
        if !self.reaches(own, peer) {
            return None;
        }
        self.bytes[peer] += message.size();
        let mut reply = None;
        for action in self.tables[peer].handle(Event::Probed(message), self.now) {
            match action {
                Action::Reply(message) => reply = Some(message),
                other => self.execute(peer, other, events),
            }
        }
        let size = reply.as_ref().map_or(0, Message::size);
        self.bytes[peer] += size;
        let is_received = self.reaches(peer, own);
        self.bytes[own] += if is_received { size } else { 0 };
        reply.filter(|_| is_received)
    }

    fn reaches(&mut self, from: usize, to: usize) -> bool {
        self.running[to] && !(self.is_dropped)(from, to)
    }

    fn number(&self, id: MemberId) -> Option<usize> {
        let std::net::IpAddr::V4(ip) = id.ip() else {
            return None;
        };
        let [_, _, high, low] = ip.octets();
        Some(usize::from(u16::from_be_bytes([high, low]))).filter(|n| *n < self.tables.len())
    }
}

pub(crate) const SECOND: Duration = Duration::from_secs(1);

pub(crate) fn state(network: &Network, observer: usize, of: usize) -> Option<State> {
    network.tables[observer].get(id(of)).map(|c| c.state)
}

pub(crate) fn all_see(network: &Network, of: usize, expected: State) -> bool {
    let mut observers = (0..network.tables.len()).filter(|n| *n != of && network.running[*n]);
    observers.all(|observer| state(network, observer, of) == Some(expected))
}

pub(crate) fn change(of: usize, start: u64, refutation: u32, state: State) -> Change {
    Change {
        id: id(of),
        incarnation: Incarnation { start, refutation },
        state,
        data_centre: "dc0".into(),
    }
}

/// Feeds changes to a table as a peer's page.
pub(crate) fn feed(table: &mut Table, changes: &[Change], now: Time) -> Vec<Action> {
    let (changes, rest) = (changes.to_vec(), None);
    table.handle(Event::Pulled(id(9_999), Page { changes, rest }), now)
}

/// Feeds the death of an unknown, later incarnation of a member. The table accepts it immediately, as nothing could
/// refute it.
pub(crate) fn declare_dead(table: &mut Table, of: usize, now: Time) -> Change {
    let dead = change(of, 2, 0, State::Dead);
    feed(table, std::slice::from_ref(&dead), now);
    dead
}

pub(crate) fn has_logged(network: &Network, own: usize, label: &str) -> bool {
    let actions = network.log.iter().filter(|(number, _)| *number == own);
    actions.into_iter().any(|(_, action)| is_log(action, label))
}

pub(crate) fn is_log(action: &Action, label: &str) -> bool {
    matches!(action, Action::Log(line) if line.label == label)
}

/// Lists all members as seeds to each of them.
pub(crate) fn list_seeds(network: &mut Network) {
    let seeds: Vec<Seed> = (0..network.tables.len())
        .map(|n| Seed {
            id: id(n),
            leaving: false,
        })
        .collect();
    for number in 0..network.tables.len() {
        network.feed(number, Event::Listed(seeds.clone()));
    }
}
