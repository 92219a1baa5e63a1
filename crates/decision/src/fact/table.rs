//! The table of facts known to one daemon.

use super::{Entry, Key, Stamp};
use crate::Time;
use crate::broadcast::Broadcast;
use crate::member::settings::transmit_limit;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;

/// Maximum number of facts in a table, including tombstones of expired facts.
pub const CAPACITY: usize = 16_384;

/// Maximum life of a fact; longer ones are shortened.
pub const MAX_LIFE: Duration = Duration::from_secs(30 * 60);

/// Time for which an expired fact is remembered, so that a delayed message can't revive it.
pub const TOMBSTONE_LIFE: Duration = Duration::from_secs(10 * 60);

/// Bytes per message used to repeat facts, for members that missed their first round of gossip.
const REPEAT_BYTES: usize = 128;

/// Bytes per message used to repeat crash evidence. It does not share those of the other facts: a
/// crash leaves evidence against each request in progress, and a host that starts needs the refusals
/// before it takes requests.
const REPEAT_EVIDENCE_BYTES: usize = 96;

/// Encoded size of the smallest entry. With less space left in a message, no entry fits.
const MIN_ENTRY_BYTES: usize = 36;

/// Number of times that a fact is sent, per binary logarithm of the number of members.
const RETRANSMIT_FACTOR: u32 = 3;

#[derive(Clone, Debug)]
struct Record {
    stamp: Stamp,
    /// Until then the fact holds.
    expires_at: Time,
    /// Time at which the record is removed, not before `expires_at`.
    forget_at: Time,
}

/// Facts by key, and the facts still to be gossiped.
///
/// Invariants: while a key is remembered its stamp never decreases, and the expiry of a stamp never moves
/// to a later time. `by_forget_time` holds exactly the keys of `records`.
#[derive(Clone, Debug)]
pub struct Table {
    records: BTreeMap<Key, Record>,
    by_forget_time: BTreeSet<(Time, Key)>,
    broadcast: Broadcast<Key>,
    last_repeated: Option<Key>,
    last_repeated_evidence: Option<Key>,
    members: usize,
    capacity: usize,
}

impl Default for Table {
    fn default() -> Self {
        Self::new(CAPACITY)
    }
}

impl Table {
    /// Creates an empty table for at most `capacity` facts.
    pub fn new(capacity: usize) -> Self {
        Self {
            records: BTreeMap::new(),
            by_forget_time: BTreeSet::new(),
            broadcast: Broadcast::new(),
            last_repeated: None,
            last_repeated_evidence: None,
            members: 1,
            capacity: capacity.max(1),
        }
    }

    /// Sets the number of members, which determines how often a fact is sent.
    pub fn set_members(&mut self, members: usize) {
        self.members = members;
    }

    /// Records direct evidence of a fact. Returns the fact if it is new or was renewed.
    ///
    /// Evidence for a known version renews it only after half of its life, so that repeated evidence does
    /// not flood the gossip.
    pub fn learn(&mut self, key: Key, version: u64, life: Duration, now: Time) -> Option<Entry> {
        let life = life.min(MAX_LIFE);
        let renewal = match self.records.get(&key) {
            Some(record) if record.stamp.version > version => return None,
            Some(record) if record.stamp.version == version => {
                if record.expires_at.saturating_sub(now) > life / 2 {
                    return None;
                }
                record.stamp.renewal.saturating_add(1)
            }
            _ => 0,
        };
        let stamp = Stamp { version, renewal };
        let entry = Entry { key, stamp, life };
        self.store(&entry, now);
        Some(entry)
    }

    /// Records facts received from another daemon. Returns the new ones.
    pub fn receive(&mut self, entries: Vec<Entry>, now: Time) -> Vec<Entry> {
        let new = entries.into_iter().filter_map(|mut entry| {
            entry.life = entry.life.min(MAX_LIFE);
            self.is_new(&entry, now).then(|| {
                self.store(&entry, now);
                entry
            })
        });
        new.collect()
    }

