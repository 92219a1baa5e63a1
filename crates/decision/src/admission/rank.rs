//! Queueing delay budgets for kinds of requests that share backend servers.
//!
//! Backend servers process requests first in, first out, so an urgent request can't overtake those
//! queued before it: if a less urgent kind may fill the queue up to 100 ms, a kind with a 20 ms budget
//! is always late. A request is therefore admitted only if the expected queueing delay is within its
//! own budget and within the budgets of all more urgent kinds requested recently.
//!
//! To prevent starvation, the budgets of more urgent kinds are relaxed for a kind that is answered far
//! less often than the average.

use super::{RankedRequest, Waits};
use crate::backend::Wait;
use crate::{Time, WorkKind};
use derive_more::Display;
use std::collections::BTreeMap;
use std::time::Duration;

/// Rank of a request; 0 is the most urgent.
pub type Rank = u32;

/// Maximum number of kinds tracked.
const MAX_KINDS: usize = 32;

/// Delay budget of a kind for its own requests, as a share of its objective. The rest is left for the
/// network and for processing at the slowest of many shards, two to three times the mean.
const OWN_BUDGET_SHARE: f64 = 0.42;

/// Delay budget of a kind that applies to less urgent requests, as a share of its objective.
const LESS_URGENT_BUDGET_SHARE: f64 = 0.4;

/// Factor on that budget for each kind with a rank between the two, so that the least urgent of many
/// ranks is refused first.
const BUDGET_RANK_FACTOR: f64 = 0.85;

/// Time after its last request during which a kind counts as recent.
const RECENT_WINDOW: Duration = Duration::from_secs(5);

/// Half-life of the counts of requests and answers.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Divisor of the groups that may be missing from a more urgent answer: this fraction of them may
/// exceed the budget, the rest is reserved for failures.
const DISPENSABLE_DIVISOR: usize = 2;

/// An objective counts as shorter than another if it is below this share of it.
const SHORTER_OBJECTIVE_SHARE: f64 = 0.75;

/// Share of the overall answer rate below which a kind counts as starved.
const STARVATION_SHARE: f64 = 0.34;

/// Urgency of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Rank; 0 is the most urgent.
    pub rank: Rank,
    /// Latency objective, measured from the arrival of the request.
    pub objective: Duration,
}

/// A delay budget, compared with the expected queueing delay.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("rank {rank} would wait {:.1?} at group {}, budget {budget:.1?}", wait.time, wait.group)]
pub(super) struct BudgetCheck {
    rank: Rank,
    wait: Wait,
    budget: Duration,
}

/// An exponentially decaying count.
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

/// State of one kind of request.
#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    rank: Rank,
    /// Shortest objective of its recent requests.
    objective: Duration,
    /// Number of groups that may be missing from an answer.
    dispensable: usize,
    requested: Decaying,
    answered: Decaying,
    last_request: Option<Time>,
}

impl Kind {
    fn is_recent(&self, now: Time) -> bool {
        self.last_request
            .is_some_and(|last| last + RECENT_WINDOW > now)
    }
}

/// The kinds of requests that share a set of backend servers.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranks {
    kinds: BTreeMap<WorkKind, Kind>,
}

impl Ranks {
    /// Records a new request.
    pub(super) fn record_request(&mut self, ranked: &RankedRequest, now: Time) {
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
        kind.last_request = Some(now);
        kind.requested.add(now);
    }

    /// Records that a request of this kind was answered.
    pub(super) fn record_answer(&mut self, work: WorkKind, now: Time) {
        if let Some(kind) = self.kinds.get_mut(&work) {
            kind.answered.add(now);
        }
    }

    /// Returns the first delay budget that a request exceeds, checking those of more urgent kinds first.
    pub(super) fn exceeded_budget(&self, ranked: &RankedRequest, now: Time) -> Option<BudgetCheck> {
        let Urgency { rank, objective } = ranked.urgency;
        let own = BudgetCheck {
            rank,
            wait: self.wait(
                ranked.work,
                objective,
                &ranked.waits,
                ranked.dispensable,
                now,
            ),
            budget: objective.mul_f64(OWN_BUDGET_SHARE),
        };
        let share = match self.is_starved(ranked.work, now) {
            true => OWN_BUDGET_SHARE,
            false => LESS_URGENT_BUDGET_SHARE,
        };
        let more_urgent = self.kinds.iter();
        let more_urgent = more_urgent.filter(|(_, kind)| kind.is_recent(now) && kind.rank < rank);
        let more_urgent = more_urgent.map(|(work, kind)| {
            // The request adds no load to the groups that it can leave out.
            let dispensable = (kind.dispensable / DISPENSABLE_DIVISOR).max(ranked.dispensable);
            let between = self.between(kind.rank, rank, now);
            BudgetCheck {
                rank: kind.rank,
                wait: self.wait(*work, kind.objective, &ranked.waits, dispensable, now),
                budget: kind
                    .objective
                    .mul_f64(share * BUDGET_RANK_FACTOR.powi(between as i32)),
            }
        });
        let mut all = more_urgent.chain([own]);
        all.find(|checked| checked.wait.time > checked.budget)
    }

    /// Returns whether requests of this kind wait in the home rather than in the servers' queues: a kind
    /// with a shorter objective was requested recently, and this kind is not starved.
    pub(super) fn yields(&self, work: WorkKind, objective: Duration, now: Time) -> bool {
        let limit = objective.mul_f64(SHORTER_OBJECTIVE_SHARE);
        self.recent(now).any(|kind| kind.objective < limit) && !self.is_starved(work, now)
    }

    /// Returns the number of recent kinds with a rank strictly between two ranks.
    fn between(&self, first: Rank, last: Rank, now: Time) -> usize {
        let between = |kind: &&Kind| (first + 1..last).contains(&kind.rank);
        self.recent(now).filter(between).count()
    }

    /// Returns the number of recent kinds that are more urgent than `rank`.
    pub(super) fn more_urgent(&self, rank: Rank, now: Time) -> usize {
        self.recent(now).filter(|kind| kind.rank < rank).count()
    }

    fn recent(&self, now: Time) -> impl Iterator<Item = &Kind> {
        self.kinds.values().filter(move |kind| kind.is_recent(now))
    }

    /// Returns the expected queueing delay of a kind with this objective.
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

    /// Drops the least recently requested kind if `work` is a new kind and the table is full.
    fn make_room(&mut self, work: WorkKind) {
        if self.kinds.len() < MAX_KINDS || self.kinds.contains_key(&work) {
            return;
        }
        let oldest = self.kinds.iter().min_by_key(|(_, kind)| kind.last_request);
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
        let served = |answered: f64, requested: f64| answered / requested.max(1.0);
        let own = served(kind.answered.get(now), kind.requested.get(now));
        own < STARVATION_SHARE * served(all(|kind| kind.answered), all(|kind| kind.requested))
    }
}
