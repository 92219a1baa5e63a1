//! The version in force at one daemon, and how it gets a newer one.

use super::contact::Record;
use super::{Action, Event, LogLine, Source, Version};
use crate::Time;
use crate::member::MemberId;
use monsoonring_configuration::id::Revision;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Longest time that a watch waits at the service. Short, as its end tells the others that the
/// service is reached: with 21 data centres the readers make 21 calls a second.
const WATCH_WAIT: Duration = Duration::from_secs(3);

/// Time after which a call counts as failed, should the driver never answer.
const CALL_LIMIT: Duration = Duration::from_secs(45);

/// Time after which a fetch counts as failed, should the driver never answer.
const FETCH_LIMIT: Duration = Duration::from_secs(10);

/// Time between two plain reads of a reader; a watch alone never shows a stale service, nor two
/// documents under one revision.
const READ_PERIOD: Duration = Duration::from_secs(600);

/// First and last pause after failed calls.
const BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// Time for which a starting or resumed daemon waits for its peers' word.
const PATIENCE: Duration = Duration::from_secs(10);

/// Time over which the daemons that found no peers spread their first reads.
const START_SPREAD: Duration = Duration::from_secs(5);

/// Most rejected versions and most offers remembered.
const REMEMBERED: usize = 16;

/// Which version is in force, which greater ones are offered, and what is being asked.
///
/// Invariant: the version in force never becomes lesser.
#[derive(Debug)]
pub struct Holder {
    in_force: Option<Version>,
    /// The latest greater version that each peer says it has.
    offers: BTreeMap<MemberId, Version>,
    /// Versions whose document was faulty.
    rejected: BTreeSet<Version>,
    /// Lesser versions already logged.
    logged: BTreeSet<Version>,
    /// Revisions under which two documents were seen.
    conflicting: BTreeSet<Revision>,
    fetching: Option<(MemberId, Version, Time)>,
    calling: Option<Time>,
    next_call: Time,
    next_read: Time,
    failures: u32,
    reader: bool,
    /// Number of other members; `None` until membership is known.
    peers: Option<usize>,
    /// Since when the daemon waits for a first or a fresh word; `None` once it is current.
    waiting: Option<Time>,
    heard: bool,
    conflicts: u64,
    contact: Record,
    rng: ChaCha8Rng,
}

impl Holder {
    /// Makes a holder without a configuration.
    pub fn new(now: Time, mut rng: ChaCha8Rng) -> Self {
        let extra = START_SPREAD.mul_f64(rng.random());
        Self {
            in_force: None,
            offers: BTreeMap::new(),
            rejected: BTreeSet::new(),
            logged: BTreeSet::new(),
            conflicting: BTreeSet::new(),
            fetching: None,
            calling: None,
            next_call: now,
            next_read: now,
            failures: 0,
            reader: false,
            peers: None,
            waiting: Some(now),
            heard: false,
            conflicts: 0,
            contact: Record::new(now, extra),
            rng,
        }
    }

    /// Returns the version in force.
    pub fn in_force(&self) -> Option<Version> {
        self.in_force
    }

    /// Tells whether new work may be taken: a configuration is in force, and since the start or
    /// the last pause either the service or a peer confirmed it, or nobody could be asked.
    pub fn is_current(&self) -> bool {
        self.in_force.is_some() && self.waiting.is_none()
    }

