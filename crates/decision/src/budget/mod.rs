//! Budgets for extra attempts (hedges and retries), as a percentage of first attempts.
//!
//! A budget is a token bucket: each first attempt deposits a fraction of a token, each extra attempt
//! takes a whole one, which bounds the additional load. The fraction decreases by a factor with each
//! failure and increases by a step with each success: retries help when a few attempts fail, but add
//! load to an outage when many do.
//!
//! Invariant: the extra attempts taken never exceed [`Budget::INITIAL`] plus `percent` per hundred
//! first attempts.
//!
//! Where the owners of the backend servers bound extra attempts per time window, a [`Window`] for each
//! group replaces the buckets.

mod window;

pub use window::Window;

use crate::Time;
use crate::placement::Division;
use monsoonring_configuration::document::Route;
use std::time::Duration;

/// Factor applied to the deposited fraction with each failure.
const DECREASE_FACTOR: f64 = 0.9;

/// Amount added to that factor with each success.
const INCREASE_STEP: f64 = 0.01;

/// Lower bound of the factor, so that a few retries are still sent and can succeed.
const MIN_FACTOR: f64 = 0.01;

/// Number of first attempts whose tokens the bucket can hold. Bounds the burst of extra attempts after a
/// long period without failures.
const MAX_SAVED_ATTEMPTS: f64 = 1_000.0;

/// Share of each deposit that goes to the reserve for extra attempts that can't be deferred.
const RESERVE_DEPOSIT_SHARE: f64 = 0.2;
/// Maximum size of the reserve, as a share of the bucket.
const MAX_RESERVE_SHARE: f64 = 0.5;

/// Share of the window's bound available to optional retries ([`Importance::Optional`]). Complete
/// answers are worth more than partial ones, so half of the bound is too little when servers shed
/// load; with all of it, required retries are denied when many servers fail.
const OPTIONAL_SHARE: f64 = 0.85;

/// Share of the window's bound above which the budget counts as scarce. Failed parts of a search then
/// wait for the other parts before they are retried. At a lower share they would wait although the budget
/// suffices for all.
const SCARCITY_THRESHOLD: f64 = 0.75;

/// Number of earlier retries of a request up to which a further required one may use the window's whole
/// bound. Requests that need few retries are preferred, because the same budget completes more of them:
/// if four of ten attempts fail and a fifth more attempts are allowed, it suffices for searches that need
/// up to three retries, but not for all of those.
const FULL_SHARE_RETRIES: u32 = 2;
/// Reduction of the share of the bound with each further retry.
const SHARE_STEP_PER_RETRY: f64 = 0.15;
/// Minimum share of the bound for required retries.
const MIN_REQUIRED_SHARE: f64 = 0.4;

/// Token bucket filled by first attempts and emptied by extra attempts.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: f64,
    factor: f64,
    tokens: f64,
    /// Tokens available only to [`Self::take`].
    reserve: f64,
}

impl Budget {
    /// Tokens at the start unless the percentage is 0, so that even the first request can be retried.
    pub const INITIAL: f64 = 1.0;

    /// Creates a budget of `percent` extra attempts per hundred first attempts.
    pub fn new(percent: f64) -> Self {
        Self {
            percent,
            factor: 1.0,
            reserve: 0.0,
            tokens: if percent > 0.0 { Self::INITIAL } else { 0.0 },
        }
    }

    /// Sets the extra attempts allowed per hundred first attempts.
    pub fn set_percent(&mut self, percent: f64) {
        self.percent = percent;
        self.tokens = self.tokens.min(self.max_tokens());
    }

    /// Records a first attempt.
    pub fn deposit(&mut self, _now: Time) {
        let token = self.percent / 100.0 * self.factor;
        self.tokens = (self.tokens + token).min(self.max_tokens());
        let reserve = self.reserve + token * RESERVE_DEPOSIT_SHARE;
        self.reserve = reserve
            .min(self.max_tokens() * MAX_RESERVE_SHARE)
            .min(self.tokens);
    }

