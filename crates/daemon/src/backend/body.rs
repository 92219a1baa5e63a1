//! Reads the bodies of responses within the memory of the process.

#[cfg(test)]
mod tests;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Largest response body of a backend server, in bytes.
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Share of the process's memory limit for bodies that are incomplete.
const MEMORY_SHARE: f64 = 0.25;

/// Memory for incomplete bodies, in bytes, if the process has no memory limit.
const DEFAULT_CAPACITY: usize = 256 * 1024 * 1024;

/// Memory for the incomplete bodies of all connections of a process.
///
/// A body may grow to the size of what is left for the others (dynamic thresholds). So long bodies leave room for short
/// ones, however many there are.
#[derive(Debug)]
pub(crate) struct Memory {
    capacity: usize,
    used: AtomicUsize,
}

impl Memory {
    /// Creates the memory of a process with this limit in bytes, if it has one.
    pub(crate) fn new(process_limit: Option<usize>) -> Self {
        let share = |limit: usize| (limit as f64 * MEMORY_SHARE) as usize;
        Self {
            capacity: process_limit.map_or(DEFAULT_CAPACITY, share),
            used: AtomicUsize::new(0),
        }
    }

    /// Returns the bytes that incomplete bodies hold.
    pub(crate) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

/// Memory that one incomplete body holds, released on drop.
struct Reservation<'a> {
    memory: &'a Memory,
    held: usize,
}

impl Reservation<'_> {
    /// Takes memory for more bytes of the body. Returns `false` if it may not grow by as much.
    fn grow(&mut self, bytes: usize) -> bool {
        let used = self.memory.used() + bytes;
        let held = self.held + bytes;
        if held > MAX_BYTES || used.saturating_add(held) > self.memory.capacity {
            return false;
        }
        self.memory.used.fetch_add(bytes, Ordering::Relaxed);
        self.held = held;
        true
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.held, Ordering::Relaxed);
    }
}

/// Reads a body to its end. Returns `None` if it is truncated or too long.
///
/// Several frames are copied into one buffer: a frame keeps the read buffer that it arrived in, which is far larger than
/// a short frame.
pub(super) async fn read<B>(mut body: B, memory: &Memory) -> Option<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut reservation = Reservation { memory, held: 0 };
    let mut first = Bytes::new();
    let mut copied = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // Trailers are not part of the body.
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if !reservation.grow(data.remaining()) {
            return None;
        }
        if reservation.held == data.remaining() && body.is_end_stream() {
            first = data;
        } else {
            copied.extend_from_slice(&data);
        }
    }
    Some(match copied.is_empty() {
        true => first,
        false => copied.freeze(),
    })
}
