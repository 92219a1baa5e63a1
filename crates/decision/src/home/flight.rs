//! Attempts in flight or queued for a connection.

use crate::attempt::{AttemptId, ConnectionId};
use crate::query::coverage::KeySet;
use crate::query::search::{Cause, PartId};
use crate::{Fingerprint, RequestId, Time};
use monsoonring_configuration::document::Class;
use monsoonring_configuration::id::{BackendServerId, IndexVersion};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// What an attempt belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Owner {
    /// A part of a search.
    Part(RequestId, PartId),
    /// A non-idempotent request.
    Execution(RequestId),
    /// Nothing: it was cancelled or its request has ended. It stays in the table until it ends,
    /// because it occupies its connection until then.
    Detached,
}

/// An attempt that is queued or in flight.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    pub(super) id: AttemptId,
    pub(super) owner: Owner,
    pub(super) server: BackendServerId,
    pub(super) class: Class,
    pub(super) fingerprint: Fingerprint,
    /// The requested keys.
    pub(super) keys: KeySet,
    pub(super) version: Option<IndexVersion>,
    /// The connection that it was sent on; `None` while queued.
    pub(super) connection: Option<ConnectionId>,
    pub(super) cause: Cause,
    pub(super) deadline: Time,
    /// When to send a hedge if no reply has arrived.
    pub(super) hedge_at: Option<Time>,
    /// Delay until the late hedge if the budget denies the first one; `None` once that is used.
    pub(super) late_hedge_delay: Option<Duration>,
    /// When to check whether the connection is silent; `None` while queued.
    pub(super) check_at: Option<Time>,
    /// When to give up the connection unconditionally.
    pub(super) give_up_at: Time,
}

impl Flight {
    /// Returns when the next timer of the attempt is due.
    pub(super) fn next_due(&self) -> Time {
        let due = [self.hedge_at, self.check_at, Some(self.give_up_at)];
        due.into_iter().flatten().min().unwrap_or(self.give_up_at)
    }
}

/// The attempts of a home, by id, by connection and by server queue.
#[derive(Debug, Default)]
pub(super) struct Table {
    flights: FxHashMap<AttemptId, Flight>,
    by_connection: FxHashMap<ConnectionId, AttemptId>,
    queues: FxHashMap<BackendServerId, BTreeSet<(Class, AttemptId)>>,
}

impl Table {
    pub(super) fn get(&self, id: AttemptId) -> Option<&Flight> {
        self.flights.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: AttemptId) -> Option<&mut Flight> {
        self.flights.get_mut(&id)
    }

    /// Returns the attempt that occupies a connection.
    pub(super) fn attempt_on(&self, connection: ConnectionId) -> Option<AttemptId> {
        self.by_connection.get(&connection).copied()
    }

    /// Adds an attempt to the queue of its server.
    pub(super) fn queue(&mut self, flight: Flight) {
        let entry = (flight.class, flight.id);
        self.queues.entry(flight.server).or_default().insert(entry);
        self.flights.insert(flight.id, flight);
    }

    /// Returns the head of a server's queue: the most urgent class, then the oldest attempt.
    pub(super) fn first_queued(&self, server: BackendServerId) -> Option<AttemptId> {
        let queue = self.queues.get(&server)?;
        queue.first().map(|(_, id)| *id)
    }

    /// Returns the attempts in a server's queue.
    pub(super) fn queued(&self, server: BackendServerId) -> Vec<AttemptId> {
        let queue = self.queues.get(&server).into_iter().flatten();
        queue.map(|(_, id)| *id).collect()
    }

    /// Moves an attempt from the queue to a connection.
    pub(super) fn mark_sent(
        &mut self,
        id: AttemptId,
        connection: ConnectionId,
    ) -> Option<&mut Flight> {
        let flight = self.flights.get_mut(&id)?;
        flight.connection = Some(connection);
        self.by_connection.insert(connection, id);
        unqueue(&mut self.queues, flight);
        Some(flight)
    }

    /// Removes an attempt.
    pub(super) fn remove(&mut self, id: AttemptId) -> Option<Flight> {
        let flight = self.flights.remove(&id)?;
        match flight.connection {
            Some(connection) => {
                self.by_connection.remove(&connection);
            }
            None => unqueue(&mut self.queues, &flight),
        }
        Some(flight)
    }

    /// Removes an attempt that was sent. Returns `None` for a queued one, which can't have ended.
    pub(super) fn take_sent(&mut self, id: AttemptId) -> Option<Flight> {
        self.get(id)?.connection?;
        self.remove(id)
    }
}

type Queues = FxHashMap<BackendServerId, BTreeSet<(Class, AttemptId)>>;

fn unqueue(queues: &mut Queues, flight: &Flight) {
    let Some(queue) = queues.get_mut(&flight.server) else {
        return;
    };
    queue.remove(&(flight.class, flight.id));
    if queue.is_empty() {
        queues.remove(&flight.server);
    }
}
