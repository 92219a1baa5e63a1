//! Detection of requests that crash the backend servers that run them.
//!
//! The death of a server is blamed on the fingerprints that were running there, in proportion to
//! the evidence that each already has. A request that ran alone gets the full blame; a first death
//! with many requests running says little about each of them.
//!
//! A fingerprint with evidence is quarantined: no hedges or retries, and one attempt at a time, so
//! that it runs alone on the next server if possible. It is refused when the evidence from two
//! deaths adds up to more than one. Both may be deaths of the same server, since a group may have
//! just one. Simultaneous deaths, such as a rack failure, count once unless the request ran alone or
//! was sent in quarantine a while after the first of them.
//!
//! A caller that repeats a request reaches another home each time, and each death may be observed by
//! another one. Homes therefore announce their evidence as well as their refusals: a request that
//! may have crashed a server is quarantined everywhere, and the next death under it is sufficient at
//! any home.
//!
//! The evidence of a death depends on the deployment ([`CrashSignal`]). A home that sends most of a
//! server's requests takes a lost connection as a death. If many homes share a server and its
//! replies don't identify the process, connections may be lost for other reasons, and the death
//! must be confirmed by a failed connect. Otherwise a network that resets connections would get
//! harmless requests refused.
//!
//! A success on a replica of the dead server refutes the evidence, together with that of
//! simultaneous deaths. A report from the process whose connection was lost refutes the evidence of
//! its death. Both are announced.

mod evidence;

use crate::attempt::AttemptId;
use crate::{Fingerprint, Time};
use derive_more::Display;
use evidence::{Evidence, Record};
use monsoonring_configuration::id::BackendServerId;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Evidence from which a fingerprint is refused, in deaths.
const MIN_REFUSAL_WEIGHT: f64 = 1.2;

/// Minimum number of deaths that contribute to the evidence.
const MIN_DEATHS: usize = 2;

/// Time for which a fingerprint is refused; it doubles with each further death up to the maximum.
const REFUSAL_TIME: Duration = Duration::from_secs(60);
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(600);

/// Time for which evidence counts. It outlasts the longest refusal, so that a request is in
/// quarantine when its refusal ends.
pub const EVIDENCE_RETENTION: Duration = Duration::from_secs(1_200);

/// Deaths within this time are simultaneous: connections of a dead server are lost one after
/// another.
const SIMULTANEOUS_WINDOW: Duration = Duration::from_millis(500);

/// Time after a loss from which attempts at the same server reach a new process: all connections to
/// the dead one are closed by then. Kept short, since a server may restart and crash again quickly.
const SAME_DEATH_WINDOW: Duration = Duration::from_millis(100);

/// Evidence assumed for a fingerprint without any when blame is apportioned.
const PRIOR_WEIGHT: f64 = 0.1;

/// Time for which a lost connection waits for a confirmation of the server's death.
const UNCONFIRMED_RETENTION: Duration = Duration::from_secs(10);

/// Time after a lost connection within which a connect to a dead server fails, and a request in
/// quarantine is not sent to another one.
pub const CONFIRMATION_TIME: Duration = Duration::from_millis(50);

/// What counts as the death of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CrashSignal {
    /// A connection lost during an attempt.
    #[default]
    ConnectionLost,
    /// A failed connect after such a loss.
    ConnectFailed,
}

/// Whether requests with a fingerprint may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// No evidence: requests may be sent.
    Clear,
    /// May have crashed a server: no hedges or retries, one attempt at a time.
    Quarantined,
    /// Crashes servers: refused until the given time.
    Refused(Time),
}

/// The evidence against a fingerprint, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Display)]
#[display("{confirmed} crashes confirmed, {unconfirmed} not, weight {weight:.2}")]
pub struct Summary {
    /// Number of confirmed deaths that the fingerprint has a part in, at all homes.
    pub confirmed: usize,
    /// Number of lost connections that no failed connect has confirmed.
    pub unconfirmed: usize,
    /// Weight of the confirmed evidence, in deaths.
    pub weight: f64,
}

/// Evidence that was confirmed by a failed connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Fingerprint that the evidence is about.
    pub fingerprint: Fingerprint,
    /// Time for which the fingerprint is refused from now on, if the evidence is sufficient.
    pub refusal: Option<Duration>,
}

