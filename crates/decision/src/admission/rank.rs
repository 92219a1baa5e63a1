//! Which kinds of request are let in when servers that several of them share run short of room.
//!
//! The load: more is asked of a set of servers than they can do, by kinds of request with different ranks and objectives.
//! Servers work in the order of arrival, so that what has been sent can't be put in order any more. A kind that bears a
//! queue of 100 ms makes each more urgent one, which bears 20, late. So the wait that is expected at the servers is held
//! against the objectives of the kind itself and of all more urgent ones that are asked for of late.
//!
//! No kind starves: one that is served far less than all together is held only to what it bears itself.

use super::Ranked;
use crate::Time;
use derive_more::Display;
use std::collections::BTreeMap;
use std::time::Duration;

/// Rank of a kind of request; 0 is the most urgent.
pub type Rank = u32;

/// Ranks that are told apart; those beyond count as the last of them.
const RANKS_AT_MOST: usize = 32;

/// Share of its own objective that a request may wait at the servers. The rest is for its work there, which the slowest of many
/// shards takes two to three times as long for as the mean, and for the way.
const OWN: f64 = 0.5;

/// Share of a more urgent kind's objective that a request may make that kind wait.
const OTHERS: f64 = 0.4;

/// Time after which a kind that nobody asks for any more does not hold others back.
const RECENT: Duration = Duration::from_secs(5);

/// Time after which what was counted has halved.
const HALF_LIFE: Duration = Duration::from_secs(2);

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
#[display("rank {rank} would wait {wait:.1?}, bears {bearable:.1?}")]
pub(super) struct Unbearable {
    rank: Rank,
    wait: Duration,
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

/// What is known of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    /// The shortest objective of its requests of late.
    objective: Duration,
    /// The fewest groups that their answers can do without.
    dispensable: usize,
    asked: Decaying,
    admitted: Decaying,
    last: Time,
}

impl Kind {
    fn is_recent(&self, now: Time) -> bool {
        self.last + RECENT > now
    }
}

/// The ranks that share a set of servers.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranks {
    kinds: BTreeMap<Rank, Kind>,
}

impl Ranks {
    /// Records that a request is asked for.
    pub(super) fn asked(&mut self, ranked: &Ranked, now: Time) {
        let Ranked {
            urgency,
            dispensable,
            ..
        } = ranked;
        let kind = self.kinds.entry(self.known_as(urgency.rank)).or_default();
        if kind.is_recent(now) && kind.asked.count > 0.0 {
            kind.objective = kind.objective.min(urgency.objective);
            kind.dispensable = kind.dispensable.min(dispensable / 2);
        } else {
            kind.objective = urgency.objective;
            kind.dispensable = dispensable / 2;
        }
        kind.last = now;
        kind.asked.add(now);
    }

    /// Records that a request was let in.
    pub(super) fn admitted(&mut self, urgency: Urgency, now: Time) {
        let rank = self.known_as(urgency.rank);
        if let Some(kind) = self.kinds.get_mut(&rank) {
            kind.admitted.add(now);
        }
    }

    /// Returns for whom the servers have too much waiting to let a request in; `None` where it may come in.
    pub(super) fn unbearable(&self, ranked: &Ranked, now: Time) -> Option<Unbearable> {
        let Ranked {
            urgency,
            dispensable,
            own,
            waits,
        } = ranked;
        let own = Unbearable {
            rank: urgency.rank,
            wait: own.without(*dispensable),
            bearable: urgency.objective.mul_f64(OWN),
        };
        let share = match self.is_starved(urgency.rank, now) {
            true => OWN,
            false => OTHERS,
        };
        let before = self.kinds.range(..urgency.rank);
        let before = before.filter(|(_, kind)| kind.is_recent(now));
        let before = before.map(|(rank, kind)| Unbearable {
            rank: *rank,
            wait: waits.without(kind.dispensable),
            bearable: kind.objective.mul_f64(share),
        });
        let mut all = before.chain([own]);
        all.find(|one| one.wait > one.bearable)
    }

    /// Returns how many more urgent ranks are asked for of late.
    pub(super) fn before(&self, rank: Rank, now: Time) -> usize {
        let before = self.kinds.range(..rank);
        before.filter(|(_, kind)| kind.is_recent(now)).count()
    }

    fn known_as(&self, rank: Rank) -> Rank {
        match self.kinds.len() < RANKS_AT_MOST || self.kinds.contains_key(&rank) {
            true => rank,
            false => self.kinds.keys().next_back().copied().unwrap_or(rank),
        }
    }

    fn is_starved(&self, rank: Rank, now: Time) -> bool {
        let Some(kind) = self.kinds.get(&rank) else {
            return false;
        };
        let all = |of: fn(&Kind) -> Decaying| -> f64 {
            self.kinds.values().map(|kind| of(kind).get(now)).sum()
        };
        let served = |admitted: f64, asked: f64| admitted / asked.max(1.0);
        let own = served(kind.admitted.get(now), kind.asked.get(now));
        own < STARVED * served(all(|kind| kind.admitted), all(|kind| kind.asked))
    }
}
