//! A world of a few daemons around the real ledger, small enough to be explored whole.
//!
//! Messages are delivered in any order, at any time or never, which covers loss, delay and
//! partitions; each step of a daemon is an action of its own, between which anything else may
//! happen, which covers pauses. Requests and handovers may also be delivered twice.

mod daemon;

pub(crate) use daemon::Daemon;
use monsoonring_decision::Time;
use monsoonring_decision::idempotency::{
    Fence, Handover, Key, Limits, Outcome, Receipt, Request, Secret,
};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::iter;
use std::rc::Rc;
use std::time::Duration;

/// Time by which the clock moves in one action.
pub(crate) const STEP: Duration = Duration::from_secs(6);

const LIFETIME: Duration = Duration::from_secs(10);
const SLACK: Duration = Duration::from_secs(2);
const PATIENCE: Duration = Duration::from_secs(4);

/// A fault put into the driver or around the ledger, which the exploration has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Mutant {
    /// Where the holder isn't found, the request is run here.
    UnknownIsRunAgain,
    /// The old incarnation names another successor when no acknowledgement came.
    TwoSuccessors,
    /// A key that was refused as not run can be run again.
    ReusableAfterNotRun,
    /// A late copy of a handover replaces what the successor knows.
    HandoverTakenTwice,
    /// The old incarnation goes on as if it had not handed over.
    RunsAfterHandover,
    /// A stopping daemon refuses as not run without a record.
    RefusalWithoutRecord,
    /// A lost reply is told as not run.
    LostIsNotRun,
    /// An attempt that was lost is sent again.
    LostIsRetried,
    /// The balancer repeats an own key's first send.
    FirstSendRepeated,
}

/// How often each thing that is not bounded by itself may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    pub(crate) sends: u8,
    pub(crate) copies: u8,
    pub(crate) kills: u8,
    pub(crate) starts: u8,
    pub(crate) drains: u8,
    pub(crate) steps: u8,
    pub(crate) attempts: u8,
}

/// Place of a daemon in the world; it stands for its address.
pub(crate) type Place = usize;

