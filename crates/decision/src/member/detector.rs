//! Failure detection: probes, suspicions and declared deaths.

use super::event::{Action, ProbeId};
use super::table::Table;
use super::{Change, MemberId, State};
use crate::Time;
use rand::Rng;
use rand::seq::SliceRandom;
use std::time::Duration;

/// Multiple of the probe timeout after which a probe fails even if the driver reports no result.
const PROBE_EXPIRY_TIMEOUTS: u32 = 10;

/// Number of listed hosts probed at a time by a member that knows no other.
const DISCOVERY_PROBES: usize = 3;

/// Number of simultaneous suspects that extends the suspicion timeout by its base value.
const SUSPECTS_PER_EXTENSION: usize = 64;

/// Random draws per member to be picked, before fewer members are returned.
const MAX_PICK_TRIES: usize = 8;

/// Whether a probe is sent directly or through helpers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Direct,
    Indirect,
}

/// A probe that was neither answered nor failed yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingProbe {
    pub(crate) target: MemberId,
    pub(crate) stage: Stage,
    pub(crate) started: Time,
}

impl Table {
    pub(super) fn probe_next(&mut self, now: Time) {
        if let Some(to) = self.next_in_round() {
            self.probe(to, now);
        } else {
            (0..DISCOVERY_PROBES).for_each(|_| self.probe_unreached(now));
        }
    }

    pub(super) fn probe(&mut self, to: MemberId, now: Time) {
        let message = self.message(to);
        let probe = self.register_probe(to, Stage::Direct, now);
        let timeout = self.settings.probe_timeout;
        self.actions.push(Action::Probe {
            probe,
            to,
            message,
            timeout,
        });
    }

    /// Probes one listed host that is dead or unknown. This is how the sides of a healed partition find
    /// each other, as each has declared the other dead and the round skips dead members.
    pub(super) fn probe_unreached(&mut self, now: Time) {
        let listed = self.listed.iter().map(|(id, leaving)| (*id, *leaving));
        let unreached: Vec<MemberId> = listed
            .filter(|(id, leaving)| !leaving && *id != self.own)
            .map(|(id, _)| id)
            .filter(|id| {
                self.get(*id)
                    .is_none_or(|change| change.state == State::Dead)
            })
            .collect();
        if !unreached.is_empty() {
            let to = unreached[self.rng.random_range(0..unreached.len())];
            self.probe(to, now);
        }
    }

    /// Handles a failed probe: a direct probe is followed by an indirect one over the helpers' network
    /// paths, and a failed indirect probe makes the target suspect.
    pub(super) fn on_probe_failed(&mut self, probe: ProbeId, now: Time) {
        let Some(pending) = self.probes.remove(&probe) else {
            return;
        };
        let target = pending.target;
        let serving = self.get(target).is_some_and(|c| c.state.is_serving());
        if !serving {
            return;
        }
        let helpers = match pending.stage {
            Stage::Direct => self.pick_random(self.settings.helpers, target),
            Stage::Indirect => Vec::new(),
        };
        if helpers.is_empty() {
            self.suspect(target, now);
            return;
        }
        let probe = self.register_probe(target, Stage::Indirect, now);
        let timeout = self.settings.probe_timeout;
        self.actions.push(Action::ProbeVia {
            probe,
            target,
            helpers,
            timeout,
        });
    }

    pub(super) fn expire_probes(&mut self, now: Time) {
        let limit = self.settings.probe_timeout * PROBE_EXPIRY_TIMEOUTS;
        while let Some((&probe, pending)) = self.probes.first_key_value() {
            if now.saturating_sub(pending.started) < limit {
                break;
            }
            self.on_probe_failed(probe, now);
        }
    }

    /// Declares suspects dead that did not refute in time.
    pub(super) fn declare_overdue_dead(&mut self, now: Time) {
        let overdue: Vec<Change> = self
            .roster
            .suspects()
            .filter(|record| {
                now.saturating_sub(record.since) >= self.suspicion_timeout(record, now)
            })
            .map(|record| record.change.clone())
            .collect();
        for change in overdue {
            self.record_verdict(
                &Change {
                    state: State::Dead,
                    ..change
                },
                now,
            );
        }
    }

