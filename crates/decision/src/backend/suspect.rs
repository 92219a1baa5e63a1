//! Detection of requests that crash the backend servers that run them.
//!
//! The death of a server is blamed on the fingerprints that were running there, in proportion to
//! the evidence that each already has. A request that ran alone gets the full blame; a first death
//! with many requests running says little about each of them.
//!
//! A fingerprint with evidence is quarantined: no hedges or retries, and one attempt at a time, so
//! that it runs alone on the next server if possible. It is refused when the evidence from two
//! deaths adds up to more than one. Both may be deaths of the same server, since a group may have
//! just one. Simultaneous deaths, such as a rack failure, count once unless the request ran alone.
//!
//! The evidence of a death depends on the deployment ([`CrashSignal`]). A home that sends most of a
//! server's requests takes a lost connection as a death. If many homes share a server and its
//! replies don't identify the process, connections may be lost for other reasons, and the death
//! must be confirmed by a failed connect. Otherwise a network that resets connections would get
//! harmless requests refused.
//!
//! A success on a replica of the dead server clears the fingerprint, and so does a report from the
//! process whose connection was lost.

use crate::attempt::AttemptId;
use crate::{Fingerprint, Time};
use derive_more::Display;
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

/// Time for which evidence counts.
const EVIDENCE_RETENTION: Duration = Duration::from_secs(600);

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
    /// Number of confirmed deaths that the fingerprint has a part in.
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

/// Collects evidence against fingerprints.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    crash_signal: CrashSignal,
    running: FxHashMap<AttemptId, RunningAttempt>,
    deaths: BTreeMap<BackendServerId, Death>,
    evidence: BTreeMap<Fingerprint, Vec<Evidence>>,
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

