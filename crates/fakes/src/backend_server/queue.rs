//! Execution slots and the queue in front of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// An execution slot; released when dropped.
pub(crate) type Slot = OwnedSemaphorePermit;

/// A fixed number of slots with a FIFO queue.
pub(crate) struct Queue {
    slots: usize,
    free: Arc<Semaphore>,
    waiting: Arc<AtomicUsize>,
}

/// An admitted request, which has a slot or waits in the queue.
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

    /// Waits for a slot without counting towards the queue length, as new connections do.
    pub(crate) async fn take(&self) -> Option<Slot> {
        self.free.clone().acquire_owned().await.ok()
    }

    /// Takes a free slot or joins the queue; `None` if `limit` requests are already waiting.
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

/// A position in the queue; released when dropped.
pub(crate) struct Waiting {
    free: Arc<Semaphore>,
    waiting: Arc<AtomicUsize>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}
