//! Records the idempotency keys that one incarnation of a daemon ran, and decides on each send.
//!
//! A key is either issued by a ledger and bound to its [`Fence`], or chosen by a caller ("own
//! key").
//!
//! Invariants:
//!
//! - A key gets at most one [`Permit`], and its record exists before the permit does.
//! - A record is dropped only after its key has expired, and an expired key gets no permit. A valid
//!   key without a record has therefore never had a permit from this ledger.
//! - Each issued key reserves space for its record, so that every send of it can be recorded.
//!   Without a record of the refusal, a delayed copy of an earlier send could run after the caller
//!   received "not run".
//! - A ledger that is closed for a handover issues no permit.

use super::decision::{Decision, Refusal, Request, Result};
use super::fence::{FenceState, Phase};
use super::key::{Fence, Fenced, Key, Serial};
use super::permit::{AnyPermit, Permit, Sent, SentOutcome, Slot, Unsent};
use super::record::{Outcome, Record, State};
use super::secret::{Scope, Secret};
use crate::outcome::{self, Reason};
use crate::{RequestId, Time};
use monsoonring_configuration::id::{CallerId, RouteId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Maximum number of sends that wait for the outcome of one key; further ones get "unknown".
pub const MAX_JOINED: usize = 64;

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Time from the issue of a key to its expiry; a caller's own key is kept for as long after its
    /// first send.
    pub lifetime: Duration,
    /// Time for which a record is kept after its key's expiry or the end of its run; longer than
    /// any deadline.
    pub retention: Duration,
    /// Maximum number of issued keys and recorded own keys.
    pub keys: usize,
    /// Maximum number of keys taken over from stopped incarnations.
    pub inherited: usize,
    /// Maximum total size of the stored outcomes, in bytes. An outcome that exceeds it is returned
    /// once and replayed as "unknown".
    pub bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(300),
            retention: Duration::from_secs(60),
            keys: 50_000,
            inherited: 100_000,
            bytes: 32 * 1024 * 1024,
        }
    }
}

/// Outcome of a key and the sends to notify.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "the joined sends wait for the outcome"]
pub struct Completion {
    /// The outcome, for the send that ran the key and for the joined sends.
    pub outcome: Outcome,
    /// The sends that got [`Decision::Join`].
    pub joined: Vec<RequestId>,
}

/// The records of one incarnation and of those that handed theirs over to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    pub(super) fence: Fence,
    pub(super) limits: Limits,
    pub(super) phase: Phase,
    pub(super) fences: BTreeMap<Fence, FenceState>,
    pub(super) own: BTreeMap<(CallerId, Box<str>), Record>,
    /// Incarnations whose handover was applied; never removed.
    pub(super) inherited_from: BTreeSet<Fence>,
    /// Times until which issued keys reserve space for a record, in order.
    pub(super) reservations: VecDeque<Time>,
    /// Total size of the stored outcomes, in bytes.
    pub(super) bytes: usize,
    next_serial: Serial,
    /// Latest time that a call has passed.
    latest: Time,
}

impl Ledger {
    /// Returns an empty ledger. The secret must be random, and new for each incarnation.
    pub fn new(fence: Fence, secret: Secret, limits: Limits) -> Self {
        Self {
            fence,
            limits,
            phase: Phase::Open,
            fences: BTreeMap::from([(fence, FenceState::new(secret))]),
            own: BTreeMap::new(),
            inherited_from: BTreeSet::new(),
            reservations: VecDeque::new(),
            bytes: 0,
            next_serial: 0,
            latest: Time::ZERO,
        }
    }

    /// Returns the fence of the ledger's own incarnation.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns the number of keys that are running.
    pub fn running(&self) -> usize {
        let fenced = self
            .fences
            .values()
            .flat_map(|state| state.records.values());
        let all = fenced.chain(self.own.values());
        all.filter(|record| record.is_running()).count()
    }

    /// Returns the number of keys that have a record.
    pub fn recorded(&self) -> usize {
        let fenced = self.fences.values().map(|state| state.records.len());
        fenced.sum::<usize>() + self.own.len()
    }

    /// Issues a key for one request of the caller on the route.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Full`] or [`Refusal::Stopping`].
    pub fn mint(&mut self, caller: &CallerId, route: &RouteId, now: Time) -> Result<Key> {
        let now = self.advance(now);
        self.check_issue(now)?;
        let expiry = Duration::from_millis(whole_millis(now + self.limits.lifetime));
        let Some(state) = self.fences.get(&self.fence) else {
            return Err(Refusal::Stopping);
        };
        let scope = Scope { caller, route };
        let key = state
            .secret
            .issue(self.fence, self.next_serial, expiry, scope);
        self.next_serial += 1;
        self.reservations.push_back(expiry + self.limits.retention);
        Ok(Key::Fenced(key))
    }

    /// Decides on one send. A key that is to be run is recorded first.
    pub fn begin(&mut self, key: &Key, request: &Request, now: Time) -> Decision {
        let now = self.advance(now);
        match key {
            Key::Fenced(key) => self.begin_fenced(key, request, now),
            Key::Own(text) => self.begin_own(text, request, now),
        }
    }

    /// Records the outcome of a request that was sent.
    pub fn finish(&mut self, permit: Permit<Sent>, outcome: SentOutcome, now: Time) -> Completion {
        self.settle(permit.slot, outcome.into(), now)
    }