#[derive(Clone, Copy, Debug)]
struct Evidence {
    server: BackendServerId,
    weight: f64,
    at: Time,
    /// Whether the death is confirmed; unconfirmed evidence does not count.
    confirmed: bool,
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
        let mut confirmed = Vec::new();
        for (fingerprint, entries) in &mut self.evidence {
            let lost = entries
                .iter_mut()
                .filter(|evidence| evidence.server == server);
            for evidence in lost
                .filter(|evidence| !evidence.confirmed && now < evidence.at + UNCONFIRMED_RETENTION)
            {
                evidence.confirmed = true;
                confirmed.push(*fingerprint);
            }
        }
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
        let entries = self
            .evidence
            .get(&fingerprint)
            .map_or(&[][..], Vec::as_slice);
        let blames = |evidence: &&Evidence| evidence.confirmed && evidence.weight > 0.0;
        Summary {
            confirmed: entries.iter().filter(blames).count(),
            unconfirmed: entries
                .iter()
                .filter(|evidence| !evidence.confirmed)
                .count(),
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
    /// time in quarantine, never when refused.
    pub fn can_send(&self, fingerprint: Fingerprint, now: Time) -> bool {
        match self.status(fingerprint, now) {
            Status::Clear => true,
            Status::Quarantined => !self.has_quarantined_attempt(fingerprint),
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

    /// Records that an attempt succeeded. This clears the evidence from its server and from the
    /// other `replicas` of the shard. Returns whether there was any.
    pub fn succeeded(
        &mut self,
        attempt: AttemptId,
        replicas: &[BackendServerId],
        _now: Time,
    ) -> bool {
        let Some(running) = self.running.remove(&attempt) else {
            return false;
        };
        self.remove_evidence(running.fingerprint, |evidence| {
            evidence.server == running.server || replicas.contains(&evidence.server)
        })
    }

    /// Records that an attempt ended without information about crashes.
    pub fn ended(&mut self, attempt: AttemptId, _now: Time) {
        self.running.remove(&attempt);
    }

    /// Records that a connection was lost while an attempt may have been running. Returns the
    /// fingerprint and the duration for which it is refused, if that is new; other homes must then
    /// be notified.
    pub fn lost(&mut self, attempt: AttemptId, now: Time) -> Option<(Fingerprint, Duration)> {
        let RunningAttempt {
            fingerprint,
            server,
            sent,
            ..
        } = self.running.get(&attempt).copied()?;
        let weight = self.blame_for(fingerprint, server, sent, now);
        self.running.remove(&attempt);
        let entries = self.evidence.entry(fingerprint).or_default();
        // Several attempts of one request at the same server are evidence of the same death, unless
        // a later one reached a new process.
        let is_same = |evidence: &Evidence| {
            evidence.server == server && sent < evidence.at + SAME_DEATH_WINDOW
        };
        entries.retain(|evidence| !is_same(evidence));
        entries.push(Evidence {
            server,
            weight,
            at: now,
            confirmed: self.crash_signal == CrashSignal::ConnectionLost,
        });
        self.refuse_if_due(fingerprint, now)
    }

    /// Removes the evidence from a server whose process is still running.
    pub fn survived(&mut self, server: BackendServerId, _now: Time) {
        self.deaths.remove(&server);
        let fingerprints: Vec<Fingerprint> = self.evidence.keys().copied().collect();
        for fingerprint in fingerprints {
            self.remove_evidence(fingerprint, |evidence| evidence.server == server);
        }
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
        self.evidence.retain(|_, entries| {
            entries.retain(|evidence| match evidence.confirmed {
                true => now < evidence.at + EVIDENCE_RETENTION,
                false => now < evidence.at + UNCONFIRMED_RETENTION,
            });
            !entries.is_empty()
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

    /// Returns the evidence against a fingerprint, in deaths. Simultaneous deaths count once unless
    /// the request ran alone.
    fn weight(&self, fingerprint: Fingerprint, now: Time) -> f64 {
        let Some(entries) = self.evidence.get(&fingerprint) else {
            return 0.0;
        };
        let mut sum = 0.0;
        let mut window: Option<(Time, f64)> = None;
        let counts =
            |evidence: &&Evidence| evidence.confirmed && now < evidence.at + EVIDENCE_RETENTION;
        for evidence in entries.iter().filter(counts) {
            // A home that sends only a part of a server's requests can't tell that one ran alone.
            if evidence.weight >= 1.0 && self.crash_signal == CrashSignal::ConnectionLost {
                sum += evidence.weight;
                continue;
            }
            match window {
                Some((start, max)) if evidence.at < start + SIMULTANEOUS_WINDOW => {
                    window = Some((start, max.max(evidence.weight)));
                }
                _ => {
                    sum += window.map_or(0.0, |(_, max)| max);
                    window = Some((evidence.at, evidence.weight));
                }
            }
        }
        sum + window.map_or(0.0, |(_, max)| max)
    }

    fn refuse_if_due(
        &mut self,
        fingerprint: Fingerprint,
        now: Time,
    ) -> Option<(Fingerprint, Duration)> {
        let entries = self.evidence.get(&fingerprint)?;
        let blames = |evidence: &&Evidence| evidence.confirmed && evidence.weight > 0.0;
        let blamed = entries.iter().filter(blames).count();
        let refused = self.refused.get(&fingerprint);
        let is_new = refused.is_none_or(|until| *until <= now);
        let enough = blamed >= MIN_DEATHS && self.weight(fingerprint, now) >= MIN_REFUSAL_WEIGHT;
        if !(is_new && enough) {
            return None;
        }
        let doublings = u32::try_from(blamed - MIN_DEATHS).unwrap_or(u32::MAX);
        let time = REFUSAL_TIME
            .saturating_mul(2_u32.saturating_pow(doublings))
            .min(MAX_REFUSAL_TIME);
        self.refused.insert(fingerprint, now + time);
        Some((fingerprint, time))
    }

    /// Removes the evidence that `of` selects. Returns whether there was any.
    fn remove_evidence(
        &mut self,
        fingerprint: Fingerprint,
        of: impl Fn(&Evidence) -> bool,
    ) -> bool {
        let Some(entries) = self.evidence.get_mut(&fingerprint) else {
            return false;
        };
        let before = entries.len();
        entries.retain(|evidence| !of(evidence));
        let is_removed = entries.len() < before;
        if entries.is_empty() {
            self.evidence.remove(&fingerprint);
        }
        is_removed
    }
}
