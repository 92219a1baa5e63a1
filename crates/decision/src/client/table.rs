//! What each connection holds, and which one to close next.

use super::{Budget, Connections};
use crate::Time;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without progress after which a connection counts as slow. Under pressure, slow connections are closed before
/// others, and no other is closed for its request.
pub const SLOW_AFTER: Duration = Duration::from_secs(1);

/// Bytes that a client has to send or take to have made progress. A client that moves single bytes makes none.
const PROGRESS_BYTES: usize = 4 * 1024;

/// Id of a connection, unique within a process.
pub type ConnectionId = u64;

/// Number of a listener in the order of [`Table::listen`].
pub type ListenerId = usize;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No request has been begun, or none since the last answer.
    Idle,
    /// A request has been begun; it is not complete.
    Receiving,
    /// A request is complete, and its answer is not.
    Working,
    /// An answer is complete; the client has not taken all of it.
    Delivering,
}

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shed {
    /// Its descriptor is needed. If a request arrives before it is closed, that one is answered first.
    Connection,
    /// What it has sent of a request takes memory that other requests need.
    Request,
    /// The answer that it does not read takes memory that other answers need.
    Answer,
}

/// Whether a new connection is served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is served.
    Served,
    /// It is served in place of another one, which is to be closed.
    Replaces(ConnectionId),
    /// Its requests are refused: all others have requests in progress.
    Excess,
    /// It is closed: as many are refused already.
    Closed,
}

/// Whether bytes of a request are accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Receipt {
    /// Whether the connection may hold the bytes.
    pub is_accepted: bool,
    /// Connections to be closed for that.
    pub shed: Vec<ConnectionId>,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    listener: ListenerId,
    /// Whether it is above the limit and its requests are refused.
    is_excess: bool,
    phase: Phase,
    /// Whether a request of it has been answered.
    is_served: bool,
    /// When it last made progress.
    since: Time,
    /// Bytes moved since then.
    moved: usize,
    /// Bytes of the request in progress.
    request_bytes: usize,
    /// Bytes of answers that the client has not taken.
    answer_bytes: usize,
    /// Whether another connection has taken its place in the count.
    is_replaced: bool,
    /// Why it is to be closed, if it is.
    shed: Option<Shed>,
    /// Bytes of answers that are released once it is closed.
    released_bytes: usize,
}

impl Connection {
    fn age(&self, now: Time) -> Duration {
        now.saturating_sub(self.since)
    }

    /// Returns whether the client keeps the host waiting.
    fn is_waited_for(&self) -> bool {
        match self.phase {
            Phase::Idle => !self.is_served,
            Phase::Receiving | Phase::Delivering => true,
            Phase::Working => false,
        }
    }

    /// Returns whether what it holds is no longer counted, because it is about to be released.
    fn is_cut(&self) -> bool {
        matches!(self.shed, Some(Shed::Request | Shed::Answer))
    }

    /// Records bytes that the client sent or took.
    fn advance(&mut self, bytes: usize, now: Time) {
        self.moved += bytes;
        if self.moved >= PROGRESS_BYTES {
            self.moved = 0;
            self.since = now;
        }
    }

    fn enter(&mut self, phase: Phase, now: Time) {
        self.phase = phase;
        self.moved = 0;
        self.since = now;
    }

    /// Returns whether it may be closed for its descriptor. An answer that a client reads is not cut off for another.
    fn is_replaceable(&self, now: Time) -> bool {
        match self.phase {
            Phase::Idle | Phase::Receiving => true,
            Phase::Working => false,
            Phase::Delivering => self.age(now) >= SLOW_AFTER,
        }
    }

    /// Returns the rank for its descriptor: the connection with the greatest is closed first.
    fn connection_rank(&self, now: Time) -> (bool, Duration) {
        let age = self.age(now);
        (self.is_waited_for() && age >= SLOW_AFTER, age)
    }
}

/// Returns the product of the memory that is held and the time for which it has been.
fn cost(bytes: usize, age: Duration) -> u128 {
    bytes as u128 * age.as_micros()
}

struct Listener {
    limits: Connections,
    served: usize,
    excess: usize,
}

