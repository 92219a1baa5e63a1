//! What is still to be passed on, the least often sent first.
//!
//! Each key is passed on a bounded number of times, in messages of bounded size. That number grows
//! with the logarithm of the members, which is what an epidemic needs to reach all of them.

use std::collections::{BTreeMap, BTreeSet};

/// Keys waiting to be sent, each with the number of times that it was.
#[derive(Clone, Debug)]
pub(crate) struct Broadcast<K> {
    order: BTreeSet<(u32, u64, K)>,
    positions: BTreeMap<K, (u32, u64)>,
    /// Counts down, so that among keys sent equally often the newest goes first.
    next: u64,
}

impl<K: Ord + Clone> Broadcast<K> {
    pub(crate) fn new() -> Self {
        Self {
            order: BTreeSet::new(),
            positions: BTreeMap::new(),
            next: u64::MAX,
        }
    }

    /// Starts to pass `key` on, from the beginning if it was being passed on already.
    pub(crate) fn push(&mut self, key: K) {
        self.remove(&key);
        self.put(key, 0);
    }

    pub(crate) fn remove(&mut self, key: &K) {
        if let Some((sent, age)) = self.positions.remove(key) {
            self.order.remove(&(sent, age, key.clone()));
        }
    }

    pub(crate) fn clear(&mut self) {
        self.order.clear();
        self.positions.clear();
    }

    /// Takes the keys for one message: those that fit into `bytes`, each at most `retransmits`
    /// times over all messages. A key without a size is dropped.
    pub(crate) fn take(
        &mut self,
        bytes: usize,
        retransmits: u32,
        smallest: usize,
        size: impl Fn(&K) -> Option<usize>,
    ) -> Vec<K> {
        let (mut taken, mut gone, mut left) = (Vec::new(), Vec::new(), bytes);
        for (sent, _, key) in &self.order {
            if left < smallest {
                break;
            }
            match size(key) {
                Some(needed) if needed <= left => {
                    left -= needed;
                    taken.push((key.clone(), *sent));
                }
                Some(_) => {}
                None => gone.push(key.clone()),
            }
        }
        gone.iter().for_each(|key| self.remove(key));
        let count_sending = |(key, sent): (K, u32)| {
            self.remove(&key);
            if sent + 1 < retransmits {
                self.put(key.clone(), sent + 1);
            }
            key
        };
        taken.into_iter().map(count_sending).collect()
    }

    fn put(&mut self, key: K, sent: u32) {
        self.next -= 1;
        self.positions.insert(key.clone(), (sent, self.next));
        self.order.insert((sent, self.next, key));
    }
}
