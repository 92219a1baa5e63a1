//! UDP relay.
//!
//! The relay sends from a separate socket for each source, so that it can route replies back.
//! Datagrams that the link does not let through are dropped, as UDP does not retransmit.

use crate::relay::{Direction, Link};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time;
use tokio_util::sync::CancellationToken;

const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// A UDP relay on a loopback port; it shuts down when dropped.
pub struct Relay {
    shared: Arc<Shared>,
    address: SocketAddr,
}

struct Shared {
    target: SocketAddr,
    socket: UdpSocket,
    state: Mutex<State>,
    shutdown: CancellationToken,
}

struct State {
    link: Link,
    delay: Duration,
    loss: f64,
    random: ChaCha8Rng,
    dropped: u64,
}

impl Relay {
    /// Starts a relay to `target` on a free port; `seed` determines which datagrams are lost.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the loopback interface has no free port.
    pub async fn start(target: SocketAddr, seed: u64) -> io::Result<Self> {
        let socket = bind().await?;
        let address = socket.local_addr()?;
        let state = State {
            link: Link::Open,
            delay: Duration::ZERO,
            loss: 0.0,
            random: ChaCha8Rng::seed_from_u64(seed),
            dropped: 0,
        };
        let shared = Arc::new(Shared {
            target,
            socket,
            state: Mutex::new(state),
            shutdown: CancellationToken::new(),
        });
        shared.spawn(forward_all(shared.clone()));
        Ok(Self { shared, address })
    }

    /// Returns the address that clients use instead of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets which datagrams the link lets through.
    pub fn set_link(&self, link: Link) {
        self.shared.state().link = link;
    }

    /// Delays all datagrams by this time in each direction.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.state().delay = delay;
    }

    /// Sets the fraction of datagrams to lose, from 0 to 1.
    pub fn set_loss(&self, share: f64) {
        self.shared.state().loss = share.clamp(0.0, 1.0);
    }

    /// Returns the number of datagrams dropped so far.
    pub fn dropped(&self) -> u64 {
        self.shared.state().dropped
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.shutdown.cancel();
    }
}

impl Shared {
    /// Returns the delay of the next datagram, or `None` to drop it.
    fn filter(&self, direction: Direction) -> Option<Duration> {
        let mut state = self.state();
        let loss = state.loss;
        let is_lost = state.random.random_bool(loss);
        if is_lost || !state.link.passes(direction) {
            state.dropped += 1;
            return None;
        }
        Some(state.delay)
    }

    /// Spawns a task that stops when the relay is dropped.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let shutdown = self.shutdown.clone();
        tokio::spawn(async move {
            shutdown.run_until_cancelled(task).await;
        });
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn bind() -> io::Result<UdpSocket> {
    UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await
}

/// Forwards datagrams to the target, with one socket for each source.
async fn forward_all(shared: Arc<Shared>) {
    let mut sockets = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, source)) = shared.socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Some(delay) = shared.filter(Direction::Forward) else {
            continue;
        };
        let known = sockets.get(&source).cloned();
        let socket = match known {
            Some(socket) => socket,
            None => match open(&shared, source).await {
                Ok(socket) => socket,
                Err(_) => continue,
            },
        };
        sockets.insert(source, socket.clone());
        let datagram = buffer[..length].to_vec();
        let sending = async move {
            // A send error counts as datagram loss.
            let _ = socket.send(&datagram).await;
        };
        deliver(&shared, delay, sending).await;
    }
}

/// Opens the socket for a source and relays the target's datagrams back to the source.
async fn open(shared: &Arc<Shared>, source: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    let socket = Arc::new(bind().await?);
    socket.connect(shared.target).await?;
    shared.spawn(return_all(shared.clone(), socket.clone(), source));
    Ok(socket)
}

async fn return_all(shared: Arc<Shared>, socket: Arc<UdpSocket>, source: SocketAddr) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok(length) = socket.recv(&mut buffer).await else {
            continue;
        };
        let Some(delay) = shared.filter(Direction::Back) else {
            continue;
        };
        let datagram = buffer[..length].to_vec();
        let from = shared.clone();
        let sending = async move {
            let _ = from.socket.send_to(&datagram, source).await;
        };
        deliver(&shared, delay, sending).await;
    }
}

/// Sends a datagram after `delay` without blocking later ones.
async fn deliver(
    shared: &Shared,
    delay: Duration,
    sending: impl Future<Output = ()> + Send + 'static,
) {
    if delay.is_zero() {
        return sending.await;
    }
    shared.spawn(async move {
        time::sleep(delay).await;
        sending.await;
    });
}
