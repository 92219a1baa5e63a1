//! TCP relay.
//!
//! The link can be set for all sources or by source IP address. Held bytes are not lost: as with
//! TCP retransmission, they arrive in order once the link opens again.

use crate::endpoint::{self, Reservation};
use crate::relay::{Direction, Link};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

const CHUNK_BYTES: usize = 16 * 1024;
const MAX_CHUNKS_IN_FLIGHT: usize = 256;

/// A TCP relay on a loopback port; dropping it closes its connections.
pub struct Relay {
    shared: Arc<Shared>,
    reservation: Reservation,
    flapping: Mutex<Option<AbortOnDropHandle<()>>>,
    shutdown: CancellationToken,
}

struct Shared {
    target: Mutex<Option<SocketAddr>>,
    state: watch::Sender<State>,
    connections: Mutex<Vec<Arc<Connection>>>,
    opened: AtomicUsize,
}

#[derive(Clone, Default)]
struct State {
    link: Link,
    /// Links that override `link`, by source.
    sources: BTreeMap<IpAddr, Link>,
    delay: Duration,
}

struct Connection {
    source: IpAddr,
    silent: AtomicBool,
    end: CancellationToken,
}

/// Bytes in flight; empty at the end of the stream.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

impl Relay {
    /// Starts a relay to `target` on a free port.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime or if the loopback interface has no free port.
    pub fn start(target: SocketAddr) -> Self {
        let relay = Self::without_target();
        relay.set_target(target);
        relay
    }

    /// Starts a relay without a target; it closes accepted connections until one is set.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime or if the loopback interface has no free port.
    pub fn without_target() -> Self {
        let reservation = Reservation::new().expect("the loopback interface has a free port");
        let listener = reservation.listen();
        let listener = listener.expect("the reserved port can be listened on");
        let shared = Arc::new(Shared {
            target: Mutex::default(),
            state: watch::Sender::new(State::default()),
            connections: Mutex::default(),
            opened: AtomicUsize::new(0),
        });
        let shutdown = CancellationToken::new();
        let accepting = accept_all(listener, shared.clone(), shutdown.clone());
        tokio::spawn(shutdown.clone().run_until_cancelled_owned(accepting));
        Self {
            shared,
            reservation,
            flapping: Mutex::default(),
            shutdown,
        }
    }

    /// Returns the address that clients use instead of the target's.
    pub fn address(&self) -> SocketAddr {
        self.reservation.address()
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        *self.shared.target() = Some(target);
    }

    /// Sets the link of connections from `source`.
    pub fn set_link_from(&self, source: IpAddr, link: Link) {
        self.shared.change(|state| {
            state.sources.insert(source, link);
        });
    }

    /// Sets the link for all sources and stops flapping.
    pub fn set_link(&self, link: Link) {
        *self.flapping() = None;
        self.shared.set_link(link);
    }

    /// Delays all bytes by this time in each direction.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.state.send_modify(|state| state.delay = delay);
    }

    /// Alternates between `broken` and an open link until [`Relay::set_link`] is called.
    pub fn flap(&self, broken: Link, open_for: Duration, broken_for: Duration) {
        let shared = self.shared.clone();
        let flapping = tokio::spawn(async move {
            loop {
                shared.set_link(broken);
                time::sleep(broken_for).await;
                shared.set_link(Link::Open);
                time::sleep(open_for).await;
            }
        });
        *self.flapping() = Some(AbortOnDropHandle::new(flapping));
    }

    /// Silences the currently open connections permanently without closing them; new connections
    /// work.
    pub fn silence_open(&self) {
        for connection in &*self.shared.connections() {
            connection.silent.store(true, Ordering::SeqCst);
        }
    }

    /// Returns the number of connections accepted so far.
    pub fn opened(&self) -> usize {
        self.shared.opened.load(Ordering::SeqCst)
    }

    fn flapping(&self) -> MutexGuard<'_, Option<AbortOnDropHandle<()>>> {
        self.flapping.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

