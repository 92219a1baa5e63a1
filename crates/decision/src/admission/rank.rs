//! Which kinds of request are let in when servers that several of them share run short of room.
//!
//! The load: more is asked of a set of servers than they can do, by kinds of request with different ranks and objectives.
//! Servers work in the order of arrival, so that what has been sent can't be put in order any more. A kind that bears a
//! queue of 100 ms makes each more urgent one, which bears 20, late. So the wait that is expected at the servers is held
//! against the objectives of the kind itself and of all more urgent ones that are asked for of late.
//!
//! No kind starves: one that is served far less than all together is held only to what it bears itself.

use super::{Ranked, Waits};
use crate::backend::Wait;
use crate::{Time, Work};
use derive_more::Display;
use std::collections::BTreeMap;
use std::time::Duration;

/// Rank of a kind of request; 0 is the most urgent.
pub type Rank = u32;

/// Kinds that are told apart.
const KINDS_AT_MOST: usize = 32;

/// Share of its own objective that a request may wait at the servers. The rest is for its work there, which the slowest of many
/// shards takes two to three times as long for as the mean, and for the way.
const OWN: f64 = 0.42;

/// Share of a more urgent kind's objective that a request may make that kind wait.
const OTHERS: f64 = 0.4;

/// What that is multiplied by for each kind of a rank between the two, so that the last of many ranks is refused before the others.
const STEP: f64 = 0.85;

/// Time after which a kind that nobody asks for any more does not hold others back.
const RECENT: Duration = Duration::from_secs(5);

/// Time after which what was counted has halved.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Part of the groups that a more urgent kind's answers can do without on which it may be made to wait: the rest is for what fails.
const DISPENSABLE_PART: usize = 2;

/// An objective is the shorter one below this share of another.
const SHORTER: f64 = 0.75;

/// A kind that is served less than this share of what all kinds are served together is not held back for others.
const STARVED: f64 = 0.34;

/// How urgent a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Its rank.
    pub rank: Rank,
    /// Time from its arrival within which an answer is worth most.
    pub objective: Duration,
}

/// A kind of request for which the servers have too much waiting.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("rank {rank} would wait {:.1?} for group {}, bears {bearable:.1?}", wait.time, wait.group)]
pub(super) struct Unbearable {
    rank: Rank,
    wait: Wait,
    bearable: Duration,
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
    /// The shortest objective of its requests of late.
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
    kinds: BTreeMap<Work, Kind>,
}

impl Ranks {
    /// Records that a request is asked for.
    pub(super) fn asked(&mut self, ranked: &Ranked, now: Time) {
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
    pub(super) fn answered(&mut self, work: Work, now: Time) {
        if let Some(kind) = self.kinds.get_mut(&work) {
            kind.answered.add(now);
        }
    }

    /// Returns for whom too much is waiting to let a request in; `None` where it may come in.
    pub(super) fn unbearable(&self, ranked: &Ranked, now: Time) -> Option<Unbearable> {
        let Urgency { rank, objective } = ranked.urgency;
        let own = Unbearable {
            rank,
            wait: self.wait(
                ranked.work,
                objective,
                &ranked.waits,
                ranked.dispensable,
                now,
            ),
            bearable: objective.mul_f64(OWN),
        };
        let share = match self.is_starved(ranked.work, now) {
            true => OWN,
            false => OTHERS,
        };
        let before = self.kinds.iter();
        let before = before.filter(|(_, kind)| kind.is_recent(now) && kind.rank < rank);
        let before = before.map(|(work, kind)| {
            // It asks nothing of the groups that it leaves out itself.
            let dispensable = (kind.dispensable / DISPENSABLE_PART).max(ranked.dispensable);
            let between = self.between(kind.rank, rank, now);
            Unbearable {
                rank: kind.rank,
                wait: self.wait(*work, kind.objective, &ranked.waits, dispensable, now),
                bearable: kind.objective.mul_f64(share * STEP.powi(between as i32)),
            }
        });
        let mut all = before.chain([own]);
        all.find(|one| one.wait.time > one.bearable)
    }

    /// Tells whether a kind leaves the servers' queues to others: such with a shorter objective are asked for of late, and it does not
    /// starve behind them.
    pub(super) fn yields(&self, work: Work, objective: Duration, now: Time) -> bool {
        let most = objective.mul_f64(SHORTER);
        self.recent(now).any(|kind| kind.objective < most) && !self.is_starved(work, now)
    }

    /// Returns how many kinds of ranks between two are asked for of late.
    fn between(&self, first: Rank, last: Rank, now: Time) -> usize {
        let between = |kind: &&Kind| (first + 1..last).contains(&kind.rank);
        self.recent(now).filter(between).count()
    }

    /// Returns how many more urgent kinds are asked for of late.
    pub(super) fn before(&self, rank: Rank, now: Time) -> usize {
        self.recent(now).filter(|kind| kind.rank < rank).count()
    }

    fn recent(&self, now: Time) -> impl Iterator<Item = &Kind> {
        self.kinds.values().filter(move |kind| kind.is_recent(now))
    }

    /// Returns how long a kind with this objective waits before it is worked on.
    fn wait(
        &self,
        work: Work,
        objective: Duration,
        waits: &Waits,
        dispensable: usize,
        now: Time,
    ) -> Wait {
        match self.yields(work, objective, now) {
            true => waits.in_all.without(dispensable),
            false => waits.at_servers.without(dispensable),
        }
    }

    /// Forgets the kind that was asked for the longest ago where there are too many to add one.
    fn make_room(&mut self, work: Work) {
        if self.kinds.len() < KINDS_AT_MOST || self.kinds.contains_key(&work) {
            return;
        }
        let oldest = self.kinds.iter().min_by_key(|(_, kind)| kind.last);
        if let Some(oldest) = oldest.map(|(work, _)| *work) {
            self.kinds.remove(&oldest);
        }
    }

    fn is_starved(&self, work: Work, now: Time) -> bool {
        let Some(kind) = self.kinds.get(&work) else {
            return false;
        };
        let all = |of: fn(&Kind) -> Decaying| -> f64 {
            self.kinds.values().map(|kind| of(kind).get(now)).sum()
        };
        let served = |answered: f64, asked: f64| answered / asked.max(1.0);
        let own = served(kind.answered.get(now), kind.asked.get(now));
        own < STARVED * served(all(|kind| kind.answered), all(|kind| kind.asked))
    }
}