    /// Returns the facts to send in one message, at most `max_bytes` in total.
    pub fn pick(&mut self, max_bytes: usize, now: Time) -> Vec<Entry> {
        let limit = transmit_limit(RETRANSMIT_FACTOR, self.members);
        let records = &self.records;
        let size = |key: &Key| Self::entry(records, key, now).map(|entry| entry.size());
        let keys = self.broadcast.take(max_bytes, limit, MIN_ENTRY_BYTES, size);
        let entry = |key: &Key| Self::entry(records, key, now);
        let mut picked: Vec<Entry> = keys.iter().filter_map(entry).collect();
        let used: usize = picked.iter().map(Entry::size).sum();
        let first_evidence = Self::first_evidence();
        let others = (Bound::Unbounded, Bound::Excluded(&first_evidence));
        let bytes = (max_bytes - used).min(REPEAT_BYTES);
        let last = self.last_repeated.take();
        self.last_repeated = self.repeat(&mut picked, others, last.as_ref(), bytes, now);
        let used: usize = picked.iter().map(Entry::size).sum();
        let evidence = (Bound::Included(&first_evidence), Bound::Unbounded);
        let bytes = (max_bytes - used).min(REPEAT_EVIDENCE_BYTES);
        let last = self.last_repeated_evidence.take();
        self.last_repeated_evidence = self.repeat(&mut picked, evidence, last.as_ref(), bytes, now);
        picked
    }

    /// Returns a key that is not greater than any key of crash evidence, and greater than all others.
    fn first_evidence() -> Key {
        Key::CrashEvidence(0, SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Removes expired facts whose tombstones are over.
    pub fn expire(&mut self, now: Time) {
        while let Some((forget_at, _)) = self.by_forget_time.first() {
            if *forget_at > now {
                break;
            }
            self.forget_first();
        }
    }

    /// Returns the fact about `key` if it has not expired.
    pub fn get(&self, key: &Key, now: Time) -> Option<Entry> {
        Self::entry(&self.records, key, now)
    }

    /// Returns all facts that have not expired, for a member that starts.
    pub fn iter(&self, now: Time) -> impl Iterator<Item = Entry> + '_ {
        let entry = move |key| Self::entry(&self.records, key, now);
        self.records.keys().filter_map(entry)
    }

    /// Returns the number of facts, including tombstones.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table contains neither facts nor tombstones.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether a received fact is new; a known stamp may have its life shortened.
    ///
    /// A delayed message can repeat a fact that has expired or was superseded. If it were accepted, a
    /// server that returned would lose its traffic again, or a harmless request would be refused. A known
    /// stamp is therefore never new, whether or not the fact has expired.
    fn is_new(&mut self, entry: &Entry, now: Time) -> bool {
        let expires_at = now.saturating_add(entry.life);
        match self.records.get_mut(&entry.key) {
            _ if entry.life.is_zero() => false,
            None => true,
            Some(record) if record.stamp == entry.stamp => {
                record.expires_at = record.expires_at.min(expires_at);
                false
            }
            Some(record) => entry.stamp > record.stamp,
        }
    }

    fn store(&mut self, entry: &Entry, now: Time) {
        let expires_at = now.saturating_add(entry.life);
        let record = Record {
            stamp: entry.stamp,
            expires_at,
            forget_at: expires_at.saturating_add(TOMBSTONE_LIFE),
        };
        self.by_forget_time
            .insert((record.forget_at, entry.key.clone()));
        if let Some(old) = self.records.insert(entry.key.clone(), record.clone()) {
            if old.forget_at != record.forget_at {
                self.by_forget_time
                    .remove(&(old.forget_at, entry.key.clone()));
            }
        }
        self.broadcast.push(entry.key.clone());
        while self.records.len() > self.capacity {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, key)) = self.by_forget_time.pop_first() {
            self.records.remove(&key);
            self.broadcast.remove(&key);
        }
    }

    /// Adds a few facts that were already gossiped, cycling through those in `range` in key order after
    /// `last`, so that members that were unreachable during the gossip receive them too. Returns the
    /// last one.
    fn repeat(
        &self,
        picked: &mut Vec<Entry>,
        range: (Bound<&Key>, Bound<&Key>),
        last: Option<&Key>,
        bytes: usize,
        now: Time,
    ) -> Option<Key> {
        let (start, end) = range;
        let start = last.map_or(start, Bound::Excluded);
        let mut remaining = bytes;
        let mut last_added = None;
        for (key, _) in self.records.range::<Key, _>((start, end)) {
            let Some(entry) = Self::entry(&self.records, key, now) else {
                continue;
            };
            if entry.size() > remaining {
                break;
            }
            remaining -= entry.size();
            last_added = Some(entry.key.clone());
            if !picked.iter().any(|other| other.key == entry.key) {
                picked.push(entry);
            }
        }
        last_added
    }

    fn entry(records: &BTreeMap<Key, Record>, key: &Key, now: Time) -> Option<Entry> {
        let known = records.get(key)?;
        let life = known
            .expires_at
            .checked_sub(now)
            .filter(|left| !left.is_zero())?;
        Some(Entry {
            key: key.clone(),
            stamp: known.stamp,
            life,
        })
    }
}
