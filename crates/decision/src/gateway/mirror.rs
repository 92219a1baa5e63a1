//! Log of store changes that a reader keeps for the hosts that poll it.
//!
//! The store counts every call, and its rate limits grow more slowly than the fleet. So a few hosts
//! per data centre (*readers*) watch the store and the others poll them. A reader passes on the
//! store's answers unmodified. Each is a [`Batch`] with all changes after one revision up to
//! another.
//!
//! Invariant: a host has applied all changes up to its revision and no others, whichever source
//! they came from, and its revision never decreases. Two rules ensure this. A reader returns a
//! batch only to a host whose revision lies within it, so no change is skipped. The host ignores
//! changes up to its own revision, so none is applied twice. Loss, duplication, delay and
//! reordering of messages, a change of the source and restarts of readers are therefore harmless: a
//! reader that is behind the host declines.
//!
//! A reader answers only while it is up to date: [`Log::answer`] declines once the store has not
//! answered for a while, and the host then polls the store.

use super::registry::Revision;
use crate::Time;
use derive_more::Display;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Upper bound of the batches kept, in bytes. A host is usually one or two batches behind; one that
/// is further behind reads the store.
const MAX_LOG_BYTES: usize = 2 * 1024 * 1024;

/// Generation of the store; increases each time it is restored from an older copy.
pub type Era = u64;

/// A position in the history of the store, ordered by era and revision.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{revision} of era {era}")]
pub struct Position {
    /// The generation of the store.
    pub era: Era,
    /// The revision within the era.
    pub revision: Revision,
}

/// Returns whether a change is not yet applied on a host that knows everything up to a revision. A
/// change without a revision (0) is always applied; applying it again is harmless.
pub fn is_new(change: Revision, known: Revision) -> bool {
    change == 0 || change > known
}

/// One answer of the store: all changes between two positions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Position before the first change.
    pub after: Position,
    /// Position of the last change, in the same era.
    pub to: Position,
    /// The answer as received, in the store's format.
    pub body: Arc<[u8]>,
}

/// Why a reader declines to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclineReason {
    /// It has not read the store itself.
    NotReader,
    /// The store is unreachable.
    StoreLost,
    /// The store has not answered for too long.
    Stale,
    /// The host that asks is ahead of the reader.
    Behind,
    /// The requested changes are no longer kept.
    HistoryGone,
}

impl DeclineReason {
    /// Returns the reason as transmitted between hosts.
    pub const fn reason(self) -> &'static str {
        match self {
            Self::NotReader => "no reader",
            Self::StoreLost => "store lost",
            Self::Stale => "not sure to be up to date",
            Self::Behind => "behind",
            Self::HistoryGone => "history gone",
        }
    }
}

/// Past outages of the store, as seen by a reader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outage {
    /// Number of outages since the reader started.
    pub count: u64,
    /// Time since the last outage ended, or `None` if there was none.
    pub ended_ago: Option<Duration>,
}

/// A reader's answer to a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The next changes.
    Batch(Batch),
    /// There are no newer changes.
    UpToDate,
    /// The host has to use another source.
    Declined(DeclineReason),
}

/// Recent answers of the store, kept by a reader.
#[derive(Debug)]
pub struct Log {
    /// Time for which an answer of the store keeps the log up to date.
    freshness: Duration,
    position: Option<Position>,
    batches: VecDeque<Batch>,
    bytes: usize,
    last_contact: Time,
    is_lost: bool,
    outages: u64,
    regained_at: Option<Time>,
}

impl Log {
    /// Creates an empty log, which declines all polls.
    pub fn new(freshness: Duration) -> Self {
        Self {
            freshness,
            position: None,
            batches: VecDeque::new(),
            bytes: 0,
            last_contact: Time::ZERO,
            is_lost: false,
            outages: 0,
            regained_at: None,
        }
    }

    /// Records a full read of the store as of a position, and drops the batches before it.
    pub fn reset(&mut self, position: Position, now: Time) {
        self.batches.clear();
        self.bytes = 0;
        self.position = Some(position);
        self.record_contact(now);
    }

    /// Appends the answer to a watch. If it does not start at the current position, drops all
    /// batches.
    pub fn append(&mut self, batch: Batch, now: Time) {
        self.record_contact(now);
        let follows = self.position == Some(batch.after);
        if !follows {
            self.reset(batch.to, now);
            return;
        }
        if batch.to == batch.after {
            return;
        }
        self.position = Some(batch.to);
        self.bytes += batch.body.len();
        self.batches.push_back(batch);
        while self.bytes > MAX_LOG_BYTES {
            let Some(oldest) = self.batches.pop_front() else {
                return;
            };
            self.bytes -= oldest.body.len();
        }
    }

    /// Records a failed call to the store.
    pub fn store_failed(&mut self) {
        self.outages += u64::from(!self.is_lost);
        self.is_lost = true;
    }

    /// Clears the log of a host that stops being a reader.
    pub fn clear(&mut self) {
        self.batches.clear();
        self.bytes = 0;
        self.position = None;
    }

    /// Returns the changes that follow a position.
    pub fn answer(&self, after: Position, now: Time) -> Answer {
        let Some(position) = self.position else {
            return Answer::Declined(DeclineReason::NotReader);
        };
        if self.is_lost {
            return Answer::Declined(DeclineReason::StoreLost);
        }
        if now > self.last_contact + self.freshness {
            return Answer::Declined(DeclineReason::Stale);
        }
        if after > position {
            return Answer::Declined(DeclineReason::Behind);
        }
        if after == position {
            return Answer::UpToDate;
        }
        let within = |batch: &&Batch| batch.after <= after && after < batch.to;
        match self.batches.iter().find(within) {
            Some(batch) => Answer::Batch(batch.clone()),
            None => Answer::Declined(DeclineReason::HistoryGone),
        }
    }

    /// Returns the past outages of the store. A host that missed one keeps entries that expired
    /// during it as unconfirmed.
    pub fn outage(&self, now: Time) -> Outage {
        Outage {
            count: self.outages,
            ended_ago: self.regained_at.map(|at| now.saturating_sub(at)),
        }
    }

    fn record_contact(&mut self, now: Time) {
        if std::mem::take(&mut self.is_lost) {
            self.regained_at = Some(now);
        }
        self.last_contact = now;
    }
}
