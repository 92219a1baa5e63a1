//! Slots for work and the queue before them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The right to work; given back when dropped.
pub(crate) type Slot = OwnedSemaphorePermit;

/// Slots, first come first served.
pub(crate) struct Queue {
    slots: usize,
    free: Arc<Semaphore>,
    waiting: Arc<AtomicUsize>,
}

/// A request's place: a slot, or one in the queue.
pub(crate) enum Admission {
    Slot(Slot),
    Waiting(Waiting),
}

impl Queue {
    pub(crate) fn new(slots: usize) -> Self {
        Self {
            slots,
            free: Arc::new(Semaphore::new(slots)),
            waiting: Arc::default(),
        }
    }

    pub(crate) fn slots(&self) -> usize {
        self.slots
    }

    pub(crate) fn busy(&self) -> usize {
        self.slots - self.free.available_permits()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.load(Ordering::SeqCst)
    }

    /// Waits for a slot without a place in the queue, as a new connection does.
    pub(crate) async fn take(&self) -> Option<Slot> {
        self.free.clone().acquire_owned().await.ok()
    }

    /// Takes a slot if one is free, else a place among at most `limit` waiting ones.
    pub(crate) fn enter(&self, limit: Option<usize>) -> Option<Admission> {
        if let Ok(slot) = self.free.clone().try_acquire_owned() {
            return Some(Admission::Slot(slot));
        }
        let limit = limit.unwrap_or(usize::MAX);
        let join = |waiting| (waiting < limit).then_some(waiting + 1);
        self.waiting
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, join)
            .ok()?;
        Some(Admission::Waiting(Waiting {
            free: self.free.clone(),
            waiting: self.waiting.clone(),
        }))
    }
}

impl Admission {
    /// Waits for a slot.
    pub(crate) async fn slot(self) -> Option<Slot> {
        match self {
            Self::Slot(slot) => Some(slot),
            Self::Waiting(waiting) => waiting.free.clone().acquire_owned().await.ok(),
        }
    }
}

/// A place in the queue; left when dropped.
pub(crate) struct Waiting {
    free: Arc<Semaphore>,
    waiting: Arc<AtomicUsize>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}
