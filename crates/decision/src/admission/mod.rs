//! Admission: whether a request is taken on at all.
//!
//! Three questions are asked of a new request, in this order. Can it be answered by its deadline,
//! behind what already waits at the backend servers? Is there room for its class within the limit
//! on requests in flight, which [`limit`] learns from how long requests take? If not, when does it
//! make sense to come back? A refusal here costs nothing at the backend servers, so that what they
//! finish per second stays the same however many ask.
//!
//! Nothing is queued here: a queue in front of the servers' own queues would only add waiting that
//! the deadline has to pay for. A caller that was refused comes back when it is told to.

mod limit;
pub mod overload;
mod pace;
mod rank;

use crate::backend::{self, GroupLoad};
use crate::outcome::Reason;
use crate::{Time, WorkKind};
use limit::Limit;
use monsoonring_configuration::document::{Class, Route};
pub use overload::Overload;
use pace::Pace;
use rank::Ranks;
pub use rank::{Rank, Urgency};
use std::time::Duration;

/// Share of the route's deadline within which requests are to be answered. The rest is for what
/// varies.
const TARGET: f64 = 0.5;

/// Share of the limit that each class may fill. What is above it stays for the classes before it.
const URGENT_SHARE: f64 = 1.0;
const NORMAL_SHARE: f64 = 0.8;
const BACKGROUND_SHARE: f64 = 0.4;

/// Share of the limit that a rank may fill of what the next more urgent one may.
const RANK_SHARE: f64 = 0.8;

/// A request whose rank is known, as admission sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankedRequest {
    /// What it asks of the backend servers; requests that ask for the same are of one kind.
    pub work: WorkKind,
    /// How urgent it is.
    pub urgency: Urgency,
    /// How many groups its answer can do without.
    pub dispensable: usize,
    /// The queueing delays now.
    pub waits: Waits,
}

/// Queueing delays in each group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waits {
    /// At the backend servers, by what these report.
    pub at_servers: backend::Waits,
    /// Here and at the backend servers, for requests that keep out of the servers' queues.
    pub total: backend::Waits,
    /// Whether most backend servers have reported their load recently.
    pub has_load_reports: bool,
}

/// What is done with a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is taken on.
    Admit,
    /// It is refused and has not run.
    Refuse {
        /// Why.
        reason: Reason,
        /// When it is worth coming back; `None` where it is not.
        retry_after: Option<Duration>,
    },
}

/// Decides which requests are taken on.
#[derive(Clone, Debug)]
pub struct Gate {
    limit: Limit,
    pace: Pace,
    ranks: Ranks,
    target: Duration,
    in_flight: usize,
    /// Whether work was waiting at the backend servers when last looked at.
    waiting: bool,
}

impl Gate {
    /// Makes the gate of a route.
    pub fn new(route: &Route) -> Self {
        Self {
            limit: Limit::new(),
            pace: Pace::default(),
            ranks: Ranks::default(),
            target: target(route),
            in_flight: 0,
            waiting: false,
        }
    }

    /// Takes over a new configuration.
    pub fn reconfigure(&mut self, route: &Route) {
        self.target = target(route);
    }

    /// Decides about a request that has to be answered by `deadline`. One that is admitted counts
    /// as in flight until [`Self::finished`].
    pub fn admit(
        &mut self,
        class: Class,
        deadline: Time,
        room: &GroupLoad,
        now: Time,
    ) -> Admission {
        self.admit_ranked(class, None, deadline, room, now)
    }

    /// Decides about a request as [`Self::admit`] does. If its rank is known, its queueing delay has to be within its own budget and those
    /// of more urgent requests.
    pub fn admit_ranked(
        &mut self,
        class: Class,
        ranked: Option<&RankedRequest>,
        deadline: Time,
        room: &GroupLoad,
        now: Time,
    ) -> Admission {
        self.waiting = !room.wait.is_zero();
        if let Some(ranked) = ranked {
            self.ranks.asked(ranked, now);
        }
        let remaining = deadline.saturating_sub(now);
        if remaining <= room.service_time {
            // Coming back with as little time left would be as useless.
            return Admission::Refuse {
                reason: Reason::Deadline,
                retry_after: None,
            };
        }
        let in_time = room.wait + room.service_time < remaining;
        let allowed = self.allowed(class, ranked, now);
        // Reports of all hosts' load replace the limit, which is learned from this host's requests alone.
        let is_reported = ranked.is_some_and(|ranked| ranked.waits.has_load_reports);
        let fits = is_reported || self.in_flight as f64 + 1.0 <= allowed;
        if in_time && fits && self.is_in_budget(ranked, now) {
            self.in_flight += 1;
            return Admission::Admit;
        }
        let excess = self.in_flight as f64 + 1.0 - allowed;
        let turn = self.pace.refused(excess.max(1.0), now);
        Admission::Refuse {
            reason: Reason::Overload,
            retry_after: Some(turn.max(room.wait)),
        }
    }

    /// Describes which delay budget a request exceeds, for the log.
    pub fn describe(&self, ranked: &RankedRequest, now: Time) -> String {
        match self.ranks.excess(ranked, now) {
            Some(excess) => format!("rank={} {excess}", ranked.urgency.rank),
            None => format!("rank={}", ranked.urgency.rank),
        }
    }

    /// Tells whether requests of a kind keep out of the servers' queues, for others with shorter objectives.
    pub fn yields(&self, work: WorkKind, urgency: Urgency, now: Time) -> bool {
        self.ranks.yields(work, urgency.objective, now)
    }

    /// Tells whether a request exceeds no delay budget. With nothing in flight one is let in all the same: its answers tell the servers'
    /// load.
    fn is_in_budget(&self, ranked: Option<&RankedRequest>, now: Time) -> bool {
        let Some(ranked) = ranked else {
            return true;
        };
        self.in_flight == 0 || self.ranks.excess(ranked, now).is_none()
    }

    /// Records that an admitted request has ended, after `took`, whatever its outcome.
    pub fn finished(&mut self, _class: Class, took: Duration, now: Time) {
        let in_flight = self.in_flight;
        self.in_flight = self.in_flight.saturating_sub(1);
        self.pace.finished(now);
        if took <= self.target {
            self.limit.in_time(in_flight);
        } else if self.waiting {
            self.limit.late(took, now);
        }
    }

    /// Records that a request of a kind was answered, by which starvation is noticed.
    pub fn answered(&mut self, work: WorkKind, now: Time) {
        self.ranks.answered(work, now);
    }

    /// Returns how many requests may be in flight at once.
    pub fn limit(&self) -> f64 {
        self.limit.get()
    }

    /// Returns how many admitted requests are in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns how many requests may be in flight for one of `class` to be admitted. At least one:
    /// with nothing in flight there is room for anybody.
    fn allowed(&self, class: Class, ranked: Option<&RankedRequest>, now: Time) -> f64 {
        let of_class = match class {
            Class::Urgent => URGENT_SHARE,
            Class::Normal => NORMAL_SHARE,
            Class::Background => BACKGROUND_SHARE,
        };
        let before = ranked.map_or(0, |ranked| self.ranks.before(ranked.urgency.rank, now));
        let of_rank = RANK_SHARE.powi(before as i32);
        let share = f64::min(of_class, of_rank);
        (self.limit.get() * share).max(1.0)
    }
}

fn target(route: &Route) -> Duration {
    Duration::from_millis(route.deadline_ms).mul_f64(TARGET)
}
