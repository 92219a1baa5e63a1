//! Runs member tables in one thread: each tick, every action of every table is carried out at once,
//! apart from the messages that a test drops. It knows no latency and no load.
#![allow(dead_code, reason = "no test file uses all of it")]

use monsoonring_decision::member::{
    Action, Change, Event, Incarnation, MemberId, Message, Page, Seed, Settings, State, Table,
};
use monsoonring_decision::{Time, placement};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::time::Duration;

/// Time between two ticks.
pub(crate) const STEP: Duration = Duration::from_millis(250);

/// Time after which everybody has copied a table and announced itself.
const JOINING: Duration = Duration::from_secs(40);

/// Decides whether a message from one member to another is lost.
pub(crate) type Cut = Box<dyn FnMut(usize, usize) -> bool>;

/// Tables, by number, and what they have said so far.
pub(crate) struct Network {
    pub(crate) tables: Vec<Table>,
    /// Whether the process runs; one that does not neither ticks nor answers.
    pub(crate) running: Vec<bool>,
    pub(crate) now: Time,
    pub(crate) cut: Cut,
    /// Bytes sent and received by each member.
    pub(crate) bytes: Vec<usize>,
    /// Actions other than messages, with the number of the table that returned them.
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
    /// Makes tables that all know each other and are current.
    pub(crate) fn joined(count: usize) -> Self {
        let tables: Vec<Table> = (0..count).map(|n| table(n, 1, Time::ZERO)).collect();
        let span = monsoonring_decision::member::BucketRange { first: 0, last: 63 };
        let all = tables.iter().flat_map(|table| table.page(span).changes);
        let changes: Vec<_> = all.collect();
        let mut network = Self {
            running: vec![true; count],
            bytes: vec![0; count],
            tables,
            now: Time::ZERO,
            cut: Box::new(|_, _| false),
            log: Vec::new(),
        };
        for table in &mut network.tables {
            let (changes, rest) = (changes.clone(), None);
            table.handle(Event::Pulled(id(count), Page { changes, rest }), Time::ZERO);
        }
        network.run(JOINING);
        network.log.clear();
        network
    }

    /// Adds a running table, whose number is that of its address.
    pub(crate) fn add(&mut self, table: Table) {
        self.tables.push(table);
        self.running.push(true);
        self.bytes.push(0);
    }

    /// Loses each message with this chance.
    pub(crate) fn lose(&mut self, chance: f64) {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        self.cut = Box::new(move |_, _| rng.random_bool(chance));
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    pub(crate) fn step(&mut self) {
        self.now += STEP;
        for number in 0..self.tables.len() {
            if self.running[number] {
                self.feed(number, Event::Tick);
            }
        }
    }

    /// Feeds an event and carries out everything that follows from it.
    pub(crate) fn feed(&mut self, number: usize, event: Event) {
        let mut events = VecDeque::from([(number, event)]);
        while let Some((number, event)) = events.pop_front() {
            for action in self.tables[number].handle(event, self.now) {
                self.carry_out(number, action, &mut events);
            }
        }
    }

    fn carry_out(&mut self, own: usize, action: Action, events: &mut VecDeque<(usize, Event)>) {
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
            Action::Pull(from, span) => {
                let reached = self.number(from).filter(|peer| self.reaches(own, *peer));
                events.push_back((
                    own,
                    match reached {
                        Some(peer) => {
                            let page = self.tables[peer].page(span);
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
                Action::Reply(answer) => reply = Some(answer),
                other => self.carry_out(peer, other, events),
            }
        }
        let size = reply.as_ref().map_or(0, Message::size);
        self.bytes[peer] += size;
        let back = self.reaches(peer, own);
        self.bytes[own] += if back { size } else { 0 };
        reply.filter(|_| back)
    }

    fn reaches(&mut self, from: usize, to: usize) -> bool {
        self.running[to] && !(self.cut)(from, to)
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

/// Tells a table that a later process of the member, of which it had not heard, is dead: this is
/// believed at once, since there is nobody to refute it.
pub(crate) fn bury(table: &mut Table, of: usize, now: Time) -> Change {
    let dead = change(of, 2, 0, State::Dead);
    feed(table, std::slice::from_ref(&dead), now);
    dead
}

pub(crate) fn logged(network: &Network, own: usize, what: &str) -> bool {
    let of_own = network.log.iter().filter(|(number, _)| *number == own);
    of_own.into_iter().any(|(_, action)| is_line(action, what))
}

pub(crate) fn is_line(action: &Action, what: &str) -> bool {
    matches!(action, Action::Log(line) if line.what == what)
}

pub(crate) fn listed(network: &mut Network) {
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
