//! Attempts in progress, and those that wait for a connection.

use crate::attempt::{AttemptId, ConnectionId};
use crate::query::coverage::KeySet;
use crate::query::search::{Cause, PartId};
use crate::{Fingerprint, RequestId, Time};
use monsoonring_configuration::document::Class;
use monsoonring_configuration::id::{BackendServerId, IndexVersion};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// What an attempt is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Owner {
    /// A part of a search.
    Part(RequestId, PartId),
    /// A non-idempotent request.
    Execution(RequestId),
    /// Nobody any more: it was cancelled or its request has ended. It stays on record because its
    /// connection is busy until it ends.
    Nobody,
}

/// An attempt in progress.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    pub(super) id: AttemptId,
    pub(super) owner: Owner,
    pub(super) server: BackendServerId,
    pub(super) class: Class,
    pub(super) fingerprint: Fingerprint,
    /// The keys asked for.
    pub(super) asked: KeySet,
    pub(super) version: Option<IndexVersion>,
    /// The connection it was sent on; `None` while it waits for one.
    pub(super) connection: Option<ConnectionId>,
    pub(super) cause: Cause,
    pub(super) deadline: Time,
    /// When to send a second one, if nothing has come by then.
    pub(super) hedge_at: Option<Time>,
    /// How much later to try again where the hedge budget has nothing to spare; `None` after that.
    pub(super) late_by: Option<Duration>,
    /// When to look whether its connection has gone silent; `None` while it waits for one.
    pub(super) check_at: Option<Time>,
    /// When to give up its connection, whatever others do.
    pub(super) lost_at: Time,
}

impl Flight {
    /// Returns when something is due next.
    pub(super) fn next(&self) -> Time {
        let due = [self.hedge_at, self.check_at, Some(self.lost_at)];
        due.into_iter().flatten().min().unwrap_or(self.lost_at)
    }
}

/// The attempts in progress.
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
    pub(super) fn on(&self, connection: ConnectionId) -> Option<AttemptId> {
        self.by_connection.get(&connection).copied()
    }

    /// Adds an attempt that waits for a connection.
    pub(super) fn queue(&mut self, flight: Flight) {
        let place = (flight.class, flight.id);
        self.queues.entry(flight.server).or_default().insert(place);
        self.flights.insert(flight.id, flight);
    }

    /// Returns the first attempt in the queue of a server: the most urgent class, then the oldest.
    pub(super) fn first(&self, server: BackendServerId) -> Option<AttemptId> {
        let queue = self.queues.get(&server)?;
        queue.first().map(|(_, id)| *id)
    }

    /// Returns the attempts that wait for a connection to a server.
    pub(super) fn queued(&self, server: BackendServerId) -> Vec<AttemptId> {
        let queue = self.queues.get(&server).into_iter().flatten();
        queue.map(|(_, id)| *id).collect()
    }

    /// Puts an attempt from the queue onto a connection.
    pub(super) fn board(&mut self, id: AttemptId, connection: ConnectionId) -> Option<&mut Flight> {
        let flight = self.flights.get_mut(&id)?;
        flight.connection = Some(connection);
        self.by_connection.insert(connection, id);
        unqueue(&mut self.queues, flight);
        Some(flight)
    }

    /// Takes an attempt out.
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

    /// Takes an attempt out if it was sent: only then can it end.
    pub(super) fn land(&mut self, id: AttemptId) -> Option<Flight> {
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