/// The connections of clients at all listeners of a process.
pub struct Table {
    budget: Budget,
    listeners: Vec<Listener>,
    connections: BTreeMap<ConnectionId, Connection>,
    request_bytes: usize,
    answer_bytes: usize,
    /// Bytes of answers whose connections are to be closed for them.
    released_bytes: usize,
}

impl Table {
    /// Creates a table without listeners.
    pub fn new(budget: Budget) -> Self {
        Self {
            budget,
            listeners: Vec::new(),
            connections: BTreeMap::new(),
            request_bytes: 0,
            answer_bytes: 0,
            released_bytes: 0,
        }
    }

    /// Adds a listener with these limits.
    pub fn listen(&mut self, limits: Connections) -> ListenerId {
        self.listeners.push(Listener {
            limits,
            served: 0,
            excess: 0,
        });
        self.listeners.len() - 1
    }

    /// Returns the bytes that requests hold.
    pub fn request_bytes(&self) -> usize {
        self.request_bytes
    }

    /// Returns the bytes of answers that clients have not taken.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Decides whether a new connection is served. One that is closed is not kept in the table.
    ///
    /// # Panics
    ///
    /// Panics if the listener is not of this table.
    pub fn open(&mut self, id: ConnectionId, listener: ListenerId, now: Time) -> Admission {
        let admission = self.admit(listener, now);
        if admission != Admission::Closed {
            let connection = Connection {
                listener,
                is_excess: admission == Admission::Excess,
                phase: Phase::Idle,
                is_served: false,
                since: now,
                moved: 0,
                request_bytes: 0,
                answer_bytes: 0,
                is_replaced: false,
                shed: None,
                released_bytes: 0,
            };
            self.connections.insert(id, connection);
        }
        admission
    }

    fn admit(&mut self, listener: ListenerId, now: Time) -> Admission {
        let counts = &self.listeners[listener];
        if counts.served < counts.limits.served {
            self.listeners[listener].served += 1;
            return Admission::Served;
        }
        if let Some(worst) = self.worst_at(listener, now) {
            // The new connection takes the place of the closed one in the count.
            self.shed(worst, Shed::Connection);
            return Admission::Replaces(worst);
        }
        let counts = &mut self.listeners[listener];
        if counts.excess < counts.limits.excess {
            counts.excess += 1;
            return Admission::Excess;
        }
        Admission::Closed
    }

    /// Removes a closed connection.
    pub fn close(&mut self, id: ConnectionId) {
        self.release_request(id);
        self.release_answer(id);
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.released_bytes -= connection.released_bytes;
        let counts = &mut self.listeners[connection.listener];
        if connection.is_excess {
            counts.excess -= 1;
        } else if !connection.is_replaced {
            counts.served -= 1;
        }
    }

    /// Returns whether a request of the connection is complete and not answered yet.
    pub fn is_working(&self, id: ConnectionId) -> bool {
        let connection = self.connections.get(&id);
        connection.is_some_and(|connection| connection.phase == Phase::Working)
    }

