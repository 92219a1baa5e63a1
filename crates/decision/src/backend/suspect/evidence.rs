//! The evidence against one fingerprint.

use super::{
    Announcement, CONFIRMATION_TIME, EVIDENCE_RETENTION, SAME_DEATH_WINDOW, SIMULTANEOUS_WINDOW,
    UNCONFIRMED_RETENTION,
};
use crate::Time;
use monsoonring_configuration::id::BackendServerId;
use std::collections::BTreeMap;

/// Least weight of evidence that a home announces. Other homes count it with this weight.
const MIN_ANNOUNCED_WEIGHT: f64 = 0.5;

/// Maximum number of simultaneous deaths that a home announces. They count once, and a search may
/// crash a server of each group.
const MAX_ANNOUNCED_DEATHS: usize = 2;

/// Part of a fingerprint in the death of a server, as observed by this home.
#[derive(Clone, Copy, Debug)]
pub(super) struct Evidence {
    pub(super) server: BackendServerId,
    pub(super) weight: f64,
    pub(super) at: Time,
    /// Whether the death is confirmed; unconfirmed evidence does not count.
    pub(super) confirmed: bool,
    /// Whether the death counts beside simultaneous ones.
    pub(super) independent: bool,
    /// Whether the evidence was announced to the other homes.
    pub(super) announced: bool,
}

impl Evidence {
    /// Returns whether the evidence is valid and confirmed.
    fn counts(&self, now: Time) -> bool {
        self.confirmed && now < self.at + EVIDENCE_RETENTION
    }

    fn is_kept(&self, now: Time) -> bool {
        let retention = match self.confirmed {
            true => EVIDENCE_RETENTION,
            false => UNCONFIRMED_RETENTION,
        };
        now < self.at + retention
    }
}

/// The death of a server that a home announced, or its withdrawal.
#[derive(Clone, Copy, Debug)]
struct Announced {
    version: u64,
    at: Time,
    until: Time,
}

impl Announced {
    /// Withdraws the death. Returns the version of the withdrawal.
    fn withdraw(&mut self, now: Time) -> u64 {
        self.version += 1;
        self.at = now;
        self.until = now + EVIDENCE_RETENTION;
        self.version
    }

    fn counts(&self, now: Time) -> bool {
        !Announcement::is_withdrawal(self.version) && now < self.until
    }
}

/// All evidence against a fingerprint.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    local: Vec<Evidence>,
    /// Announcements of all homes, this one included.
    announced: BTreeMap<BackendServerId, Announced>,
}

impl Record {
    /// Adds evidence from an attempt that was sent at `sent`. Several attempts of one request at the
    /// same server are evidence of the same death, unless a later one reached a new process.
    pub(super) fn add(&mut self, evidence: Evidence, sent: Time) {
        let is_same = |other: &Evidence| {
            other.server == evidence.server && sent < other.at + SAME_DEATH_WINDOW
        };
        self.local.retain(|other| !is_same(other));
        self.local.push(evidence);
    }

    /// Confirms the deaths of a server. Returns whether there are any.
    pub(super) fn confirm(&mut self, server: BackendServerId, now: Time) -> bool {
        let is_open = |evidence: &&mut Evidence| {
            evidence.server == server && !evidence.confirmed && evidence.is_kept(now)
        };
        let mut is_confirmed = false;
        for evidence in self.local.iter_mut().filter(is_open) {
            evidence.confirmed = true;
            is_confirmed = true;
        }
        is_confirmed
    }

    /// Returns whether a recent loss may still be confirmed as a death.
    pub(super) fn awaits_confirmation(&self, now: Time) -> bool {
        let mut local = self.local.iter();
        local.any(|evidence| !evidence.confirmed && now < evidence.at + CONFIRMATION_TIME)
    }

    /// Applies what another home announced about the death of a server, unless a newer announcement
    /// is known.
    pub(super) fn apply(&mut self, server: BackendServerId, version: u64, until: Time, now: Time) {
        let known = self.announced.get(&server);
        if known.is_some_and(|known| known.version >= version) {
            return;
        }
        let at = until.saturating_sub(EVIDENCE_RETENTION).min(now);
        let refuted = match Announcement::is_withdrawal(version) {
            true => self.times_of(&[server], now),
            false => Vec::new(),
        };
        self.announced
            .insert(server, Announced { version, at, until });
        for at in refuted {
            self.remove_window(at, now);
        }
    }

    /// Removes the evidence that is refuted by a success on one of `servers`: deaths of these and
    /// those simultaneous with them. Returns the withdrawals to announce, or `None` if there was no
    /// evidence.
    pub(super) fn refute(
        &mut self,
        servers: &[BackendServerId],
        now: Time,
    ) -> Option<Vec<(BackendServerId, u64)>> {
        let refuted = self.times_of(servers, now);
        if refuted.is_empty() {
            return None;
        }
        let refuted = refuted.into_iter();
        Some(refuted.flat_map(|at| self.remove_window(at, now)).collect())
    }

    /// Returns the times at which any of `servers` died.
    fn times_of(&self, servers: &[BackendServerId], now: Time) -> Vec<Time> {
        let local = self.local.iter();
        let local = local.filter(|evidence| servers.contains(&evidence.server));
        let heard = self.heard(now);
        let heard = heard.filter(|(server, _)| servers.contains(server));
        local
            .map(|evidence| evidence.at)
            .chain(heard.map(|(_, entry)| entry.at))
            .collect()
    }

