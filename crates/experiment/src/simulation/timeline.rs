//! What is to happen, in the order of time.

use monsoonring_decision::Time;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Something at a time. Of two at the same time the one that was added first comes first, so that a
/// seed gives the same day each time.
#[derive(Debug)]
struct Entry<T> {
    at: Time,
    number: u64,
    what: T,
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
    /// The earliest is the greatest, as the heap gives that first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Things to come.
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
    pub(super) fn add(&mut self, at: Time, what: T) {
        let number = self.next;
        self.next += 1;
        self.entries.push(Entry { at, number, what });
    }

    pub(super) fn pop(&mut self) -> Option<(Time, T)> {
        self.entries.pop().map(|entry| (entry.at, entry.what))
    }
}
