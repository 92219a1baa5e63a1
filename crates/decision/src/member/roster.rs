//! Stores the latest record of each member, with indexes that keep operations cheap for thousands of
//! members.

use super::{Change, MemberId, State};
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Number of buckets that members are hashed into. A bucket of a large deployment still fits one page.
pub(crate) const BUCKETS: u8 = 64;

/// Maximum number of flaps counted; each extends the suspicion timeout.
const MAX_FLAPS: u32 = 4;

#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) change: Change,
    /// Time at which the member entered this state.
    pub(crate) since: Time,
    /// Number of times that the process recovered from a suspicion or death.
    pub(crate) flaps: u32,
    pub(crate) last_flap: Time,
}

/// Records of all known members.
///
/// Invariants: except in [`Self::revert`], a record is replaced only by a higher one, and it is removed
/// only as an expired tombstone. `hashes`, `serving`, `suspects` and `tombstones` are consistent with
/// `records`.
#[derive(Debug)]
pub(crate) struct Roster {
    records: BTreeMap<(u8, MemberId), Record>,
    hashes: [u64; BUCKETS as usize],
    serving: usize,
    /// Suspected members.
    suspects: BTreeSet<MemberId>,
    /// Dead and left members, by the time at which they entered that state.
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

    /// Stores the change if it supersedes the current record. Returns the previous state, or the current
    /// record as an error if the change does not supersede it.
    pub(crate) fn insert(&mut self, change: Change, now: Time) -> Result<Option<State>, &Record> {
        let key = (bucket(change.id), change.id);
        let old = self.records.remove(&key);
        if let Some(old) = old {
            if !change.supersedes(&old.change) {
                return Err(self.records.entry(key).or_insert(old));
            }
            self.unindex(&old);
            let before = old.change.state;
            self.store(key, update(&old, change, now));
            return Ok(Some(before));
        }
        let record = Record {
            change,
            since: now,
            flaps: 0,
            last_flap: Time::ZERO,
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

    /// Restarts the timeout of every suspicion, after a time in which no refutation could be received.
    pub(crate) fn restart_suspicions(&mut self, now: Time) {
        for id in &self.suspects {
            if let Some(record) = self.records.get_mut(&(bucket(*id), *id)) {
                record.since = now;
            }
        }
    }

    /// Sets a suspect or dead member back to alive in the same incarnation. This is the only change that
    /// lowers a record in the order; see `Table::withdraw_verdicts`.
    pub(crate) fn revert(&mut self, id: MemberId, now: Time) {
        let key = (bucket(id), id);
        if let Some(mut record) = self.records.remove(&key) {
            self.unindex(&record);
            record.change.state = State::Alive;
            record.since = now;
            self.store(key, record);
        }
    }

    /// Returns the members declared dead since `start`, without those that left.
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

    /// Removes the members that died or left before `end`.
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

/// Returns the record that replaces `old`, with the number of flaps updated.
fn update(old: &Record, change: Change, now: Time) -> Record {
    let same_process = old.change.incarnation.start == change.incarnation.start;
    let was_suspected = matches!(old.change.state, State::Suspect | State::Dead);
    let has_flapped = same_process && was_suspected && change.state == State::Alive;
    Record {
        since: now,
        flaps: if has_flapped {
            (old.flaps + 1).min(MAX_FLAPS)
        } else if same_process {
            old.flaps
        } else {
            0
        },
        last_flap: if has_flapped { now } else { old.last_flap },
        change,
    }
}

pub(crate) fn bucket(id: MemberId) -> u8 {
    let hash = crate::placement::score("bucket", id);
    u8::try_from(hash % u64::from(BUCKETS)).unwrap_or(0)
}

/// Hashes a serving member and its incarnation. Suspicion is not included, because it ends in a death or
/// a refutation without repair.
fn hash(change: &Change) -> u64 {
    let mut bytes = [0; 20];
    bytes[..8].copy_from_slice(&crate::placement::score("member", change.id).to_be_bytes());
    bytes[8..16].copy_from_slice(&change.incarnation.start.to_be_bytes());
    bytes[16..].copy_from_slice(&change.incarnation.refutation.to_be_bytes());
    xxh3_64(&bytes)
}