    /// Removes the evidence of deaths simultaneous with one at `at`. Returns the withdrawals to
    /// announce.
    fn remove_window(&mut self, at: Time, now: Time) -> Vec<(BackendServerId, u64)> {
        self.local
            .retain(|evidence| !is_simultaneous(evidence.at, at));
        let simultaneous = self.announced.iter_mut();
        let simultaneous =
            simultaneous.filter(|(_, entry)| entry.counts(now) && is_simultaneous(entry.at, at));
        simultaneous
            .map(|(server, entry)| (*server, entry.withdraw(now)))
            .collect()
    }

    /// Removes the evidence about a server. Returns the withdrawal to announce, if others know of it.
    pub(super) fn remove(
        &mut self,
        server: BackendServerId,
        now: Time,
    ) -> Option<(BackendServerId, u64)> {
        self.local.retain(|evidence| evidence.server != server);
        let entry = self.announced.get_mut(&server)?;
        entry.counts(now).then(|| (server, entry.withdraw(now)))
    }

    /// Drops expired evidence.
    pub(super) fn expire(&mut self, now: Time) {
        self.local.retain(|evidence| evidence.is_kept(now));
        self.announced.retain(|_, entry| now < entry.until);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.local.is_empty() && self.announced.is_empty()
    }

    /// Returns whether a server has crashed under the fingerprint.
    pub(super) fn blames(&self, server: BackendServerId, now: Time) -> bool {
        let mut local = self.local.iter();
        local.any(|evidence| evidence.server == server && evidence.counts(now))
            || (self.announced.get(&server)).is_some_and(|entry| entry.counts(now))
    }

    /// Returns the time of the earliest evidence that counts.
    pub(super) fn first_at(&self, now: Time) -> Option<Time> {
        let local = self.counted(now).map(|evidence| evidence.at);
        local
            .chain(self.heard(now).map(|(_, entry)| entry.at))
            .min()
    }

    /// Returns the weight of the evidence, in deaths. Simultaneous deaths count once, except for
    /// independent ones.
    pub(super) fn weight(&self, now: Time) -> f64 {
        let independent = self.counted(now).filter(|evidence| evidence.independent);
        let mut sum: f64 = independent.map(|evidence| evidence.weight).sum();
        let grouped = self.counted(now).filter(|evidence| !evidence.independent);
        let grouped = grouped.map(|evidence| (evidence.at, evidence.weight));
        let heard = self.heard(now);
        let heard = heard.map(|(_, entry)| (entry.at, MIN_ANNOUNCED_WEIGHT));
        let mut deaths: Vec<(Time, f64)> = grouped.chain(heard).collect();
        deaths.sort_by_key(|(at, _)| *at);
        let mut window: Option<(Time, f64)> = None;
        for (at, weight) in deaths {
            match window {
                Some((start, max)) if is_simultaneous(start, at) => {
                    window = Some((start, max.max(weight)));
                }
                _ => {
                    sum += window.map_or(0.0, |(_, max)| max);
                    window = Some((at, weight));
                }
            }
        }
        sum + window.map_or(0.0, |(_, max)| max)
    }

    /// Returns the number of confirmed deaths that the fingerprint has a part in, including those
    /// that other homes announced.
    pub(super) fn deaths(&self, now: Time) -> usize {
        let blamed = self.counted(now).filter(|evidence| evidence.weight > 0.0);
        blamed.count() + self.heard(now).count()
    }

    /// Returns the number of losses that are not confirmed.
    pub(super) fn unconfirmed(&self) -> usize {
        let unconfirmed = self.local.iter();
        unconfirmed.filter(|evidence| !evidence.confirmed).count()
    }

    /// Returns the deaths to announce to the other homes, with versions.
    pub(super) fn take_announcements(&mut self, now: Time) -> Vec<(BackendServerId, u64)> {
        let mut announcements = Vec::new();
        for index in 0..self.local.len() {
            let evidence = self.local[index];
            let is_strong = evidence.counts(now) && evidence.weight >= MIN_ANNOUNCED_WEIGHT;
            let simultaneous = self.local.iter();
            let simultaneous = simultaneous
                .filter(|other| other.announced && is_simultaneous(other.at, evidence.at));
            if evidence.announced || !is_strong || simultaneous.count() >= MAX_ANNOUNCED_DEATHS {
                continue;
            }
            self.local[index].announced = true;
            let known = self.announced.get(&evidence.server);
            if known.is_none_or(|known| !known.counts(now)) {
                let version = Announcement::after(known.map(|known| known.version));
                let entry = Announced {
                    version,
                    at: evidence.at,
                    until: evidence.at + EVIDENCE_RETENTION,
                };
                self.announced.insert(evidence.server, entry);
                announcements.push((evidence.server, version));
            }
        }
        announcements
    }

    /// Returns the evidence of this home that counts.
    fn counted(&self, now: Time) -> impl Iterator<Item = &Evidence> {
        self.local
            .iter()
            .filter(move |evidence| evidence.counts(now))
    }

    /// Returns the announced deaths that count and were not observed by this home.
    fn heard(&self, now: Time) -> impl Iterator<Item = (&BackendServerId, &Announced)> {
        let is_observed = move |server: BackendServerId, at: Time| {
            let mut local = self.counted(now);
            local.any(|evidence| evidence.server == server && is_simultaneous(evidence.at, at))
        };
        self.announced
            .iter()
            .filter(move |(server, entry)| entry.counts(now) && !is_observed(**server, entry.at))
    }
}

/// Returns whether two deaths are simultaneous.
fn is_simultaneous(one: Time, other: Time) -> bool {
    one.abs_diff(other) < SIMULTANEOUS_WINDOW
}