/// Announces to other homes that a server crashed under a fingerprint, or withdraws that.
///
/// Versions of the same death alternate: evidence has an even version, and its withdrawal the next
/// odd one. The highest version is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Fingerprint of the requests.
    pub fingerprint: Fingerprint,
    /// The server that crashed.
    pub server: BackendServerId,
    /// Version of the announcement.
    pub version: u64,
}

impl Announcement {
    /// Returns whether a version withdraws the evidence.
    pub fn is_withdrawal(version: u64) -> bool {
        version % 2 == 1
    }

    /// Returns the version of new evidence after the `known` one.
    fn after(known: Option<u64>) -> u64 {
        known.map_or(0, |known| {
            known + 1 + u64::from(!Self::is_withdrawal(known))
        })
    }
}

/// Collects evidence against fingerprints.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    crash_signal: CrashSignal,
    running: FxHashMap<AttemptId, RunningAttempt>,
    deaths: BTreeMap<BackendServerId, Death>,
    evidence: BTreeMap<Fingerprint, Record>,
    refused: BTreeMap<Fingerprint, Time>,
}

#[derive(Clone, Copy, Debug)]
struct RunningAttempt {
    fingerprint: Fingerprint,
    server: BackendServerId,
    sent: Time,
    /// Whether the attempt was sent in quarantine.
    in_quarantine: bool,
}

/// The latest death of a server. Blame is apportioned when the first connection is lost.
#[derive(Clone, Debug)]
struct Death {
    at: Time,
    blame: BTreeMap<Fingerprint, f64>,
}

impl Detector {
    /// Creates a detector that takes lost connections for deaths.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a detector that takes `crash_signal` for a death.
    pub fn with_crash_signal(crash_signal: CrashSignal) -> Self {
        Self {
            crash_signal,
            ..Self::default()
        }
    }

    /// Records that a server can't be connected to, which confirms its death. Returns the evidence
    /// that this confirms.
    pub fn unreachable(&mut self, server: BackendServerId, now: Time) -> Vec<Confirmation> {
        if self.crash_signal == CrashSignal::ConnectionLost {
            return Vec::new();
        }
        let confirmed: Vec<Fingerprint> = (self.evidence.iter_mut())
            .filter_map(|(fingerprint, record)| record.confirm(server, now).then_some(*fingerprint))
            .collect();
        let confirmed = confirmed.into_iter();
        confirmed
            .map(|fingerprint| Confirmation {
                fingerprint,
                refusal: self
                    .refuse_if_due(fingerprint, now)
                    .map(|(_, period)| period),
            })
            .collect()
    }

    /// Returns a summary of the evidence against a fingerprint.
    pub fn summary(&self, fingerprint: Fingerprint, now: Time) -> Summary {
        let record = self.evidence.get(&fingerprint);
        Summary {
            confirmed: record.map_or(0, |record| record.deaths(now)),
            unconfirmed: record.map_or(0, Record::unconfirmed),
            weight: self.weight(fingerprint, now),
        }
    }

    /// Returns whether requests with a fingerprint may be sent.
    pub fn status(&self, fingerprint: Fingerprint, now: Time) -> Status {
        let refused = self.refused.get(&fingerprint);
        if let Some(until) = refused.copied().filter(|until| now < *until) {
            return Status::Refused(until);
        }
        match self.weight(fingerprint, now) > 0.0 {
            true => Status::Quarantined,
            false => Status::Clear,
        }
    }

    /// Returns whether another attempt may be sent now: always for a clear fingerprint, one at a
    /// time in quarantine, never when refused. In quarantine, a lost connection has to be confirmed
    /// as a death or outlast [`CONFIRMATION_TIME`] first.
    pub fn can_send(&self, fingerprint: Fingerprint, now: Time) -> bool {
        match self.status(fingerprint, now) {
            Status::Clear => true,
            Status::Quarantined => {
                let record = self.evidence.get(&fingerprint);
                let is_open = record.is_some_and(|record| record.awaits_confirmation(now));
                !is_open && !self.has_quarantined_attempt(fingerprint)
            }
            Status::Refused(_) => false,
        }
    }

    /// Records that an attempt was sent.
    pub fn sent(
        &mut self,
        attempt: AttemptId,
        fingerprint: Fingerprint,
        server: BackendServerId,
        now: Time,
    ) {
        let running = RunningAttempt {
            fingerprint,
            server,
            sent: now,
            in_quarantine: self.status(fingerprint, now) != Status::Clear,
        };
        self.running.insert(attempt, running);
    }