impl Shared {
    fn set_link(&self, link: Link) {
        self.change(|state| {
            state.link = link;
            state.sources.clear();
        });
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        self.state.send_modify(change);
        for connection in &*self.connections() {
            if self.is_cut(connection) {
                connection.end.cancel();
            }
        }
    }

    fn is_cut(&self, connection: &Connection) -> bool {
        self.state.borrow().link(connection.source) == Link::Cut
    }

    fn target(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connections(&self) -> MutexGuard<'_, Vec<Arc<Connection>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn link(&self, source: IpAddr) -> Link {
        self.sources.get(&source).copied().unwrap_or(self.link)
    }
}

async fn accept_all(listener: TcpListener, shared: Arc<Shared>, shutdown: CancellationToken) {
    loop {
        let (stream, source) = endpoint::accept(&listener).await;
        shared.opened.fetch_add(1, Ordering::SeqCst);
        let connection = Arc::new(Connection {
            source: source.ip(),
            silent: AtomicBool::new(false),
            end: shutdown.child_token(),
        });
        shared.connections().push(connection.clone());
        // Check the link after the insertion: a concurrent cut then either finds the connection
        // in the table or is seen here, so that no connection survives it.
        if shared.is_cut(&connection) {
            connection.end.cancel();
        }
        let relaying = relay(stream, shared.clone(), connection.clone());
        let end = connection.end.clone();
        tokio::spawn(end.run_until_cancelled_owned(relaying));
    }
}

async fn relay(stream: TcpStream, shared: Arc<Shared>, connection: Arc<Connection>) {
    // An error on either side closes both connections, which both peers notice.
    let _ = relay_both(stream, &shared, &connection).await;
    let mut connections = shared.connections();
    connections.retain(|other| !Arc::ptr_eq(other, &connection));
}

async fn relay_both(stream: TcpStream, shared: &Shared, connection: &Connection) -> io::Result<()> {
    wait_until_open(shared, connection, Direction::Forward).await;
    let target = *shared.target();
    let target = target.ok_or(io::ErrorKind::NotConnected)?;
    let target = TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let (from_caller, to_caller) = stream.into_split();
    let (from_target, to_target) = target.into_split();
    let forward = pump(
        from_caller,
        to_target,
        shared,
        connection,
        Direction::Forward,
    );
    let back = pump(from_target, to_caller, shared, connection, Direction::Back);
    tokio::try_join!(forward, back)?;
    Ok(())
}

async fn pump(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    shared: &Shared,
    connection: &Connection,
    direction: Direction,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
    let reading = read_all(from, shared, sender);
    let writing = write_all(to, shared, connection, direction, receiver);
    tokio::join!(reading, writing).1
}

async fn read_all(mut from: OwnedReadHalf, shared: &Shared, sender: mpsc::Sender<Chunk>) {
    loop {
        let mut bytes = vec![0; CHUNK_BYTES];
        // A reset is held back like a close. Otherwise a peer would learn through a partition that
        // the other one has died.
        let length = from.read(&mut bytes).await.unwrap_or(0);
        bytes.truncate(length);
        let due = Instant::now() + shared.state.borrow().delay;
        let is_sent = sender.send(Chunk { due, bytes }).await.is_ok();
        if length == 0 || !is_sent {
            return;
        }
    }
}

async fn write_all(
    mut to: OwnedWriteHalf,
    shared: &Shared,
    connection: &Connection,
    direction: Direction,
    mut receiver: mpsc::Receiver<Chunk>,
) -> io::Result<()> {
    while let Some(chunk) = receiver.recv().await {
        time::sleep_until(chunk.due).await;
        wait_until_open(shared, connection, direction).await;
        if chunk.bytes.is_empty() {
            return to.shutdown().await;
        }
        to.write_all(&chunk.bytes).await?;
    }
    Ok(())
}

async fn wait_until_open(shared: &Shared, connection: &Connection, direction: Direction) {
    if connection.silent.load(Ordering::SeqCst) {
        return std::future::pending().await;
    }
    let mut state = shared.state.subscribe();
    // `shared` owns the sender, so the wait ends only when the link opens.
    let passes = |state: &State| state.link(connection.source).passes(direction);
    let _ = state.wait_for(passes).await;
}