    /// Takes an extra attempt. Returns whether one was available.
    pub fn take(&mut self, _now: Time) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
            self.reserve = self.reserve.min(self.tokens);
        }
        enough
    }

    /// Takes an extra attempt that could be deferred, leaving the reserve. Returns whether one was
    /// available.
    ///
    /// Without the reserve, deferrable hedges could use up the whole budget, for example hedges at the
    /// 95th percentile with a budget of 5 %.
    pub fn take_deferrable(&mut self, now: Time) -> bool {
        let has_unreserved = self.tokens - self.reserve >= 1.0;
        has_unreserved && self.take(now)
    }

    /// Refunds an extra attempt that was taken but not sent.
    pub fn give_back(&mut self) {
        self.tokens += 1.0;
    }

    /// Records that an attempt succeeded, which raises a reduced budget.
    pub fn succeeded(&mut self, _now: Time) {
        self.factor = (self.factor + INCREASE_STEP).min(1.0);
    }

    /// Records that an attempt failed, which reduces the budget.
    pub fn failed(&mut self, _now: Time) {
        self.factor = (self.factor * DECREASE_FACTOR).max(MIN_FACTOR);
        self.tokens = self.tokens.min(self.max_tokens());
        self.reserve = self.reserve.min(self.tokens);
    }

    /// Returns the number of extra attempts available.
    pub fn available(&self) -> f64 {
        self.tokens
    }

    /// Returns the factor by which failures have reduced the budget, from 0 to 1.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    fn max_tokens(&self) -> f64 {
        if self.percent <= 0.0 {
            return 0.0;
        }
        (self.percent / 100.0 * self.factor * MAX_SAVED_ATTEMPTS).max(Self::INITIAL)
    }
}

/// Importance of a retry for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Importance {
    /// Without the retry the answer is partial.
    Optional,
    /// Without the retry there is no answer. Holds the number of retries already made for the request.
    Required(u32),
}

impl Importance {
    /// Returns the share of the window's bound that such a retry may use.
    fn share(self) -> f64 {
        match self {
            Self::Optional => OPTIONAL_SHARE,
            Self::Required(before) => {
                let excess = before.saturating_sub(FULL_SHARE_RETRIES);
                (1.0 - SHARE_STEP_PER_RETRY * f64::from(excess)).max(MIN_REQUIRED_SHARE)
            }
        }
    }
}

/// Budgets for hedges and retries to one group of backend servers, or to all groups of a route.
#[derive(Clone, Debug)]
pub enum Budgets {
    /// Separate token buckets for hedges and retries.
    Buckets {
        /// Budget for additional attempts while another is slow.
        hedges: Budget,
        /// Budget for attempts after a failed one.
        retries: Budget,
    },
    /// A common bound on hedges and retries in a sliding window.
    Window(Window),
}

impl Budgets {
    fn new(route: &Route, slack: Option<f64>, window: Duration) -> Self {
        match slack {
            Some(slack) => Self::Window(Window::new(percent(route), slack, window)),
            None => Self::Buckets {
                hedges: Budget::new(route.hedge.budget_percent),
                retries: Budget::new(route.retry.budget_percent),
            },
        }
    }

    fn reconfigure(&mut self, route: &Route) {
        match self {
            Self::Buckets { hedges, retries } => {
                hedges.set_percent(route.hedge.budget_percent);
                retries.set_percent(route.retry.budget_percent);
            }
            Self::Window(window) => window.set_percent(percent(route)),
        }
    }

    /// Records a first attempt.
    pub fn deposit(&mut self, now: Time) {
        match self {
            Self::Buckets { hedges, retries } => {
                hedges.deposit(now);
                retries.deposit(now);
            }
            Self::Window(window) => window.record_first(now),
        }
    }

    /// Takes a retry. Returns whether one was available.
    pub fn take_retry(&mut self, importance: Importance, now: Time) -> bool {
        match self {
            Self::Buckets { retries, .. } => retries.take(now),
            Self::Window(window) => window.take_within(importance.share(), now),
        }
    }

    /// Returns whether a retry of this importance is available.
    pub fn has_retry(&mut self, importance: Importance, now: Time) -> bool {
        match self {
            Self::Buckets { retries, .. } => retries.available() >= 1.0,
            Self::Window(window) => window.has_within(importance.share(), now),
        }
    }

