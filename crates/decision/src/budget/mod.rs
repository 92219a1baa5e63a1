//! Budgets for extra attempts, in per cent of the first ones.
//!
//! Each first attempt puts a fraction of a token into a bucket, each hedge or retry takes a whole
//! one out, so that extra load stays in proportion whatever fails. While attempts fail the fraction
//! shrinks by a factor and while they succeed it grows by a step: retries help against a single
//! server's trouble and add to everybody's, and what tells the two apart is how many fail. With one
//! failure in ten attempts the budget stays whole, with one in two it falls to a tenth.
//!
//! Invariant: at any time the extra attempts taken are at most [`Budget::INITIAL`] plus `percent`
//! in a hundred of the first attempts.

mod window;

pub use window::Window;

use crate::Time;
use crate::placement::Division;
use monsoonring_configuration::document::Route;
use std::time::Duration;

/// What the fraction is multiplied by at each failure.
const SHRINK: f64 = 0.9;

/// What is added to it at each success.
const GROW: f64 = 0.01;

/// The factor never falls below this, so that successes are still found out.
const FACTOR_AT_LEAST: f64 = 0.01;

/// First attempts whose tokens are kept: a long calm may not pay for a storm.
const KEPT: f64 = 1_000.0;

/// Share of each token that is put aside for extra attempts that can't wait, and the share of what
/// may be saved at which that ends.
const PUT_ASIDE: f64 = 0.2;
const RESERVE: f64 = 0.5;

/// Share of what is allowed that retries may use without which there is an answer all the same. At
/// half of it, days on which servers turn away much lost 0.05 of their worth, as a whole answer is
/// worth a fifth more than one that lacks a shard of ten; at all of it, days on which servers fail
/// much earn 0.01 less.
const SPARE_SHARE: f64 = 0.85;

/// Share of what is allowed above which it matters who gets the rest. Earlier, failed parts would wait
/// for others although there is enough for all.
const SCARCE_SHARE: f64 = 0.75;

/// Retries that a search may need and still use all that is allowed, the part less that it may use
/// for each further one, and the part that it may use at least. With four of ten attempts failing and
/// a fifth more allowed, there is enough for searches that need up to three, and not for all of those.
const FEW_RETRIES: u32 = 2;
const SCARCER: f64 = 0.15;
const LEAST_SHARE: f64 = 0.4;

/// Token bucket that first attempts fill and extra attempts empty.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: f64,
    factor: f64,
    tokens: f64,
    /// Part of the tokens that only [`Self::take`] may use.
    reserve: f64,
}

impl Budget {
    /// Extra attempts that can be taken before any first one, where the percentage is not 0: a lone
    /// request can still be sent again.
    pub const INITIAL: f64 = 1.0;

    /// Makes a budget of `percent` extra attempts per hundred first ones.
    pub fn new(percent: f64) -> Self {
        Self {
            percent,
            factor: 1.0,
            reserve: 0.0,
            tokens: if percent > 0.0 { Self::INITIAL } else { 0.0 },
        }
    }

    /// Takes over a new percentage.
    pub fn set_percent(&mut self, percent: f64) {
        self.percent = percent;
        self.tokens = self.tokens.min(self.most());
    }

    /// Records a first attempt.
    pub fn deposit(&mut self, _now: Time) {
        let token = self.percent / 100.0 * self.factor;
        self.tokens = (self.tokens + token).min(self.most());
        let aside = self.reserve + token * PUT_ASIDE;
        self.reserve = aside.min(self.most() * RESERVE).min(self.tokens);
    }

    /// Takes one extra attempt out of the budget. Returns whether there was one.
    pub fn take(&mut self, _now: Time) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
            self.reserve = self.reserve.min(self.tokens);
        }
        enough
    }

    /// Takes one extra attempt that can wait: it leaves what was put aside. Those that can't wait
    /// would otherwise find the budget spent whenever the ordinary ones use it up, as a hedge at the
    /// 95th percentile does with a budget of five per cent.
    pub fn take_deferrable(&mut self, now: Time) -> bool {
        let spare = self.tokens - self.reserve >= 1.0;
        spare && self.take(now)
    }

    /// Gives back an extra attempt that was taken and not sent.
    pub fn give_back(&mut self) {
        self.tokens += 1.0;
    }

    /// Records that an attempt succeeded, which lets a shrunken budget grow.
    pub fn succeeded(&mut self, _now: Time) {
        self.factor = (self.factor + GROW).min(1.0);
    }

    /// Records that an attempt failed, which shrinks the budget.
    pub fn failed(&mut self, _now: Time) {
        self.factor = (self.factor * SHRINK).max(FACTOR_AT_LEAST);
        self.tokens = self.tokens.min(self.most());
        self.reserve = self.reserve.min(self.tokens);
    }

    /// Returns the extra attempts that could be taken now.
    pub fn available(&self) -> f64 {
        self.tokens
    }

    /// Returns the factor by which failures have shrunk the budget, from 0 to 1.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    fn most(&self) -> f64 {
        if self.percent <= 0.0 {
            return 0.0;
        }
        (self.percent / 100.0 * self.factor * KEPT).max(Self::INITIAL)
    }
}

