//! The state that a ledger holds for one fence, and its snapshot for a handover.

use super::decision::{Decision, Refusal, Request, stopping};
use super::key::{Fence, Serial};
use super::permit::{Permit, Slot};
use super::record::{Outcome, Record};
use super::secret::Secret;
use crate::{Fingerprint, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// State of one fence as it is handed over to a successor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct FenceSnapshot {
    pub(super) fence: Fence,
    pub(super) secret: Secret,
    /// Time on the fence's clock when the snapshot was taken.
    pub(super) clock: Time,
    /// Number of issued keys that have not expired.
    pub(super) keys: usize,
    /// Time until the last of them expires.
    pub(super) left: Duration,
    pub(super) records: Vec<(Serial, Entry)>,
}

/// A [`Record`] in a snapshot, with times relative to the snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Entry {
    pub(super) fingerprint: Fingerprint,
    pub(super) left: Duration,
    pub(super) outcome: Outcome,
}

/// Phase of a ledger's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    Open,
    Draining,
    Closed { to: Fence, acknowledged: bool },
}

impl Phase {
    /// Returns the record and the decision for a key that has no record.
    ///
    /// A draining ledger also records its refusals. Otherwise the successor would run a delayed
    /// copy of a send for which the caller received "not run".
    pub(super) fn decide(self, slot: Slot, request: &Request, until: Time) -> (Record, Decision) {
        let fingerprint = request.fingerprint;
        if self == Self::Open {
            let permit = Permit::new(slot, request.deadline);
            return (Record::running(fingerprint, until), Decision::Run(permit));
        }
        let record = Record::done(fingerprint, until, stopping());
        (record, Decision::Refuse(Refusal::Stopping))
    }
}

/// Secret and records of one fence at its holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct FenceState {
    pub(super) secret: Secret,
    pub(super) records: BTreeMap<Serial, Record>,
    /// Number of issued keys that have not expired; 0 for the ledger's own fence.
    pub(super) keys: usize,
    /// Time on the holder's clock at which the last of them expires; `Time::MAX` for the ledger's
    /// own fence.
    pub(super) until: Time,
    /// Time on the fence's clock at `local_base`. The transit time of a handover is not counted, so
    /// a slow handover extends the life of keys and records.
    fence_base: Time,
    /// Time on the holder's clock at which it took over the fence.
    local_base: Time,
}

impl FenceState {
    pub(super) fn new(secret: Secret) -> Self {
        Self {
            secret,
            records: BTreeMap::new(),
            keys: 0,
            until: Time::MAX,
            fence_base: Time::ZERO,
            local_base: Time::ZERO,
        }
    }

    pub(super) fn is_needed(&self, now: Time) -> bool {
        self.until > now || self.records.values().any(Record::is_running)
    }

    /// Returns the time until a key with this expiry expires, `None` if it has expired.
    pub(super) fn time_left(&self, expiry: Time, now: Time) -> Option<Duration> {
        let remaining = expiry.saturating_sub(self.fence_time(now));
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Returns the current time on the fence's clock.
    pub(super) fn fence_time(&self, now: Time) -> Time {
        self.fence_base
            .saturating_add(now.saturating_sub(self.local_base))
    }

    pub(super) fn from_snapshot(snapshot: FenceSnapshot, now: Time) -> Self {
        let entries = snapshot.records.into_iter();
        Self {
            secret: snapshot.secret,
            records: entries
                .map(|(serial, e)| (serial, e.into_record(now)))
                .collect(),
            keys: snapshot.keys,
            until: now.saturating_add(snapshot.left),
            fence_base: snapshot.clock,
            local_base: now,
        }
    }
}

impl Entry {
    pub(super) fn from_record(record: &Record, now: Time) -> Self {
        Self {
            fingerprint: record.fingerprint,
            left: record.until.saturating_sub(now),
            outcome: record.final_outcome(),
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
