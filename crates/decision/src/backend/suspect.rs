//! Requests that crash the backend servers that run them.
//!
//! A server that dies under several requests was crashed by at most one of them. Its death is
//! shared out over the fingerprints that were running on it, in proportion to the evidence that
//! each has already: a request that was there before takes most of the blame, and a first death
//! under many requests says little about any one. A request that was running alone takes it all.
//!
//! A fingerprint with evidence is quarantined: no hedge, no retry, one attempt at a time, so that
//! it meets the next server alone or nearly so. Evidence of two deaths that adds up to more than
//! one refuses it, be it of two servers or of one that was started again: a group may have only one. Deaths at the same moment, as of a rack, count once for requests that were
//! not alone: the requests of that moment ran on all those servers, and none of them did it.
//!
//! What counts as a death depends on what can be known. A home that has most of a server's requests
//! takes a lost connection for one ([`CrashSignal::ConnectionLost`]). Where many homes share a server and nothing in
//! its replies tells its processes apart, a connection may be lost for many reasons, and only a
//! server that can't be connected to any more counts as dead ([`CrashSignal::ConnectFailed`]). Without that,
//! a network that resets connections would get hundreds of harmless requests refused for a minute
//! each.
//!
//! A success of the fingerprint on a replica of the dead server clears it, and so does a sign of
//! life of the process whose connection was lost.

use crate::attempt::AttemptId;
use crate::{Fingerprint, Time};
use monsoonring_configuration::id::BackendServerId;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Evidence from which a fingerprint is refused, in deaths.
const REFUSED_AT: f64 = 1.2;

/// Distinct deaths that the evidence must come from.
const DEATHS: usize = 2;

/// Time for which a fingerprint is refused; it doubles with each further death, up to a bound.
const REFUSED_FOR: Duration = Duration::from_secs(60);
const REFUSED_AT_MOST: Duration = Duration::from_secs(600);

/// Time for which evidence counts.
const RETENTION: Duration = Duration::from_secs(600);

/// Losses this close together are one moment: the connections of a server that died end one by one.
const MOMENT: Duration = Duration::from_millis(500);

/// An attempt sent this long after a loss at its server met another process: all connections to the
/// dead one had ended. It is short, as a server may be back within a moment and be crashed again.
const SAME_DEATH: Duration = Duration::from_millis(100);

/// Evidence that a fingerprint without any is taken to have when a death is shared out.
const UNSUSPECTED: f64 = 0.1;

/// Time for which a lost connection waits for the crash_signal that its server died.
const UNPROVED: Duration = Duration::from_secs(10);

/// What proves that a server died.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CrashSignal {
    /// The loss of a connection under an attempt.
    #[default]
    ConnectionLost,
    /// A connect that failed after such a loss.
    ConnectFailed,
}

/// What may be done with requests of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Nothing speaks against it.
    Clear,
    /// It may have crashed a server: no hedge, no retry, one attempt at a time.
    Quarantined,
    /// It crashes servers: refused until the given time.
    Refused(Time),
}

/// Evidence against fingerprints.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    crash_signal: CrashSignal,
    running: FxHashMap<AttemptId, Running>,
    deaths: BTreeMap<BackendServerId, Death>,
    evidence: BTreeMap<Fingerprint, Vec<Evidence>>,
    refused: BTreeMap<Fingerprint, Time>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    fingerprint: Fingerprint,
    server: BackendServerId,
    sent: Time,
    /// Whether it was sent in quarantine.
    alone: bool,
}

/// The blame for the last death of a server, fixed when its first connection was lost.
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
    /// Whether the death is proved; it counts for nothing before.
    proved: bool,
}

impl Detector {
    /// Makes a table without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes a table without evidence that takes `crash_signal` for a death.
    pub fn with_crash_signal(crash_signal: CrashSignal) -> Self {
        Self {
            crash_signal,
            ..Self::default()
        }
    }

