//! What one incarnation ran, and what it makes of a key that arrives.
//!
//! Invariants, each kept where a record is made or dropped:
//!
//! - A key gets at most one [`Permit`], and its record exists before the permit does.
//! - A record is dropped only after its key's expiry; a key past its expiry gets no permit.
//!   Hence a key in time without a record has never had a permit from this holder.
//! - Every issued key has a place kept for its record, so that a send is never turned away
//!   without a trace. Such a refusal would be forgotten, and a delayed copy of an earlier send
//!   could run after its caller was told "not run".
//! - Once closed for a handover, a ledger gives out no permit.

use super::decision::{Decision, Refusal, Request, Result};
use super::fence::{FenceState, Phase};
use super::key::{Fence, Fenced, Key, Serial};
use super::permit::{AnyPermit, Permit, Sent, SentOutcome, Slot, Unsent};
use super::record::{Outcome, Record, State};
use super::seal::{Scope, Secret};
use crate::outcome::{self, Reason};
use crate::{RequestId, Time};
use monsoonring_configuration::id::{CallerId, RouteId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Sends of one key that wait for its outcome at most; more are told "unknown".
pub const MAX_JOINED: usize = 64;

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Time from the issue of a key to its expiry, and for which an own key is remembered.
    pub lifetime: Duration,
    /// Time for which a record outlives its key's expiry or its run; longer than any deadline.
    pub slack: Duration,
    /// Keys issued and own keys recorded at any time.
    pub keys: usize,
    /// Keys taken over from stopped incarnations at any time.
    pub inherited: usize,
    /// Bytes of outcomes kept. An outcome without room is told once and replayed as "unknown".
    pub bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(300),
            slack: Duration::from_secs(60),
            keys: 50_000,
            inherited: 100_000,
            bytes: 32 * 1024 * 1024,
        }
    }
}

/// How a key ended, and who waits for it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "the joined sends wait for the outcome"]
pub struct Completion {
    /// The outcome, for the send that ran it and for those that joined.
    pub outcome: Outcome,
    /// The sends that joined.
    pub joined: Vec<RequestId>,
}

/// The records of one incarnation, and of those that handed theirs over to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    pub(super) fence: Fence,
    pub(super) limits: Limits,
    pub(super) phase: Phase,
    pub(super) estates: BTreeMap<Fence, FenceState>,
    pub(super) own: BTreeMap<(CallerId, Box<str>), Record>,
    /// Fences taken over at any time, never forgotten.
    pub(super) taken: BTreeSet<Fence>,
    /// Times until which the issued keys have a place, in order.
    pub(super) places: VecDeque<Time>,
    pub(super) bytes: usize,
    next: Serial,
    latest: Time,
}

impl Ledger {
    /// Returns the empty ledger of an incarnation that has just started. The secret must be
    /// random, and new for each start.
    pub fn new(fence: Fence, secret: Secret, limits: Limits) -> Self {
        Self {
            fence,
            limits,
            phase: Phase::Open,
            estates: BTreeMap::from([(fence, FenceState::started(secret))]),
            own: BTreeMap::new(),
            taken: BTreeSet::new(),
            places: VecDeque::new(),
            bytes: 0,
            next: 0,
            latest: Time::ZERO,
        }
    }

    /// Returns the incarnation that the ledger belongs to.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Number of keys that are running.
    pub fn running(&self) -> usize {
        let fenced = self.estates.values().flat_map(|e| e.records.values());
        let all = fenced.chain(self.own.values());
        all.filter(|record| record.is_running()).count()
    }

    /// Number of keys of which something is recorded.
    pub fn recorded(&self) -> usize {
        let fenced = self.estates.values().map(|e| e.records.len());
        fenced.sum::<usize>() + self.own.len()
    }

