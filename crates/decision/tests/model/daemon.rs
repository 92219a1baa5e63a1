//! The driver around a ledger, as far as at most once depends on it.

use super::{Arrival, Budget, Message, Mutant, Place, World, fence, limits, secret};
use monsoonring_decision::attempt::{Failure, Refusal as BackendRefusal};
use monsoonring_decision::idempotency::lookup::Resolution;
use monsoonring_decision::idempotency::{
    AnyPermit, Decision, Fence, Handover, Key, Ledger, Lookup, Outcome, Poll, Refusal,
};
use monsoonring_decision::outcome::{self, Reason};
use monsoonring_decision::reply::Report;
use monsoonring_decision::{RequestId, Time};
use std::collections::BTreeSet;
use std::rc::Rc;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Daemon {
    pub(crate) place: Place,
    pub(crate) start: u64,
    started: Time,
    pub(crate) ledger: Ledger,
    /// The ledger as it was, for mutants that forget something.
    before: Option<Box<Ledger>>,
    run: Option<AnyPermit>,
    /// Sends that have been taken and not answered.
    waiting: BTreeSet<RequestId>,
    pub(crate) draining: bool,
    left_to: BTreeSet<Place>,
}

impl Daemon {
    pub(crate) fn new(place: Place, start: u64, started: Time) -> Self {
        Self {
            place,
            start,
            started,
            ledger: Ledger::new(fence(place, start), secret(start), limits()),
            before: None,
            run: None,
            waiting: BTreeSet::new(),
            draining: false,
            left_to: BTreeSet::new(),
        }
    }

    pub(crate) fn clock(&self, now: Time) -> Time {
        now.saturating_sub(self.started)
    }

    pub(crate) fn can_send(&self) -> bool {
        matches!(self.run, Some(AnyPermit::Unsent(_)))
    }

    pub(crate) fn has_sent(&self) -> bool {
        matches!(self.run, Some(AnyPermit::Sent(_)))
    }

    /// Any other member may be named, so that it is the ledger that refuses a second one.
    pub(crate) fn may_hand_over(&self, to: Place, budget: Budget) -> bool {
        self.draining && (budget.copies > 0 || !self.left_to.contains(&to))
    }

    pub(crate) fn request(&mut self, arrival: &Arrival, world: &mut World) {
        let request = world.request_of(arrival, self.started);
        let now = self.clock(world.now);
        let before = Box::new(self.ledger.clone());
        let decision = self.ledger.begin(&world.key, &request, now);
        match decision {
            Decision::Run(permit) => {
                self.run = Some(AnyPermit::Unsent(permit));
                self.waiting.insert(request.id);
                self.remember(Mutant::ReusableAfterNotRun, before, world);
            }
            Decision::Join => {
                self.waiting.insert(request.id);
            }
            Decision::Replay(outcome) => world.tell(&outcome),
            Decision::Refuse(Refusal::Moved(to)) if arrival.via.is_none() => {
                self.pass(to, arrival, world);
            }
            Decision::Refuse(refusal) => {
                if world.mutant == Some(Mutant::RefusalWithoutRecord) {
                    self.ledger = *before;
                }
                world.tell(&refusal.outcome());
            }
            Decision::ForwardTo(to) => self.pass(to, arrival, world),
            Decision::LookUp => self.ask(arrival, world),
        }
    }

    fn remember(&mut self, mutant: Mutant, before: Box<Ledger>, world: &World) {
        if world.mutant == Some(mutant) {
            self.before = Some(before);
        }
    }

    fn pass(&mut self, to: Fence, arrival: &Arrival, world: &mut World) {
        let place = usize::from(to.member.port() - 7000);
        let known = world.daemons[place].as_ref();
        if known.is_some_and(|daemon| daemon.start == to.start) {
            self.pass_to(place, arrival, world);
            return;
        }
        let conclusion = self.poll(&Lookup::Fence(to), world);
        self.follow(conclusion, arrival, world);
    }

    fn ask(&mut self, arrival: &Arrival, world: &mut World) {
        let Key::Own(text) = &world.key else {
            return;
        };
        let question = Lookup::Own {
            caller: super::caller(),
            key: text.clone(),
            fingerprint: 7,
        };
        let conclusion = self.poll(&question, world);
        self.follow(conclusion, arrival, world);
    }

    // Members that are alive answer at once. One that can't be reached would only turn a positive
    // answer into "unknown", which changes nothing in the world.
    fn poll(&self, question: &Lookup, world: &World) -> Resolution {
        let others = (0..world.daemons.len()).filter(|place| *place != self.place);
        let address = |place| fence(place, 0).member;
        let mut poll = Poll::new(others.clone().map(address));
        for place in others {
            let daemon = world.daemons[place].as_ref();
            let answer = daemon.map(|daemon| daemon.ledger.answer(question));
            if let Some(conclusion) = poll.record_reply(address(place), answer) {
                return conclusion;
            }
        }
        Resolution::Unknown
    }

