//! A model of a few daemons with the real ledger, small enough for exhaustive exploration.
//!
//! Messages are delivered in any order, at any time or never, which covers loss, delay and partitions. Each step of a
//! daemon is a separate action with any others in between, which covers pauses. Requests and handovers may also be
//! delivered twice.

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

/// Time by which [`Action::AdvanceClock`] advances the clock.
pub(crate) const CLOCK_STEP: Duration = Duration::from_secs(6);

const LIFETIME: Duration = Duration::from_secs(10);
const RETENTION: Duration = Duration::from_secs(2);
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// A deliberate fault in the driver or around the ledger that the exploration must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Mutant {
    /// A daemon runs the request itself if it can't find the holder.
    UnknownRunsAgain,
    /// The old incarnation names a second successor if the first one did not acknowledge.
    TwoSuccessors,
    /// A key can run again after it was reported as not run.
    ReusableAfterNotRun,
    /// A late copy of a handover replaces the successor's ledger.
    HandoverAppliedTwice,
    /// The old incarnation continues to run requests after its handover.
    RunsAfterHandover,
    /// A refused request leaves no record.
    RefusalWithoutRecord,
    /// A lost reply is reported as not run.
    LostReportedNotRun,
    /// A lost attempt is sent again.
    LostRetried,
    /// The load balancer repeats the first send of a caller's own key.
    FirstSendRepeated,
}

/// How often each kind of action may happen, to keep the exploration finite.
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

/// Index of a daemon, which stands for its address. A restarted daemon keeps its slot.
pub(crate) type Slot = usize;