    /// Records that a server can't be connected to. Returns the fingerprints that are refused from
    /// now on, and for how long.
    pub fn unreachable(
        &mut self,
        server: BackendServerId,
        now: Time,
    ) -> Vec<(Fingerprint, Duration)> {
        if self.crash_signal == CrashSignal::ConnectionLost {
            return Vec::new();
        }
        let mut proved = Vec::new();
        for (fingerprint, all) in &mut self.evidence {
            let lost = all.iter_mut().filter(|one| one.server == server);
            for evidence in lost.filter(|one| !one.proved && now < one.at + UNPROVED) {
                evidence.proved = true;
                proved.push(*fingerprint);
            }
        }
        let refused = proved.into_iter();
        refused.filter_map(|one| self.refuse(one, now)).collect()
    }

    /// Returns what may be done with requests of a fingerprint.
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

    /// Tells whether another attempt of this fingerprint may be sent now: always when it is clear,
    /// one at a time in quarantine, never when refused.
    pub fn may_send(&self, fingerprint: Fingerprint, now: Time) -> bool {
        match self.status(fingerprint, now) {
            Status::Clear => true,
            Status::Quarantined => !self.is_running(fingerprint),
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
        let running = Running {
            fingerprint,
            server,
            sent: now,
            alone: self.status(fingerprint, now) != Status::Clear,
        };
        self.running.insert(attempt, running);
    }

    /// Records that an attempt was answered, which clears the evidence of the servers in
    /// `replicas`, those that hold the same part of the data.
    pub fn succeeded(&mut self, attempt: AttemptId, replicas: &[BackendServerId], _now: Time) {
        let Some(running) = self.running.remove(&attempt) else {
            return;
        };
        self.withdraw(running.fingerprint, |evidence| {
            evidence.server == running.server || replicas.contains(&evidence.server)
        });
    }

    /// Records that an attempt ended in a way that says nothing about crashes.
    pub fn ended(&mut self, attempt: AttemptId, _now: Time) {
        self.running.remove(&attempt);
    }

    /// Records that the connection of an attempt was lost while it may have been running. Returns
    /// how long its fingerprint is refused from now on, if that is new: the other homes are to be
    /// told.
    pub fn lost(&mut self, attempt: AttemptId, now: Time) -> Option<(Fingerprint, Duration)> {
        let Running {
            fingerprint,
            server,
            sent,
            ..
        } = self.running.get(&attempt).copied()?;
        let weight = self.blame(fingerprint, server, sent, now);
        self.running.remove(&attempt);
        let all = self.evidence.entry(fingerprint).or_default();
        // A second attempt of the same request at the same server tells of the same death, unless it
        // met another process.
        let is_same = |one: &Evidence| one.server == server && sent < one.at + SAME_DEATH;
        all.retain(|evidence| !is_same(evidence));
        all.push(Evidence {
            server,
            weight,
            at: now,
            proved: self.crash_signal == CrashSignal::ConnectionLost,
        });
        self.refuse(fingerprint, now)
    }

    /// Withdraws the evidence of a server whose process turned out to be alive.
    pub fn survived(&mut self, server: BackendServerId, _now: Time) {
        self.deaths.remove(&server);
        let fingerprints: Vec<Fingerprint> = self.evidence.keys().copied().collect();
        for fingerprint in fingerprints {
            self.withdraw(fingerprint, |evidence| evidence.server == server);
        }
    }

    /// Takes over another home's finding.
    pub fn apply_refusal(&mut self, fingerprint: Fingerprint, until: Time, now: Time) {
        let until = until.min(now + REFUSED_AT_MOST);
        let refused = self.refused.entry(fingerprint).or_insert(until);
        *refused = until.max(*refused);
    }

    /// Drops what is out of date.
    pub fn tick(&mut self, now: Time) {
        self.refused.retain(|_, until| now < *until);
        self.deaths.retain(|_, death| now < death.at + MOMENT);
        self.evidence.retain(|_, all| {
            all.retain(|evidence| match evidence.proved {
                true => now < evidence.at + RETENTION,
                false => now < evidence.at + UNPROVED,
            });
            !all.is_empty()
        });
    }

    /// Tells whether an attempt that was sent in quarantine is running. Those sent before don't
    /// count: they are out already, and a search that lost one connection would otherwise wait for
    /// its slowest group before it may ask another replica, seen as a tail with each server that
    /// is replaced.
    fn is_running(&self, fingerprint: Fingerprint) -> bool {
        let mut running = self.running.values();
        running.any(|running| running.alone && running.fingerprint == fingerprint)
    }

    /// Returns the share of a fingerprint in the death of a server.
    fn blame(
        &mut self,
        fingerprint: Fingerprint,
        server: BackendServerId,
        sent: Time,
        now: Time,
    ) -> f64 {
        let known = self.deaths.get(&server);
        let is_over = |death: &Death| now >= death.at + MOMENT || sent >= death.at + SAME_DEATH;
        if known.is_none_or(is_over) {
            let death = self.share_out(server, now);
            self.deaths.insert(server, death);
        }
        let death = self.deaths.get(&server);
        // Without a share it was sent after the death: it came upon a dead server.
        death.map_or(0.0, |death| {
            death.blame.get(&fingerprint).copied().unwrap_or(0.0)
        })
    }

    fn share_out(&self, server: BackendServerId, now: Time) -> Death {
        let there = self.running.values();
        let fingerprints: BTreeSet<Fingerprint> = there
            .filter(|running| running.server == server)
            .map(|running| running.fingerprint)
            .collect();
        let prior = |fingerprint| UNSUSPECTED + self.weight(fingerprint, now);
        let sum: f64 = fingerprints.iter().map(|one| prior(*one)).sum();
        let blame = fingerprints.iter().map(|one| (*one, prior(*one) / sum));
        Death {
            at: now,
            blame: blame.collect(),
        }
    }

    /// Returns the evidence against a fingerprint, in deaths. Deaths of one moment count once,
    /// unless nothing else was running.
    fn weight(&self, fingerprint: Fingerprint, now: Time) -> f64 {
        let Some(all) = self.evidence.get(&fingerprint) else {
            return 0.0;
        };
        let mut sum = 0.0;
        let mut moment: Option<(Time, f64)> = None;
        let counts = |one: &&Evidence| one.proved && now < one.at + RETENTION;
        for evidence in all.iter().filter(counts) {
            // Who knows few of a server's requests can't know that one was alone there.
            if evidence.weight >= 1.0 && self.crash_signal == CrashSignal::ConnectionLost {
                sum += evidence.weight;
                continue;
            }
            match moment {
                Some((start, most)) if evidence.at < start + MOMENT => {
                    moment = Some((start, most.max(evidence.weight)));
                }
                _ => {
                    sum += moment.map_or(0.0, |(_, most)| most);
                    moment = Some((evidence.at, evidence.weight));
                }
            }
        }
        sum + moment.map_or(0.0, |(_, most)| most)
    }

    fn refuse(&mut self, fingerprint: Fingerprint, now: Time) -> Option<(Fingerprint, Duration)> {
        let all = self.evidence.get(&fingerprint)?;
        let blames = |evidence: &&Evidence| evidence.proved && evidence.weight > 0.0;
        let blamed = all.iter().filter(blames).count();
        let refused = self.refused.get(&fingerprint);
        let is_new = refused.is_none_or(|until| *until <= now);
        let enough = blamed >= DEATHS && self.weight(fingerprint, now) >= REFUSED_AT;
        if !(is_new && enough) {
            return None;
        }
        let doublings = u32::try_from(blamed - DEATHS).unwrap_or(u32::MAX);
        let time = REFUSED_FOR
            .saturating_mul(2_u32.saturating_pow(doublings))
            .min(REFUSED_AT_MOST);
        self.refused.insert(fingerprint, now + time);
        Some((fingerprint, time))
    }

    fn withdraw(&mut self, fingerprint: Fingerprint, of: impl Fn(&Evidence) -> bool) {
        if let Some(all) = self.evidence.get_mut(&fingerprint) {
            all.retain(|evidence| !of(evidence));
            if all.is_empty() {
                self.evidence.remove(&fingerprint);
            }
        }
    }
}
