//! Rate limit for cold backend servers.
//!
//! A server that has just started, or has lost its caches, crashes if it receives too many requests
//! within one second from all hosts together. Hosts share no counter, so each has a fixed quota per
//! second ([`Division::cold_quota`](crate::placement::Division::cold_quota)), and the sum of all quotas stays
//! below the server's limit. Without it, every host would send its full load to a data centre that
//! comes back cold.
//!
//! The homes of a process share its quota: a [`Ledger`] counts what all of them send to each server,
//! also those that start or end while it is cold.

use crate::Time;
use monsoonring_configuration::id::BackendServerId;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
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

/// Attempts that the homes of a process send to one cold server.
#[derive(Debug, Default)]
struct Account {
    /// Attempts that wait for a connection to the server.
    queued: usize,
    /// Transmission times within the last [`RATE_WINDOW`], oldest first.
    sent: VecDeque<Time>,
    /// Blocks sending until then, because attempts sent before the server was known to be cold were
    /// not counted.
    blocked_until: Option<Time>,
}

impl Account {
    /// Drops what has left the window.
    fn expire(&mut self, now: Time) {
        self.sent.retain(|at| now < *at + RATE_WINDOW);
        self.blocked_until.take_if(|until| *until <= now);
    }

    fn is_empty(&self) -> bool {
        self.queued == 0 && self.sent.is_empty() && self.blocked_until.is_none()
    }
}

/// Attempts to cold servers, shared by the homes of a process; clones are the same ledger. All homes
/// use the same clock.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<FxHashMap<BackendServerId, Account>>>);

impl Ledger {
    // No code panics while it holds the lock, so the accounts are consistent even if poisoned.
    fn accounts(&self) -> MutexGuard<'_, FxHashMap<BackendServerId, Account>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update<T>(&self, server: BackendServerId, change: impl FnOnce(&mut Account) -> T) -> T {
        change(self.accounts().entry(server).or_default())
    }
}

/// Rate limit of one cold server, as one home of the process applies it.
#[derive(Debug)]
pub(crate) struct WarmUp {
    server: BackendServerId,
    limit: ColdLimit,
    ledger: Ledger,
    /// Attempts of this home that wait for a connection.
    queued: usize,
}

impl WarmUp {
    /// Creates the state for a server to which this home has sent nothing yet.
    pub(crate) fn new(server: BackendServerId, limit: ColdLimit, ledger: Ledger) -> Self {
        Self {
            server,
            limit,
            ledger,
            queued: 0,
        }
    }

    /// Creates the state for a server that was already in use, with `queued` attempts waiting for a
    /// connection. Nothing is sent for one window, because earlier attempts may still count towards
    /// the limit.
    pub(crate) fn in_use(
        server: BackendServerId,
        limit: ColdLimit,
        ledger: Ledger,
        queued: usize,
        now: Time,
    ) -> Self {
        ledger.update(server, |account| {
            account.queued += queued;
            account.blocked_until = account.blocked_until.max(Some(now + RATE_WINDOW));
        });
        Self {
            server,
            limit,
            ledger,
            queued,
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

    /// Returns whether another attempt may be made, given a quota of `share` attempts per second for
    /// all homes of the process.
    pub(crate) fn is_open(&self, share: usize, now: Time) -> bool {
        if self.is_over(now) {
            return true;
        }
        self.ledger.update(self.server, |account| {
            account.expire(now);
            account.blocked_until.is_none() && account.queued + account.sent.len() < share
        })
    }

    /// Records that an attempt waits for a connection.
    pub(crate) fn enqueue(&mut self) {
        self.queued += 1;
        self.ledger
            .update(self.server, |account| account.queued += 1);
    }

    /// Records that a waiting attempt was transmitted.
    pub(crate) fn record_sent(&mut self, now: Time) {
        self.dequeue();
        self.ledger.update(self.server, |account| {
            account.expire(now);
            account.sent.push_back(now);
        });
    }

    /// Drops transmissions that have left the window.
    pub(crate) fn tick(&self, now: Time) {
        self.ledger
            .update(self.server, |account| account.expire(now));
    }

    /// Records that a waiting attempt ended without being transmitted.
    pub(crate) fn dequeue(&mut self) {
        self.release(self.queued.min(1));
    }

    /// Returns the earliest time at which another attempt may be allowed, if none is allowed now.
    pub(crate) fn next_open(&self) -> Time {
        self.ledger.update(self.server, |account| {
            let oldest_expires = account.sent.front().map(|at| *at + RATE_WINDOW);
            let next = oldest_expires.into_iter().chain(account.blocked_until);
            next.fold(self.limit.until, Time::min)
        })
    }

    fn release(&mut self, attempts: usize) {
        self.queued -= attempts;
        self.ledger.update(self.server, |account| {
            account.queued = account.queued.saturating_sub(attempts);
        });
    }
}

impl Drop for WarmUp {
    fn drop(&mut self) {
        self.release(self.queued);
        let mut accounts = self.ledger.accounts();
        if accounts.get(&self.server).is_some_and(Account::is_empty) {
            accounts.remove(&self.server);
        }
    }
}
