//! The highest saying of each member, with the indexes that keep every operation cheap at 3,800.

use super::{Change, MemberId, State};
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Number of buckets. At 3,800 members one has about 60, which is one small page.
pub(crate) const BUCKETS: u8 = 64;

/// Most flaps counted; each adds one suspicion time.
const MAX_FLAPS: u32 = 4;

#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) change: Change,
    /// Since when the state holds.
    pub(crate) since: Time,
    /// How often the process recovered from a suspicion or death, and when last.
    pub(crate) flaps: u32,
    pub(crate) flapped: Time,
}

/// Invariants: a record is replaced only by a higher one, and removed only as a tombstone whose
/// life is over. `hashes`, `serving`, `suspects` and `tombstones` agree with `records`.
#[derive(Debug)]
pub(crate) struct Roster {
    records: BTreeMap<(u8, MemberId), Record>,
    hashes: [u64; BUCKETS as usize],
    serving: usize,
    /// Suspected members; `since` is when the suspicion began.
    suspects: BTreeSet<MemberId>,
    /// Dead and left members by the time at which they died.
    tombstones: BTreeSet<(Time, MemberId)>,
}

impl Roster {
    pub(crate) fn new() -> Self {
        Self {
            records: BTreeMap::new(),
            hashes: [0; BUCKETS as usize],
            serving: 0,
            suspects: BTreeSet::new(),
            tombstones: BTreeSet::new(),
        }
    }

    pub(crate) fn get(&self, id: MemberId) -> Option<&Record> {
        self.records.get(&(bucket(id), id))
    }

    /// Takes the saying in if it is higher than the one on record. Returns the state before, or
    /// `Err` with the record that stands.
    pub(crate) fn insert(&mut self, change: Change, now: Time) -> Result<Option<State>, &Record> {
        let key = (bucket(change.id), change.id);
        let old = self.records.remove(&key);
        if let Some(old) = old {
            if !change.supersedes(&old.change) {
                return Err(self.records.entry(key).or_insert(old));
            }
            self.unindex(&old);
            let before = old.change.state;
            self.store(key, next(&old, change, now));
            return Ok(Some(before));
        }
        let record = Record {
            change,
            since: now,
            flaps: 0,
            flapped: Time::ZERO,
        };
        self.store(key, record);
        Ok(None)
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) fn serving(&self) -> usize {
        self.serving
    }

    pub(crate) fn suspects(&self) -> impl Iterator<Item = &Record> {
        self.suspects.iter().filter_map(|id| self.get(*id))
    }

    /// Starts every suspicion anew, after a time in which nobody could have been heard.
    pub(crate) fn restart_suspicions(&mut self, now: Time) {
        for id in &self.suspects {
            if let Some(record) = self.records.get_mut(&(bucket(*id), *id)) {
                record.since = now;
            }
        }
    }

    /// Takes a verdict back: the member is alive again in the incarnation that was condemned. This
    /// is the one way down in the order; see `Table::take_back`.
    pub(crate) fn revert(&mut self, id: MemberId, now: Time) {
        let key = (bucket(id), id);
        if let Some(mut record) = self.records.remove(&key) {
            self.unindex(&record);
            record.change.state = State::Alive;
            record.since = now;
            self.store(key, record);
        }
    }

    /// Members that died, and did not leave, since `start`.
    pub(crate) fn deaths_since(&self, start: Time) -> impl Iterator<Item = MemberId> {
        let from = (start, MemberId::from(([0, 0, 0, 0], 0)));
        let died = |id: &MemberId| {
            self.get(*id)
                .is_some_and(|record| record.change.state == State::Dead)
        };
        let ids = self.tombstones.range(from..).map(|(_, id)| *id);
        ids.filter(died)
    }

    pub(crate) fn suspected(&self) -> usize {
        self.suspects.len()
    }

    pub(crate) fn hash(&self, bucket: u8) -> u64 {
        self.hashes[usize::from(bucket % BUCKETS)]
    }

    pub(crate) fn bucket(&self, bucket: u8) -> impl Iterator<Item = &Change> {
        let in_bucket = move |((other, _), _): &(&(u8, MemberId), &Record)| *other == bucket;
        let from = (bucket, MemberId::from(([0, 0, 0, 0], 0)));
        let range = self.records.range(from..);
        range
            .take_while(in_bucket)
            .map(|(_, record)| &record.change)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Forgets the members that died or left before `end`.
    pub(crate) fn forget_before(&mut self, end: Time) {
        while let Some((died, id)) = self.tombstones.first().copied() {
            if died >= end {
                break;
            }
            self.tombstones.pop_first();
            self.records.remove(&(bucket(id), id));
        }
    }

    fn store(&mut self, key: (u8, MemberId), record: Record) {
        let change = &record.change;
        if change.state.is_serving() {
            self.serving += 1;
            self.hashes[usize::from(key.0)] ^= hash(change);
        } else {
            self.tombstones.insert((record.since, change.id));
        }
        if change.state == State::Suspect {
            self.suspects.insert(change.id);
        }
        self.records.insert(key, record);
    }

    fn unindex(&mut self, record: &Record) {
        let change = &record.change;
        if change.state.is_serving() {
            self.serving -= 1;
            self.hashes[usize::from(bucket(change.id))] ^= hash(change);
        }
        self.suspects.remove(&change.id);
        self.tombstones.remove(&(record.since, change.id));
    }
}

/// The record that follows `old`, with the flaps counted.
fn next(old: &Record, change: Change, now: Time) -> Record {
    let same_process = old.change.incarnation.start == change.incarnation.start;
    let was_doubted = matches!(old.change.state, State::Suspect | State::Dead);
    let flapped = same_process && was_doubted && change.state == State::Alive;
    Record {
        since: now,
        flaps: if flapped {
            (old.flaps + 1).min(MAX_FLAPS)
        } else if same_process {
            old.flaps
        } else {
            0
        },
        flapped: if flapped { now } else { old.flapped },
        change,
    }
}

pub(crate) fn bucket(id: MemberId) -> u8 {
    let hash = crate::placement::score("bucket", id);
    u8::try_from(hash % u64::from(BUCKETS)).unwrap_or(0)
}

/// Suspicion is left out: it is on its way to a death or a refutation, and repairs itself.
fn hash(change: &Change) -> u64 {
    let mut bytes = [0; 20];
    bytes[..8].copy_from_slice(&crate::placement::score("member", change.id).to_be_bytes());
    bytes[8..16].copy_from_slice(&change.incarnation.start.to_be_bytes());
    bytes[16..].copy_from_slice(&change.incarnation.refutation.to_be_bytes());
    xxh3_64(&bytes)
}
