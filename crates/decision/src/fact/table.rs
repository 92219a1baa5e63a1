//! The facts that one daemon knows.

use super::{Entry, Key, Stamp};
use crate::Time;
use crate::broadcast::Broadcast;
use crate::member::settings::retransmits;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

/// Most facts held, expired ones that are still guarded against included.
pub const CAPACITY: usize = 16_384;

/// Longest life that a fact may have; longer ones are cut to it.
pub const MAX_LIFE: Duration = Duration::from_secs(30 * 60);

/// Time for which an expired fact is remembered, so that a late message can't bring it back.
pub const TOMBSTONE_LIFE: Duration = Duration::from_secs(10 * 60);

/// Bytes of a message used to repeat facts already passed on, for members that missed them.
const REPEAT_BYTES: usize = 128;

/// Size of the smallest entry in bytes; with less room left nothing fits.
const SMALLEST: usize = 36;

/// A fact is sent this many times the binary logarithm of the members.
const RETRANSMIT_FACTOR: u32 = 3;

#[derive(Clone, Debug)]
struct Held {
    stamp: Stamp,
    /// Until then the fact holds.
    until: Time,
    /// From then on nothing is remembered of it; no earlier than `until`.
    forgotten: Time,
}

/// Facts by key, with what is still to be passed on.
///
/// Invariants: a key's stamp only grows while the key is remembered, and the end of a stamp's life
/// never moves to a later time. `forgets` holds exactly the keys of `held`.
#[derive(Clone, Debug)]
pub struct Table {
    held: BTreeMap<Key, Held>,
    forgets: BTreeSet<(Time, Key)>,
    broadcast: Broadcast<Key>,
    repeated: Option<Key>,
    members: usize,
    capacity: usize,
}

impl Default for Table {
    fn default() -> Self {
        Self::new(CAPACITY)
    }
}

impl Table {
    /// Makes an empty table that holds at most `capacity` facts.
    pub fn new(capacity: usize) -> Self {
        Self {
            held: BTreeMap::new(),
            forgets: BTreeSet::new(),
            broadcast: Broadcast::new(),
            repeated: None,
            members: 1,
            capacity: capacity.max(1),
        }
    }

    /// Sets the number of members, on which it depends how often a fact is passed on.
    pub fn set_members(&mut self, members: usize) {
        self.members = members;
    }

    /// Takes in direct evidence, and returns the fact if it is new or was renewed.
    ///
    /// Evidence for a version that is known renews it only past half of its life, so that repeated
    /// evidence does not flood the messages.
    pub fn learn(&mut self, key: Key, version: u64, life: Duration, now: Time) -> Option<Entry> {
        let life = life.min(MAX_LIFE);
        let renewal = match self.held.get(&key) {
            Some(held) if held.stamp.version > version => return None,
            Some(held) if held.stamp.version == version => {
                if held.until.saturating_sub(now) > life / 2 {
                    return None;
                }
                held.stamp.renewal.saturating_add(1)
            }
            _ => 0,
        };
        let stamp = Stamp { version, renewal };
        let entry = Entry { key, stamp, life };
        self.hold(&entry, now);
        Some(entry)
    }

    /// Takes in what another daemon passed on, and returns what was new.
    pub fn receive(&mut self, entries: Vec<Entry>, now: Time) -> Vec<Entry> {
        let new = entries.into_iter().filter_map(|mut entry| {
            entry.life = entry.life.min(MAX_LIFE);
            self.is_new(&entry, now).then(|| {
                self.hold(&entry, now);
                entry
            })
        });
        new.collect()
    }

    /// Returns the facts for one message, at most `max_bytes` together.
    pub fn pick(&mut self, max_bytes: usize, now: Time) -> Vec<Entry> {
        let limit = retransmits(RETRANSMIT_FACTOR, self.members);
        let held = &self.held;
        let size = |key: &Key| Self::entry(held, key, now).map(|entry| entry.size());
        let keys = self.broadcast.take(max_bytes, limit, SMALLEST, size);
        let entry = |key: &Key| Self::entry(held, key, now);
        let mut picked: Vec<Entry> = keys.iter().filter_map(entry).collect();
        let used: usize = picked.iter().map(Entry::size).sum();
        self.repeat(&mut picked, (max_bytes - used).min(REPEAT_BYTES), now);
        picked
    }

    /// Forgets what neither holds any longer nor needs guarding against.
    pub fn expire(&mut self, now: Time) {
        while let Some((forgotten, _)) = self.forgets.first() {
            if *forgotten > now {
                break;
            }
            self.forget_first();
        }
    }

    /// Returns the fact about `key` that holds at `now`.
    pub fn get(&self, key: &Key, now: Time) -> Option<Entry> {
        Self::entry(&self.held, key, now)
    }

    /// Returns every fact that holds at `now`, for a member that starts.
    pub fn iter(&self, now: Time) -> impl Iterator<Item = Entry> + '_ {
        let entry = move |key| Self::entry(&self.held, key, now);
        self.held.keys().filter_map(entry)
    }

    /// Number of facts remembered, expired ones included.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Tells whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// A late daemon repeats facts that have expired or were superseded. Believed, a server that
    /// came back would lose its traffic again, or a harmless request would be refused; one would
    /// see facts that never die. A stamp that was held is therefore refused, dead or alive.
    fn is_new(&mut self, entry: &Entry, now: Time) -> bool {
        let until = now.saturating_add(entry.life);
        match self.held.get_mut(&entry.key) {
            _ if entry.life.is_zero() => false,
            None => true,
            Some(held) if held.stamp == entry.stamp => {
                held.until = held.until.min(until);
                false
            }
            Some(held) => entry.stamp > held.stamp,
        }
    }

    fn hold(&mut self, entry: &Entry, now: Time) {
        let until = now.saturating_add(entry.life);
        let held = Held {
            stamp: entry.stamp,
            until,
            forgotten: until.saturating_add(TOMBSTONE_LIFE),
        };
        self.forgets.insert((held.forgotten, entry.key.clone()));
        if let Some(old) = self.held.insert(entry.key.clone(), held.clone()) {
            if old.forgotten != held.forgotten {
                self.forgets.remove(&(old.forgotten, entry.key.clone()));
            }
        }
        self.broadcast.push(entry.key.clone());
        while self.held.len() > self.capacity {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, key)) = self.forgets.pop_first() {
            self.held.remove(&key);
            self.broadcast.remove(&key);
        }
    }

    /// Adds facts in the order of their keys, a few in each message, until each has had its turn.
    /// A member that was unreachable while a fact was passed on still learns it so.
    fn repeat(&mut self, picked: &mut Vec<Entry>, bytes: usize, now: Time) {
        let from = self
            .repeated
            .take()
            .map_or(Bound::Unbounded, Bound::Excluded);
        let mut left = bytes;
        for key in self
            .held
            .range((from, Bound::Unbounded))
            .map(|(key, _)| key)
        {
            let Some(entry) = Self::entry(&self.held, key, now) else {
                continue;
            };
            if entry.size() > left {
                break;
            }
            left -= entry.size();
            self.repeated = Some(entry.key.clone());
            if !picked.iter().any(|other| other.key == entry.key) {
                picked.push(entry);
            }
        }
    }

    fn entry(held: &BTreeMap<Key, Held>, key: &Key, now: Time) -> Option<Entry> {
        let known = held.get(key)?;
        let life = known
            .until
            .checked_sub(now)
            .filter(|left| !left.is_zero())?;
        Some(Entry {
            key: key.clone(),
            stamp: known.stamp,
            life,
        })
    }
}