    /// Returns how often two documents had the same revision.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Returns who last reached the service, `None` for this daemon, and how long ago.
    pub fn contact(&self, now: Time) -> Option<(Option<MemberId>, Duration)> {
        self.contact.latest(now)
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => {}
            Event::Served(version, faults) => self.served(version, &faults, now, &mut out),
            Event::Unchanged => self.answered(now),
            Event::ServiceFailed => self.call_failed(now),
            Event::Peer(peer, version) => self.offered(peer, version, &mut out),
            Event::Fetched(peer, version, faults) => {
                self.offers.remove(&peer);
                self.stop_fetching(peer);
                self.consider(version, Source::Peer(peer), &faults, &mut out);
            }
            Event::FetchFailed(peer) => {
                self.offers.remove(&peer);
                self.stop_fetching(peer);
            }
            Event::Members { reader, peers } => {
                (self.reader, self.peers) = (reader, Some(peers));
            }
            Event::Contacted(contact, outranks) => {
                let peers = self.peers.unwrap_or_default();
                self.contact.heard(contact, outranks, peers, now);
            }
            Event::Paused => {
                self.contact.restart(now);
                self.waiting = Some(now);
                self.heard = false;
                self.next_call = now;
                self.next_read = now;
            }
        }
        self.fetch(now, &mut out);
        self.call(now, &mut out);
        self.settle(now);
        out
    }

    fn served(&mut self, version: Version, faults: &[String], now: Time, out: &mut Vec<Action>) {
        self.answered(now);
        self.next_read = now + READ_PERIOD;
        self.consider(version, Source::Service, faults, out);
        if self.in_force != Some(version) {
            // A faulty or lesser document answers each call at once; called again without a pause,
            // the readers would use up the service's rate.
            self.next_call = now + BACKOFF.0;
        }
    }

    fn answered(&mut self, now: Time) {
        self.calling = None;
        let peers = self.peers.unwrap_or_default();
        self.contact.reached(self.reader, peers, now);
        self.failures = 0;
        self.next_call = now;
        self.heard = self.heard || self.peers == Some(0);
    }

    fn call_failed(&mut self, now: Time) {
        self.calling = None;
        self.contact.failed();
        let doubled = BACKOFF.0.saturating_mul(1 << self.failures.min(5));
        let pause = doubled.min(BACKOFF.1);
        self.failures = self.failures.saturating_add(1);
        self.next_call = now + pause.mul_f64(self.rng.random_range(0.5..1.0));
    }

    fn offered(&mut self, peer: MemberId, version: Option<Version>, out: &mut Vec<Action>) {
        let Some(version) = version else {
            return;
        };
        self.heard = true;
        if self.rejected.contains(&version) {
            return;
        }
        self.note_lesser(version, Source::Peer(peer), out);
        if self.is_greater(version) {
            self.offers.insert(peer, version);
            if self.offers.len() > REMEMBERED {
                let least = self.offers.iter().min_by_key(|(_, version)| **version);
                let least = least.map(|(peer, _)| *peer);
                least.map(|peer| self.offers.remove(&peer));
            }
        }
    }

    /// Adopts the version if it is greater and without fault.
    ///
    /// A service that was restored from a copy, or lags, offers what was in force hours ago. Taken
    /// as it comes it would undo accepted changes, and routes would flap with each read; here a
    /// lesser version is logged and left.
    fn consider(
        &mut self,
        version: Version,
        source: Source,
        faults: &[String],
        out: &mut Vec<Action>,
    ) {
        if !self.is_greater(version) {
            self.note_lesser(version, source, out);
            return;
        }
        if !faults.is_empty() {
            if remember(&mut self.rejected, version) {
                out.push(log("rejected", version, faults.join("; ")));
            }
            return;
        }
        let before = self.in_force.replace(version);
        if before.is_some_and(|before| before.revision == version.revision) {
            self.conflict(version, out);
        }
        self.offers.retain(|_, offered| *offered > version);
        out.push(Action::Adopt(version, source));
        out.push(log("adopted", version, format!("from {source:?}")));
    }

    fn is_greater(&self, version: Version) -> bool {
        Some(version) > self.in_force
    }

    fn note_lesser(&mut self, version: Version, source: Source, out: &mut Vec<Action>) {
        let Some(in_force) = self.in_force else {
            return;
        };
        if version >= in_force {
            return;
        }
        if version.revision == in_force.revision {
            self.conflict(version, out);
        } else if source == Source::Service && remember(&mut self.logged, version) {
            let why = format!("the service is behind revision {}", in_force.revision);
            out.push(log("stale", version, why));
        }
    }

    /// Two operators raced, or the service gave one revision twice. If each daemon kept what it saw
    /// first, the fleet would serve two configurations until the next change; the greater digest
    /// wins everywhere, and the operators are told that one of the documents is not in force.
    fn conflict(&mut self, version: Version, out: &mut Vec<Action>) {
        if remember(&mut self.conflicting, version.revision) {
            self.conflicts += 1;
            let why = "two documents under one revision; the greater digest is in force";
            out.push(log("conflict", version, why.to_owned()));
        }
    }

    fn fetch(&mut self, now: Time, out: &mut Vec<Action>) {
        if let Some((peer, _, since)) = self.fetching {
            if now.saturating_sub(since) < FETCH_LIMIT {
                return;
            }
            self.offers.remove(&peer);
            self.fetching = None;
        }
        let rejected = &self.rejected;
        self.offers.retain(|_, version| !rejected.contains(version));
        let best = self.offers.iter().max_by_key(|(_, version)| **version);
        if let Some((&peer, &version)) = best {
            self.fetching = Some((peer, version, now));
            out.push(Action::Fetch(peer, version));
        }
    }

    fn stop_fetching(&mut self, peer: MemberId) {
        self.fetching = self.fetching.filter(|(from, ..)| *from != peer);
    }

    /// One call at a time; readers watch, the others read only where no peer can tell them.
    fn call(&mut self, now: Time, out: &mut Vec<Action>) {
        if self
            .calling
            .is_some_and(|since| now.saturating_sub(since) >= CALL_LIMIT)
        {
            self.call_failed(now);
        }
        let needed = self.reader || self.must_read(now) || self.must_act(now);
        if !needed || self.calling.is_some() || now < self.next_call {
            return;
        }
        self.calling = Some(now);
        let greatest = self.in_force.max(self.rejected.last().copied());
        out.push(match greatest {
            Some(version) if now < self.next_read => Action::Watch {
                after: version.revision,
                wait: WATCH_WAIT,
            },
            _ => Action::Read,
        });
    }

    /// Where no reader reaches the service, an accepted change would wait for as long as the cut
    /// lasts, although this daemon might reach it.
    fn must_act(&self, now: Time) -> bool {
        let peers = self.peers.unwrap_or_default();
        peers > 0 && self.waiting.is_none() && self.contact.is_needed(peers, now)
    }

    /// After an outage of everything 3,800 daemons start without anybody to ask. Their first reads
    /// are spread over `START_SPREAD`; all at once they would exceed the service's rate.
    fn must_read(&mut self, now: Time) -> bool {
        let Some(since) = self.waiting else {
            return false;
        };
        if self.in_force.is_some() || now.saturating_sub(since) < PATIENCE {
            return false;
        }
        if self.next_call <= since {
            self.next_call = now + START_SPREAD.mul_f64(self.rng.random());
        }
        true
    }

    /// Ends the wait: what is in force is the greatest version heard of, or patience is over.
    fn settle(&mut self, now: Time) {
        let Some(since) = self.waiting else {
            return;
        };
        let greatest = self.offers.is_empty() && self.fetching.is_none();
        let patient = now.saturating_sub(since) < PATIENCE;
        if self.in_force.is_some() && ((self.heard && greatest) || !patient) {
            self.waiting = None;
        }
    }
}

fn log(what: &'static str, version: Version, why: String) -> Action {
    Action::Log(LogLine { what, version, why })
}

/// Adds an item, dropping the least if there are many. Returns whether it was new.
fn remember<T: Ord>(known: &mut BTreeSet<T>, item: T) -> bool {
    let new = known.insert(item);
    if known.len() > REMEMBERED {
        known.pop_first();
    }
    new
}
