//! Adaptive limit on the requests in flight.
//!
//! Until the first request is late the limit grows by one with each that ends in time. From then on
//! it grows by one per round of requests that end in time and shrinks by a quarter when one
//! takes more than its share of the deadline while backend servers have work waiting. Additive
//! increase with multiplicative decrease was chosen over a gradient on latency for two reasons. A
//! gradient needs the latency without load as its base, and in an overload that lasts it forgets
//! it. And several homes share the servers without talking about it: this rule brings their limits
//! to equal shares, a gradient keeps whatever shares it started from.
//!
//! Slow requests while servers have free slots shrink nothing. They come from a straggler, which
//! fewer requests would not make faster: seen as refusals on a half idle fleet.

use crate::Time;
use std::time::Duration;

/// Limit to start with.
const INITIAL: f64 = 16.0;

/// Bounds of the limit. The lower one leaves a place that only the urgent may take.
const AT_LEAST: f64 = 2.0;
const AT_MOST: f64 = 10_000.0;

/// What the limit is multiplied by when a request is late. A tenth less each time left servers that
/// were asked for a fifth more than they can do with so much waiting that half of the answers were late:
/// worth of the two worst windows of such a surge 0.33 in place of 0.46 (modelled, eight seeds). At half,
/// servers that could have answered more are left idle where all that counts is whether there is an
/// answer.
const SHRINK: f64 = 0.75;

/// The limit grows only while at least this share of it is used: an unused one proves nothing. It is
/// half of what the lowest class may fill, or that class would be refused while servers have room.
const USED: f64 = 0.2;

/// Adaptive limit on the requests in flight.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    limit: f64,
    shrunk: Option<Time>,
}

impl Limit {
    pub(super) fn new() -> Self {
        Self {
            limit: INITIAL,
            shrunk: None,
        }
    }

    pub(super) fn get(&self) -> f64 {
        self.limit
    }

    /// Records a request that ended within its share of the deadline, when `in_flight` were.
    pub(super) fn in_time(&mut self, in_flight: usize) {
        if (in_flight as f64) < self.limit * USED {
            return;
        }
        let step = match self.shrunk {
            None => 1.0,
            Some(_) => 1.0 / self.limit,
        };
        self.limit = (self.limit + step).min(AT_MOST);
    }

    /// Records a request that was late after `took`.
    ///
    /// The cut is taken from the limit and not from what is in flight: now and then a single request
    /// takes long by itself, and must not cost half of the limit on a quiet day.
    pub(super) fn late(&mut self, took: Duration, now: Time) {
        // Requests admitted before the last decrease were slowed by what it has already cut.
        let sent = now.saturating_sub(took);
        if self.shrunk.is_some_and(|shrunk| sent < shrunk) {
            return;
        }
        self.limit = (self.limit * SHRINK).max(AT_LEAST);
        self.shrunk = Some(now);
    }
}
