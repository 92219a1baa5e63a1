//! The part of the driver around a ledger that at-most-once execution depends on.

use super::{Arrival, Budget, Message, Mutant, Slot, World, fence, limits, secret};
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
    pub(crate) slot: Slot,
    pub(crate) start: u64,
    started: Time,
    pub(crate) ledger: Ledger,
    /// An earlier state of the ledger, for mutants that revert to it.
    before: Option<Box<Ledger>>,
    permit: Option<AnyPermit>,
    /// Accepted sends without an outcome.
    waiting: BTreeSet<RequestId>,
    pub(crate) draining: bool,
    successors: BTreeSet<Slot>,
}

impl Daemon {
    pub(crate) fn new(slot: Slot, start: u64, started: Time) -> Self {
        Self {
            slot,
            start,
            started,
            ledger: Ledger::new(fence(slot, start), secret(start), limits()),
            before: None,
            permit: None,
            waiting: BTreeSet::new(),
            draining: false,
            successors: BTreeSet::new(),
        }
    }

    pub(crate) fn clock(&self, now: Time) -> Time {
        now.saturating_sub(self.started)
    }

    pub(crate) fn can_send(&self) -> bool {
        matches!(self.permit, Some(AnyPermit::Unsent(_)))
    }

    pub(crate) fn has_sent(&self) -> bool {
        matches!(self.permit, Some(AnyPermit::Sent(_)))
    }

    /// Allows any other member as the successor, as the ledger must refuse a second one.
    pub(crate) fn can_hand_over(&self, to: Slot, budget: Budget) -> bool {
        self.draining && (budget.copies > 0 || !self.successors.contains(&to))
    }

    pub(crate) fn request(&mut self, arrival: &Arrival, world: &mut World) {
        let request = world.request_of(arrival, self.started);
        let now = self.clock(world.now);
        let before = Box::new(self.ledger.clone());
        let decision = self.ledger.begin(&world.key, &request, now);
        match decision {
            Decision::Run(permit) => {
                self.permit = Some(AnyPermit::Unsent(permit));
                self.waiting.insert(request.id);
                self.remember(Mutant::ReusableAfterNotRun, before, world);
            }
            Decision::Join => {
                self.waiting.insert(request.id);
            }
            Decision::Replay(outcome) => world.report(&outcome),
            Decision::Refuse(Refusal::Moved(to)) if arrival.via.is_none() => {
                self.forward(to, arrival, world);
            }
            Decision::Refuse(refusal) => {
                if world.mutant == Some(Mutant::RefusalWithoutRecord) {
                    self.ledger = *before;
                }
                world.report(&refusal.outcome());
            }
            Decision::ForwardTo(to) => self.forward(to, arrival, world),
            Decision::LookUp => self.look_up(arrival, world),
        }
    }

    fn remember(&mut self, mutant: Mutant, before: Box<Ledger>, world: &World) {
        if world.mutant == Some(mutant) {
            self.before = Some(before);
        }
    }

    fn forward(&mut self, to: Fence, arrival: &Arrival, world: &mut World) {
        let slot = usize::from(to.member.port() - 7000);
        let known = world.daemons[slot].as_ref();
        if known.is_some_and(|daemon| daemon.start == to.start) {
            self.forward_to(slot, arrival, world);
            return;
        }
        let resolution = self.poll(&Lookup::Fence(to), world);
        self.apply(resolution, arrival, world);
    }

    fn look_up(&mut self, arrival: &Arrival, world: &mut World) {
        let Key::Own(text) = &world.key else {
            return;
        };
        let lookup = Lookup::Own {
            caller: super::caller(),
            key: text.clone(),
            fingerprint: 7,
        };
        let resolution = self.poll(&lookup, world);
        self.apply(resolution, arrival, world);
    }

