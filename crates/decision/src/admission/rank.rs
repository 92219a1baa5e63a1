//! Delay budgets of the kinds of request that share backend servers.
//!
//! The load: more is asked of a set of servers than they can do, by kinds of request with different ranks and objectives.
//! Servers work first in, first out, so that a request can't overtake what was sent before it. Where one kind can afford to queue for
//! 100 ms, a more urgent one that can afford 20 ms is late. So the queueing delay that is expected at the servers is compared with
//! the budget of the kind itself and with those of all more urgent kinds that were requested recently.
//!
//! Starvation is prevented: a kind that is answered far less often than all together has only its own budget to keep.

use super::{RankedRequest, Waits};
use crate::backend::Wait;
use crate::{Time, WorkKind};
use derive_more::Display;
use std::collections::BTreeMap;
use std::time::Duration;

/// Rank of a kind of request; 0 is the most urgent.
pub type Rank = u32;

/// Kinds that are told apart.
const KINDS_AT_MOST: usize = 32;

/// Delay budget of a kind for its own requests, as a share of its objective. The rest is for the work at the slowest of many shards, two
/// to three times the mean, and for the network.
const OWN_BUDGET: f64 = 0.42;

/// Delay budget of a kind against less urgent requests, as a share of its objective.
const OTHERS_BUDGET: f64 = 0.4;

/// Factor on that budget for each kind with a rank between the two, so that the lowest of many ranks is refused first.
const BUDGET_PER_RANK: f64 = 0.85;

/// Time after its last request for which a kind counts.
const RECENT: Duration = Duration::from_secs(5);

/// Time after which what was counted has halved.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Divides the groups that a more urgent answer can lack: so many may exceed its budget. The others are kept for failures.
const DISPENSABLE_DIVISOR: usize = 2;

/// Share of an objective below which another one counts as shorter.
const SHORTER: f64 = 0.75;

/// Share of the overall answer rate below which a kind starves.
const STARVATION: f64 = 0.34;

/// How urgent a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Its rank.
    pub rank: Rank,
    /// Time from its arrival within which an answer is worth most.
    pub objective: Duration,
}

/// A delay budget that is exceeded.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("rank {rank} would wait {:.1?} at group {}, budget {budget:.1?}", wait.time, wait.group)]
pub(super) struct Excess {
    rank: Rank,
    wait: Wait,
    budget: Duration,
}

/// A count that halves with time.
#[derive(Clone, Copy, Debug, Default)]
struct Decaying {
    count: f64,
    at: Time,
}

impl Decaying {
    fn get(self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.count * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }

    fn add(&mut self, now: Time) {
        self.count = self.get(now) + 1.0;
        self.at = now;
    }
}

/// What is known of one kind of request.
#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    rank: Rank,
    /// The shortest objective of its recent requests.
    objective: Duration,
    /// The groups that their answers can do without.
    dispensable: usize,
    asked: Decaying,
    answered: Decaying,
    last: Option<Time>,
}

impl Kind {
    fn is_recent(&self, now: Time) -> bool {
        self.last.is_some_and(|last| last + RECENT > now)
    }
}

/// The kinds of request that share a set of servers.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranks {
    kinds: BTreeMap<WorkKind, Kind>,
}

impl Ranks {
    /// Records that a request is asked for.
    pub(super) fn asked(&mut self, ranked: &RankedRequest, now: Time) {
        self.make_room(ranked.work);
        let Urgency { rank, objective } = ranked.urgency;
        let kind = self.kinds.entry(ranked.work).or_default();
        let is_new = !kind.is_recent(now);
        kind.rank = rank;
        kind.objective = match is_new {
            true => objective,
            false => kind.objective.min(objective),
        };
        kind.dispensable = ranked.dispensable;
        kind.last = Some(now);
        kind.asked.add(now);
    }

