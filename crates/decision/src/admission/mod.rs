//! Admission control: decides whether a new request is accepted.
//!
//! A request is admitted if it can meet its deadline behind the work already queued at the backend
//! servers, if its class still fits within the limit on requests in flight (`limit`), and if it
//! exceeds no queueing delay budget (`rank`). Otherwise it is refused with the time after which to
//! retry (`pace`). A request that can't meet its deadline by an estimate is admitted now and then to test the estimate
//! (`probe`). Refusals cost the backend servers nothing, so their throughput stays the same in an
//! overload.
//!
//! Requests are never queued here: a queue in front of the servers' own queues would only add delay.

mod limit;
pub mod overload;
mod pace;
mod probe;
mod rank;

use crate::backend::{self, GroupLoad};
use crate::outcome::Reason;
use crate::{Time, WorkKind};
use limit::Limit;
use monsoonring_configuration::document::{Class, Route};
pub use overload::Overload;
use pace::Pace;
use probe::Probes;
use rank::Ranks;
pub use rank::{Rank, Urgency};
use std::time::Duration;

/// Share of the route's deadline that is the target latency. The rest absorbs variance.
const TARGET_SHARE: f64 = 0.5;

/// Share of the limit that each class may fill. The remainder is reserved for more urgent classes.
const URGENT_SHARE: f64 = 1.0;
const NORMAL_SHARE: f64 = 0.8;
const BACKGROUND_SHARE: f64 = 0.4;

/// Share of the limit for a rank, relative to the next more urgent rank.
const RANK_SHARE: f64 = 0.8;

/// A request that has a rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankedRequest {
    /// Kind of work that it causes at the backend servers.
    pub work: WorkKind,
    /// Rank and latency objective.
    pub urgency: Urgency,
    /// Number of groups that may be missing from its answer.
    pub dispensable: usize,
    /// Current queueing delays.
    pub waits: Waits,
}

/// Expected queueing delays in each group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waits {
    /// Delay at the backend servers, from their load reports.
    pub at_servers: backend::Waits,
    /// Delay in this home plus delay at the backend servers, for requests that yield
    /// ([`Gate::yields`]).
    pub total: backend::Waits,
    /// Whether most backend servers reported their load recently.
    pub has_load_reports: bool,
}

/// Decision about a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is accepted.
    Admit,
    /// The request is refused; no attempt was sent.
    Refuse {
        /// Reason returned to the caller.
        reason: Reason,
        /// Time after which to retry; `None` if a retry would fail as well.
        retry_after: Option<Duration>,
    },
}

/// Admission control of one route.
#[derive(Clone, Debug)]
pub struct Gate {
    limit: Limit,
    pace: Pace,
    ranks: Ranks,
    probes: Probes,
    /// Number of homes that send as much to the backend servers as this one, itself included.
    homes: f64,
    target_latency: Duration,
    in_flight: usize,
    /// Whether requests were queued at the backend servers at the last admission decision.
    has_queue: bool,
}

impl Gate {
    /// Creates the admission control for a route.
    pub fn new(route: &Route) -> Self {
        Self {
            limit: Limit::new(),
            pace: Pace::default(),
            ranks: Ranks::default(),
            probes: Probes::default(),
            homes: 1.0,
            target_latency: target_latency(route),
            in_flight: 0,
            has_queue: false,
        }
    }

    /// Applies a new configuration.
    pub fn reconfigure(&mut self, route: &Route) {
        self.target_latency = target_latency(route);
    }

    /// Sets the number of homes that send as much to the backend servers as this one, itself included.
    pub fn set_homes(&mut self, homes: f64) {
        self.homes = homes;
    }

    /// Decides about a request that must be answered by `deadline`. An admitted request counts as in
    /// flight until [`Self::finished`].
    pub fn admit(
        &mut self,
        class: Class,
        deadline: Time,
        load: &GroupLoad,
        now: Time,
    ) -> Admission {
        self.admit_ranked(class, None, deadline, load, now)
    }