    /// Returns whether the window is nearly used up. Always false for buckets, which are reduced by
    /// failures instead.
    pub fn is_scarce(&mut self, now: Time) -> bool {
        match self {
            Self::Buckets { .. } => false,
            Self::Window(window) => !window.has_within(SCARCITY_THRESHOLD, now),
        }
    }

    /// Takes a hedge that could be deferred. Returns whether one was available.
    pub fn take_hedge(&mut self, now: Time) -> bool {
        match self {
            Self::Buckets { hedges, .. } => hedges.take_deferrable(now),
            Self::Window(window) => window.take_deferrable(now),
        }
    }

    /// Takes a hedge that can't be deferred. Returns whether one was available.
    pub fn take_required_hedge(&mut self, now: Time) -> bool {
        match self {
            Self::Buckets { hedges, .. } => hedges.take(now),
            Self::Window(window) => window.take(now),
        }
    }

    /// Refunds a hedge that was taken but not sent.
    pub fn give_back_hedge(&mut self) {
        match self {
            Self::Buckets { hedges, .. } => hedges.give_back(),
            Self::Window(window) => window.give_back(),
        }
    }

    /// Refunds a retry that was taken but not sent.
    pub fn give_back_retry(&mut self) {
        match self {
            Self::Buckets { retries, .. } => retries.give_back(),
            Self::Window(window) => window.give_back(),
        }
    }

    /// Records that an attempt succeeded.
    pub fn succeeded(&mut self, now: Time) {
        if let Self::Buckets { hedges, retries } = self {
            hedges.succeeded(now);
            retries.succeeded(now);
        }
    }

    /// Records that an attempt failed.
    ///
    /// This does not reduce a window: the owners' bound already limits the load on their servers during
    /// failures, and reducing it further would only cost answers.
    pub fn failed(&mut self, now: Time) {
        if let Self::Buckets { hedges, retries } = self {
            hedges.failed(now);
            retries.failed(now);
        }
    }
}

/// Returns the hedges and retries together that are allowed per hundred first attempts.
fn percent(route: &Route) -> f64 {
    route.hedge.budget_percent + route.retry.budget_percent
}

/// The budgets of a route: one for the whole route, or one for each group.
///
/// Where the owners of the backend servers bound the extra attempts to each group, a common budget would
/// exceed the bound: a single slow group could receive the extra attempts earned by all groups.
#[derive(Clone, Debug)]
pub struct RouteBudgets {
    budgets: Vec<Budgets>,
    slack: Option<f64>,
    /// Length of the window in which extra attempts are bounded.
    window: Duration,
}

impl RouteBudgets {
    /// Creates the budgets of a route: a window for each group if the `division` has a slack, common
    /// token buckets otherwise.
    pub fn new(route: &Route, division: &Division) -> Self {
        let mut budgets = Self {
            budgets: Vec::new(),
            slack: division.slack(),
            window: division.window(),
        };
        budgets.reconfigure(route);
        budgets
    }

    /// Sets the slack of the windows. Attempts already counted still count.
    pub fn set_slack(&mut self, slack: Option<f64>) {
        self.slack = slack;
        for budgets in &mut self.budgets {
            if let (Budgets::Window(window), Some(slack)) = (budgets, slack) {
                window.set_slack(slack);
            }
        }
    }

    /// Applies a new configuration.
    pub fn reconfigure(&mut self, route: &Route) {
        let count = match self.slack {
            Some(_) => route.groups.len().max(1),
            None => 1,
        };
        let (slack, window) = (self.slack, self.window);
        self.budgets
            .resize_with(count, || Budgets::new(route, slack, window));
        for budgets in &mut self.budgets {
            budgets.reconfigure(route);
        }
    }

    /// Returns the number of retries available for the group with the fewest.
    pub fn available(&mut self, now: Time) -> f64 {
        let available = self.budgets.iter_mut().map(|budgets| match budgets {
            Budgets::Buckets { retries, .. } => retries.available(),
            Budgets::Window(window) => window.available(now),
        });
        available.fold(f64::INFINITY, f64::min)
    }

    /// Returns the budgets for one group, the common ones if there are none per group.
    pub fn for_group(&mut self, group: usize) -> &mut Budgets {
        let last = self.budgets.len() - 1;
        &mut self.budgets[group.min(last)]
    }
}
