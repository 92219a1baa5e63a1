//! Gossip queue: keys to disseminate, the least often sent first.
//!
//! Each key is sent a limited number of times, in messages of limited size. The limit grows with
//! the logarithm of the number of members, which suffices for gossip to reach all of them.

use std::collections::{BTreeMap, BTreeSet};

/// Keys to send, each with the number of times that it was sent.
#[derive(Clone, Debug)]
pub(crate) struct Broadcast<K> {
    order: BTreeSet<(u32, u64, K)>,
    positions: BTreeMap<K, (u32, u64)>,
    /// Sequence number, counting down so that the newest goes first among keys sent equally often.
    next_sequence: u64,
}

impl<K: Ord + Clone> Broadcast<K> {
    pub(crate) fn new() -> Self {
        Self {
            order: BTreeSet::new(),
            positions: BTreeMap::new(),
            next_sequence: u64::MAX,
        }
    }

    /// Queues `key`, and resets its count if it is queued already.
    pub(crate) fn push(&mut self, key: K) {
        self.remove(&key);
        self.insert(key, 0);
    }

    pub(crate) fn remove(&mut self, key: &K) {
        if let Some((sent, sequence)) = self.positions.remove(key) {
            self.order.remove(&(sent, sequence, key.clone()));
        }
    }

    pub(crate) fn clear(&mut self) {
        self.order.clear();
        self.positions.clear();
    }

    /// Returns the keys for one message of at most `bytes` bytes. Each key is returned at most
    /// `retransmits` times over all messages; a key for which `size` returns `None` is dropped.
    /// Stops when fewer than `min_size` bytes are remaining.
    pub(crate) fn take(
        &mut self,
        bytes: usize,
        retransmits: u32,
        min_size: usize,
        size: impl Fn(&K) -> Option<usize>,
    ) -> Vec<K> {
        let (mut selected, mut dropped, mut remaining) = (Vec::new(), Vec::new(), bytes);
        for (sent, _, key) in &self.order {
            if remaining < min_size {
                break;
            }
            match size(key) {
                Some(needed) if needed <= remaining => {
                    remaining -= needed;
                    selected.push((key.clone(), *sent));
                }
                Some(_) => {}
                None => dropped.push(key.clone()),
            }
        }
        dropped.iter().for_each(|key| self.remove(key));
        let count_sending = |(key, sent): (K, u32)| {
            self.remove(&key);
            if sent + 1 < retransmits {
                self.insert(key.clone(), sent + 1);
            }
            key
        };
        selected.into_iter().map(count_sending).collect()
    }

    fn insert(&mut self, key: K, sent: u32) {
        self.next_sequence -= 1;
        self.positions
            .insert(key.clone(), (sent, self.next_sequence));
        self.order.insert((sent, self.next_sequence, key));
    }
}