    /// Records that the client sent bytes of a request.
    pub fn advance(&mut self, id: ConnectionId, bytes: usize, now: Time) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.advance(bytes, now);
        }
    }

    /// Takes memory for bytes of a request, none of them at the start of a body. Returns whether the connection may hold
    /// them.
    ///
    /// A request may grow to what is left for all others, so that long ones leave room for short ones.
    pub fn receive(&mut self, id: ConnectionId, bytes: usize, now: Time) -> Receipt {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Receipt::default();
        };
        if connection.is_cut() {
            return Receipt::default();
        }
        if connection.phase != Phase::Receiving {
            connection.enter(Phase::Receiving, now);
        }
        let held = connection.request_bytes + bytes;
        let limit = self.budget.request_bytes;
        let needed = (self.request_bytes + bytes + held).saturating_sub(limit);
        let shed = self.shed_requests(id, needed, now);
        let is_accepted = self.request_bytes + bytes + held <= limit;
        if is_accepted {
            self.request_bytes += bytes;
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.request_bytes = held;
            }
        }
        Receipt { is_accepted, shed }
    }

    /// Records that a request is complete.
    pub fn work(&mut self, id: ConnectionId, now: Time) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.enter(Phase::Working, now);
        }
    }

    /// Records that the answer to a request is complete.
    pub fn answer(&mut self, id: ConnectionId, now: Time) {
        self.release_request(id);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_served = true;
            let phase = match connection.answer_bytes {
                0 => Phase::Idle,
                _ => Phase::Delivering,
            };
            connection.enter(phase, now);
        }
    }

    /// Records how many bytes of answers the client has not taken, after it took some. Returns the connections to be
    /// closed because all answers together are too long.
    pub fn deliver(
        &mut self,
        id: ConnectionId,
        left: usize,
        taken: usize,
        now: Time,
    ) -> Vec<ConnectionId> {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Vec::new();
        };
        if connection.is_cut() {
            return Vec::new();
        }
        connection.advance(taken, now);
        if connection.phase == Phase::Idle && left > 0 {
            connection.enter(Phase::Delivering, now);
        } else if connection.phase == Phase::Delivering && left == 0 {
            connection.enter(Phase::Idle, now);
        }
        self.answer_bytes = self.answer_bytes - connection.answer_bytes + left;
        connection.answer_bytes = left;
        let excess = self.answer_bytes.saturating_sub(self.budget.answer_bytes);
        self.shed_answers(excess, Duration::ZERO, now)
    }

    /// Names the connections to be closed so that `bytes` of answers are released. Only clients that do not take theirs
    /// are chosen.
    pub fn relieve(&mut self, bytes: usize, now: Time) -> Vec<ConnectionId> {
        self.shed_answers(bytes.saturating_sub(self.released_bytes), SLOW_AFTER, now)
    }

    fn shed_requests(
        &mut self,
        except: ConnectionId,
        bytes: usize,
        now: Time,
    ) -> Vec<ConnectionId> {
        let held = |id, connection: &Connection| {
            let is_slow = connection.phase == Phase::Receiving && connection.age(now) >= SLOW_AFTER;
            match is_slow && id != except {
                true => connection.request_bytes,
                false => 0,
            }
        };
        self.shed_worst(bytes, now, Shed::Request, held)
    }

    fn shed_answers(&mut self, bytes: usize, min_age: Duration, now: Time) -> Vec<ConnectionId> {
        let held = |_, connection: &Connection| match connection.age(now) >= min_age {
            true => connection.answer_bytes,
            false => 0,
        };
        self.shed_worst(bytes, now, Shed::Answer, held)
    }

    /// Sheds the connections that hold most for longest until `bytes` are released.
    fn shed_worst(
        &mut self,
        bytes: usize,
        now: Time,
        reason: Shed,
        held: impl Fn(ConnectionId, &Connection) -> usize,
    ) -> Vec<ConnectionId> {
        let mut released = 0;
        let mut shed = Vec::new();
        while released < bytes {
            // One that answers its last request before it is closed may hold what it has for long.
            let open = self.connections.iter().filter(|(_, open)| !open.is_cut());
            let holders = open.filter_map(|(id, connection)| {
                let held = held(*id, connection);
                (held > 0).then(|| (cost(held, connection.age(now)), held, Reverse(*id)))
            });
            let Some((_, held, Reverse(id))) = holders.max() else {
                break;
            };
            released += held;
            self.shed(id, reason);
            shed.push(id);
        }
        shed
    }

    /// Returns the connection at a listener that is closed first for its descriptor, if any may be.
    fn worst_at(&self, listener: ListenerId, now: Time) -> Option<ConnectionId> {
        let candidates = self.connections.iter().filter(|(_, connection)| {
            connection.listener == listener
                && !connection.is_excess
                && connection.shed.is_none()
                && connection.is_replaceable(now)
        });
        let worst = candidates
            .max_by_key(|(id, connection)| (connection.connection_rank(now), Reverse(**id)));
        worst.map(|(id, _)| *id)
    }

    /// Marks a connection as to be closed. What it holds no longer counts if it is closed for that.
    fn shed(&mut self, id: ConnectionId, reason: Shed) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.shed = Some(reason);
            connection.is_replaced |= reason == Shed::Connection;
            if reason == Shed::Answer {
                connection.released_bytes = connection.answer_bytes;
                self.released_bytes += connection.answer_bytes;
            }
        }
        if reason != Shed::Connection {
            self.release_request(id);
            self.release_answer(id);
        }
    }

    fn release_request(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.request_bytes -= std::mem::take(&mut connection.request_bytes);
        }
    }

    fn release_answer(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.answer_bytes -= std::mem::take(&mut connection.answer_bytes);
        }
    }
}