    fn follow(&mut self, conclusion: Resolution, arrival: &Arrival, world: &mut World) {
        match conclusion {
            Resolution::ForwardTo(member) => {
                self.pass_to(usize::from(member.port() - 7000), arrival, world);
            }
            Resolution::Replay(outcome) => world.tell(&outcome),
            Resolution::Mismatch => world.unanswered = true,
            Resolution::Unknown => self.unknown(arrival, world),
        }
    }

    fn unknown(&mut self, arrival: &Arrival, world: &mut World) {
        if world.mutant != Some(Mutant::UnknownIsRunAgain) {
            world.tell(&Refusal::Gone.outcome());
            return;
        }
        let mut request = world.request_of(arrival, self.started);
        request.send = Some(1);
        let key = Key::Own("again".into());
        let now = self.clock(world.now);
        if let Decision::Run(permit) = self.ledger.begin(&key, &request, now) {
            self.run = Some(AnyPermit::Unsent(permit));
            self.waiting.insert(request.id);
        }
    }

    fn pass_to(&mut self, place: Place, arrival: &Arrival, world: &mut World) {
        let mut passed = arrival.clone();
        passed.via = Some((self.place, self.start));
        world.net.push(Message::Request(place, passed));
    }

    pub(crate) fn send_work(&mut self, world: &mut World) {
        let Some(run) = self.run.take() else {
            return;
        };
        let (run, may) = run.mark_sent(self.clock(world.now));
        self.run = Some(run);
        if may {
            world.budget.attempts -= 1;
            world.net.push(Message::Work(self.place, self.start));
            return;
        }
        self.end(not_run(Reason::Deadline), world);
    }

    /// The connection is lost; the work may be done all the same, before or after.
    pub(crate) fn lose_work(&mut self, world: &mut World) {
        match world.mutant {
            Some(Mutant::LostIsNotRun) => {
                self.run = self.run.take().map(|run| run.on_failure(&Failure::NotSent));
                self.end(not_run(Reason::Lost), world);
            }
            Some(Mutant::LostIsRetried) => {
                self.run = self.run.take().map(|run| run.on_failure(&Failure::NotSent));
            }
            _ => {
                self.run = self.run.take().map(|run| run.on_failure(&Failure::Lost));
                // A driver that calls it "not run" by mistake is corrected by the ledger.
                self.end(not_run(Reason::Lost), world);
            }
        }
    }

    pub(crate) fn give_up(&mut self, world: &mut World) {
        self.end(not_run(Reason::Overload), world);
    }

    pub(crate) fn reply(&mut self, start: u64, ran: bool, world: &mut World) {
        if start != self.start || !self.has_sent() {
            return;
        }
        if ran {
            self.end(outcome::Outcome::Executed("1".into()), world);
            return;
        }
        let refusal = BackendRefusal::Shedding;
        let report = Report::default();
        let retry_after = None;
        let failure = Failure::Refused {
            refusal,
            retry_after,
            report,
        };
        self.run = self.run.take().map(|run| run.on_failure(&failure));
    }

    fn end(&mut self, outcome: outcome::Outcome, world: &mut World) {
        let Some(run) = self.run.take() else {
            return;
        };
        let now = self.clock(world.now);
        let ended = self.ledger.conclude(run, outcome, now);
        for joined in &ended.joined {
            self.waiting.remove(joined);
        }
        // The send that ran it is the one left, unless a copy of it joined as well.
        world.unanswered |= self.waiting.len() > 1;
        self.waiting.clear();
        world.tell(&ended.outcome);
        let not_run = matches!(ended.outcome, Outcome::NotRun { .. });
        if let Some(before) = self.before.take().filter(|_| not_run) {
            self.ledger = *before;
        }
    }

    pub(crate) fn drain(&mut self, world: &mut World) {
        if world.mutant != Some(Mutant::RunsAfterHandover) {
            self.ledger.drain();
        }
        self.draining = true;
    }

    pub(crate) fn hand_over(&mut self, to: Place, start: u64, world: &mut World) {
        let now = self.clock(world.now);
        let mut ledger = self.ledger.clone();
        if let (Some(Mutant::TwoSuccessors), Some(before)) = (world.mutant, &self.before) {
            ledger = *before.clone();
        }
        let before = Box::new(ledger.clone());
        let Ok(handover) = ledger.hand_over(fence(to, start), now) else {
            return;
        };
        self.remember(Mutant::TwoSuccessors, before, world);
        if world.mutant != Some(Mutant::RunsAfterHandover) {
            self.ledger = ledger;
        }
        if !self.left_to.insert(to) {
            world.budget.copies -= 1;
        }
        world.net.push(Message::Handover(to, Rc::new(handover)));
    }

    pub(crate) fn inherit(&mut self, handover: Handover, world: &mut World) {
        let now = self.clock(world.now);
        if world.mutant == Some(Mutant::HandoverTakenTwice) {
            self.ledger = Ledger::new(fence(self.place, self.start), secret(self.start), limits());
        }
        let from = usize::from(handover.from.member.port() - 7000);
        if let Ok(receipt) = self.ledger.inherit(handover, now) {
            world.net.push(Message::Receipt(from, receipt));
        }
    }
}

fn not_run(reason: Reason) -> outcome::Outcome {
    outcome::Outcome::NotRun {
        reason,
        retry_after: None,
    }
}