    /// Records that a request did not run. The key can't be used again.
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

    /// Records the outcome reported by the home. "Not run" becomes "unknown" if the permit is still
    /// marked as sent.
    pub fn conclude(
        &mut self,
        permit: AnyPermit,
        outcome: outcome::Outcome,
        now: Time,
    ) -> Completion {
        let (slot, sent) = permit.into_parts();
        let mut outcome = Outcome::from(outcome);
        if sent && outcome.is_not_run() {
            let reason = Reason::Lost;
            outcome = Outcome::Unknown { reason };
        }
        self.settle(slot, outcome, now)
    }

    /// Drops expired records; call about once a second. Running keys are kept, even after a long
    /// pause of the process, because joined sends wait for their outcome.
    pub fn tick(&mut self, now: Time) {
        let now = self.advance(now);
        self.expire_reservations(now);
        let fence = self.fence;
        self.fences
            .retain(|held, state| *held == fence || state.is_needed(now));
        for state in self.fences.values_mut() {
            state.records.retain(|_, record| record.is_needed(now));
        }
        self.own.retain(|_, record| record.is_needed(now));
        let fenced = self
            .fences
            .values()
            .flat_map(|state| state.records.values());
        self.bytes = fenced.chain(self.own.values()).map(Record::bytes).sum();
    }

    fn begin_fenced(&mut self, key: &Fenced, request: &Request, now: Time) -> Decision {
        let retention = self.limits.retention;
        let Some(state) = self.fences.get_mut(&key.fence) else {
            return not_held(key.fence, request);
        };
        let (caller, route) = (&request.caller, &request.route);
        if !state.secret.has_issued(key, Scope { caller, route }) {
            return Decision::Refuse(Refusal::Forged);
        }
        if let Some(record) = state.records.get_mut(&key.serial) {
            return decide_repeat(record, request);
        }
        let Some(remaining) = state.time_left(key.expiry, now) else {
            return Decision::Refuse(Refusal::Expired);
        };
        if let Phase::Closed { to, acknowledged } = self.phase {
            return Decision::Refuse(moved(to, acknowledged));
        }
        let (record, decision) = self.phase.decide(
            Slot::fenced(key),
            request,
            now.saturating_add(remaining.saturating_add(retention)),
        );
        state.records.insert(key.serial, record);
        decision
    }

    fn begin_own(&mut self, text: &str, request: &Request, now: Time) -> Decision {
        let name = (request.caller.clone(), Box::from(text));
        if let Some(record) = self.own.get_mut(&name) {
            return decide_repeat(record, request);
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
        if let Err(full) = self.check_capacity(now) {
            return Decision::Refuse(full);
        }
        let until = now + self.limits.lifetime + self.limits.retention;
        let slot = Slot::Own(name.0.clone(), name.1.clone());
        let (record, decision) = self.phase.decide(slot, request, until);
        self.own.insert(name, record);
        decision
    }

    fn settle(&mut self, slot: Slot, outcome: Outcome, now: Time) -> Completion {
        let now = self.advance(now);
        let stored = State::Done(self.charge(&outcome));
        let until = now + self.limits.retention;
        let mut joined = Vec::new();
        if let Some(record) = self.record_mut(slot) {
            record.until = record.until.max(until);
            let before = std::mem::replace(&mut record.state, stored);
            if let State::Running { joined: waiting } = before {
                joined = waiting;
            }
        }
        Completion { outcome, joined }
    }

    /// Returns the outcome to store and counts its bytes; "unknown" if it exceeds the limit.
    pub(super) fn charge(&mut self, outcome: &Outcome) -> Outcome {
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
            Slot::Fenced(fence, serial) => self.fences.get_mut(&fence)?.records.get_mut(&serial),
            Slot::Own(caller, text) => self.own.get_mut(&(caller, text)),
        }
    }

    fn check_issue(&mut self, now: Time) -> Result<()> {
        if self.phase != Phase::Open {
            return Err(Refusal::Stopping);
        }
        self.check_capacity(now)
    }

    fn check_capacity(&mut self, now: Time) -> Result<()> {
        self.expire_reservations(now);
        let used = self.reservations.len() + self.own.len();
        if used < self.limits.keys && self.bytes < self.limits.bytes {
            return Ok(());
        }
        let first = self.reservations.front().copied();
        let retry_after = first.map_or(self.limits.lifetime, |until| until.saturating_sub(now));
        Err(Refusal::Full { retry_after })
    }

    fn expire_reservations(&mut self, now: Time) {
        while self.reservations.front().is_some_and(|until| *until <= now) {
            self.reservations.pop_front();
        }
    }

    // Tasks of the driver can pass times out of order. A key that was found expired, and whose
    // record was dropped, must not become valid again in a later call with an earlier time.
    pub(super) fn advance(&mut self, now: Time) -> Time {
        self.latest = self.latest.max(now);
        self.latest
    }
}

fn not_held(fence: Fence, request: &Request) -> Decision {
    if request.passed_on {
        return Decision::Refuse(Refusal::Gone);
    }
    Decision::ForwardTo(fence)
}

fn moved(to: Fence, acknowledged: bool) -> Refusal {
    if acknowledged {
        return Refusal::Moved(to);
    }
    Refusal::Gone
}

fn decide_repeat(record: &mut Record, request: &Request) -> Decision {
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
