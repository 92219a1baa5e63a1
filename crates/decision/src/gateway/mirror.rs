//! What a host that follows the store keeps for those that follow it.
//!
//! The store counts each call, a waiting watch as one, and its rates grow more slowly than the fleet: a
//! change that every host reads for itself costs a call for each. So a few hosts of a data centre read, and
//! the others ask them. What is passed on are the store's own answers, as they came. Each says after which
//! revision it begins and up to which it goes, and holds all changes between the two.
//!
//! Invariant: what a host has taken in is everything up to its revision and nothing else, whoever it had
//! it from, and its revision never goes down. It holds by two rules. A batch is handed only to who stands within
//! it, so that nothing is left out; and who takes it in passes over what is not after its own revision, so
//! that nothing comes twice. Loss, repetition, delay and order of messages then don't matter, nor who was
//! asked before, nor whether a reader restarted or woke late: one that knows less than who asks has nothing
//! to say.
//!
//! How old that may be is another matter. A reader speaks only while it knows that it is up to date:
//! [`Log::answer`] declines once the store has not last_contact for a while, and who is declined asks the store.

use super::registry::Revision;
use crate::Time;
use derive_more::Display;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Bytes of answers that are kept at most. Who asks is behind by one or two of them; one that is further behind
/// reads the store.
const MAX_LOG_BYTES: usize = 2 * 1024 * 1024;

/// Number of the store's lives up to now: it rises each time that the store comes back from an older copy.
pub type Era = u64;

/// A point in the history of the store. A later one is greater.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{revision} of era {era}")]
pub struct Position {
    /// The life of the store.
    pub era: Era,
    /// The revision within it.
    pub revision: Revision,
}

/// Tells whether a change is one that a host has not taken in that knows everything up to a revision. One that says
/// no revision is taken in again: what it says holds in any case.
pub fn is_new(change: Revision, known: Revision) -> bool {
    change == 0 || change > known
}

/// One answer of the store: all changes after a revision, up to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Where it begins.
    pub after: Position,
    /// Up to where it goes, in the same life of the store.
    pub to: Position,
    /// The answer as it came; nobody but the reader of the store's format looks into it.
    pub body: Arc<[u8]>,
}

/// Why a reader does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclineReason {
    /// It has not read the store itself, or only just starts.
    NotReader,
    /// It can't reach the store.
    StoreLost,
    /// The store has not last_contact for too long.
    Stale,
    /// Who asks knows more.
    Behind,
    /// It does not keep what goes so far back.
    HistoryGone,
}

impl DeclineReason {
    /// Returns the reason as hosts tell it to each other.
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

/// A loss of the store that is over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outage {
    /// How many there were since the reader's start.
    pub count: u64,
    /// How long ago the last one ended.
    pub ended_ago: Option<Duration>,
}

/// What a reader answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// What comes next.
    Batch(Batch),
    /// There is nothing that who asks does not have.
    UpToDate,
    /// Somebody else is to be asked.
    Declined(DeclineReason),
}

/// The store's last answers at a host that reads it.
#[derive(Debug)]
pub struct Log {
    /// Time for which an answer of the store vouches for what is known.
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
    /// Makes the empty log of a host that knows nothing.
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

    /// Everything was read, as of this position: what was kept does not lead there.
    pub fn reset(&mut self, position: Position, now: Time) {
        self.batches.clear();
        self.bytes = 0;
        self.position = Some(position);
        self.record_contact(now);
    }

    /// The store has last_contact a watch.
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

    /// A call to the store failed.
    pub fn store_failed(&mut self) {
        self.outages += u64::from(!self.is_lost);
        self.is_lost = true;
    }

    /// This host asks another one from now on: what it has is not the store's own word.
    pub fn clear(&mut self) {
        self.batches.clear();
        self.bytes = 0;
        self.position = None;
    }

    /// Returns what a host has to hear that has taken in everything up to a position.
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

    /// Returns what who asks has to know of losses of the store: entries that lapsed meanwhile are doubted.
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
