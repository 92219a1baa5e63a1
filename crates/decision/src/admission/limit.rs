//! Adaptive limit on the requests in flight (additive increase, multiplicative decrease).
//!
//! As in TCP slow start, the limit grows by one with each request that meets the target latency until
//! the first one misses it. From then on it grows by one per window of such requests, and shrinks
//! when a request misses the target while requests are queued at the backend servers.
//!
//! AIMD is preferred to a latency gradient for two reasons. A gradient needs the latency without load
//! as its baseline and loses it in a long overload. And AIMD makes the limits of homes that share
//! backend servers converge to equal shares without coordination.
//!
//! Slow requests don't shrink the limit while servers have free slots: these come from a straggler,
//! which fewer requests would not speed up.

use crate::Time;
use std::time::Duration;

/// Limit at the start.
const INITIAL_LIMIT: f64 = 16.0;

/// Lower bound of the limit. Leaves one slot that only the urgent class may fill.
const MIN_LIMIT: f64 = 2.0;
/// Upper bound of the limit.
const MAX_LIMIT: f64 = 10_000.0;

/// Factor applied to the limit when a request is late. A value closer to 1 leaves long queues at the
/// servers during a surge, a smaller one leaves servers idle.
const DECREASE_FACTOR: f64 = 0.75;

/// Share of the limit that must be in use for it to grow, because latency below that says nothing about
/// the limit. Half of what the background class may fill, or that class would be refused while servers
/// have capacity.
const MIN_UTILIZATION: f64 = 0.2;

/// Adaptive limit on the requests in flight.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    limit: f64,
    last_decrease: Option<Time>,
}

impl Limit {
    pub(super) fn new() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            last_decrease: None,
        }
    }

    pub(super) fn get(&self) -> f64 {
        self.limit
    }

    /// Raises the limit after a request that met the target latency; `in_flight` includes it.
    pub(super) fn increase(&mut self, in_flight: usize) {
        if (in_flight as f64) < self.limit * MIN_UTILIZATION {
            return;
        }
        let step = match self.last_decrease {
            None => 1.0,
            Some(_) => 1.0 / self.limit,
        };
        self.limit = (self.limit + step).min(MAX_LIMIT);
    }

    /// Lowers the limit after a request that took `took` and missed the target latency.
    ///
    /// The decrease applies to the limit and not to the requests in flight: otherwise a single slow
    /// request would cut the limit to almost nothing under low load.
    pub(super) fn decrease(&mut self, took: Duration, now: Time) {
        // Requests admitted before the last decrease were delayed by load that it already removed.
        let admitted = now.saturating_sub(took);
        if self.last_decrease.is_some_and(|last| admitted < last) {
            return;
        }
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
        self.last_decrease = Some(now);
    }
}
