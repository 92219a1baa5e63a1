//! HTTP endpoints that can be shut down abruptly and restarted on the same address.
//!
//! A second socket stays bound to the port without listening. Otherwise another process could take
//! the port between a crash and the restart, and clients would see replies of an unrelated server.
//! Connections are refused in the meantime, as after a real crash.

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

/// Connection number, from 1 in the order of acceptance.
pub type ConnectionId = u64;

/// A loopback port that stays bound whether or not a listener exists.
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

/// An accepted connection.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    pub(crate) id: ConnectionId,
    silent: Arc<AtomicBool>,
}

impl Connection {
    /// Stops all reads and writes permanently; the connection stays open.
    pub(crate) fn silence(&self) {
        self.silent.store(true, Ordering::SeqCst);
    }
}

/// Handles the connections and requests of an endpoint.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Called for a new connection before anything is read from it; `false` closes it.
    fn opened<'a>(&'a self, connection: &'a Connection) -> BoxFuture<'a, bool> {
        let _ = connection;
        Box::pin(async { true })
    }

    /// Called when a connection has closed.
    fn closed(&self, connection: ConnectionId) {
        let _ = connection;
    }

    /// Answers a request; `None` closes the connection without a reply. The future is dropped when
    /// the connection closes.
    fn handle(
        self: Arc<Self>,
        connection: ConnectionId,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Option<Reply>>;
}

/// A listener and its connections.
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

    /// Closes the listener and all connections and waits until they are gone.
    pub(crate) async fn close(&self) {
        self.shutdown.cancel();
        self.tasks.wait().await;
    }
}

/// Accepts the next connection and returns it with its source address.
pub(crate) async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        if let Ok(accepted) = listener.accept().await {
            return accepted;
        }
        // Out of file descriptors, accept fails immediately. A busy loop would starve the tasks
        // that could release some.
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
    // Errors mean that the client or a fault closed the connection; the counters record it.
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

/// An address with a handler, whose listener can be stopped and restarted.
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

    /// Closes the listener and all connections; returns when they are gone.
    pub(crate) async fn take_down(&self) {
        if let Some(endpoint) = self.endpoint.lock().await.take() {
            endpoint.close().await;
        }
    }

    /// Starts listening again; does nothing if a listener exists.
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
