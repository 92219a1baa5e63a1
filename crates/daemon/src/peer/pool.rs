//! Open clients to peers.
//!
//! One stream to a peer carries all calls to it. A stream that fails is thrown away and opened anew
//! at the next call; whoever called decides whether the call may be made again.

use monsoonring_wire::channel::{self, Endpoint};
use monsoonring_wire::peer::{self, Line, PeerClient};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::OnceCell;

/// A client, or the place where the first caller is opening one.
type Slot = Arc<OnceCell<Line>>;

/// Clients by peer.
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

    /// Returns the client for a peer, opening it where there is none.
    ///
    /// # Errors
    ///
    /// Fails where the peer can't be reached or does not hold a key.
    pub(crate) async fn client(&self, peer: SocketAddr) -> channel::Result<PeerClient> {
        let slot = self.slot(peer);
        // Callers that come at the same time wait for the one who opens, so that a restart of a peer
        // does not meet as many connections as there are queries.
        let line = slot
            .get_or_try_init(|| peer::connect(peer, &self.endpoint))
            .await?;
        Ok(line.client().clone())
    }

    /// Throws a failed client away.
    pub(crate) fn forget(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    /// Keeps only the clients of the given peers.
    pub(crate) fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.lock().retain(|peer, _| keep(peer));
    }

    /// A peer that has ended, as in each planned stop, or was idle leaves a closed connection here. A call on it
    /// fails just like one that the peer took and never answered: a non-idempotent request that was
    /// not even sent would be `unknown`. So a closed one is replaced before the call.
    fn slot(&self, peer: SocketAddr) -> Slot {
        let mut slots = self.lock();
        let slot = slots.entry(peer).or_default();
        if slot.get().is_some_and(Line::has_ended) {
            *slot = Slot::default();
        }
        slot.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
