//! Connections to one backend server.

use super::connection::{Connection, State};
use crate::Time;
use crate::attempt::ConnectionId;
use crate::placement::MAX_IDLE_TIME;
use std::time::Duration;

/// Maximum number of connections to a server that are opened concurrently. When a server restarts,
/// all homes lose their connections simultaneously; the limit keeps them from overloading it with
/// connects while it is cold.
const MAX_OPENING: usize = 2;

/// Pause after a failed connect; it doubles with each consecutive failure.
const BASE_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE_DOUBLINGS: u32 = 6;

/// Maximum number of doublings of the pause if the server closes new connections immediately.
const MAX_REJECTED_DOUBLINGS: u32 = 2;

/// Pause after the server has reported that its connection limit is reached.
const LIMIT_PAUSE: Duration = Duration::from_secs(1);

/// Limits on the connections to one server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    pub(super) max: usize,
    pub(super) spare: usize,
    pub(super) min_idle: usize,
    /// Time without demand after which the target shrinks by one connection.
    pub(super) idle_time: Duration,
}

/// Connections to one backend server.
#[derive(Clone, Debug)]
pub(super) struct ServerPool {
    pub(super) configured: bool,
    pub(super) leaving: bool,
    pub(super) reachable: bool,
    /// Idle connections, the most recently used last.
    pub(super) idle: Vec<ConnectionId>,
    pub(super) busy: usize,
    pub(super) opening: usize,
    /// Time at which a connection was last opened.
    pub(super) last_opened: Time,
    /// Time of the last reply.
    pub(super) last_answered: Time,
    /// Latest time at which an attempt was sent that has been answered.
    pub(super) latest_answered_send: Time,
    /// Recent maximum of concurrent demand.
    peak: usize,
    /// Requests that have found no idle connection since the last one that did.
    misses: usize,
    /// Whether an attempt found only idle connections that earlier attempts of its request have
    /// used, since a connection was last opened.
    pub(super) needs_unused: bool,
    peak_changed_at: Time,
    /// Time after which the peak shrinks.
    idle_time: Duration,
    /// Consecutive failed connects.
    failures: u32,
    paused_until: Option<Time>,
}

impl ServerPool {
    pub(super) fn new(now: Time) -> Self {
        Self {
            configured: true,
            leaving: false,
            // Servers count as reachable until a connect fails.
            reachable: true,
            idle: Vec::new(),
            busy: 0,
            opening: 0,
            last_opened: now,
            last_answered: now,
            latest_answered_send: now,
            peak: 0,
            misses: 0,
            needs_unused: false,
            peak_changed_at: now,
            idle_time: MAX_IDLE_TIME,
            failures: 0,
            paused_until: None,
        }
    }

    /// Resets the state after the server's process was replaced, except for connections in use and
    /// being opened.
    pub(super) fn replaced(&mut self, now: Time) {
        *self = Self {
            configured: self.configured,
            busy: self.busy,
            opening: self.opening,
            peak: self.peak,
            ..Self::new(now)
        };
    }

    pub(super) fn len(&self) -> usize {
        self.idle.len() + self.busy + self.opening
    }

    /// Returns whether the server was removed and has no connections left.
    pub(super) fn is_finished(&self) -> bool {
        !self.configured && self.len() == 0
    }

    pub(super) fn acquired(&mut self, now: Time) {
        self.busy += 1;
        self.misses = 0;
        self.raise_peak(self.busy, now);
    }

    pub(super) fn missed(&mut self, now: Time) {
        self.misses += 1;
        self.raise_peak(self.busy + self.misses, now);
    }

    /// Returns a connection to the pool after a reply to the attempt sent at `sent`.
    pub(super) fn released(&mut self, id: ConnectionId, sent: Time, now: Time) {
        self.busy = self.busy.saturating_sub(1);
        self.idle.push(id);
        self.last_answered = now;
        self.latest_answered_send = self.latest_answered_send.max(sent);
    }

    pub(super) fn put_back(&mut self, id: ConnectionId) {
        self.busy = self.busy.saturating_sub(1);
        self.idle.push(id);
    }

    pub(super) fn opened(&mut self, id: ConnectionId, now: Time) {
        self.opening = self.opening.saturating_sub(1);
        self.idle.push(id);
        self.last_opened = now;
        self.needs_unused = false;
        self.failures = 0;
        self.paused_until = None;
        self.reachable = true;
    }

