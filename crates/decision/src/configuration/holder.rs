//! Decides which configuration version is in force at one daemon.

use super::contact::LastContact;
use super::{Action, Event, LogLine, Source, Version};
use crate::Time;
use crate::member::MemberId;
use monsoonring_configuration::id::Revision;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum time that a watch waits at the service. Short, because only a completed watch shows the other
/// daemons that the service can be reached. In 21 data centres the readers make 21 calls per second.
const WATCH_WAIT: Duration = Duration::from_secs(3);

/// Time after which a call fails even if the driver reports no result.
const CALL_TIMEOUT: Duration = Duration::from_secs(45);

/// Time after which a fetch fails even if the driver reports no result.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between plain reads by a reader. A watch alone reveals neither a stale service nor two
/// documents with the same revision.
const READ_PERIOD: Duration = Duration::from_secs(600);

/// Initial and maximum backoff after failed calls.
const BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// Time for which a starting or resumed daemon waits for its peers' versions.
const REFRESH_TIMEOUT: Duration = Duration::from_secs(10);

/// Time over which daemons that found no peers spread their first reads.
const START_SPREAD: Duration = Duration::from_secs(5);

/// Maximum number of rejected versions, and of offers, remembered.
const MAX_REMEMBERED: usize = 16;

/// State machine that adopts configuration versions from the service and from peers.
///
/// Invariant: the version in force never decreases.
#[derive(Debug)]
pub struct Holder {
    in_force: Option<Version>,
    /// Versions greater than the one in force, by the peer that reported them.
    offers: BTreeMap<MemberId, Version>,
    /// Versions with a faulty document.
    rejected: BTreeSet<Version>,
    /// Lesser versions already logged as stale.
    logged: BTreeSet<Version>,
    /// Revisions for which two different documents were seen.
    conflicting: BTreeSet<Revision>,
    fetching: Option<(MemberId, Version, Time)>,
    call_started: Option<Time>,
    next_call: Time,
    next_read: Time,
    failures: u32,
    is_reader: bool,
    /// Number of other members; `None` until membership is known.
    peers: Option<usize>,
    /// Time of the start or of the end of the last pause; `None` once the configuration is confirmed as
    /// current.
    refreshing_since: Option<Time>,
    /// Whether a peer reported its version since then, or the service answered a daemon without peers.
    is_confirmed: bool,
    conflicts: u64,
    contact: LastContact,
    rng: ChaCha8Rng,
}

impl Holder {
    /// Creates a holder without a configuration.
    pub fn new(now: Time, mut rng: ChaCha8Rng) -> Self {
        let jitter = START_SPREAD.mul_f64(rng.random());
        Self {
            in_force: None,
            offers: BTreeMap::new(),
            rejected: BTreeSet::new(),
            logged: BTreeSet::new(),
            conflicting: BTreeSet::new(),
            fetching: None,
            call_started: None,
            next_call: now,
            next_read: now,
            failures: 0,
            is_reader: false,
            peers: None,
            refreshing_since: Some(now),
            is_confirmed: false,
            conflicts: 0,
            contact: LastContact::new(now, jitter),
            rng,
        }
    }

    /// Returns the version in force; `None` before the first was adopted.
    pub fn in_force(&self) -> Option<Version> {
        self.in_force
    }

    /// Returns whether this daemon may accept new work: a configuration is in force, and since the start or
    /// the last pause it was confirmed as current or the wait for a confirmation timed out.
    pub fn is_current(&self) -> bool {
        self.in_force.is_some() && self.refreshing_since.is_none()
    }

