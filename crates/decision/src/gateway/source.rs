//! Whom a host asks for what changed: the store, or another host that reads it.
//!
//! Nothing depends on a reader. Whenever one does not answer, or declines, the store is asked next, so that
//! what may have been missed is reader_states a round trip later, and only then another reader. A host without
//! readers asks the store all the time.
//!
//! A store that is away or turns away counts the calls of all hosts. Who has readers leaves most of the
//! asking to them, and tries the store itself now and then: it may be the readers that it turns away.
//!
//! A reader that the store turns away asks the other readers in turn with it, as it may be alone in that. Of 195 hosts
//! two readers went on for nine seconds with a configuration that all others in their data centres had replaced.

use super::mirror::Outage;
use crate::Time;
use crate::member::MemberId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Pause after a reader did not answer; it doubles with each further time. One that declines is well, and may
/// have something to tell any moment.
const READER_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Time between two calls to a store that fails, at a host that has readers: less than the four seconds
/// after its return from which on changes have to be in force in time again.
const STORE_BACKOFF: Duration = Duration::from_secs(3);

/// The hosts that read the store, as one host sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Readers {
    /// Whether this host reads it too, and asks others only where the store does not answer.
    pub is_reader: bool,
    /// The others, in the order in which they are asked.
    pub others: Vec<MemberId>,
}

/// Whom to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store, and then a reader again: the call is to end soon.
    StoreOnce,
    /// The store, for as long as there is no reader.
    Store,
    /// A host that reads it.
    Host(MemberId),
    /// Wait before this time.
    Wait(Time),
}

/// How a reader did not tell what changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It can't be reached, or does not answer.
    Unreachable,
    /// It says that somebody else is to be asked.
    Declined,
}

#[derive(Clone, Copy, Debug, Default)]
struct Reader {
    failures: u32,
    paused: Option<Time>,
    /// How many losses of the store it had told of.
    outages: Option<u64>,
}

/// Decides whom to ask.
#[derive(Debug, Default)]
pub struct Selector {
    readers: Readers,
    /// Whether the store has failed at this host, which reads it, since another reader was asked.
    has_store_failed: bool,
    reader_states: BTreeMap<MemberId, Reader>,
    /// Whether something may have been missed.
    may_be_stale: bool,
    /// Until when the store is left alone.
    store_paused: Option<Time>,
}

impl Selector {
    /// Takes over who reads the store.
    pub fn set_readers(&mut self, readers: Readers) {
        self.reader_states
            .retain(|host, _| readers.others.contains(host));
        if readers.is_reader || readers.others.is_empty() {
            self.store_paused = None;
        }
        self.readers = readers;
    }

    /// Returns whom to ask now.
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

    /// A reader has answered.
    pub fn reader_answered(&mut self, host: MemberId) {
        let reader = self.reader_states.entry(host).or_default();
        reader.failures = 0;
        reader.paused = None;
        self.has_store_failed = false;
    }

    /// A reader did not tell what changed.
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

    /// There is reason to ask the store itself.
    pub fn mark_stale(&mut self) {
        self.may_be_stale = true;
    }

    /// The store has answered.
    pub fn store_answered(&mut self) {
        self.may_be_stale = false;
        self.has_store_failed = false;
        self.store_paused = None;
    }

    /// The store has not answered.
    pub fn store_failed(&mut self, now: Time) {
        self.has_store_failed = self.readers.is_reader;
        if !self.readers.is_reader && !self.readers.others.is_empty() {
            self.store_paused = Some(now + STORE_BACKOFF);
        }
    }

    /// Takes in what a reader says of losses of the store. Returns whether one that this host has not heard
    /// of ended less than `grace` ago.
    pub fn record_outage(&mut self, host: MemberId, outage: Outage, grace: Duration) -> bool {
        let reader = self.reader_states.entry(host).or_default();
        let is_known = reader.outages.replace(outage.count) == Some(outage.count);
        !is_known && outage.ended_ago.is_some_and(|ago| ago < grace)
    }
}