    /// Removes a connection that has ended.
    ///
    /// The server becomes unreachable if no open connection is left after a failed connect or a
    /// loss during an attempt. The loss of an idle connection doesn't change that, because the
    /// server may just have closed it.
    pub(super) fn closed(&mut self, id: ConnectionId, connection: &Connection, now: Time) {
        self.remove(id, connection);
        let open = self.idle.len() + self.busy;
        match connection.state {
            State::Opening => {
                self.pause(now);
                self.reachable &= open > 0;
            }
            State::Busy(_) => self.reachable &= open > 0,
            State::Idle => {}
        }
    }

    /// Removes a new connection that the server closed immediately. If others are open, connects
    /// are paused for longer: the server can be used through those, and each new connect occupies
    /// one of its connections for a while.
    pub(super) fn rejected(&mut self, id: ConnectionId, connection: &Connection, now: Time) {
        self.remove(id, connection);
        if self.idle.len() + self.busy > 0 {
            self.connection_limit_reached(now);
            return;
        }
        // The server is healthy, and accepts connections again when another home closes some.
        self.failures = self.failures.min(MAX_REJECTED_DOUBLINGS);
        self.pause(now);
        self.reachable = false;
    }

    pub(super) fn remove(&mut self, id: ConnectionId, connection: &Connection) {
        match connection.state {
            State::Opening => self.opening = self.opening.saturating_sub(1),
            State::Busy(_) => self.busy = self.busy.saturating_sub(1),
            State::Idle => self.idle.retain(|other| *other != id),
        }
    }

    pub(super) fn connection_limit_reached(&mut self, now: Time) {
        self.paused_until = self.paused_until.max(Some(now + LIMIT_PAUSE));
    }

    /// Updates the timers: ends an expired pause and shrinks the peak.
    pub(super) fn advance(&mut self, limits: Limits, now: Time) {
        self.paused_until = self.paused_until.filter(|until| now < *until);
        self.peak = self.peak.min(limits.max);
        self.idle_time = limits.idle_time;
        if !self.idle.is_empty() {
            // Waiting requests have had a chance to take the idle connection.
            self.misses = 0;
        }
        if now >= self.peak_changed_at + self.idle_time && self.peak > self.demand() {
            self.peak -= 1;
            self.peak_changed_at = now;
        }
    }

    /// Returns the number of connections to open now.
    pub(super) fn to_open(&self, limits: Limits, now: Time) -> usize {
        let is_active = self.configured && !self.leaving;
        if !is_active || self.paused_until.is_some_and(|until| now < until) {
            return 0;
        }
        let max_opening = if self.reachable { MAX_OPENING } else { 1 };
        self.target(limits)
            .saturating_sub(self.len())
            .min(max_opening.saturating_sub(self.opening))
    }

    /// Returns whether a connection could be opened only in place of another one.
    pub(super) fn is_at_limit(&self, limits: Limits, now: Time) -> bool {
        let is_active = self.configured && !self.leaving;
        let is_paused = self.paused_until.is_some_and(|until| now < until);
        is_active && !is_paused && self.opening == 0 && self.to_open(limits, now) == 0
    }

    /// Returns the least recently used idle connection if there are more connections than the
    /// target.
    pub(super) fn excess_idle(&self, limits: Limits) -> Option<ConnectionId> {
        let is_active = self.configured && !self.leaving;
        let target = if is_active { self.target(limits) } else { 0 };
        let oldest = self.idle.first().copied();
        oldest.filter(|_| self.len() > target)
    }

    /// Returns whether a timer has expired.
    pub(super) fn is_due(&self, now: Time) -> bool {
        self.next_wake().is_some_and(|next_wake| next_wake <= now)
    }

    pub(super) fn next_wake(&self) -> Option<Time> {
        let shrink_at =
            (self.peak > self.demand()).then_some(self.peak_changed_at + self.idle_time);
        shrink_at.into_iter().chain(self.paused_until).min()
    }

    fn target(&self, limits: Limits) -> usize {
        let target = self.peak.max(self.busy) + limits.spare;
        target.max(limits.min_idle).min(limits.max)
    }

    /// Returns the connections in use plus the misses. Without the misses, the peak could shrink
    /// before a connection is opened for a waiting request, and the request would never be sent.
    fn demand(&self) -> usize {
        self.busy + self.misses
    }

    fn raise_peak(&mut self, demand: usize, now: Time) {
        if demand >= self.peak {
            self.peak = demand;
            self.peak_changed_at = now;
        }
    }

    /// Pauses connects after a failure. Waiting requests go to another server or wait for a
    /// connection in use.
    fn pause(&mut self, now: Time) {
        self.misses = 0;
        let time = BASE_PAUSE * 2_u32.pow(self.failures.min(MAX_PAUSE_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        self.paused_until = Some(now + time);
    }
}