    // Live members reply immediately. An unreachable one could only turn a positive reply into "unknown", which changes
    // nothing in the world.
    fn poll(&self, lookup: &Lookup, world: &World) -> Resolution {
        let others = (0..world.daemons.len()).filter(|slot| *slot != self.slot);
        let address = |slot| fence(slot, 0).member;
        let mut poll = Poll::new(others.clone().map(address));
        for slot in others {
            let daemon = world.daemons[slot].as_ref();
            let reply = daemon.map(|daemon| daemon.ledger.answer(lookup));
            if let Some(resolution) = poll.record_reply(address(slot), reply) {
                return resolution;
            }
        }
        Resolution::Unknown
    }

    fn apply(&mut self, resolution: Resolution, arrival: &Arrival, world: &mut World) {
        match resolution {
            Resolution::ForwardTo(member) => {
                self.forward_to(usize::from(member.port() - 7000), arrival, world);
            }
            Resolution::Replay(outcome) => world.report(&outcome),
            Resolution::Mismatch => world.unanswered = true,
            Resolution::Unknown => self.on_unknown(arrival, world),
        }
    }

    fn on_unknown(&mut self, arrival: &Arrival, world: &mut World) {
        if world.mutant != Some(Mutant::UnknownRunsAgain) {
            world.report(&Refusal::Gone.outcome());
            return;
        }
        let mut request = world.request_of(arrival, self.started);
        request.send = Some(1);
        let key = Key::Own("again".into());
        let now = self.clock(world.now);
        if let Decision::Run(permit) = self.ledger.begin(&key, &request, now) {
            self.permit = Some(AnyPermit::Unsent(permit));
            self.waiting.insert(request.id);
        }
    }

    fn forward_to(&mut self, slot: Slot, arrival: &Arrival, world: &mut World) {
        let mut forwarded = arrival.clone();
        forwarded.via = Some((self.slot, self.start));
        world.net.push(Message::Request(slot, forwarded));
    }

    pub(crate) fn send_work(&mut self, world: &mut World) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        let (permit, is_in_time) = permit.mark_sent(self.clock(world.now));
        self.permit = Some(permit);
        if is_in_time {
            world.budget.attempts -= 1;
            world.net.push(Message::Work(self.slot, self.start));
            return;
        }
        self.end(not_run(Reason::Deadline), world);
    }

    /// Loses the connection. The backend server may execute the work before or after.
    pub(crate) fn lose_work(&mut self, world: &mut World) {
        match world.mutant {
            Some(Mutant::LostReportedNotRun) => {
                self.permit = self
                    .permit
                    .take()
                    .map(|permit| permit.on_failure(&Failure::NotSent));
                self.end(not_run(Reason::Lost), world);
            }
            Some(Mutant::LostRetried) => {
                self.permit = self
                    .permit
                    .take()
                    .map(|permit| permit.on_failure(&Failure::NotSent));
            }
            _ => {
                self.permit = self
                    .permit
                    .take()
                    .map(|permit| permit.on_failure(&Failure::Lost));
                // The ledger corrects a driver that reports a lost attempt as not run.
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
        self.permit = self.permit.take().map(|permit| permit.on_failure(&failure));
    }

    fn end(&mut self, outcome: outcome::Outcome, world: &mut World) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        let now = self.clock(world.now);
        let completion = self.ledger.conclude(permit, outcome, now);
        for joined in &completion.joined {
            self.waiting.remove(joined);
        }
        // Only the send that ran the request may remain, or none if a copy of it joined.
        world.unanswered |= self.waiting.len() > 1;
        self.waiting.clear();
        world.report(&completion.outcome);
        let not_run = matches!(completion.outcome, Outcome::NotRun { .. });
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

    pub(crate) fn hand_over(&mut self, to: Slot, start: u64, world: &mut World) {
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
        if !self.successors.insert(to) {
            world.budget.copies -= 1;
        }
        world.net.push(Message::Handover(to, Rc::new(handover)));
    }

    pub(crate) fn inherit(&mut self, handover: Handover, world: &mut World) {
        let now = self.clock(world.now);
        if world.mutant == Some(Mutant::HandoverAppliedTwice) {
            self.ledger = Ledger::new(fence(self.slot, self.start), secret(self.start), limits());
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