    /// Returns the number of revisions for which two different documents were seen.
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Returns the member that last reached the service (`None` for this daemon) and the time since then,
    /// or `None` if no contact is known.
    pub fn contact(&self, now: Time) -> Option<(Option<MemberId>, Duration)> {
        self.contact.latest(now)
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => {}
            Event::Served(version, faults) => self.on_document(version, &faults, now, &mut actions),
            Event::Unchanged => self.on_success(now),
            Event::ServiceFailed => self.on_call_failed(now),
            Event::Peer(peer, version) => self.on_offer(peer, version, &mut actions),
            Event::Fetched(peer, version, faults) => {
                self.offers.remove(&peer);
                self.stop_fetching(peer);
                self.adopt_if_greater(version, Source::Peer(peer), &faults, &mut actions);
            }
            Event::FetchFailed(peer) => {
                self.offers.remove(&peer);
                self.stop_fetching(peer);
            }
            Event::Members { reader, peers } => {
                (self.is_reader, self.peers) = (reader, Some(peers));
            }
            Event::Contacted(contact, outranks) => {
                let peers = self.peers.unwrap_or_default();
                self.contact.record_peer(contact, outranks, peers, now);
            }
            Event::Paused => {
                self.contact.restart(now);
                self.refreshing_since = Some(now);
                self.is_confirmed = false;
                self.next_call = now;
                self.next_read = now;
            }
        }
        self.fetch(now, &mut actions);
        self.call(now, &mut actions);
        self.finish_refresh(now);
        actions
    }

    fn on_document(
        &mut self,
        version: Version,
        faults: &[String],
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        self.on_success(now);
        self.next_read = now + READ_PERIOD;
        self.adopt_if_greater(version, Source::Service, faults, actions);
        if self.in_force != Some(version) {
            // A watch returns a faulty or lesser document immediately. Without a pause the readers would
            // exhaust the service's rate limit.
            self.next_call = now + BACKOFF.0;
        }
    }

    fn on_success(&mut self, now: Time) {
        self.call_started = None;
        let peers = self.peers.unwrap_or_default();
        self.contact.record_reached(self.is_reader, peers, now);
        self.failures = 0;
        self.next_call = now;
        self.is_confirmed = self.is_confirmed || self.peers == Some(0);
    }

    fn on_call_failed(&mut self, now: Time) {
        self.call_started = None;
        self.contact.record_failed();
        let doubled = BACKOFF.0.saturating_mul(1 << self.failures.min(5));
        let pause = doubled.min(BACKOFF.1);
        self.failures = self.failures.saturating_add(1);
        self.next_call = now + pause.mul_f64(self.rng.random_range(0.5..1.0));
    }

    fn on_offer(&mut self, peer: MemberId, version: Option<Version>, actions: &mut Vec<Action>) {
        let Some(version) = version else {
            return;
        };
        self.is_confirmed = true;
        if self.rejected.contains(&version) {
            return;
        }
        self.report_lesser(version, Source::Peer(peer), actions);
        if self.is_greater(version) {
            self.offers.insert(peer, version);
            if self.offers.len() > MAX_REMEMBERED {
                let lowest = self.offers.iter().min_by_key(|(_, version)| **version);
                let lowest = lowest.map(|(peer, _)| *peer);
                lowest.map(|peer| self.offers.remove(&peer));
            }
        }
    }

    /// Adopts the version if it is greater than the one in force and its document has no faults.
    ///
    /// A service that lags or was restored from a backup returns old versions. Adopting them would undo
    /// accepted changes and make routes flap, so a lesser version is only logged.
    fn adopt_if_greater(
        &mut self,
        version: Version,
        source: Source,
        faults: &[String],
        actions: &mut Vec<Action>,
    ) {
        if !self.is_greater(version) {
            self.report_lesser(version, source, actions);
            return;
        }
        if !faults.is_empty() {
            if remember(&mut self.rejected, version) {
                actions.push(log("rejected", version, faults.join("; ")));
            }
            return;
        }
        let before = self.in_force.replace(version);
        if before.is_some_and(|before| before.revision == version.revision) {
            self.report_conflict(version, actions);
        }
        self.offers.retain(|_, offered| *offered > version);
        actions.push(Action::Adopt(version, source));
        actions.push(log("adopted", version, format!("from {source:?}")));
    }

    fn is_greater(&self, version: Version) -> bool {
        Some(version) > self.in_force
    }

    fn report_lesser(&mut self, version: Version, source: Source, actions: &mut Vec<Action>) {
        let Some(in_force) = self.in_force else {
            return;
        };
        if version >= in_force {
            return;
        }
        if version.revision == in_force.revision {
            self.report_conflict(version, actions);
        } else if source == Source::Service && remember(&mut self.logged, version) {
            let reason = format!("the service is behind revision {}", in_force.revision);
            actions.push(log("stale", version, reason));
        }
    }

    /// Logs that two documents have the same revision: two operators raced, or the service assigned a
    /// revision twice. If each daemon kept the first one it saw, the fleet would serve two configurations
    /// until the next change, so the greater digest wins everywhere.
    fn report_conflict(&mut self, version: Version, actions: &mut Vec<Action>) {
        if remember(&mut self.conflicting, version.revision) {
            self.conflicts += 1;
            let reason =
                "two documents with the same revision; the one with the greater digest is in force";
            actions.push(log("conflict", version, reason.to_owned()));
        }
    }

    fn fetch(&mut self, now: Time, actions: &mut Vec<Action>) {
        if let Some((peer, _, since)) = self.fetching {
            if now.saturating_sub(since) < FETCH_TIMEOUT {
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
            actions.push(Action::Fetch(peer, version));
        }
    }

    fn stop_fetching(&mut self, peer: MemberId) {
        self.fetching = self.fetching.filter(|(from, ..)| *from != peer);
    }

    /// Starts a call to the service if one is due, at most one at a time. Readers watch the service; other
    /// daemons call it only if peers can't provide the configuration.
    fn call(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self
            .call_started
            .is_some_and(|since| now.saturating_sub(since) >= CALL_TIMEOUT)
        {
            self.on_call_failed(now);
        }
        let needed = self.is_reader || self.must_read(now) || self.must_substitute(now);
        if !needed || self.call_started.is_some() || now < self.next_call {
            return;
        }
        self.call_started = Some(now);
        let greatest = self.in_force.max(self.rejected.last().copied());
        actions.push(match greatest {
            Some(version) if now < self.next_read => Action::Watch {
                after: version.revision,
                wait: WATCH_WAIT,
            },
            _ => Action::Read,
        });
    }

    /// Returns whether this daemon must call the service in place of the readers, because none of them
    /// reaches it.
    fn must_substitute(&self, now: Time) -> bool {
        let peers = self.peers.unwrap_or_default();
        peers > 0 && self.refreshing_since.is_none() && self.contact.is_needed(peers, now)
    }

    /// Returns whether this daemon must read the service because no peer provided a configuration after the
    /// start. After a full outage all daemons are in this state; their first reads are spread over
    /// [`START_SPREAD`] to stay within the service's rate limit.
    fn must_read(&mut self, now: Time) -> bool {
        let Some(since) = self.refreshing_since else {
            return false;
        };
        if self.in_force.is_some() || now.saturating_sub(since) < REFRESH_TIMEOUT {
            return false;
        }
        if self.next_call <= since {
            self.next_call = now + START_SPREAD.mul_f64(self.rng.random());
        }
        true
    }

    /// Ends the refresh once the version in force is the greatest one reported, or after
    /// [`REFRESH_TIMEOUT`].
    fn finish_refresh(&mut self, now: Time) {
        let Some(since) = self.refreshing_since else {
            return;
        };
        let no_offers = self.offers.is_empty() && self.fetching.is_none();
        let in_time = now.saturating_sub(since) < REFRESH_TIMEOUT;
        if self.in_force.is_some() && ((self.is_confirmed && no_offers) || !in_time) {
            self.refreshing_since = None;
        }
    }
}

fn log(label: &'static str, version: Version, reason: String) -> Action {
    Action::Log(LogLine {
        label,
        version,
        reason,
    })
}

/// Adds an item, and drops the least one if there are too many. Returns whether the item was new.
fn remember<T: Ord>(known: &mut BTreeSet<T>, item: T) -> bool {
    let new = known.insert(item);
    if known.len() > MAX_REMEMBERED {
        known.pop_first();
    }
    new
}
