//! Rate limit for cold backend servers.
//!
//! A server that has just started, or has lost its caches, crashes if it receives too many requests
//! within one second from all homes together. Homes share no counter, so each has a fixed quota per
//! second ([`Division::cold_quota`](crate::placement::Division::cold_quota)), and the sum of all quotas stays
//! below the server's limit. Without it, every home would send its full load to a data centre that
//! comes back cold.

use crate::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Length of the sliding window. It is slightly longer than the second over which a server counts
/// requests, because transmission times vary.
const RATE_WINDOW: Duration = Duration::from_millis(1_050);

/// Rate limit of a server while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Time at which the server stops being cold.
    pub until: Time,
    /// Requests per second that the server can take from all homes together.
    pub max_rate: f64,
}

/// Attempts that this home sends to a cold server.
#[derive(Clone, Debug)]
pub(crate) struct WarmUp {
    limit: ColdLimit,
    /// Attempts that wait for a connection to the server.
    queued: usize,
    /// Transmission times within the last `RATE_WINDOW`, oldest first.
    sent: VecDeque<Time>,
    /// Blocks sending until then, because attempts sent before the server was known to be cold were
    /// not counted.
    blocked_until: Option<Time>,
}

impl WarmUp {
    /// Creates the state for a server to which this home has sent nothing yet.
    pub(crate) fn new(limit: ColdLimit) -> Self {
        Self {
            limit,
            queued: 0,
            sent: VecDeque::new(),
            blocked_until: None,
        }
    }

    /// Creates the state for a server that was already in use, with `queued` attempts waiting for a
    /// connection. Nothing is sent for one window, because earlier attempts may still count towards
    /// the limit.
    pub(crate) fn in_use(limit: ColdLimit, queued: usize, now: Time) -> Self {
        Self {
            queued,
            blocked_until: Some(now + RATE_WINDOW),
            ..Self::new(limit)
        }
    }

    /// Replaces the rate limit.
    pub(crate) fn set_limit(&mut self, limit: ColdLimit) {
        self.limit = limit;
    }

    pub(crate) fn limit(&self) -> ColdLimit {
        self.limit
    }

    pub(crate) fn is_over(&self, now: Time) -> bool {
        self.limit.until <= now
    }

    /// Returns whether another attempt may be made, given a quota of `share` attempts per second.
    pub(crate) fn is_open(&self, share: usize, now: Time) -> bool {
        if self.is_over(now) {
            return true;
        }
        let counted = self
            .sent
            .iter()
            .filter(|at| now < **at + RATE_WINDOW)
            .count();
        self.blocked_until.is_none_or(|until| until <= now) && self.queued + counted < share
    }

    /// Records that an attempt waits for a connection.
    pub(crate) fn enqueue(&mut self) {
        self.queued += 1;
    }

    /// Records that a waiting attempt was transmitted.
    pub(crate) fn record_sent(&mut self, now: Time) {
        self.dequeue();
        self.tick(now);
        self.sent.push_back(now);
    }

    /// Drops transmissions that have left the window.
    pub(crate) fn tick(&mut self, now: Time) {
        self.sent.retain(|at| now < *at + RATE_WINDOW);
        self.blocked_until.take_if(|until| *until <= now);
    }

    /// Records that a waiting attempt ended without being transmitted.
    pub(crate) fn dequeue(&mut self) {
        self.queued = self.queued.saturating_sub(1);
    }

    /// Returns the earliest time at which another attempt may be allowed, if none is allowed now.
    pub(crate) fn next_open(&self) -> Time {
        let oldest_expires = self.sent.front().map(|at| *at + RATE_WINDOW);
        let next = oldest_expires.into_iter().chain(self.blocked_until);
        next.fold(self.limit.until, Time::min)
    }
}