    /// Issues a key for one request of a caller.
    ///
    /// # Errors
    ///
    /// Refuses with [`Refusal::Full`] or [`Refusal::Stopping`].
    pub fn mint(&mut self, caller: &CallerId, route: &RouteId, now: Time) -> Result<Key> {
        let now = self.advance(now);
        self.admit(now)?;
        let expiry = Duration::from_millis(whole_millis(now + self.limits.lifetime));
        let Some(estate) = self.estates.get(&self.fence) else {
            return Err(Refusal::Stopping);
        };
        let scope = Scope { caller, route };
        let key = estate.secret.issue(self.fence, self.next, expiry, scope);
        self.next += 1;
        self.places.push_back(expiry + self.limits.slack);
        Ok(Key::Fenced(key))
    }

    /// Decides on one send, and records it where it is to be run.
    pub fn begin(&mut self, key: &Key, request: &Request, now: Time) -> Decision {
        let now = self.advance(now);
        match key {
            Key::Fenced(key) => self.begin_fenced(key, request, now),
            Key::Own(text) => self.begin_own(text, request, now),
        }
    }

    /// Records how a request that left ended.
    pub fn finish(&mut self, permit: Permit<Sent>, ran: SentOutcome, now: Time) -> Completion {
        self.settle(permit.slot, ran.into(), now)
    }

    /// Records that a request was not run. The key stays without use.
    pub fn release(
        &mut self,
        permit: Permit<Unsent>,
        reason: Reason,
        retry_after: Option<Duration>,
        now: Time,
    ) -> Completion {
        let outcome = Outcome::NotRun {
            reason,
            retry_after,
        };
        self.settle(permit.slot, outcome, now)
    }

    /// Records the outcome that a home found. "Not run" for a request that left without a proof
    /// of refusal becomes "unknown".
    pub fn conclude(&mut self, run: AnyPermit, outcome: outcome::Outcome, now: Time) -> Completion {
        let (slot, sent) = run.into_parts();
        let mut outcome = Outcome::from(outcome);
        if sent && outcome.is_not_run() {
            let reason = Reason::Lost;
            outcome = Outcome::Unknown { reason };
        }
        self.settle(slot, outcome, now)
    }

    /// Drops what has expired; called about once a second. What is running stays, however long a
    /// pause was: the sends that joined would otherwise never be told an outcome.
    pub fn tick(&mut self, now: Time) {
        let now = self.advance(now);
        self.vacate(now);
        let fence = self.fence;
        self.estates
            .retain(|of, estate| *of == fence || estate.is_needed(now));
        for estate in self.estates.values_mut() {
            estate.records.retain(|_, record| record.is_needed(now));
        }
        self.own.retain(|_, record| record.is_needed(now));
        let fenced = self.estates.values().flat_map(|e| e.records.values());
        self.bytes = fenced.chain(self.own.values()).map(Record::bytes).sum();
    }

    fn begin_fenced(&mut self, key: &Fenced, request: &Request, now: Time) -> Decision {
        let slack = self.limits.slack;
        let Some(estate) = self.estates.get_mut(&key.fence) else {
            return elsewhere(key.fence, request);
        };
        let (caller, route) = (&request.caller, &request.route);
        if !estate.secret.issued(key, Scope { caller, route }) {
            return Decision::Refuse(Refusal::Forged);
        }
        if let Some(record) = estate.records.get_mut(&key.serial) {
            return repeat(record, request);
        }
        let Some(left) = estate.left(key.expiry, now) else {
            return Decision::Refuse(Refusal::Expired);
        };
        if let Phase::Closed { to, acknowledged } = self.phase {
            return Decision::Refuse(moved(to, acknowledged));
        }
        let (record, decision) = self.phase.take(
            Slot::fenced(key),
            request,
            now.saturating_add(left.saturating_add(slack)),
        );
        estate.records.insert(key.serial, record);
        decision
    }

    fn begin_own(&mut self, text: &str, request: &Request, now: Time) -> Decision {
        let name = (request.caller.clone(), Box::from(text));
        if let Some(record) = self.own.get_mut(&name) {
            return repeat(record, request);
        }
        match request.send {
            None | Some(0) => Decision::Refuse(Refusal::Unmarked),
            Some(1) => self.begin_first(name, request, now),
            Some(_) if request.passed_on => Decision::Refuse(Refusal::Gone),
            Some(_) => Decision::LookUp,
        }
    }

