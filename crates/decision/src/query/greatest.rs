//! Selection of the greatest fixed-size records of several replies.
//!
//! A part is an unsorted sequence of records of one size. Records are compared bytewise, duplicates
//! are kept, and a trailing incomplete record is ignored. A bounded heap holds the greatest records
//! so far, so most records cost one comparison with its minimum instead of a full sort.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Returns the number of records of `size` bytes.
///
/// # Panics
///
/// Panics if `size` is 0.
pub fn records<'a>(parts: impl IntoIterator<Item = &'a [u8]>, size: usize) -> usize {
    parts.into_iter().map(|part| part.len() / size).sum()
}

/// Returns the `count` greatest records of `size` bytes, greatest first and concatenated.
///
/// # Panics
///
/// Panics if `size` is 0.
pub fn greatest<'a>(
    parts: impl IntoIterator<Item = &'a [u8]> + Clone,
    size: usize,
    count: usize,
) -> Vec<u8> {
    let count = count.min(records(parts.clone(), size));
    let mut heap: BinaryHeap<Reverse<&[u8]>> = BinaryHeap::with_capacity(count);
    for part in parts {
        for record in part.chunks_exact(size) {
            if heap.len() < count {
                heap.push(Reverse(record));
            } else if heap.peek().is_some_and(|least| *least.0 < *record) {
                heap.pop();
                heap.push(Reverse(record));
            }
        }
    }
    let sorted = heap.into_sorted_vec();
    let mut greatest = Vec::with_capacity(sorted.len() * size);
    for Reverse(record) in sorted {
        greatest.extend_from_slice(record);
    }
    greatest
}
