//! Choice of the source of the full state: the store, or a host that already has it.
//!
//! The full state is many pages, read one after the other, and the store counts each. With
//! thousands of hosts, servers and restarts this exceeds its rate limits. Other hosts have the
//! state as well: the readers in the same data centre, and the seeds from the settings. Their copy
//! may be slightly out of date, which the first poll for changes corrects.
//!
//! A host that starts still reads the first pages from the store. A small state is then loaded
//! sooner than through a host that may itself be starting, which shortens the outage after a power
//! loss of all hosts.
//!
//! Other hosts are never required: a host that gets no state from them reads the store, and one
//! whose store fails asks them.

use super::mirror::Position;
use super::source::Readers;
use crate::Time;
use crate::member::MemberId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time within which hosts that start together discover each other and agree on the readers.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_200);

/// Interval for retrying a host that declined, as readers start at the same time.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Pages that a starting host reads from the store before it asks other hosts. At its best the store
/// serves them in a tenth of a second.
const MAX_FIRST_PAGES: usize = 24;

/// Time for which hosts that declined are retried before the store is read.
const RETRY_PERIOD: Duration = Duration::from_millis(600);

/// Why the full state is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// First start of the whole fleet; there are no callers yet.
    FirstStart,
    /// This host starts; others may be running.
    Start,
    /// The changes after this position are no longer available.
    HistoryGone(Position),
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Request the state from this host.
    Host(MemberId),
    /// Wait until this time, or until the readers change.
    Wait(Time),
    /// Read up to this many pages from the store; if there are more, call [`Bootstrap::too_large`].
    StorePages(usize),
    /// Read everything from the store.
    Store,
}

/// Selects the source of the full state.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    reason: Reason,
    started: Time,
    seeds: Vec<MemberId>,
    /// Hosts that failed, with the time of the next attempt, or `None` if unreachable.
    failed: BTreeMap<MemberId, Option<Time>>,
    /// Whether the store failed or holds too many pages.
    needs_hosts: bool,
}

impl Bootstrap {
    /// Starts loading. `seeds` are the hosts named in the settings, without this one.
    pub fn new(reason: Reason, seeds: Vec<MemberId>, now: Time) -> Self {
        Self {
            reason,
            started: now,
            seeds,
            failed: BTreeMap::new(),
            needs_hosts: false,
        }
    }

    /// Returns what to do next.
    pub fn next(&self, readers: &Readers, now: Time) -> Next {
        let discovered = self.started + DISCOVERY_TIME;
        if self.reason == Reason::FirstStart && now < discovered {
            return Next::Wait(discovered);
        }
        if self.reason == Reason::Start && !self.needs_hosts {
            return Next::StorePages(MAX_FIRST_PAGES);
        }
        let has_readers = !readers.others.is_empty();
        if has_readers && readers.is_reader && self.reason != Reason::Start {
            return Next::Store;
        }
        let hosts = self.hosts(readers);
        let is_untried = |host: &&MemberId| !self.failed.contains_key(host);
        if let Some(host) = hosts.iter().find(is_untried) {
            return Next::Host(*host);
        }
        if now >= self.deadline() {
            return Next::Store;
        }
        let retries = hosts
            .iter()
            .filter_map(|host| Some((self.failed.get(host)?.as_ref()?, host)));
        match retries.min() {
            Some((at, host)) if *at <= now => Next::Host(*host),
            Some((at, _)) => Next::Wait(*at),
            None => Next::Store,
        }
    }

    /// Records that a host declined; it is retried later.
    pub fn declined(&mut self, host: MemberId, now: Time) {
        self.failed.insert(host, Some(now + RETRY_INTERVAL));
    }

    /// Records that a host can't be reached; it is not retried.
    pub fn unreachable(&mut self, host: MemberId) {
        self.failed.insert(host, None);
    }

    /// Records that the store holds more pages than [`Next::StorePages`] allowed.
    pub fn too_large(&mut self) {
        self.needs_hosts = true;
    }

    /// Records that the store failed. All hosts may be tried again, as one may have the state by
    /// now.
    pub fn store_failed(&mut self) {
        self.needs_hosts = true;
        self.failed.clear();
    }

    /// Returns whether a state at the offered position is newer than the position already reached.
    pub fn is_useful(&self, offered: Position) -> bool {
        match self.reason {
            Reason::HistoryGone(known) => offered > known,
            Reason::FirstStart | Reason::Start => true,
        }
    }

    /// Returns the hosts to ask, in order. Seeds are few and may be in any data centre, so only a
    /// starting host that knows no readers uses them.
    fn hosts(&self, readers: &Readers) -> Vec<MemberId> {
        let seeds = match self.reason {
            Reason::Start if readers.others.is_empty() => self.seeds.as_slice(),
            _ => &[],
        };
        readers.others.iter().chain(seeds).copied().collect()
    }

    fn deadline(&self) -> Time {
        match self.reason {
            Reason::FirstStart => self.started + DISCOVERY_TIME + RETRY_PERIOD,
            Reason::Start => self.started,
            Reason::HistoryGone(_) => self.started + RETRY_PERIOD,
        }
    }
}