/// The daemon that forwarded a request, with its start number.
pub(crate) type Via = Option<(Slot, u64)>;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Arrival {
    pub(crate) send: u8,
    pub(crate) deadline: Time,
    pub(crate) via: Via,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Message {
    Request(Slot, Arrival),
    Handover(Slot, Rc<Handover>),
    Receipt(Slot, Receipt),
    /// Work in transit to a backend server, from this incarnation.
    Work(Slot, u64),
    /// Reply of a backend server to this incarnation: whether it executed the work.
    Reply(Slot, u64, bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    Send(Slot),
    Deliver(usize),
    Copy(usize),
    /// Delivers work that the backend server refuses.
    RefuseWork(usize),
    SendWork(Slot),
    LoseWork(Slot),
    GiveUp(Slot),
    Drain(Slot),
    HandOver(Slot, Slot),
    Kill(Slot),
    Start(Slot),
    AdvanceClock,
}

/// State of the model. Worlds share daemons and handovers, as an action changes few of them.
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
    /// How often backend servers executed the request.
    pub(crate) runs: u8,
    /// Whether a caller received the outcome "executed".
    pub(crate) reported_executed: bool,
    /// Whether a caller received the outcome "not run".
    pub(crate) reported_not_run: bool,
    /// Whether a send was left without an outcome.
    pub(crate) unanswered: bool,
}

pub(crate) fn caller() -> std::sync::Arc<str> {
    "dispatch".into()
}

pub(crate) fn route() -> std::sync::Arc<str> {
    "tickets".into()
}

pub(crate) fn fence(slot: Slot, start: u64) -> Fence {
    let port = 7000 + u16::try_from(slot).expect("few daemons");
    let member = ([127, 0, 0, 1], port).into();
    Fence { member, start }
}

pub(crate) fn limits() -> Limits {
    Limits {
        lifetime: LIFETIME,
        retention: RETENTION,
        ..Limits::default()
    }
}

impl World {
    /// Returns a world of `daemons` daemons. Without an own key, the first one issues the key.
    pub(crate) fn new(
        daemons: usize,
        own: Option<&str>,
        budget: Budget,
        mutant: Option<Mutant>,
    ) -> Self {
        let new = |slot| Daemon::new(slot, 1, Time::ZERO);
        let mut first = new(0);
        let mut mint = || first.ledger.mint(&caller(), &route(), Time::ZERO);
        let key = own.map_or_else(
            || mint().expect("an empty ledger has room"),
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
            reported_executed: false,
            reported_not_run: false,
            unanswered: false,
        }
    }

    /// Returns the violated invariant, if any.
    pub(crate) fn violation(&self) -> Option<&'static str> {
        if self.runs > 1 {
            return Some("ran twice");
        }
        if self.reported_not_run && self.runs > 0 {
            return Some("reported as not run, but ran");
        }
        if self.reported_executed && self.runs == 0 {
            return Some("reported as executed, but did not run");
        }
        self.unanswered.then_some("a send has no outcome")
    }

    /// Returns every world that one action leads to.
    pub(crate) fn next(&self) -> Vec<World> {
        let actions = self.actions();
        actions.into_iter().map(|a| self.after(a)).collect()
    }

    pub(crate) fn after(&self, action: Action) -> World {
        let mut world = self.clone();
        world.act(action);
        // Worlds that differ only in the order of messages are equal.
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
        for (slot, daemon) in self.daemons.iter().enumerate() {
            match daemon {
                Some(daemon) => self.daemon_actions(slot, daemon, &mut actions),
                None if self.budget.starts > 0 => actions.push(Action::Start(slot)),
                None => {}
            }
        }
        if self.budget.steps > 0 {
            actions.push(Action::AdvanceClock);
        }
        actions
    }

    fn daemon_actions(&self, slot: Slot, daemon: &Daemon, actions: &mut Vec<Action>) {
        if self.budget.sends > 0 {
            actions.push(Action::Send(slot));
        }
        if self.budget.kills > 0 {
            actions.push(Action::Kill(slot));
        }
        if daemon.can_send() && self.budget.attempts > 0 {
            actions.push(Action::SendWork(slot));
        }
        if daemon.can_send() {
            actions.push(Action::GiveUp(slot));
        }
        if daemon.has_sent() {
            actions.push(Action::LoseWork(slot));
        }
        if self.budget.drains > 0 && !daemon.draining {
            actions.push(Action::Drain(slot));
        }
        let others = (0..self.daemons.len()).filter(|to| *to != slot);
        for to in others.filter(|to| daemon.can_hand_over(*to, self.budget)) {
            if self.daemons[to].is_some() {
                actions.push(Action::HandOver(slot, to));
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send(slot) => self.send(slot),
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
                if let Message::Work(slot, start) = self.net.remove(index) {
                    self.net.push(Message::Reply(slot, start, false));
                }
            }
            Action::Kill(slot) => {
                self.budget.kills -= 1;
                self.daemons[slot] = None;
            }
            Action::Start(slot) => {
                self.budget.starts -= 1;
                self.starts += 1;
                let daemon = Daemon::new(slot, self.starts, self.now);
                self.daemons[slot] = Some(Rc::new(daemon));
            }
            Action::AdvanceClock => {
                self.budget.steps -= 1;
                self.now += CLOCK_STEP;
            }
            other => self.act_daemon(other),
        }
    }

    fn act_daemon(&mut self, action: Action) {
        match action {
            Action::SendWork(slot) => self.with_daemon(slot, Daemon::send_work),
            Action::LoseWork(slot) => self.with_daemon(slot, Daemon::lose_work),
            Action::GiveUp(slot) => self.with_daemon(slot, Daemon::give_up),
            Action::Drain(slot) => {
                self.budget.drains -= 1;
                self.with_daemon(slot, Daemon::drain);
            }
            Action::HandOver(slot, to) => {
                let start = self.daemons[to].as_ref().map_or(0, |daemon| daemon.start);
                self.with_daemon(slot, |daemon, world| daemon.hand_over(to, start, world));
            }
            _ => {}
        }
    }

    fn send(&mut self, slot: Slot) {
        self.budget.sends -= 1;
        self.sends += 1;
        let deadline = self.now + CALLER_TIMEOUT;
        let (send, via) = (self.sends, None);
        let arrival = Arrival {
            send,
            deadline,
            via,
        };
        self.net.push(Message::Request(slot, arrival));
    }

    fn deliver(&mut self, message: Message, is_copy: bool) {
        match message {
            Message::Request(slot, arrival) => {
                let is_first = arrival.send == 1 && arrival.via.is_none();
                if is_copy && is_first && matches!(self.key, Key::Own(_)) {
                    self.repeat_first(slot, arrival);
                    return;
                }
                self.with_daemon(slot, |daemon, world| daemon.request(&arrival, world));
            }
            Message::Handover(slot, handover) => {
                self.with_daemon(slot, |daemon, world| {
                    daemon.inherit((*handover).clone(), world)
                });
            }
            Message::Receipt(slot, receipt) => {
                self.with_daemon(slot, |daemon, _| daemon.ledger.acknowledge(receipt));
            }
            Message::Work(slot, start) => {
                self.runs += 1;
                self.net.push(Message::Reply(slot, start, true));
            }
            Message::Reply(slot, start, ran) => {
                self.with_daemon(slot, |daemon, world| daemon.reply(start, ran, world));
            }
        }
    }

    // Own keys rely on a load balancer that doesn't repeat the first send.
    fn repeat_first(&mut self, slot: Slot, arrival: Arrival) {
        if self.mutant == Some(Mutant::FirstSendRepeated) {
            let next = (slot + 1) % self.daemons.len();
            self.net.push(Message::Request(next, arrival));
        }
    }

    /// Runs a step of a daemon, which is taken out of the world meanwhile.
    fn with_daemon(&mut self, slot: Slot, step: impl FnOnce(&mut Daemon, &mut World)) {
        if let Some(daemon) = self.daemons[slot].take() {
            let mut daemon = Rc::unwrap_or_clone(daemon);
            daemon.ledger.tick(daemon.clock(self.now));
            step(&mut daemon, self);
            self.daemons[slot] = Some(Rc::new(daemon));
        }
    }

    /// Reports the outcome of a send to its caller.
    pub(crate) fn report(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::NotRun { .. } => self.reported_not_run = true,
            Outcome::Executed(_) => self.reported_executed = true,
            Outcome::Failed { .. } | Outcome::Unknown { .. } => {}
        }
    }

    pub(crate) fn request_of(&self, arrival: &Arrival, started: Time) -> Request {
        let via = arrival.via.map_or(0, |(slot, _)| slot as u128 + 1);
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

/// Returns a deterministic secret of an incarnation.
pub(crate) fn secret(start: u64) -> Secret {
    let byte = u8::try_from(start % 251).expect("below 251");
    [byte; 32].into()
}