    fn begin_first(
        &mut self,
        name: (CallerId, Box<str>),
        request: &Request,
        now: Time,
    ) -> Decision {
        if let Phase::Closed { .. } = self.phase {
            return Decision::Refuse(Refusal::Stopping);
        }
        if let Err(full) = self.room(now) {
            return Decision::Refuse(full);
        }
        let until = now + self.limits.lifetime + self.limits.slack;
        let slot = Slot::Own(name.0.clone(), name.1.clone());
        let (record, decision) = self.phase.take(slot, request, until);
        self.own.insert(name, record);
        decision
    }

    fn settle(&mut self, slot: Slot, outcome: Outcome, now: Time) -> Completion {
        let now = self.advance(now);
        let kept = State::Done(self.afford(&outcome));
        let until = now + self.limits.slack;
        let mut joined = Vec::new();
        if let Some(record) = self.record_mut(slot) {
            record.until = record.until.max(until);
            let before = std::mem::replace(&mut record.state, kept);
            if let State::Running { joined: waiting } = before {
                joined = waiting;
            }
        }
        Completion { outcome, joined }
    }

    /// Returns the outcome as it can be kept, and counts its bytes.
    pub(super) fn afford(&mut self, outcome: &Outcome) -> Outcome {
        let bytes = self.bytes + outcome.bytes();
        if bytes <= self.limits.bytes {
            self.bytes = bytes;
            return outcome.clone();
        }
        Outcome::Unknown {
            reason: Reason::Fence,
        }
    }

    fn record_mut(&mut self, slot: Slot) -> Option<&mut Record> {
        match slot {
            Slot::Fenced(fence, serial) => self.estates.get_mut(&fence)?.records.get_mut(&serial),
            Slot::Own(caller, text) => self.own.get_mut(&(caller, text)),
        }
    }

    fn admit(&mut self, now: Time) -> Result<()> {
        if self.phase != Phase::Open {
            return Err(Refusal::Stopping);
        }
        self.room(now)
    }

    fn room(&mut self, now: Time) -> Result<()> {
        self.vacate(now);
        let used = self.places.len() + self.own.len();
        if used < self.limits.keys && self.bytes < self.limits.bytes {
            return Ok(());
        }
        let first = self.places.front().copied();
        let retry_after = first.map_or(self.limits.lifetime, |until| until.saturating_sub(now));
        Err(Refusal::Full { retry_after })
    }

    fn vacate(&mut self, now: Time) {
        while self.places.front().is_some_and(|until| *until <= now) {
            self.places.pop_front();
        }
    }

    // Times can arrive out of order from several tasks of a driver. A key found expired, whose
    // record is then dropped, must not be found in time again by a later call with an older time.
    pub(super) fn advance(&mut self, now: Time) -> Time {
        self.latest = self.latest.max(now);
        self.latest
    }
}

fn elsewhere(fence: Fence, request: &Request) -> Decision {
    if request.passed_on {
        return Decision::Refuse(Refusal::Gone);
    }
    Decision::PassTo(fence)
}

fn moved(to: Fence, acknowledged: bool) -> Refusal {
    if acknowledged {
        return Refusal::Moved(to);
    }
    Refusal::Gone
}

fn repeat(record: &mut Record, request: &Request) -> Decision {
    if record.fingerprint != request.fingerprint {
        return Decision::Refuse(Refusal::Mismatch);
    }
    match &mut record.state {
        State::Done(outcome) => Decision::Replay(outcome.clone()),
        State::Running { joined } if joined.len() >= MAX_JOINED => {
            Decision::Refuse(Refusal::Crowded)
        }
        State::Running { joined } => {
            joined.push(request.id);
            Decision::Join
        }
    }
}

fn whole_millis(time: Time) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
