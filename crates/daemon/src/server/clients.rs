//! Keeps what all clients of the process hold within its limits.

use crate::body::{self, Account};
use crate::client::Meter;
use crate::clock::Clock;
use bytes::Bytes;
use hyper::body::Body;
use monsoonring_decision::client::{
    Admission, Budget, ConnectionId, Connections, ListenerId, Shed, Table,
};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// Tells a connection that it is to be closed, and why.
type Signal = watch::Sender<Option<Shed>>;

/// The connections of clients at all listeners of the process.
pub(crate) struct Clients {
    clock: Clock,
    state: Mutex<State>,
}

struct State {
    table: Table,
    signals: HashMap<ConnectionId, Signal>,
    next: ConnectionId,
}

impl std::fmt::Debug for Clients {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Clients").finish_non_exhaustive()
    }
}

impl State {
    fn signal(&self, shed: &[ConnectionId], reason: Shed) {
        for id in shed {
            if let Some(signal) = self.signals.get(id) {
                signal.send_replace(Some(reason));
            }
        }
    }
}

impl Clients {
    /// Creates the state of a process without listeners.
    pub(crate) fn new(budget: Budget) -> Arc<Self> {
        Arc::new(Self {
            clock: Clock::start(),
            state: Mutex::new(State {
                table: Table::new(budget),
                signals: HashMap::new(),
                next: 0,
            }),
        })
    }

    /// Adds a listener with these limits.
    pub(crate) fn listen(&self, limits: Connections) -> ListenerId {
        self.state().table.listen(limits)
    }

    /// Admits a new connection; returns `None` if it is to be closed.
    pub(crate) fn open(self: &Arc<Self>, listener: ListenerId) -> Option<Ticket> {
        let mut state = self.state();
        let id = state.next;
        state.next += 1;
        let admission = state.table.open(id, listener, self.clock.now());
        match admission {
            Admission::Closed => return None,
            Admission::Replaces(other) => state.signal(&[other], Shed::Connection),
            Admission::Served | Admission::Excess => {}
        }
        let (signal, shed) = watch::channel(None);
        state.signals.insert(id, signal);
        Some(Ticket {
            clients: self.clone(),
            id,
            admission,
            shed,
            meter: Meter::default(),
            request: Mutex::default(),
        })
    }

    /// Disconnects clients that don't take their answers, so that about this many bytes are released.
    pub(crate) fn relieve(&self, bytes: usize) {
        let mut state = self.state();
        let shed = state.table.relieve(bytes, self.clock.now());
        state.signal(&shed, Shed::Answer);
    }

    // No code panics while it holds the lock, so the guarded value is consistent even if poisoned.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection, until dropped.
#[derive(Debug)]
pub(crate) struct Ticket {
    clients: Arc<Clients>,
    id: ConnectionId,
    admission: Admission,
    shed: watch::Receiver<Option<Shed>>,
    /// Counts what arrives of a request beside its body.
    meter: Meter,
    /// Id of the last request, as the client set it.
    request: Mutex<String>,
}

impl Ticket {
    /// Returns whether the connection is above the limit of its listener.
    pub(super) fn is_excess(&self) -> bool {
        self.admission == Admission::Excess
    }

    /// Returns whether another connection is being closed for this one.
    pub(crate) fn is_replacement(&self) -> bool {
        matches!(self.admission, Admission::Replaces(_))
    }

    /// Waits until the connection is to be closed; returns why.
    pub(crate) async fn shed(&self) -> Shed {
        self.shed_for(|_| true).await
    }

    /// Waits until the connection is to be closed for the memory that it holds; returns why.
    pub(super) async fn shed_for_memory(&self) -> Shed {
        self.shed_for(|reason| reason != Shed::Connection).await
    }

    async fn shed_for(&self, is_expected: impl Fn(Shed) -> bool) -> Shed {
        let mut shed = self.shed.clone();
        let reason = shed
            .wait_for(|reason| reason.is_some_and(&is_expected))
            .await;
        match reason.map(|reason| *reason) {
            Ok(Some(reason)) => reason,
            // The sender lives as long as the ticket.
            _ => std::future::pending().await,
        }
    }

    /// Returns whether a request is complete and not answered yet.
    pub(super) fn is_working(&self) -> bool {
        self.clients.state().table.is_working(self.id)
    }

    /// Records that bytes of a head were received. Returns whether the connection may hold them.
    pub(super) fn receive_head(&self, bytes: usize) -> bool {
        let now = self.clients.clock.now();
        let is_accepted = self.receive(bytes);
        self.clients.state().table.advance(self.id, bytes, now);
        is_accepted
    }

    /// Takes memory for bytes of a request. Returns whether the connection may hold them.
    fn receive(&self, bytes: usize) -> bool {
        let mut state = self.clients.state();
        let now = self.clients.clock.now();
        let receipt = state.table.receive(self.id, bytes, now);
        state.signal(&receipt.shed, Shed::Request);
        receipt.is_accepted
    }

    /// Records that a request is complete.
    pub(crate) fn work(&self) {
        let now = self.clients.clock.now();
        self.clients.state().table.work(self.id, now);
    }

    /// Records that a request is answered.
    pub(super) fn answer(&self) {
        let now = self.clients.clock.now();
        self.clients.state().table.answer(self.id, now);
    }

    /// Records how many bytes of answers are left after the client took some.
    pub(super) fn deliver(&self, left: usize, taken: usize) {
        let mut state = self.clients.state();
        let now = self.clients.clock.now();
        let shed = state.table.deliver(self.id, left, taken, now);
        state.signal(&shed, Shed::Answer);
    }

    /// Returns the count of what arrives of a request after its head.
    pub(super) fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Returns the id of the last request.
    pub(super) fn last_request(&self) -> String {
        let request = self.request.lock();
        request.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.clients.state();
        state.signals.remove(&self.id);
        state.table.close(self.id);
    }
}

/// Reads the bodies of the requests of a connection; an extension of each request.
#[derive(Clone, Debug)]
pub(crate) struct Intake(pub(super) Arc<Ticket>);

impl Intake {
    /// Sets the id of the request for the log.
    pub(crate) fn identify(&self, id: &str) {
        let request = self.0.request.lock();
        id.clone_into(&mut request.unwrap_or_else(PoisonError::into_inner));
    }

    /// Reads the body of the request, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated or too long, or if there is no memory for it.
    pub(crate) async fn read<B>(&self, body: B, limit: usize) -> body::Result<Bytes>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let mut account = self;
        account.grow(0);
        let read = body::read(body, limit, &mut account).await;
        self.0.work();
        read
    }
}

impl Account for &Intake {
    fn grow(&mut self, bytes: usize) -> bool {
        self.0.receive(bytes)
    }

    fn receive(&mut self, bytes: usize) {
        self.0.meter.record_body(bytes);
        let now = self.0.clients.clock.now();
        self.0.clients.state().table.advance(self.0.id, bytes, now);
    }
}