    /// Records that an attempt succeeded. This refutes the evidence from its server and from the
    /// other `replicas` of the shard. Returns the withdrawals to announce, or `None` if there was no
    /// evidence.
    pub fn succeeded(
        &mut self,
        attempt: AttemptId,
        replicas: &[BackendServerId],
        now: Time,
    ) -> Option<Vec<Announcement>> {
        let running = self.running.remove(&attempt)?;
        let fingerprint = running.fingerprint;
        let record = self.evidence.get_mut(&fingerprint)?;
        let withdrawals = match replicas.contains(&running.server) {
            true => record.refute(replicas, now),
            false => record.refute(&[running.server], now),
        };
        self.remove_if_empty(fingerprint);
        Some(announcements(fingerprint, withdrawals?))
    }

    /// Records that an attempt ended without information about crashes.
    pub fn ended(&mut self, attempt: AttemptId, _now: Time) {
        self.running.remove(&attempt);
    }

    /// Records that a connection was lost while an attempt may have been running. Returns the
    /// fingerprint and the duration for which it is refused, if that is new; other homes must then
    /// be notified.
    pub fn lost(&mut self, attempt: AttemptId, now: Time) -> Option<(Fingerprint, Duration)> {
        let running = self.running.get(&attempt).copied()?;
        let fingerprint = running.fingerprint;
        let weight = self.blame_for(fingerprint, running.server, running.sent, now);
        self.running.remove(&attempt);
        let independent = self.is_independent(&running, weight, now);
        let evidence = Evidence {
            server: running.server,
            weight,
            at: now,
            confirmed: self.crash_signal == CrashSignal::ConnectionLost,
            independent,
            announced: false,
        };
        let record = self.evidence.entry(fingerprint).or_default();
        record.add(evidence, running.sent);
        self.refuse_if_due(fingerprint, now)
    }

    /// Removes the evidence from a server whose process is still running. Returns the withdrawals to
    /// announce.
    pub fn survived(&mut self, server: BackendServerId, now: Time) -> Vec<Announcement> {
        self.deaths.remove(&server);
        let mut withdrawals = Vec::new();
        self.evidence.retain(|fingerprint, record| {
            let withdrawal = record.remove(server, now);
            withdrawals.extend(announcements(*fingerprint, withdrawal));
            !record.is_empty()
        });
        withdrawals
    }

    /// Applies what another home announced, which is valid until the given time.
    pub fn apply_announcement(&mut self, announcement: Announcement, until: Time, now: Time) {
        let Announcement {
            fingerprint,
            server,
            version,
        } = announcement;
        let until = until.min(now + EVIDENCE_RETENTION);
        let record = self.evidence.entry(fingerprint).or_default();
        record.apply(server, version, until, now);
    }

    /// Returns the new evidence against a fingerprint that is to be announced to the other homes.
    pub fn take_announcements(&mut self, fingerprint: Fingerprint, now: Time) -> Vec<Announcement> {
        let record = self.evidence.get_mut(&fingerprint);
        let deaths = record.map_or_else(Vec::new, |record| record.take_announcements(now));
        announcements(fingerprint, deaths)
    }

    /// Returns whether a server crashed under a fingerprint, as far as that is not refuted.
    pub fn blames(&self, fingerprint: Fingerprint, server: BackendServerId, now: Time) -> bool {
        let record = self.evidence.get(&fingerprint);
        record.is_some_and(|record| record.blames(server, now))
    }

    /// Applies a refusal that another home has decided.
    pub fn apply_refusal(&mut self, fingerprint: Fingerprint, until: Time, now: Time) {
        let until = until.min(now + MAX_REFUSAL_TIME);
        let refused = self.refused.entry(fingerprint).or_insert(until);
        *refused = until.max(*refused);
    }

    /// Drops expired refusals, deaths and evidence.
    pub fn tick(&mut self, now: Time) {
        self.refused.retain(|_, until| now < *until);
        self.deaths
            .retain(|_, death| now < death.at + SIMULTANEOUS_WINDOW);
        self.evidence.retain(|_, record| {
            record.expire(now);
            !record.is_empty()
        });
    }

