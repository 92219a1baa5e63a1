//! An address, the listener on it and the connections, which can all be dropped at once.
//!
//! The address outlives the listener: a second socket stays bound to the port without listening.
//! Without it another socket could be given the port between a crash and the restart, which would
//! show as replies of a foreign server. Connecting to it meanwhile is refused, as after a crash.

use crate::gate::Gate;
use crate::http::Reply;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, server::conn::http1};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Mutex;
use tokio::time;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

const BACKLOG: u32 = 1024;
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Number of a connection, counted from 1 in the order of acceptance.
pub type ConnectionId = u64;

/// A port that stays taken while nobody listens on it.
pub(crate) struct Reservation {
    _socket: TcpSocket,
    address: SocketAddr,
}

impl Reservation {
    pub(crate) fn new() -> io::Result<Self> {
        let socket = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = socket.local_addr()?;
        Ok(Self {
            _socket: socket,
            address,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn listen(&self) -> io::Result<TcpListener> {
        bind(self.address)?.listen(BACKLOG)
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// One accepted connection, as its handler sees it.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    pub(crate) id: ConnectionId,
    silent: Arc<AtomicBool>,
}

impl Connection {
    /// Stops reading and writing for good; the connection stays open.
    pub(crate) fn silence(&self) {
        self.silent.store(true, Ordering::SeqCst);
    }
}

/// What a stand-in does with connections and requests.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Takes in a new connection before anything is read from it; `false` closes it.
    fn opened<'a>(&'a self, connection: &'a Connection) -> BoxFuture<'a, bool> {
        let _ = connection;
        Box::pin(async { true })
    }

    /// Hears that a connection is gone.
    fn closed(&self, connection: ConnectionId) {
        let _ = connection;
    }

    /// Answers one request; dropped when the connection goes away. `None` ends the connection
    /// without a reply.
    fn handle(
        self: Arc<Self>,
        connection: ConnectionId,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Option<Reply>>;
}

/// A listener with its connections.
pub(crate) struct Endpoint {
    shutdown: CancellationToken,
    tasks: TaskTracker,
}

impl Endpoint {
    pub(crate) fn open<H: Handler>(
        reservation: &Reservation,
        handler: &Arc<H>,
        shutdown: CancellationToken,
    ) -> io::Result<Self> {
        let listener = reservation.listen()?;
        let tasks = TaskTracker::new();
        let accepting = accept_all(listener, handler.clone(), shutdown.clone(), tasks.clone());
        tasks.spawn(shutdown.clone().run_until_cancelled_owned(accepting));
        tasks.close();
        Ok(Self { shutdown, tasks })
    }

    /// Drops the listener and all connections and waits until they are gone.
    pub(crate) async fn close(&self) {
        self.shutdown.cancel();
        self.tasks.wait().await;
    }
}

/// Accepts the next connection, and tells where it comes from.
pub(crate) async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        if let Ok(accepted) = listener.accept().await {
            return accepted;
        }
        // Without file descriptors accepting fails at once, again and again, and a loop without a
        // pause would keep the tasks that could give some back from running: the test would hang.
        time::sleep(ACCEPT_RETRY_PAUSE).await;
    }
}

async fn accept_all<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    shutdown: CancellationToken,
    tasks: TaskTracker,
) {
    let count = AtomicU64::new(0);
    loop {
        let (stream, _) = accept(&listener).await;
        let connection = Connection {
            id: count.fetch_add(1, Ordering::Relaxed) + 1,
            silent: Arc::default(),
        };
        let serving = serve(stream, connection, handler.clone());
        tasks.spawn(shutdown.clone().run_until_cancelled_owned(serving));
    }
}

async fn serve<H: Handler>(stream: TcpStream, connection: Connection, handler: Arc<H>) {
    let id = connection.id;
    let _guard = CloseGuard {
        id,
        handler: handler.clone(),
    };
    if stream.set_nodelay(true).is_err() || !handler.opened(&connection).await {
        return;
    }
    let io = TokioIo::new(Gate {
        stream,
        silent: connection.silent,
    });
    let service = service_fn(|request| {
        let reply = handler.clone().handle(id, request);
        async {
            reply
                .await
                .ok_or(io::Error::from(io::ErrorKind::ConnectionAborted))
        }
    });
    // An error here is a connection that the other side or a fault ended; the counters tell of it.
    let _ = http1::Builder::new().serve_connection(io, service).await;
}

struct CloseGuard<H: Handler> {
    id: ConnectionId,
    handler: Arc<H>,
}

impl<H: Handler> Drop for CloseGuard<H> {
    fn drop(&mut self) {
        self.handler.closed(self.id);
    }
}

/// An address with one handler, where somebody listens or nobody does.
pub(crate) struct Site<H> {
    reservation: Reservation,
    handler: Arc<H>,
    shutdown: CancellationToken,
    endpoint: Mutex<Option<Endpoint>>,
}

impl<H: Handler> Site<H> {
    /// Listens on a free port.
    pub(crate) fn start(handler: Arc<H>) -> io::Result<Self> {
        let reservation = Reservation::new()?;
        let shutdown = CancellationToken::new();
        let endpoint = Endpoint::open(&reservation, &handler, shutdown.child_token())?;
        Ok(Self {
            reservation,
            handler,
            shutdown,
            endpoint: Mutex::new(Some(endpoint)),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.reservation.address()
    }

    /// Drops the listener and all connections; returns when they are gone.
    pub(crate) async fn take_down(&self) {
        if let Some(endpoint) = self.endpoint.lock().await.take() {
            endpoint.close().await;
        }
    }

    /// Listens again, where nobody does.
    pub(crate) async fn bring_up(&self) -> io::Result<()> {
        let mut endpoint = self.endpoint.lock().await;
        if endpoint.is_none() {
            let shutdown = self.shutdown.child_token();
            *endpoint = Some(Endpoint::open(&self.reservation, &self.handler, shutdown)?);
        }
        Ok(())
    }
}

impl<H> Drop for Site<H> {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}
