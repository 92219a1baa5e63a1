//! Handover of a ledger from a stopping incarnation to its successor.
//!
//! The successor may run a key that has no record in the handover, because:
//!
//! - The old incarnation closes its ledger before it takes the snapshot, and a closed ledger issues
//!   no permit. A process that is paused in between is still closed when it resumes. Keys that are
//!   running are handed over as "unknown".
//! - The handover names the successor's incarnation. The old incarnation never names a second one,
//!   even if the acknowledgement is lost, and a restarted successor has another start number.
//! - The successor remembers forever which handovers it has applied. A late copy can't remove the
//!   records of keys that it has run since.
//! - A closed ledger accepts no handover, so a snapshot never misses a fence.
//!
//! By induction over the chain of successors, a fence has one holder at any time. If a handover is
//! lost, refused or late, some callers get "unknown".

use super::fence::{Entry, FenceSnapshot, FenceState, Phase};
use super::key::Fence;
use super::ledger::Ledger;
use crate::Time;
use monsoonring_configuration::id::CallerId;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// Result of creating or applying a handover.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a handover could not be created or applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The ledger was handed over to another successor before.
    #[snafu(display("hand over to {to}: already handed over to {earlier}"))]
    HandedOver {
        /// The requested successor.
        to: Fence,
        /// The successor that has the ledger.
        earlier: Fence,
    },
    /// The handover is for another incarnation.
    #[snafu(display("take over from {from}: the successor is {to}"))]
    Misdirected {
        /// The incarnation that stopped.
        from: Fence,
        /// The successor named in the handover.
        to: Fence,
    },
    /// This incarnation has handed over its own ledger.
    #[snafu(display("take over from {from}: the own ledger is closed"))]
    Closed {
        /// The incarnation that stopped.
        from: Fence,
    },
    /// The limit of inherited keys would be exceeded.
    #[snafu(display("take over from {from}: {keys} keys exceed the limit"))]
    Capacity {
        /// The incarnation that stopped.
        from: Fence,
        /// Number of keys in the handover.
        keys: usize,
    },
}

/// The content of a ledger, addressed to one successor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Handover {
    /// The incarnation that stops.
    pub from: Fence,
    /// The only incarnation that may apply it.
    pub to: Fence,
    estates: Vec<FenceSnapshot>,
    own: Vec<(CallerId, Box<str>, Entry)>,
}

/// Acknowledgement that a handover has been applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Receipt {
    /// The incarnation that stopped.
    pub from: Fence,
    /// The incarnation that applied the handover.
    pub to: Fence,
}

impl Ledger {
    /// Stops issuing permits and keys; new sends are recorded as not run.
    pub fn drain(&mut self) {
        if self.phase == Phase::Open {
            self.phase = Phase::Draining;
        }
    }

    /// Returns whether a handover of `keys` keys fits within the limit of inherited keys.
    pub fn has_room_for(&self, keys: usize) -> bool {
        let held: usize = self.fences.values().map(|state| state.keys).sum();
        held + keys <= self.limits.inherited
    }

    /// Returns the number of keys that a handover would contain.
    pub fn keys(&self) -> usize {
        let held: usize = self.fences.values().map(|state| state.keys).sum();
        held + self.reservations.len() + self.own.len()
    }

    /// Closes the ledger permanently and returns the handover for the successor. A repeated call
    /// for the same successor returns the same records.
    ///
    /// # Errors
    ///
    /// Fails if the ledger was handed over to another successor before.
    pub fn hand_over(&mut self, to: Fence, now: Time) -> Result<Handover> {
        let now = self.advance(now);
        match self.phase {
            Phase::Closed { to: earlier, .. } => {
                ensure!(earlier == to, HandedOverSnafu { to, earlier });
            }
            Phase::Open | Phase::Draining => {
                let acknowledged = false;
                self.phase = Phase::Closed { to, acknowledged };
            }
        }
        let own = self.own.iter();
        Ok(Handover {
            from: self.fence,
            to,
            estates: self
                .fences
                .iter()
                .map(|(of, state)| self.snapshot(*of, state, now))
                .collect(),
            own: own
                .map(|((caller, text), r)| {
                    (caller.clone(), text.clone(), Entry::from_record(r, now))
                })
                .collect(),
        })
    }

    /// Records that the successor applied the handover; later sends get [`super::Refusal::Moved`].
    pub fn acknowledge(&mut self, receipt: Receipt) {
        let fence = self.fence;
        if let Phase::Closed { to, acknowledged } = &mut self.phase {
            *acknowledged |= receipt.from == fence && receipt.to == *to;
        }
    }

    /// Takes over the ledger of an incarnation that stopped. Applying a handover twice has no
    /// effect.
    ///
    /// # Errors
    ///
    /// Fails if the handover is for another incarnation, if this ledger is closed, or if the limit
    /// of inherited keys would be exceeded.
    pub fn inherit(&mut self, handover: Handover, now: Time) -> Result<Receipt> {
        let now = self.advance(now);
        let (from, to) = (handover.from, handover.to);
        ensure!(to == self.fence, MisdirectedSnafu { from, to });
        if self.inherited_from.contains(&from) {
            return Ok(Receipt { from, to });
        }
        let closed = matches!(self.phase, Phase::Closed { .. });
        ensure!(!closed, ClosedSnafu { from });
        let keys = handover.keys();
        ensure!(self.has_room_for(keys), CapacitySnafu { from, keys });
        self.inherited_from.insert(from);
        for snapshot in handover.estates {
            self.inherit_fence(snapshot, now);
        }
        for (caller, text, entry) in handover.own {
            self.inherit_own_key((caller, text), entry, now);
        }
        Ok(Receipt { from, to })
    }

    fn inherit_fence(&mut self, mut snapshot: FenceSnapshot, now: Time) {
        for (_, entry) in &mut snapshot.records {
            entry.outcome = self.charge(&entry.outcome);
        }
        // If the fence is held already, its records are newer than those of the handover.
        let fence = snapshot.fence;
        let state = FenceState::from_snapshot(snapshot, now);
        self.fences.entry(fence).or_insert(state);
    }

    // Two daemons have a record of the same own key only if the caller sent it twice as a first
    // send. A record other than "not run" wins.
    fn inherit_own_key(&mut self, name: (CallerId, Box<str>), mut entry: Entry, now: Time) {
        let known = self.own.get(&name);
        if known.is_some_and(|record| !record.final_outcome().is_not_run()) {
            return;
        }
        entry.outcome = self.charge(&entry.outcome);
        self.own.insert(name, entry.into_record(now));
    }

    fn snapshot(&self, fence: Fence, state: &FenceState, now: Time) -> FenceSnapshot {
        let last = self.reservations.back().copied().unwrap_or(now);
        let (keys, until) = match fence == self.fence {
            true => (self.reservations.len(), last),
            false => (state.keys, state.until),
        };
        let records = state.records.iter();
        FenceSnapshot {
            fence,
            secret: state.secret.clone(),
            clock: state.fence_time(now),
            keys,
            left: until.saturating_sub(now),
            records: records
                .map(|(serial, r)| (*serial, Entry::from_record(r, now)))
                .collect(),
        }
    }
}

impl Handover {
    /// Returns the number of keys that it has a reservation or a record for.
    pub fn keys(&self) -> usize {
        let held: usize = self.estates.iter().map(|state| state.keys).sum();
        held + self.own.len()
    }
}
