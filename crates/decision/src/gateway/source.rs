//! Choice of the source to poll for changes: the store, or a host that reads the store (a
//! *reader*).
//!
//! Readers are an optimisation and never required. If a reader fails or declines, the store is
//! polled next, which detects missed changes within one round trip; only then is another reader
//! tried. A host without readers always polls the store.
//!
//! An unavailable or throttling store counts the calls of all hosts, so a host that has readers
//! retries the store only occasionally and otherwise polls the readers. It does retry, because the
//! store may be throttling only the readers.
//!
//! A reader whose own calls to the store fail alternates between the store and the other readers,
//! since the failure may affect it alone. Otherwise it would keep serving an outdated
//! configuration.

use super::mirror::Outage;
use crate::Time;
use crate::member::MemberId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Backoff after a reader did not answer; doubles with each consecutive failure. A reader that
/// declined is alive and may have changes soon, so its backoff does not double.
const READER_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Retry interval for a failing store on a host that has readers. Must stay below four seconds, the
/// time after the store's recovery by which changes have to be in force again.
const STORE_BACKOFF: Duration = Duration::from_secs(3);

/// The readers of the store, as seen by one host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Readers {
    /// Whether this host is a reader; it then polls others only while the store fails.
    pub is_reader: bool,
    /// The other readers, in order of preference.
    pub others: Vec<MemberId>,
}

/// Where to poll next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store, with a short poll, then a reader again.
    StoreOnce,
    /// The store, until a reader becomes available.
    Store,
    /// A reader.
    Host(MemberId),
    /// Nowhere until this time.
    Wait(Time),
}

/// Why a reader returned no changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It can't be reached or did not answer in time.
    Unreachable,
    /// It refused to answer, because it may be out of date itself.
    Declined,
}

#[derive(Clone, Copy, Debug, Default)]
struct Reader {
    failures: u32,
    paused: Option<Time>,
    /// Number of store outages that it had reported last.
    outages: Option<u64>,
}

/// Selects the source to poll.
#[derive(Debug, Default)]
pub struct Selector {
    readers: Readers,
    /// Whether this host is a reader and the store has failed since it last polled another reader.
    has_store_failed: bool,
    reader_states: BTreeMap<MemberId, Reader>,
    /// Whether changes may have been missed.
    may_be_stale: bool,
    /// Backoff of the store.
    store_paused: Option<Time>,
}

impl Selector {
    /// Replaces the readers.
    pub fn set_readers(&mut self, readers: Readers) {
        self.reader_states
            .retain(|host, _| readers.others.contains(host));
        if readers.is_reader || readers.others.is_empty() {
            self.store_paused = None;
        }
        self.readers = readers;
    }

    /// Returns where to poll now.
    pub fn next(&self, now: Time) -> Source {
        let pause = |host: &MemberId| {
            self.reader_states
                .get(host)
                .and_then(|reader| reader.paused)
        };
        let is_ready = |host: &&MemberId| pause(host).is_none_or(|until| until <= now);
        let ready = self.readers.others.iter().find(is_ready);
        if self.readers.is_reader {
            return match ready.filter(|_| self.has_store_failed) {
                Some(host) => Source::Host(*host),
                None => Source::Store,
            };
        }
        let store_at = self.store_paused.filter(|until| *until > now);
        match (ready, store_at) {
            (Some(_), None) if self.may_be_stale => Source::StoreOnce,
            (Some(host), _) => Source::Host(*host),
            (None, None) => Source::Store,
            (None, Some(at)) => {
                let pauses = self.readers.others.iter().filter_map(pause);
                Source::Wait(pauses.fold(at, Time::min))
            }
        }
    }

    /// Records that a reader answered.
    pub fn reader_answered(&mut self, host: MemberId) {
        let reader = self.reader_states.entry(host).or_default();
        reader.failures = 0;
        reader.paused = None;
        self.has_store_failed = false;
    }

    /// Records that a reader returned no changes, and starts its backoff.
    pub fn reader_failed(&mut self, host: MemberId, failure: Failure, now: Time) {
        let reader = self.reader_states.entry(host).or_default();
        let doublings = match failure {
            Failure::Unreachable => reader.failures.min(MAX_BACKOFF_DOUBLINGS),
            Failure::Declined => 0,
        };
        reader.failures = reader.failures.saturating_add(1);
        reader.paused = Some(now + READER_BACKOFF * 2_u32.pow(doublings));
        self.may_be_stale = true;
        self.has_store_failed = false;
    }

    /// Requests that the store be polled next.
    pub fn mark_stale(&mut self) {
        self.may_be_stale = true;
    }

    /// Records that the store answered.
    pub fn store_answered(&mut self) {
        self.may_be_stale = false;
        self.has_store_failed = false;
        self.store_paused = None;
    }

    /// Records that the store failed, and starts its backoff if there are readers to poll instead.
    pub fn store_failed(&mut self, now: Time) {
        self.has_store_failed = self.readers.is_reader;
        if !self.readers.is_reader && !self.readers.others.is_empty() {
            self.store_paused = Some(now + STORE_BACKOFF);
        }
    }

    /// Records the store outages that a reader reports. Returns whether there is one that this host
    /// did not know of and that ended less than `grace` ago.
    pub fn record_outage(&mut self, host: MemberId, outage: Outage, grace: Duration) -> bool {
        let reader = self.reader_states.entry(host).or_default();
        let is_known = reader.outages.replace(outage.count) == Some(outage.count);
        !is_known && outage.ended_ago.is_some_and(|ago| ago < grace)
    }
}
