//! The greatest records of several parts.
//!
//! A part is a text of records of one size in no order. Records are compared byte by byte, equal
//! ones all count, and a remainder shorter than a record is none. With a bound on what is wanted,
//! sorting all of it would be most of the work of a merge: a heap holds the best so far and most
//! records are dropped after one comparison with its least.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Returns the `count` greatest records of `size` bytes in the parts, greatest first, as one text.
///
/// # Panics
///
/// Where `size` is 0.
pub fn greatest<'a>(
    parts: impl IntoIterator<Item = &'a [u8]>,
    size: usize,
    count: usize,
) -> Vec<u8> {
    let mut heap: BinaryHeap<Reverse<&[u8]>> = BinaryHeap::with_capacity(count + 1);
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
    sorted.iter().flat_map(|record| record.0).copied().collect()
}
