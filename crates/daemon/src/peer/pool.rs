//! Pool of clients for peers.
//!
//! One stream to each peer carries all calls to it. A failed stream is discarded and opened again
//! by the next call; whether a failed call may be repeated is up to its caller.

use monsoonring_wire::channel::{self, Endpoint};
use monsoonring_wire::peer::{self, Connection, PeerClient};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::OnceCell;

/// A client, or the cell in which the first caller is opening one.
type Slot = Arc<OnceCell<Connection>>;

/// Clients by peer address; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    endpoint: Endpoint,
    slots: Arc<Mutex<HashMap<SocketAddr, Slot>>>,
}

impl Pool {
    pub(crate) fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            slots: Arc::default(),
        }
    }

    /// Returns the client for a peer, opening one if needed.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached or does not have a matching key.
    pub(crate) async fn client(&self, peer: SocketAddr) -> channel::Result<PeerClient> {
        let slot = self.slot(peer);
        // Concurrent callers wait for the one that opens the stream, so that a restarted peer gets
        // one connection and not one for each query.
        let line = slot
            .get_or_try_init(|| peer::connect(peer, &self.endpoint))
            .await?;
        Ok(line.client().clone())
    }

    /// Discards a failed client.
    pub(crate) fn forget(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    /// Keeps only the clients of peers for which `keep` returns true.
    pub(crate) fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.lock().retain(|peer, _| keep(peer));
    }

    /// Returns the slot of a peer, emptied if its stream has closed, as after a planned stop or an
    /// idle time. A call on a closed stream fails like one that the peer received and never
    /// answered, so a non-idempotent request that was never sent would end as `unknown`.
    fn slot(&self, peer: SocketAddr) -> Slot {
        let mut slots = self.lock();
        let slot = slots.entry(peer).or_default();
        if slot.get().is_some_and(Connection::is_closed) {
            *slot = Slot::default();
        }
        slot.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
