//! How an incarnation that stops leaves its ledger to one successor.
//!
//! Why the successor may run keys that the ledger holds no record of:
//!
//! - The old incarnation closes its ledger before the handover is made, and a closed ledger gives
//!   out no permit. Pausing it in between changes nothing: it wakes up closed. What still runs
//!   is handed over as "unknown" for good.
//! - The handover names the successor's incarnation. The old one never names a second, also when
//!   the acknowledgement is lost, and a restarted successor has another start number.
//! - The successor remembers for good whose handover it took, so that a copy that arrives late
//!   can't bring back a state in which keys that it has run since are without a record.
//! - A closed ledger takes no handover, so nothing is added to an estate that went on.
//!
//! By induction over the chain of successors, a fence has one holder at any time. A handover that
//! is lost, refused or late costs no more than some "unknown".

use super::fence::{Entry, FenceSnapshot, FenceState, Phase};
use super::key::Fence;
use super::ledger::Ledger;
use crate::Time;
use monsoonring_configuration::id::CallerId;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// Result of making or taking a handover.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a handover was not made or not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The ledger was left to another successor before.
    #[snafu(display("hand over to {to}: already left to {earlier}"))]
    Left {
        /// The successor that was named now.
        to: Fence,
        /// The one that it was left to.
        earlier: Fence,
    },
    /// The handover is for another incarnation.
    #[snafu(display("take over from {from}: left to {to}"))]
    Misdirected {
        /// The incarnation that stopped.
        from: Fence,
        /// The successor that it named.
        to: Fence,
    },
    /// This incarnation has handed over its own ledger.
    #[snafu(display("take over from {from}: stopping"))]
    Closed {
        /// The incarnation that stopped.
        from: Fence,
    },
    /// There is no room for that many keys.
    #[snafu(display("take over from {from}: no room for {keys} keys"))]
    Room {
        /// The incarnation that stopped.
        from: Fence,
        /// Number of keys that it handed over.
        keys: usize,
    },
}

/// A ledger on its way to the successor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Handover {
    /// The incarnation that stops.
    pub from: Fence,
    /// The one incarnation that may take it.
    pub to: Fence,
    estates: Vec<FenceSnapshot>,
    own: Vec<(CallerId, Box<str>, Entry)>,
}

/// Acknowledgement that a handover was taken, then or before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Receipt {
    /// The incarnation whose ledger was taken.
    pub from: Fence,
    /// The incarnation that took it.
    pub to: Fence,
}

impl Ledger {
    /// Stops giving out permits and keys; what arrives new is recorded as not run.
    pub fn drain(&mut self) {
        if self.phase == Phase::Open {
            self.phase = Phase::Draining;
        }
    }

    /// Tells whether a handover of that many keys would be taken now.
    pub fn has_room_for(&self, keys: usize) -> bool {
        let held: usize = self.estates.values().map(|estate| estate.keys).sum();
        held + keys <= self.limits.inherited
    }

    /// Number of keys that a handover would hold.
    pub fn keys(&self) -> usize {
        let held: usize = self.estates.values().map(|estate| estate.keys).sum();
        held + self.places.len() + self.own.len()
    }

    /// Closes the ledger for good and returns what the successor needs. Asked again for the same
    /// successor, it returns the same records.
    ///
    /// # Errors
    ///
    /// Fails where the ledger was left to another successor before.
    pub fn hand_over(&mut self, to: Fence, now: Time) -> Result<Handover> {
        let now = self.advance(now);
        match self.phase {
            Phase::Closed { to: earlier, .. } => {
                ensure!(earlier == to, LeftSnafu { to, earlier });
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
                .estates
                .iter()
                .map(|(of, estate)| self.bequest(*of, estate, now))
                .collect(),
            own: own
                .map(|((caller, text), r)| (caller.clone(), text.clone(), Entry::of(r, now)))
                .collect(),
        })
    }

    /// Notes that the successor took the handover; from now on senders are told who it is.
    pub fn acknowledge(&mut self, receipt: Receipt) {
        let fence = self.fence;
        if let Phase::Closed { to, acknowledged } = &mut self.phase {
            *acknowledged |= receipt.from == fence && receipt.to == *to;
        }
    }

    /// Takes over the ledger of an incarnation that stopped; a copy of a handover that was taken
    /// before changes nothing.
    ///
    /// # Errors
    ///
    /// Fails where the handover is for another incarnation, this one has closed its own ledger,
    /// or there is no room.
    pub fn inherit(&mut self, handover: Handover, now: Time) -> Result<Receipt> {
        let now = self.advance(now);
        let (from, to) = (handover.from, handover.to);
        ensure!(to == self.fence, MisdirectedSnafu { from, to });
        if self.taken.contains(&from) {
            return Ok(Receipt { from, to });
        }
        let closed = matches!(self.phase, Phase::Closed { .. });
        ensure!(!closed, ClosedSnafu { from });
        let keys = handover.keys();
        ensure!(self.has_room_for(keys), RoomSnafu { from, keys });
        self.taken.insert(from);
        for bequest in handover.estates {
            self.settle_in(bequest, now);
        }
        for (caller, text, entry) in handover.own {
            self.settle_own((caller, text), entry, now);
        }
        Ok(Receipt { from, to })
    }

    fn settle_in(&mut self, mut bequest: FenceSnapshot, now: Time) {
        for (_, entry) in &mut bequest.records {
            entry.outcome = self.afford(&entry.outcome);
        }
        // A fence that is held already has records that are newer than any handover.
        let fence = bequest.fence;
        let estate = FenceState::inherited(bequest, now);
        self.estates.entry(fence).or_insert(estate);
    }

    // Two daemons have the same own key only where its first send was repeated. The record that
    // isn't "not run" is the one to keep.
    fn settle_own(&mut self, name: (CallerId, Box<str>), mut entry: Entry, now: Time) {
        let known = self.own.get(&name);
        if known.is_some_and(|record| !record.settled().is_not_run()) {
            return;
        }
        entry.outcome = self.afford(&entry.outcome);
        self.own.insert(name, entry.into_record(now));
    }

    fn bequest(&self, fence: Fence, estate: &FenceState, now: Time) -> FenceSnapshot {
        let last = self.places.back().copied().unwrap_or(now);
        let (keys, until) = match fence == self.fence {
            true => (self.places.len(), last),
            false => (estate.keys, estate.until),
        };
        let records = estate.records.iter();
        FenceSnapshot {
            fence,
            secret: estate.secret.clone(),
            clock: estate.clock(now),
            keys,
            left: until.saturating_sub(now),
            records: records
                .map(|(serial, r)| (*serial, Entry::of(r, now)))
                .collect(),
        }
    }
}

impl Handover {
    /// Number of keys that it holds a place or a record for.
    pub fn keys(&self) -> usize {
        let held: usize = self.estates.iter().map(|estate| estate.keys).sum();
        held + self.own.len()
    }
}
