//! Event queue of the simulation, ordered by time.

use monsoonring_decision::Time;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A scheduled event. Events at the same time are ordered by insertion, so that runs are deterministic.
#[derive(Debug)]
struct Entry<T> {
    at: Time,
    number: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    /// Reverses the order, because `BinaryHeap` is a max-heap.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Queue of future events.
#[derive(Debug)]
pub(super) struct Timeline<T> {
    entries: BinaryHeap<Entry<T>>,
    next: u64,
}

impl<T> Default for Timeline<T> {
    fn default() -> Self {
        Self {
            entries: BinaryHeap::new(),
            next: 0,
        }
    }
}

impl<T> Timeline<T> {
    pub(super) fn add(&mut self, at: Time, event: T) {
        let number = self.next;
        self.next += 1;
        self.entries.push(Entry { at, number, event });
    }

    pub(super) fn pop(&mut self) -> Option<(Time, T)> {
        self.entries.pop().map(|entry| (entry.at, entry.event))
    }
}
