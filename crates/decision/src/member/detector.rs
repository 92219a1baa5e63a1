//! Probing, suspicion and death.

use super::event::{Action, ProbeId};
use super::table::Table;
use super::{Change, MemberId, State};
use crate::Time;
use rand::Rng;
use rand::seq::SliceRandom;
use std::time::Duration;

/// Probe timeouts after which an unanswered probe is given up, should the driver never answer.
const GIVE_UP: u32 = 10;

/// Unknown hosts probed at once by a member that knows nobody.
const GREETINGS: usize = 3;

/// Suspects at once that lengthen each other's time by one suspicion time.
const CROWD: usize = 64;

/// Tries to find one serving member at random before going without.
const PICK_TRIES: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Direct,
    Indirect,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Pending {
    pub(crate) target: MemberId,
    pub(crate) stage: Stage,
    pub(crate) began: Time,
}

impl Table {
    pub(super) fn probe_next(&mut self, now: Time) {
        if let Some(to) = self.next_in_round() {
            self.probe(to, now);
        } else {
            (0..GREETINGS).for_each(|_| self.probe_unreached(now));
        }
    }

    pub(super) fn probe(&mut self, to: MemberId, now: Time) {
        let message = self.message(to);
        let probe = self.expect(to, Stage::Direct, now);
        let timeout = self.settings.probe_timeout;
        self.out.push(Action::Probe {
            probe,
            to,
            message,
            timeout,
        });
    }

    /// Probes one listed host that is dead or unknown. Only so do the sides of a healed partition
    /// find each other: each has buried the other, and nobody probes the dead.
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

    /// A direct probe may fail for the path alone; helpers have other paths.
    pub(super) fn failed(&mut self, probe: ProbeId, now: Time) {
        let Some(pending) = self.probes.remove(&probe) else {
            return;
        };
        let target = pending.target;
        let serving = self.get(target).is_some_and(|c| c.state.is_serving());
        if !serving {
            return;
        }
        let helpers = match pending.stage {
            Stage::Direct => self.pick(self.settings.helpers, target),
            Stage::Indirect => Vec::new(),
        };
        if helpers.is_empty() {
            self.suspect(target, now);
            return;
        }
        let probe = self.expect(target, Stage::Indirect, now);
        let timeout = self.settings.probe_timeout;
        self.out.push(Action::ProbeVia {
            probe,
            target,
            helpers,
            timeout,
        });
    }

    pub(super) fn give_up_probes(&mut self, now: Time) {
        let limit = self.settings.probe_timeout * GIVE_UP;
        while let Some((&probe, pending)) = self.probes.first_key_value() {
            if now.saturating_sub(pending.began) < limit {
                break;
            }
            self.failed(probe, now);
        }
    }

    /// Declares dead who did not refute in time.
    pub(super) fn bury_suspects(&mut self, now: Time) {
        let overdue: Vec<Change> = self
            .roster
            .suspects()
            .filter(|record| now.saturating_sub(record.since) >= self.suspicion(record, now))
            .map(|record| record.change.clone())
            .collect();
        for change in overdue {
            self.condemn(
                &Change {
                    state: State::Dead,
                    ..change
                },
                now,
            );
        }
    }

    /// Returns up to `count` serving members at random, without this one and `other`.
    pub(super) fn pick(&mut self, count: usize, other: MemberId) -> Vec<MemberId> {
        let mut picked = Vec::new();
        for _ in 0..count * PICK_TRIES {
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

    /// Lets a member that has just become known take its turn in the present round.
    pub(super) fn join_round(&mut self, id: MemberId) {
        self.round.push(id);
        let last = self.round.len() - 1;
        let place = self.rng.random_range(self.position.min(last)..=last);
        self.round.swap(place, last);
    }

    fn next_in_round(&mut self) -> Option<MemberId> {
        for _ in 0..2 {
            while let Some(&id) = self.round.get(self.position) {
                self.position += 1;
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
        self.position = 0;
    }

    fn expect(&mut self, target: MemberId, stage: Stage, began: Time) -> ProbeId {
        let probe = self.next_probe;
        self.next_probe += 1;
        let pending = Pending {
            target,
            stage,
            began,
        };
        self.probes.insert(probe, pending);
        probe
    }

    fn suspect(&mut self, target: MemberId, now: Time) {
        let Some(change) = self.get(target).cloned() else {
            return;
        };
        if change.state == State::Alive {
            self.condemn(
                &Change {
                    state: State::Suspect,
                    ..change
                },
                now,
            );
        }
    }

    /// Records an own verdict, and passes it on unless it says more about this member.
    fn condemn(&mut self, verdict: &Change, now: Time) {
        if self.doubts_itself(now) {
            self.unspoken.insert(verdict.id);
        }
        let tell = !self.unspoken.contains(&verdict.id);
        self.conclude(verdict, tell, now);
    }

    /// A member that hears nobody, though its own messages may get out, would suspect everybody and
    /// make the whole fleet refute at once. Nothing heard at all points at itself: it draws its own
    /// conclusions and keeps them to itself.
    fn doubts_itself(&self, now: Time) -> bool {
        now.saturating_sub(self.last_heard) >= self.settings.silence_limit
    }

    /// Time that a suspect has. News of it and its refutation take a number of periods that grows
    /// with the logarithm of the members. A member that flaps gets longer, so that its homes don't
    /// move to and fro; one that the list does not show as live gets half. Many suspects at once
    /// get longer, because their refutations share the bytes of the messages.
    fn suspicion(&self, record: &super::roster::Record, now: Time) -> Duration {
        let decades = (self.serving().max(1) as f64).log10().max(1.0);
        let recent = now.saturating_sub(record.flapped) < self.settings.flap_life;
        let flaps = if recent { record.flaps } else { 0 };
        let expected = self.listed.is_empty() || self.listed.get(&record.change.id) == Some(&false);
        let share = if expected { 1.0 } else { 0.5 };
        let crowd = (self.roster.suspected() / CROWD) as f64;
        let factor = decades * share * (1.0 + f64::from(flaps) + crowd);
        self.settings.suspicion.mul_f64(factor)
    }
}