    /// Like [`Self::admit`], and if the request has a rank, also checks its queueing delay against its
    /// own delay budget and those of more urgent requests.
    pub fn admit_ranked(
        &mut self,
        class: Class,
        ranked: Option<&RankedRequest>,
        deadline: Time,
        load: &GroupLoad,
        now: Time,
    ) -> Admission {
        self.has_queue = !load.wait.is_zero();
        if let Some(ranked) = ranked {
            self.ranks.record_request(ranked, now);
        }
        let remaining = deadline.saturating_sub(now);
        let work = ranked.map_or(WorkKind::default(), |ranked| ranked.work);
        if remaining <= load.service_time {
            if self.probes.admit(work, self.homes, now) {
                self.in_flight += 1;
                return Admission::Admit;
            }
            // A retry would have even less time left.
            return Admission::Refuse {
                reason: Reason::Deadline,
                retry_after: None,
            };
        }
        // Replies carry the servers' load; with nothing in flight, only a probe brings one.
        let can_meet_deadline = load.wait + load.service_time < remaining
            || (self.in_flight == 0 && self.probes.admit(work, self.homes, now));
        let allowed = self.allowed(class, ranked, now);
        // Load reports cover the requests of all hosts. The adaptive limit only sees those of this
        // host, so it is ignored while there are reports.
        let is_reported = ranked.is_some_and(|ranked| ranked.waits.has_load_reports);
        let fits = is_reported || self.in_flight as f64 + 1.0 <= allowed;
        if can_meet_deadline && fits && self.is_in_budget(ranked, now) {
            self.in_flight += 1;
            return Admission::Admit;
        }
        let excess = self.in_flight as f64 + 1.0 - allowed;
        let delay = self.pace.next_slot(excess.max(1.0), now);
        Admission::Refuse {
            reason: Reason::Overload,
            retry_after: Some(delay.max(load.wait)),
        }
    }

    /// Describes the rank of a request and the delay budget that it exceeds, for the log.
    pub fn describe(&self, ranked: &RankedRequest, now: Time) -> String {
        match self.ranks.exceeded_budget(ranked, now) {
            Some(exceeded) => format!("rank={} {exceeded}", ranked.urgency.rank),
            None => format!("rank={}", ranked.urgency.rank),
        }
    }

    /// Returns whether requests of this kind yield: they wait in the home rather than in the servers'
    /// queues, so that they don't delay requests with shorter objectives.
    pub fn yields(&self, work: WorkKind, urgency: Urgency, now: Time) -> bool {
        self.ranks.yields(work, urgency.objective, now)
    }

    /// Returns whether a request exceeds no delay budget. With nothing in flight a request is admitted
    /// regardless, because its replies carry the servers' load.
    fn is_in_budget(&self, ranked: Option<&RankedRequest>, now: Time) -> bool {
        let Some(ranked) = ranked else {
            return true;
        };
        self.in_flight == 0 || self.ranks.exceeded_budget(ranked, now).is_none()
    }

    /// Records that an admitted request ended after `took`, with any outcome.
    pub fn finished(&mut self, _class: Class, took: Duration, now: Time) {
        let in_flight = self.in_flight;
        self.in_flight = self.in_flight.saturating_sub(1);
        self.pace.record_completion(now);
        if took <= self.target_latency {
            self.limit.increase(in_flight);
        } else if self.has_queue {
            self.limit.decrease(took, now);
        }
    }

    /// Records that a request of this kind was answered, for starvation detection.
    pub fn answered(&mut self, work: WorkKind, now: Time) {
        self.ranks.record_answer(work, now);
    }

    /// Returns the current limit on requests in flight.
    pub fn limit(&self) -> f64 {
        self.limit.get()
    }

    /// Returns the number of admitted requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the limit on requests in flight for this class and rank, at least 1 so that an idle
    /// route admits any request.
    fn allowed(&self, class: Class, ranked: Option<&RankedRequest>, now: Time) -> f64 {
        let of_class = match class {
            Class::Urgent => URGENT_SHARE,
            Class::Normal => NORMAL_SHARE,
            Class::Background => BACKGROUND_SHARE,
        };
        let more_urgent =
            ranked.map_or(0, |ranked| self.ranks.more_urgent(ranked.urgency.rank, now));
        let of_rank = RANK_SHARE.powi(more_urgent as i32);
        let share = f64::min(of_class, of_rank);
        (self.limit.get() * share).max(1.0)
    }
}

fn target_latency(route: &Route) -> Duration {
    Duration::from_millis(route.deadline_ms).mul_f64(TARGET_SHARE)
}