    /// Records that a request of a kind was answered.
    pub(super) fn answered(&mut self, work: WorkKind, now: Time) {
        if let Some(kind) = self.kinds.get_mut(&work) {
            kind.answered.add(now);
        }
    }

    /// Returns the first delay budget that is exceeded for a request, more urgent kinds' first.
    pub(super) fn excess(&self, ranked: &RankedRequest, now: Time) -> Option<Excess> {
        let Urgency { rank, objective } = ranked.urgency;
        let own = Excess {
            rank,
            wait: self.wait(
                ranked.work,
                objective,
                &ranked.waits,
                ranked.dispensable,
                now,
            ),
            budget: objective.mul_f64(OWN_BUDGET),
        };
        let share = match self.is_starved(ranked.work, now) {
            true => OWN_BUDGET,
            false => OTHERS_BUDGET,
        };
        let before = self.kinds.iter();
        let before = before.filter(|(_, kind)| kind.is_recent(now) && kind.rank < rank);
        let before = before.map(|(work, kind)| {
            // It adds no load to the groups that it leaves out itself.
            let dispensable = (kind.dispensable / DISPENSABLE_DIVISOR).max(ranked.dispensable);
            let between = self.between(kind.rank, rank, now);
            Excess {
                rank: kind.rank,
                wait: self.wait(*work, kind.objective, &ranked.waits, dispensable, now),
                budget: kind
                    .objective
                    .mul_f64(share * BUDGET_PER_RANK.powi(between as i32)),
            }
        });
        let mut all = before.chain([own]);
        all.find(|one| one.wait.time > one.budget)
    }

    /// Tells whether a kind keeps out of the servers' queues: one with a shorter objective was requested recently, and this one does not
    /// starve behind it.
    pub(super) fn yields(&self, work: WorkKind, objective: Duration, now: Time) -> bool {
        let most = objective.mul_f64(SHORTER);
        self.recent(now).any(|kind| kind.objective < most) && !self.is_starved(work, now)
    }

    /// Returns how many kinds with ranks between two were requested recently.
    fn between(&self, first: Rank, last: Rank, now: Time) -> usize {
        let between = |kind: &&Kind| (first + 1..last).contains(&kind.rank);
        self.recent(now).filter(between).count()
    }

    /// Returns how many more urgent kinds were requested recently.
    pub(super) fn before(&self, rank: Rank, now: Time) -> usize {
        self.recent(now).filter(|kind| kind.rank < rank).count()
    }

    fn recent(&self, now: Time) -> impl Iterator<Item = &Kind> {
        self.kinds.values().filter(move |kind| kind.is_recent(now))
    }

    /// Returns the queueing delay of a kind with this objective.
    fn wait(
        &self,
        work: WorkKind,
        objective: Duration,
        waits: &Waits,
        dispensable: usize,
        now: Time,
    ) -> Wait {
        match self.yields(work, objective, now) {
            true => waits.total.without(dispensable),
            false => waits.at_servers.without(dispensable),
        }
    }

    /// Forgets the kind that was requested the longest ago if there is no room for another.
    fn make_room(&mut self, work: WorkKind) {
        if self.kinds.len() < KINDS_AT_MOST || self.kinds.contains_key(&work) {
            return;
        }
        let oldest = self.kinds.iter().min_by_key(|(_, kind)| kind.last);
        if let Some(oldest) = oldest.map(|(work, _)| *work) {
            self.kinds.remove(&oldest);
        }
    }

    fn is_starved(&self, work: WorkKind, now: Time) -> bool {
        let Some(kind) = self.kinds.get(&work) else {
            return false;
        };
        let all = |of: fn(&Kind) -> Decaying| -> f64 {
            self.kinds.values().map(|kind| of(kind).get(now)).sum()
        };
        let served = |answered: f64, asked: f64| answered / asked.max(1.0);
        let own = served(kind.answered.get(now), kind.asked.get(now));
        own < STARVATION * served(all(|kind| kind.answered), all(|kind| kind.asked))
    }
}