    /// Returns whether an attempt sent in quarantine is running. Attempts sent earlier don't count:
    /// otherwise a search that lost a connection would wait for its slowest group before it can
    /// retry on another replica.
    fn has_quarantined_attempt(&self, fingerprint: Fingerprint) -> bool {
        let mut running = self.running.values();
        running.any(|running| running.in_quarantine && running.fingerprint == fingerprint)
    }

    /// Returns a fingerprint's part of the blame for the death of a server.
    fn blame_for(
        &mut self,
        fingerprint: Fingerprint,
        server: BackendServerId,
        sent: Time,
        now: Time,
    ) -> f64 {
        let known = self.deaths.get(&server);
        let is_over = |death: &Death| {
            now >= death.at + SIMULTANEOUS_WINDOW || sent >= death.at + SAME_DEATH_WINDOW
        };
        if known.is_none_or(is_over) {
            let death = self.apportion_blame(server, now);
            self.deaths.insert(server, death);
        }
        let death = self.deaths.get(&server);
        // No part: the attempt was sent after the death, to a dead server.
        death.map_or(0.0, |death| {
            death.blame.get(&fingerprint).copied().unwrap_or(0.0)
        })
    }

    fn apportion_blame(&self, server: BackendServerId, now: Time) -> Death {
        let running = self.running.values();
        let fingerprints: BTreeSet<Fingerprint> = running
            .filter(|running| running.server == server)
            .map(|running| running.fingerprint)
            .collect();
        let prior = |fingerprint| PRIOR_WEIGHT + self.weight(fingerprint, now);
        let sum: f64 = fingerprints
            .iter()
            .map(|fingerprint| prior(*fingerprint))
            .sum();
        let blame = fingerprints
            .iter()
            .map(|fingerprint| (*fingerprint, prior(*fingerprint) / sum));
        Death {
            at: now,
            blame: blame.collect(),
        }
    }

    /// Returns whether a death counts beside simultaneous ones. A home that sends only a part of a
    /// server's requests can't tell that one ran alone there. A request in quarantine is sent to
    /// servers that were alive after the first death.
    fn is_independent(&self, running: &RunningAttempt, weight: f64, now: Time) -> bool {
        let ran_alone = weight >= 1.0 && self.crash_signal == CrashSignal::ConnectionLost;
        let record = self.evidence.get(&running.fingerprint);
        let first_at = record.and_then(|record| record.first_at(now));
        let is_later = first_at.is_some_and(|at| running.sent >= at + SAME_DEATH_WINDOW);
        ran_alone || (running.in_quarantine && is_later)
    }

    /// Returns the weight of the evidence against a fingerprint, in deaths.
    fn weight(&self, fingerprint: Fingerprint, now: Time) -> f64 {
        let record = self.evidence.get(&fingerprint);
        record.map_or(0.0, |record| record.weight(now))
    }

    fn refuse_if_due(
        &mut self,
        fingerprint: Fingerprint,
        now: Time,
    ) -> Option<(Fingerprint, Duration)> {
        let deaths = self.evidence.get(&fingerprint)?.deaths(now);
        let refused = self.refused.get(&fingerprint);
        let is_new = refused.is_none_or(|until| *until <= now);
        let enough = deaths >= MIN_DEATHS && self.weight(fingerprint, now) >= MIN_REFUSAL_WEIGHT;
        if !(is_new && enough) {
            return None;
        }
        let doublings = u32::try_from(deaths - MIN_DEATHS).unwrap_or(u32::MAX);
        let time = REFUSAL_TIME
            .saturating_mul(2_u32.saturating_pow(doublings))
            .min(MAX_REFUSAL_TIME);
        self.refused.insert(fingerprint, now + time);
        Some((fingerprint, time))
    }

    fn remove_if_empty(&mut self, fingerprint: Fingerprint) {
        if self
            .evidence
            .get(&fingerprint)
            .is_some_and(Record::is_empty)
        {
            self.evidence.remove(&fingerprint);
        }
    }
}

fn announcements(
    fingerprint: Fingerprint,
    versions: impl IntoIterator<Item = (BackendServerId, u64)>,
) -> Vec<Announcement> {
    let versions = versions.into_iter();
    versions
        .map(|(server, version)| Announcement {
            fingerprint,
            server,
            version,
        })
        .collect()
}
