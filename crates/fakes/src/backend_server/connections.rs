//! The open connections of one process: the limit over all clients, and silence on chosen ones.

use crate::endpoint::{Connection, ConnectionId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Connections of one process.
pub(crate) struct Table {
    limit: usize,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    open: BTreeMap<ConnectionId, Connection>,
    /// Numbers that are silent, also those that are still to be accepted.
    silent: BTreeSet<ConnectionId>,
}

impl Table {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            state: Mutex::default(),
        }
    }

    /// Takes a connection in; `false` where the limit is reached.
    pub(crate) fn open(&self, connection: &Connection) -> bool {
        let mut state = self.lock();
        if state.open.len() >= self.limit {
            return false;
        }
        if state.silent.contains(&connection.id) {
            connection.silence();
        }
        state.open.insert(connection.id, connection.clone());
        true
    }

    /// Tells whether the connection was within the limit.
    pub(crate) fn contains(&self, connection: ConnectionId) -> bool {
        self.lock().open.contains_key(&connection)
    }

    /// Forgets a connection; `false` where it was not within the limit.
    pub(crate) fn close(&self, connection: ConnectionId) -> bool {
        self.lock().open.remove(&connection).is_some()
    }

    pub(crate) fn silence(&self, connection: ConnectionId) {
        let mut state = self.lock();
        state.silent.insert(connection);
        if let Some(connection) = state.open.get(&connection) {
            connection.silence();
        }
    }

    pub(crate) fn ids(&self) -> Vec<ConnectionId> {
        self.lock().open.keys().copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