    /// Returns up to `count` random members that are alive, without this one and `other`.
    pub(super) fn pick_random(&mut self, count: usize, other: MemberId) -> Vec<MemberId> {
        let mut picked = Vec::new();
        for _ in 0..count * MAX_PICK_TRIES {
            if picked.len() == count || self.round.is_empty() {
                break;
            }
            let id = self.round[self.rng.random_range(0..self.round.len())];
            let serving = self.get(id).is_some_and(|c| c.state == State::Alive);
            if serving && id != other && !picked.contains(&id) {
                picked.push(id);
            }
        }
        picked
    }

    /// Inserts a new member at a random position in the remainder of the current round.
    pub(super) fn join_round(&mut self, id: MemberId) {
        self.round.push(id);
        let last = self.round.len() - 1;
        let position = self.rng.random_range(self.round_position.min(last)..=last);
        self.round.swap(position, last);
    }

    fn next_in_round(&mut self) -> Option<MemberId> {
        for _ in 0..2 {
            while let Some(&id) = self.round.get(self.round_position) {
                self.round_position += 1;
                if self.get(id).is_some_and(|c| c.state.is_serving()) {
                    return Some(id);
                }
            }
            self.start_round();
        }
        None
    }

    fn start_round(&mut self) {
        let own = self.own;
        let serving = self.roster.iter().map(|record| &record.change);
        let others = serving.filter(|c| c.state.is_serving() && c.id != own);
        self.round = others.map(|change| change.id).collect();
        self.round.shuffle(&mut self.rng);
        self.round_position = 0;
    }

    fn register_probe(&mut self, target: MemberId, stage: Stage, started: Time) -> ProbeId {
        let probe = self.next_probe;
        self.next_probe += 1;
        let pending = PendingProbe {
            target,
            stage,
            started,
        };
        self.probes.insert(probe, pending);
        probe
    }

    fn suspect(&mut self, target: MemberId, now: Time) {
        let Some(change) = self.get(target).cloned() else {
            return;
        };
        if change.state == State::Alive {
            self.record_verdict(
                &Change {
                    state: State::Suspect,
                    ..change
                },
                now,
            );
        }
    }

    /// Records a verdict of this member, and gossips it unless this member may itself be isolated.
    fn record_verdict(&mut self, verdict: &Change, now: Time) {
        if self.has_heard_nothing(now) {
            self.unpublished.insert(verdict.id);
        }
        let gossip = !self.unpublished.contains(&verdict.id);
        self.record_change(verdict, gossip, now);
    }

    /// Returns whether no message arrived for [`Settings::silence_limit`]. The fault is then probably in
    /// this member's own network: if it gossiped its suspicions, the whole fleet would have to refute.
    ///
    /// [`Settings::silence_limit`]: super::Settings::silence_limit
    fn has_heard_nothing(&self, now: Time) -> bool {
        now.saturating_sub(self.last_heard) >= self.settings.silence_limit
    }

    /// Returns the time that a suspect has to refute.
    ///
    /// It grows with the logarithm of the number of members, like the time that gossip takes to reach
    /// all of them. It is longer for a member that flaps, so that homes don't move back and forth, and
    /// with many simultaneous suspects, whose refutations compete for space in the messages. It is half
    /// for a member that is not in the host list or is marked as leaving.
    fn suspicion_timeout(&self, record: &super::roster::Record, now: Time) -> Duration {
        let log_members = (self.serving().max(1) as f64).log10().max(1.0);
        let recent = now.saturating_sub(record.last_flap) < self.settings.flap_life;
        let flaps = if recent { record.flaps } else { 0 };
        let is_expected_alive =
            self.listed.is_empty() || self.listed.get(&record.change.id) == Some(&false);
        let share = if is_expected_alive { 1.0 } else { 0.5 };
        let extensions = (self.roster.suspected() / SUSPECTS_PER_EXTENSION) as f64;
        let factor = log_members * share * (1.0 + f64::from(flaps) + extensions);
        self.settings.suspicion.mul_f64(factor)
    }
}
