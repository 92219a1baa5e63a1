//! What a ledger holds of one fence, and the form in which that goes to a successor.

use super::decision::{Decision, Refusal, Request, stopping};
use super::key::{Fence, Serial};
use super::permit::{Permit, Slot};
use super::record::{Outcome, Record};
use super::seal::Secret;
use crate::{Fingerprint, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// All that a holder needs for the keys of one fence.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct FenceSnapshot {
    pub(super) fence: Fence,
    pub(super) secret: Secret,
    /// Time on the fence's clock when the handover was made.
    pub(super) clock: Time,
    /// Keys that may still arrive.
    pub(super) keys: usize,
    /// Time for which they may.
    pub(super) left: Duration,
    pub(super) records: Vec<(Serial, Entry)>,
}

/// A record without its holder's clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Entry {
    pub(super) fingerprint: Fingerprint,
    pub(super) left: Duration,
    pub(super) outcome: Outcome,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    Open,
    Draining,
    Closed { to: Fence, acknowledged: bool },
}

impl Phase {
    /// Makes the record of a key that has none, and the decision that goes with it.
    ///
    /// A draining ledger records its refusal too: the successor would otherwise run a delayed
    /// copy of a send whose caller was told "not run".
    pub(super) fn take(self, slot: Slot, request: &Request, until: Time) -> (Record, Decision) {
        let fingerprint = request.fingerprint;
        if self == Self::Open {
            let permit = Permit::new(slot, request.deadline);
            return (Record::running(fingerprint, until), Decision::Run(permit));
        }
        let record = Record::done(fingerprint, until, stopping());
        (record, Decision::Refuse(Refusal::Stopping))
    }
}

/// What a holder keeps for one fence.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct FenceState {
    pub(super) secret: Secret,
    pub(super) records: BTreeMap<Serial, Record>,
    /// Keys that may still arrive, for an inherited fence.
    pub(super) keys: usize,
    /// Time on the holder's clock from which on none does, for an inherited fence.
    pub(super) until: Time,
    /// One moment on the fence's clock and on the holder's. A handover that took long makes keys
    /// live longer, and their records with them.
    theirs: Time,
    ours: Time,
}

impl FenceState {
    pub(super) fn started(secret: Secret) -> Self {
        Self {
            secret,
            records: BTreeMap::new(),
            keys: 0,
            until: Time::MAX,
            theirs: Time::ZERO,
            ours: Time::ZERO,
        }
    }

    pub(super) fn is_needed(&self, now: Time) -> bool {
        self.until > now || self.records.values().any(Record::is_running)
    }

    /// Time that a key with this expiry has left, `None` if it has expired.
    pub(super) fn left(&self, expiry: Time, now: Time) -> Option<Duration> {
        let left = expiry.saturating_sub(self.clock(now));
        (!left.is_zero()).then_some(left)
    }

    pub(super) fn clock(&self, now: Time) -> Time {
        self.theirs.saturating_add(now.saturating_sub(self.ours))
    }

    pub(super) fn inherited(bequest: FenceSnapshot, now: Time) -> Self {
        let entries = bequest.records.into_iter();
        Self {
            secret: bequest.secret,
            records: entries
                .map(|(serial, e)| (serial, e.into_record(now)))
                .collect(),
            keys: bequest.keys,
            until: now.saturating_add(bequest.left),
            theirs: bequest.clock,
            ours: now,
        }
    }
}

impl Entry {
    pub(super) fn of(record: &Record, now: Time) -> Self {
        Self {
            fingerprint: record.fingerprint,
            left: record.until.saturating_sub(now),
            outcome: record.settled(),
        }
    }

    pub(super) fn into_record(self, now: Time) -> Record {
        Record::done(
            self.fingerprint,
            now.saturating_add(self.left),
            self.outcome,
        )
    }
}
