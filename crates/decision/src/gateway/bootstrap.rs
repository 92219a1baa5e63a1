//! Whom a host asks for all that the store holds.
//!
//! Everything is many pages, one after the other, and the store counts each: at thousands of hosts, servers and
//! restarts far more than it allows. Other hosts have it: those that read the store in the own data centre, and the
//! hosts that the settings name. What they tell may be a little old, which the first question for changes makes good.
//!
//! A host that starts alone begins with the store all the same. Few pages are there sooner than the answer of a host
//! that may be starting too: after a loss of power of all hosts each tenth of a second counts for callers who wait.
//!
//! Nothing depends on other hosts. One that nobody tells reads the store, and one that the store does not answer asks
//! them.

use super::mirror::Position;
use super::source::Readers;
use crate::Time;
use crate::member::MemberId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time within which hosts that start together have discovered each other, so that it is known who reads the store.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_200);

/// Time after which a host that had nothing yet is asked retries: readers begin at the same moment.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Pages that a host that starts reads before it asks others for the rest: a tenth of a second of a store at its best.
const MAX_FIRST_PAGES: usize = 24;

/// Time for which hosts are asked retries and retries. Where nothing is known yet and others serve, there is no time to
/// lose; where much is known, it stays in use meanwhile.
const RETRY_PERIOD: Duration = Duration::from_millis(600);

/// Why everything is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// All hosts start for the first time, and callers come later.
    FirstStart,
    /// This host starts, and others may be running.
    Start,
    /// What is known leads nowhere any more.
    HistoryGone(Position),
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Ask this host.
    Host(MemberId),
    /// Wait until then, or until other readers are named.
    Wait(Time),
    /// Read the store, up to so many pages: where there are more, [`Bootstrap::too_large`] is to be offered.
    StorePages(usize),
    /// Read the store.
    Store,
}

/// Decides whom to ask, for one reason.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    reason: Reason,
    started: Time,
    seeds: Vec<MemberId>,
    /// Hosts that offered nothing, and when they may be asked retries; `None` for those that can't be reached.
    failed: BTreeMap<MemberId, Option<Time>>,
    /// Whether the store has not sufficed: it holds much, or does not answer.
    needs_hosts: bool,
}

impl Bootstrap {
    /// Begins. `seeds` are hosts that the settings name, without this one.
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

    /// A host had nothing to tell.
    pub fn declined(&mut self, host: MemberId, now: Time) {
        self.failed.insert(host, Some(now + RETRY_INTERVAL));
    }

    /// A host could not be asked.
    pub fn unreachable(&mut self, host: MemberId) {
        self.failed.insert(host, None);
    }

    /// There is more in the store than a few pages.
    pub fn too_large(&mut self) {
        self.needs_hosts = true;
    }

    /// The store could not be read: hosts are asked, and asked anew, one of which may know more by now.
    pub fn store_failed(&mut self) {
        self.needs_hosts = true;
        self.failed.clear();
    }

    /// Tells whether what a host offered leads on from what is known.
    pub fn is_useful(&self, offered: Position) -> bool {
        match self.reason {
            Reason::HistoryGone(known) => offered > known,
            Reason::FirstStart | Reason::Start => true,
        }
    }

    /// Returns the hosts that may have it. Those of the settings are few and in any data centre: they are for a host
    /// that knows no others.
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
