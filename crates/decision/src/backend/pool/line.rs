//! The connections to one backend server.

use super::connection::{Connection, State};
use crate::Time;
use crate::attempt::ConnectionId;
use crate::placement::MAX_IDLE_TIME;
use std::time::Duration;

/// Connections to one server that are being opened at the same time. After a restart of the server
/// every home finds all its connections gone at once; without this bound they would all be opened
/// again at once, seen as connect times far above the usual just when the server is cold.
const OPENING_AT_MOST: usize = 2;

/// Pause after a failed connect; it doubles with each further one.
const PAUSE: Duration = Duration::from_millis(100);
const PAUSE_DOUBLINGS: u32 = 6;

/// How often the pause doubles where the server ends new connections at once.
const ENDED_DOUBLINGS: u32 = 2;

/// Pause after the server said that its connection limit is reached.
const CROWDED: Duration = Duration::from_secs(1);

/// How many connections a line may have, and how many it has beyond its need.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    pub(super) most: usize,
    pub(super) spare: usize,
    pub(super) floor: usize,
    /// Time after which the connections kept ready shrink by one.
    pub(super) held_for: Duration,
}

/// The connections to one backend server.
#[derive(Clone, Debug)]
pub(super) struct Line {
    pub(super) configured: bool,
    pub(super) leaving: bool,
    pub(super) reachable: bool,
    /// Idle connections, the one used last at the end.
    pub(super) idle: Vec<ConnectionId>,
    pub(super) busy: usize,
    pub(super) opening: usize,
    /// Time at which a connection last opened.
    pub(super) connected: Time,
    /// Time at which an attempt was last answered.
    pub(super) answered: Time,
    /// Latest time at which an attempt was sent that has been answered.
    pub(super) overtaken: Time,
    /// Most connections needed at once, lately.
    peak: usize,
    /// Needs that found no idle connection, since the last that did.
    misses: usize,
    shrunk: Time,
    /// Time after which the peak shrinks.
    held_for: Duration,
    /// Connects that failed in a row.
    failures: u32,
    paused: Option<Time>,
}

impl Line {
    pub(super) fn new(now: Time) -> Self {
        Self {
            configured: true,
            leaving: false,
            // Until a connect has failed nothing speaks against the server.
            reachable: true,
            idle: Vec::new(),
            busy: 0,
            opening: 0,
            connected: now,
            answered: now,
            overtaken: now,
            peak: 0,
            misses: 0,
            shrunk: now,
            held_for: MAX_IDLE_TIME,
            failures: 0,
            paused: None,
        }
    }

    /// Another start is at the address: failures to connect were the earlier one's.
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

    /// Tells whether a removed server's last connection has gone.
    pub(super) fn is_over(&self) -> bool {
        !self.configured && self.len() == 0
    }

    pub(super) fn taken(&mut self, now: Time) {
        self.busy += 1;
        self.misses = 0;
        self.raise_peak(self.busy, now);
    }

    pub(super) fn missed(&mut self, now: Time) {
        self.misses += 1;
        self.raise_peak(self.busy + self.misses, now);
    }

    /// Takes back a connection on which an attempt sent at `sent` was answered.
    pub(super) fn released(&mut self, id: ConnectionId, sent: Time, now: Time) {
        self.busy = self.busy.saturating_sub(1);
        self.idle.push(id);
        self.answered = now;
        self.overtaken = self.overtaken.max(sent);
    }

    pub(super) fn put_back(&mut self, id: ConnectionId) {
        self.busy = self.busy.saturating_sub(1);
        self.idle.push(id);
    }

    pub(super) fn opened(&mut self, id: ConnectionId, now: Time) {
        self.opening = self.opening.saturating_sub(1);
        self.idle.push(id);
        self.connected = now;
        self.failures = 0;
        self.paused = None;
        self.reachable = true;
    }

    /// Takes out a connection that has ended by itself.
    ///
    /// A failed connect with none left makes the server unreachable, and so does the loss of the
    /// last connection under an attempt. One lost connection among others says nothing of the
    /// server, and an idle one may simply have been closed by it.
    pub(super) fn closed(&mut self, id: ConnectionId, connection: &Connection, now: Time) {
        self.remove(id, connection);
        let left = self.idle.len() + self.busy;
        match connection.state {
            State::Opening => {
                self.pause(now);
                self.reachable &= left > 0;
            }
            State::Busy(_) => self.reachable &= left > 0,
            State::Idle => {}
        }
    }

    /// Takes out a new connection that the server has ended at once. With others open it is left
    /// alone for longer: it serves over those, and each try takes one of its slots for a while.
    pub(super) fn rejected(&mut self, id: ConnectionId, connection: &Connection, now: Time) {
        self.remove(id, connection);
        if self.idle.len() + self.busy > 0 {
            self.connection_limit_reached(now);
            return;
        }
        // It is well, and has room again as soon as another home gives some up.
        self.failures = self.failures.min(ENDED_DOUBLINGS);
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
        self.paused = self.paused.max(Some(now + CROWDED));
    }

    /// Lets time act: a pause ends, the peak shrinks.
    pub(super) fn elapse(&mut self, share: Share, now: Time) {
        self.paused = self.paused.filter(|until| now < *until);
        self.peak = self.peak.min(share.most);
        self.held_for = share.held_for;
        if !self.idle.is_empty() {
            // What waited has had its chance.
            self.misses = 0;
        }
        if now >= self.shrunk + self.held_for && self.peak > self.needed() {
            self.peak -= 1;
            self.shrunk = now;
        }
    }

    /// Returns how many connections are to be opened now.
    pub(super) fn missing(&self, share: Share, now: Time) -> usize {
        let wanted = self.configured && !self.leaving;
        if !wanted || self.paused.is_some_and(|until| now < until) {
            return 0;
        }
        let at_once = if self.reachable { OPENING_AT_MOST } else { 1 };
        self.target(share)
            .saturating_sub(self.len())
            .min(at_once.saturating_sub(self.opening))
    }

    /// Returns the idle connection to be closed now, if there is one too many.
    pub(super) fn excess(&self, share: Share) -> Option<ConnectionId> {
        let wanted = self.configured && !self.leaving;
        let target = if wanted { self.target(share) } else { 0 };
        let oldest = self.idle.first().copied();
        oldest.filter(|_| self.len() > target)
    }

    /// Tells whether time alone has given it something to do.
    pub(super) fn is_due(&self, now: Time) -> bool {
        self.wake().is_some_and(|wake| wake <= now)
    }

    pub(super) fn wake(&self) -> Option<Time> {
        let shrinks = (self.peak > self.needed()).then_some(self.shrunk + self.held_for);
        shrinks.into_iter().chain(self.paused).min()
    }

    fn target(&self, share: Share) -> usize {
        let need = self.peak.max(self.busy) + share.spare;
        need.max(share.floor).min(share.most)
    }

    /// Returns the connections in use, and those that are waited for. Without the latter, where nothing is held without
    /// need the need would be over before a connection is asked for, and what waits would never be sent.
    fn needed(&self) -> usize {
        self.busy + self.misses
    }

    fn raise_peak(&mut self, needed: usize, now: Time) {
        if needed >= self.peak {
            self.peak = needed;
            self.shrunk = now;
        }
    }

    /// Leaves the server alone after a failed connect. What waited for it goes elsewhere, or waits for one in use.
    fn pause(&mut self, now: Time) {
        self.misses = 0;
        let time = PAUSE * 2_u32.pow(self.failures.min(PAUSE_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        self.paused = Some(now + time);
    }
}
