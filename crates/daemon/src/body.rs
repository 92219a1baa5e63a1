//! Reads bodies within the memory of the process.

#[cfg(test)]
mod tests;

use crate::server::Clients;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::{HeaderMap, Response};
use snafu::{Snafu, ensure};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Largest body of a response, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Share of the memory above which clients that don't read their answers are disconnected.
const RELIEF_SHARE: f64 = 0.5;

/// Memory of a header beside its name and value, in bytes.
const HEADER_BYTES: usize = 64;

/// Why a body was not read.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub(crate) enum Error {
    /// It is longer than the limit.
    #[snafu(display("longer than {limit} bytes"))]
    TooLong { limit: usize },
    /// The process has no memory for it now.
    #[snafu(display("no memory for it"))]
    NoMemory,
    /// It ended early.
    #[snafu(display("ended early"))]
    Truncated,
}

/// Result of reading a body.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Memory for the responses that all connections of a process receive, until those who wait for them have them.
///
/// A response may grow to the size of what is left for the others (dynamic thresholds). So long ones leave room for
/// short ones, however many there are.
#[derive(Debug)]
pub(crate) struct Memory {
    capacity: usize,
    used: AtomicUsize,
    /// Clients that are disconnected when memory gets short.
    clients: Option<Arc<Clients>>,
}

impl Memory {
    /// Creates memory of this many bytes.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            used: AtomicUsize::new(0),
            clients: None,
        }
    }

    /// Disconnects clients that don't read their answers when memory gets short.
    #[must_use]
    pub(crate) fn with_clients(self, clients: Arc<Clients>) -> Self {
        let clients = Some(clients);
        Self { clients, ..self }
    }

    /// Returns the bytes that are held.
    pub(crate) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Holds memory for bytes that exist already, until they are dropped.
    pub(crate) fn hold(self: &Arc<Self>, bytes: Bytes) -> Bytes {
        let mut reservation = Reservation::new(self);
        reservation.add(bytes.len());
        reservation.attach(bytes)
    }

    fn relieve(&self, needed: usize) {
        let mark = (self.capacity as f64 * RELIEF_SHARE) as usize;
        let excess = needed.saturating_sub(mark);
        if let Some(clients) = self.clients.as_ref().filter(|_| excess > 0) {
            clients.relieve(excess);
        }
    }
}

/// Memory that one response holds, released on drop.
#[derive(Debug)]
struct Reservation {
    memory: Arc<Memory>,
    held: usize,
}

impl Reservation {
    fn new(memory: &Arc<Memory>) -> Self {
        Self {
            memory: memory.clone(),
            held: 0,
        }
    }

    /// Takes memory for more bytes of the response. Returns `false` if it may not grow by as much.
    fn grow(&mut self, bytes: usize) -> bool {
        let used = self.memory.used().saturating_add(bytes);
        self.memory.relieve(used);
        let held = self.held + bytes;
        if used.saturating_add(held) > self.memory.capacity {
            return false;
        }
        self.add(bytes);
        true
    }

    fn add(&mut self, bytes: usize) {
        self.memory.used.fetch_add(bytes, Ordering::Relaxed);
        self.held += bytes;
    }

    /// Holds the memory until the bytes, and all that shares them, are dropped.
    fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Held {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.held, Ordering::Relaxed);
    }
}

/// Bytes with the memory that they hold.
struct Held {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the body of a response. Its memory, with that of the headers, is held until the body is dropped.
///
/// # Errors
///
/// Fails if the body is truncated or too long, or if there is no memory for it.
pub(crate) async fn read_response<B>(
    response: Response<B>,
    memory: &Arc<Memory>,
) -> Result<Response<Bytes>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let (head, body) = response.into_parts();
    let limit = MAX_RESPONSE_BYTES;
    ensure!(
        body.size_hint().lower() <= limit as u64,
        TooLongSnafu { limit }
    );
    let mut reservation = Reservation::new(memory);
    if !reservation.grow(header_bytes(&head.headers)) {
        return Err(Error::NoMemory);
    }
    let body = read(body, limit, &mut reservation).await?;
    Ok(Response::from_parts(head, reservation.attach(body)))
}

fn header_bytes(headers: &HeaderMap) -> usize {
    let headers = headers.iter();
    headers
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES)
        .sum()
}

/// Accounts for the memory of a body that is read.
pub(crate) trait Account {
    /// Takes memory for more bytes. Returns `false` if there is none.
    fn grow(&mut self, bytes: usize) -> bool;

    /// Records bytes that arrived, for which memory was taken before.
    fn receive(&mut self, _bytes: usize) {}
}

impl Account for Reservation {
    fn grow(&mut self, bytes: usize) -> bool {
        Self::grow(self, bytes)
    }
}

/// Reads a body of at most `limit` bytes to its end.
///
/// Several frames are copied into one buffer: a frame keeps the read buffer that it arrived in, which is far larger than
/// a short frame.
///
/// # Errors
///
/// Fails if the body is truncated or too long, or if there is no memory for it.
pub(crate) async fn read<B>(mut body: B, limit: usize, account: &mut impl Account) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut first = Bytes::new();
    let mut copied = Vec::new();
    while let Some(frame) = body.frame().await {
        // Trailers are not part of the body.
        let Ok(data) = frame.map_err(|_| Error::Truncated)?.into_data() else {
            continue;
        };
        let length = first.len() + copied.len() + data.len();
        if length > limit {
            return Err(Error::TooLong { limit });
        }
        account.receive(data.len());
        if length == data.len() && body.is_end_stream() {
            if !account.grow(data.len()) {
                return Err(Error::NoMemory);
            }
            first = data;
        } else {
            let rest = body.size_hint().exact().unwrap_or_default() as usize;
            let announced = length.saturating_add(rest).min(limit);
            if !reserve(&mut copied, announced, account) {
                return Err(Error::NoMemory);
            }
            copied.extend_from_slice(&data);
        }
    }
    Ok(match copied.is_empty() {
        true => first,
        false => {
            copied.shrink_to_fit();
            copied.into()
        }
    })
}

/// Makes room for `length` bytes in total. Returns `false` if there is no memory for them.
fn reserve(buffer: &mut Vec<u8>, length: usize, account: &mut impl Account) -> bool {
    if length <= buffer.capacity() {
        return true;
    }
    let capacity = length.max(2 * buffer.capacity());
    let is_granted = account.grow(capacity - buffer.capacity());
    if is_granted {
        buffer.reserve_exact(capacity - buffer.len());
    }
    is_granted
}