/// A daemon that passed a request on, and its start number.
pub(crate) type Via = Option<(Place, u64)>;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Arrival {
    pub(crate) send: u8,
    pub(crate) deadline: Time,
    pub(crate) via: Via,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Message {
    Request(Place, Arrival),
    Handover(Place, Rc<Handover>),
    Receipt(Place, Receipt),
    /// At the backend server, from this incarnation.
    Work(Place, u64),
    /// The backend server's reply: whether it ran.
    Reply(Place, u64, bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    Send(Place),
    Deliver(usize),
    Copy(usize),
    /// Deliver work that the backend server refuses.
    RefuseWork(usize),
    SendWork(Place),
    LoseWork(Place),
    GiveUp(Place),
    Drain(Place),
    HandOver(Place, Place),
    Kill(Place),
    Start(Place),
    Step,
}

/// Daemons and handovers are shared between the worlds, as an action changes few of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct World {
    pub(crate) daemons: Vec<Option<Rc<Daemon>>>,
    pub(crate) net: Vec<Message>,
    pub(crate) key: Key,
    pub(crate) now: Time,
    pub(crate) budget: Budget,
    pub(crate) mutant: Option<Mutant>,
    starts: u64,
    sends: u8,
    /// How often the backend servers ran the request.
    pub(crate) runs: u8,
    /// Whether a caller was told that it ran, or that it did not.
    pub(crate) told_executed: bool,
    pub(crate) told_not_run: bool,
    /// Whether a run ended without anyone to tell, or a send was left without an answer.
    pub(crate) unanswered: bool,
}

pub(crate) fn caller() -> std::sync::Arc<str> {
    "dispatch".into()
}

pub(crate) fn route() -> std::sync::Arc<str> {
    "tickets".into()
}

pub(crate) fn fence(place: Place, start: u64) -> Fence {
    let port = 7000 + u16::try_from(place).expect("few daemons");
    let member = ([127, 0, 0, 1], port).into();
    Fence { member, start }
}

pub(crate) fn limits() -> Limits {
    Limits {
        lifetime: LIFETIME,
        retention: SLACK,
        ..Limits::default()
    }
}

impl World {
    /// A world of that many daemons; without an own key, the first one has issued a key.
    pub(crate) fn new(
        daemons: usize,
        own: Option<&str>,
        budget: Budget,
        mutant: Option<Mutant>,
    ) -> Self {
        let new = |place| Daemon::new(place, 1, Time::ZERO);
        let mut first = new(0);
        let mut issued = || first.ledger.mint(&caller(), &route(), Time::ZERO);
        let key = own.map_or_else(
            || issued().expect("an empty ledger has room"),
            |text| text.parse().expect("a valid key"),
        );
        Self {
            daemons: iter::once(first)
                .chain((1..daemons).map(new))
                .map(Rc::new)
                .map(Some)
                .collect(),
            net: Vec::new(),
            key,
            now: Time::ZERO,
            budget,
            mutant,
            starts: 1,
            sends: 0,
            runs: 0,
            told_executed: false,
            told_not_run: false,
            unanswered: false,
        }
    }

    /// What is wrong with the world, if anything is.
    pub(crate) fn violation(&self) -> Option<&'static str> {
        if self.runs > 1 {
            return Some("ran twice");
        }
        if self.told_not_run && self.runs > 0 {
            return Some("told not run, and ran");
        }
        if self.told_executed && self.runs == 0 {
            return Some("told executed, and did not run");
        }
        self.unanswered.then_some("a send has no outcome")
    }

    /// Every world that is one action away.
    pub(crate) fn next(&self) -> Vec<World> {
        let actions = self.actions();
        actions.into_iter().map(|a| self.after(a)).collect()
    }

    pub(crate) fn after(&self, action: Action) -> World {
        let mut world = self.clone();
        world.act(action);
        // Messages are a bag: worlds that differ only in their order are the same.
        world.net.sort_by_cached_key(hash);
        world
    }

    pub(crate) fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for (index, message) in self.net.iter().enumerate() {
            actions.push(Action::Deliver(index));
            match message {
                Message::Work(..) => actions.push(Action::RefuseWork(index)),
                Message::Handover(..) | Message::Request(..) if self.budget.copies > 0 => {
                    actions.push(Action::Copy(index));
                }
                _ => {}
            }
        }
        for (place, daemon) in self.daemons.iter().enumerate() {
            match daemon {
                Some(daemon) => self.daemon_actions(place, daemon, &mut actions),
                None if self.budget.starts > 0 => actions.push(Action::Start(place)),
                None => {}
            }
        }
        if self.budget.steps > 0 {
            actions.push(Action::Step);
        }
        actions
    }

    fn daemon_actions(&self, place: Place, daemon: &Daemon, actions: &mut Vec<Action>) {
        if self.budget.sends > 0 {
            actions.push(Action::Send(place));
        }
        if self.budget.kills > 0 {
            actions.push(Action::Kill(place));
        }
        if daemon.can_send() && self.budget.attempts > 0 {
            actions.push(Action::SendWork(place));
        }
        if daemon.can_send() {
            actions.push(Action::GiveUp(place));
        }
        if daemon.has_sent() {
            actions.push(Action::LoseWork(place));
        }
        if self.budget.drains > 0 && !daemon.draining {
            actions.push(Action::Drain(place));
        }
        let others = (0..self.daemons.len()).filter(|to| *to != place);
        for to in others.filter(|to| daemon.may_hand_over(*to, self.budget)) {
            if self.daemons[to].is_some() {
                actions.push(Action::HandOver(place, to));
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send(place) => self.send(place),
            Action::Deliver(index) => {
                let message = self.net.remove(index);
                self.deliver(message, false);
            }
            Action::Copy(index) => {
                self.budget.copies -= 1;
                let message = self.net[index].clone();
                self.deliver(message, true);
            }
            Action::RefuseWork(index) => {
                if let Message::Work(place, start) = self.net.remove(index) {
                    self.net.push(Message::Reply(place, start, false));
                }
            }
            Action::Kill(place) => {
                self.budget.kills -= 1;
                self.daemons[place] = None;
            }
            Action::Start(place) => {
                self.budget.starts -= 1;
                self.starts += 1;
                let daemon = Daemon::new(place, self.starts, self.now);
                self.daemons[place] = Some(Rc::new(daemon));
            }
            Action::Step => {
                self.budget.steps -= 1;
                self.now += STEP;
            }
            other => self.act_daemon(other),
        }
    }

    fn act_daemon(&mut self, action: Action) {
        match action {
            Action::SendWork(place) => self.with(place, Daemon::send_work),
            Action::LoseWork(place) => self.with(place, Daemon::lose_work),
            Action::GiveUp(place) => self.with(place, Daemon::give_up),
            Action::Drain(place) => {
                self.budget.drains -= 1;
                self.with(place, Daemon::drain);
            }
            Action::HandOver(place, to) => {
                let start = self.daemons[to].as_ref().map_or(0, |daemon| daemon.start);
                self.with(place, |daemon, world| daemon.hand_over(to, start, world));
            }
            _ => {}
        }
    }

    fn send(&mut self, place: Place) {
        self.budget.sends -= 1;
        self.sends += 1;
        let deadline = self.now + PATIENCE;
        let (send, via) = (self.sends, None);
        let arrival = Arrival {
            send,
            deadline,
            via,
        };
        self.net.push(Message::Request(place, arrival));
    }

    fn deliver(&mut self, message: Message, copied: bool) {
        match message {
            Message::Request(place, arrival) => {
                let first = arrival.send == 1 && arrival.via.is_none();
                if copied && first && matches!(self.key, Key::Own(_)) {
                    self.repeat_first(place, arrival);
                    return;
                }
                self.with(place, |daemon, world| daemon.request(&arrival, world));
            }
            Message::Handover(place, handover) => {
                self.with(place, |daemon, world| {
                    daemon.inherit((*handover).clone(), world)
                });
            }
            Message::Receipt(place, receipt) => {
                self.with(place, |daemon, _| daemon.ledger.acknowledge(receipt));
            }
            Message::Work(place, start) => {
                self.runs += 1;
                self.net.push(Message::Reply(place, start, true));
            }
            Message::Reply(place, start, ran) => {
                self.with(place, |daemon, world| daemon.reply(start, ran, world));
            }
        }
    }

    // That the balancer doesn't do this is what own keys rest on.
    fn repeat_first(&mut self, place: Place, arrival: Arrival) {
        if self.mutant == Some(Mutant::FirstSendRepeated) {
            let other = (place + 1) % self.daemons.len();
            self.net.push(Message::Request(other, arrival));
        }
    }

    /// Runs a step of a daemon, outside of the world that it acts on.
    fn with(&mut self, place: Place, step: impl FnOnce(&mut Daemon, &mut World)) {
        if let Some(daemon) = self.daemons[place].take() {
            let mut daemon = Rc::unwrap_or_clone(daemon);
            daemon.ledger.tick(daemon.clock(self.now));
            step(&mut daemon, self);
            self.daemons[place] = Some(Rc::new(daemon));
        }
    }

    /// Tells the caller of a send its outcome.
    pub(crate) fn tell(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::NotRun { .. } => self.told_not_run = true,
            Outcome::Executed(_) => self.told_executed = true,
            Outcome::Failed { .. } | Outcome::Unknown { .. } => {}
        }
    }

    pub(crate) fn request_of(&self, arrival: &Arrival, started: Time) -> Request {
        let via = arrival.via.map_or(0, |(place, _)| place as u128 + 1);
        Request {
            id: u128::from(arrival.send) + (via << 8),
            caller: caller(),
            route: route(),
            fingerprint: 7,
            deadline: arrival.deadline.saturating_sub(started),
            send: Some(u32::from(arrival.send)),
            passed_on: arrival.via.is_some(),
        }
    }
}

fn hash(message: &Message) -> u64 {
    let mut hasher = DefaultHasher::new();
    message.hash(&mut hasher);
    hasher.finish()
}

/// The secret of an incarnation; the tests need no real randomness.
pub(crate) fn secret(start: u64) -> Secret {
    let byte = u8::try_from(start % 251).expect("below 251");
    [byte; 32].into()
}