/// What rests on a further attempt after a failed one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Importance {
    /// The answer is one without it, only not a whole one.
    Optional,
    /// There is no answer without it, and as many retries were made for the same request before.
    Required(u32),
}

impl Importance {
    /// Returns the share of what is allowed that it may use.
    fn share(self) -> f64 {
        match self {
            Self::Optional => SPARE_SHARE,
            Self::Required(before) => {
                let beyond = before.saturating_sub(FEW_RETRIES);
                (1.0 - SCARCER * f64::from(beyond)).max(LEAST_SHARE)
            }
        }
    }
}

/// What may be sent beyond the first attempts, to one group of backend servers or to all of them.
#[derive(Clone, Debug)]
pub enum Budgets {
    /// A share of the first attempts for hedges, and another for retries.
    Buckets {
        /// Second attempts beside a slow one.
        hedges: Budget,
        /// Further attempts after a failed one.
        retries: Budget,
    },
    /// One bound on all of them in a window of time.
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
            Self::Window(window) => window.first(now),
        }
    }

    /// Takes a further attempt after a failed one. Returns whether there was one.
    pub fn take_retry(&mut self, importance: Importance, now: Time) -> bool {
        match self {
            Self::Buckets { retries, .. } => retries.take(now),
            Self::Window(window) => window.take_of(importance.share(), now),
        }
    }

    /// Tells whether there is a further attempt for such a need.
    pub fn has_retry(&mut self, importance: Importance, now: Time) -> bool {
        match self {
            Self::Buckets { retries, .. } => retries.available() >= 1.0,
            Self::Window(window) => window.has_of(importance.share(), now),
        }
    }

    /// Tells whether so much is used up that it matters who gets the rest. Buckets shrink with
    /// failures instead.
    pub fn is_scarce(&mut self, now: Time) -> bool {
        match self {
            Self::Buckets { .. } => false,
            Self::Window(window) => !window.has_of(SCARCE_SHARE, now),
        }
    }

    /// Takes a hedge that can wait. Returns whether there was one.
    pub fn take_hedge(&mut self, now: Time) -> bool {
        match self {
            Self::Buckets { hedges, .. } => hedges.take_deferrable(now),
            Self::Window(window) => window.take_deferrable(now),
        }
    }

    /// Takes a hedge that can't wait. Returns whether there was one.
    pub fn take_required_hedge(&mut self, now: Time) -> bool {
        match self {
            Self::Buckets { hedges, .. } => hedges.take(now),
            Self::Window(window) => window.take(now),
        }
    }

    /// Gives back a hedge that was taken and not sent.
    pub fn give_back_hedge(&mut self) {
        match self {
            Self::Buckets { hedges, .. } => hedges.give_back(),
            Self::Window(window) => window.give_back(),
        }
    }

    /// Gives back a retry that was taken and not sent.
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
    /// It shrinks no window. The owners' bound holds whatever fails, so that staying further below it
    /// would spare their servers little and cost answers: while servers turned away half of what they
    /// got, budgets that shrink fell to a hundredth.
    pub fn failed(&mut self, now: Time) {
        if let Self::Buckets { hedges, retries } = self {
            hedges.failed(now);
            retries.failed(now);
        }
    }
}

/// Extra attempts of both kinds, in per cent of the first ones.
fn percent(route: &Route) -> f64 {
    route.hedge.budget_percent + route.retry.budget_percent
}

/// The budgets of a home: one for the whole route, or one for each group.
///
/// Where the owners of the backend servers bound the extra attempts at each group, a common budget
/// would not do: one slow group out of ten would be sent what all ten have earned, as many extra
/// attempts as it has first ones.
#[derive(Clone, Debug)]
pub struct RouteBudgets {
    budgets: Vec<Budgets>,
    slack: Option<f64>,
    /// Time over which extra attempts are bounded.
    window: Duration,
}

impl RouteBudgets {
    /// Makes the budgets of a route for a home that takes its part of the `division`: a window for
    /// each group where extra attempts are bounded, common budgets otherwise.
    pub fn new(route: &Route, division: &Division) -> Self {
        let mut budgets = Self {
            budgets: Vec::new(),
            slack: division.slack(),
            window: division.window(),
        };
        budgets.reconfigure(route);
        budgets
    }

    /// Takes over another slack, where the extra attempts are bounded. Those that were made count on.
    pub fn set_slack(&mut self, slack: Option<f64>) {
        self.slack = slack;
        for budgets in &mut self.budgets {
            if let (Budgets::Window(window), Some(slack)) = (budgets, slack) {
                window.set_slack(slack);
            }
        }
    }

    /// Takes over a new configuration.
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

    /// Returns the retries that could be made now at the group that has fewest left.
    pub fn available(&mut self, now: Time) -> f64 {
        let available = self.budgets.iter_mut().map(|budgets| match budgets {
            Budgets::Buckets { retries, .. } => retries.available(),
            Budgets::Window(window) => window.available(now),
        });
        available.fold(f64::INFINITY, f64::min)
    }

    /// Returns the budgets for one group.
    ///
    /// # Panics
    ///
    /// Never: there is always one at least.
    pub fn for_group(&mut self, group: usize) -> &mut Budgets {
        let last = self.budgets.len() - 1;
        &mut self.budgets[group.min(last)]
    }
}
