//! Which backend servers there are, by what they register.
//!
//! Entries lapse by themselves while the store that holds them is away, and those whose servers
//! live are back a moment after it. Taking the first list after an outage at its word would empty
//! services whose servers are well, seen as refusals everywhere just when the store is back. So what
//! is missing in the time after a return is only unconfirmed, and stays in use until that time is over.
//!
//! A server may start again under the name that it had, and what it said before may be written after
//! what it says now. Entries of one name are therefore ordered by what the server itself counts
//! ([`Order`]), and not by when they were written.

use super::evacuation::{self, Evacuations};
use super::{InstanceId, ServiceId};
use crate::Time;
use monsoonring_configuration::id::{BackendServerId, DataCentreId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after a return of the store within which entries of living servers come back: their owners
/// name about two seconds.
pub const RECOVERY_GRACE: Duration = Duration::from_millis(2_200);

/// Time after the store went back within which the entry of a server that is tombstones has lapsed there: three heartbeats,
/// which come every second or so, with as much again.
const ENTRY_EXPIRY: Duration = Duration::from_secs(8);

/// Time by which heartbeats of a server that is cold for as long as it said before may differ on their way.
const COLD_TOLERANCE: Duration = Duration::from_millis(500);

/// Time for which it is remembered what a server that is tombstones said last. A heartbeat that was under
/// way when the entry went would bring a server back that is leaving without a word; they come every
/// second or so, and one that is late by more than some of them has been given up by the store.
const TOMBSTONE_LIFE: Duration = Duration::from_secs(60);

/// Version that the store gives an entry; a higher one is newer.
pub type Revision = u64;

/// Time of day at which a server started, in milliseconds since 1970, 0 where it does not say.
pub type StartTime = u64;

/// Where an entry stands among all that servers of its name said of themselves; a later start comes
/// after an earlier one, whatever their counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// When the server started.
    pub started_at: StartTime,
    /// Its own count of what it said since then.
    pub sequence: u64,
}

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// One backend server, as it registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// This start of it.
    pub instance: InstanceId,
    /// The service whose requests it answers.
    pub service: ServiceId,
    /// Where it answers them.
    pub address: BackendServerId,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// How much longer it is cold, counted from when it was written.
    pub cold_for: Duration,
    /// Its place among what the server said.
    pub order: Order,
    /// Version of the entry.
    pub revision: Revision,
}

impl Entry {
    /// Tells whether it says the same as another one, whenever that was. How long it is cold is told apart.
    fn is_equivalent(&self, other: &Self) -> bool {
        let aligned = Self {
            order: Order {
                sequence: other.order.sequence,
                ..self.order
            },
            revision: other.revision,
            cold_for: other.cold_for,
            ..self.clone()
        };
        aligned == *other
    }

    fn is_older_than(&self, other: &Self) -> bool {
        (self.order, self.revision) < (other.order, other.revision)
    }
}

/// Something that was learned from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// All entries that there are, as of a revision.
    Listed(Vec<Entry>),
    /// An entry was written.
    Written(Entry),
    /// Something was written in the place of a server's entry that can't be read as one. It names no
    /// server to use.
    Unreadable(InstanceId, Revision),
    /// An entry is tombstones.
    Deleted(InstanceId),
    /// Operators have emptied a data centre: its servers are to get no new work.
    EvacuationOrdered(evacuation::Order),
    /// They have taken the order back.
    EvacuationWithdrawn(evacuation::Order),
    /// All orders to empty data centres that there are, as of a revision.
    EvacuationsListed(Vec<evacuation::Order>, Revision),
    /// The store came back from an older copy: revisions are given out again, and what was written since is
    /// written again, or tombstones.
    StoreRestored,
    /// The store can't be reached.
    StoreLost,
    /// The store can be reached again.
    StoreRegained,
    /// Time has passed.
    Tick,
}

/// Servers that may be given new work, by their addresses.
pub type Usable<'a> = BTreeMap<BackendServerId, &'a Entry>;

/// The registered backend servers.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<InstanceId, Entry>,
    /// Entries that are missing, and when they are taken as tombstones.
    unconfirmed: BTreeMap<InstanceId, Time>,
    /// What those that are tombstones said last, and until when that is remembered.
    tombstones: BTreeMap<InstanceId, (Order, Time)>,
    /// Entries that an older copy of the store has of servers that were tombstones, and when they are believed.
    reappeared: BTreeMap<InstanceId, (Entry, Time)>,
    /// Until when the store may hold entries of servers that are tombstones.
    restored_until: Time,
    /// Until when servers are cold.
    cold: BTreeMap<InstanceId, Time>,
    evacuations: Evacuations,
    is_listed: bool,
    /// Time from which on a missing entry is tombstones.
    grace_until: Time,
    lost: bool,
}

impl Registry {
    /// Takes in what was learned. Returns whether the usable servers may have changed.
    pub fn handle(&mut self, event: Event, now: Time) -> bool {
        let ticked = self.tick(now);
        let changed = match event {
            Event::Listed(entries) => self.apply_list(entries, now),
            Event::Written(entry) => self.apply_write(entry, now),
            Event::Unreadable(instance, revision) => {
                self.remove_unreadable(&instance, revision, now)
            }
            Event::Deleted(instance) => self.mark_missing(&instance, now),
            Event::EvacuationOrdered(order) => self.evacuations.ordered(order, now),
            Event::EvacuationWithdrawn(order) => self.evacuations.withdrawn(order, now),
            Event::EvacuationsListed(orders, as_of) => self.evacuations.listed(orders, as_of, now),
            Event::StoreRestored => {
                self.mark_restored(now);
                false
            }
            Event::StoreLost => {
                self.lost = true;
                false
            }
            Event::StoreRegained => {
                if std::mem::take(&mut self.lost) {
                    self.grace_until = now + RECOVERY_GRACE;
                }
                false
            }
            Event::Tick => false,
        };
        ticked || changed
    }

    /// Tells whether the servers were ever is_listed.
    pub fn is_known(&self) -> bool {
        self.is_listed
    }

    /// Tells whether what lists the servers can't be reached.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Returns when [`Event::Tick`] has something to do.
    pub fn next_wake(&self) -> Option<Time> {
        let unconfirmed = self.unconfirmed.values().min().copied();
        let reappeared = self.reappeared.values().map(|(_, at)| *at).min();
        let emptied = self.evacuations.next_wake();
        unconfirmed
            .into_iter()
            .chain(reappeared)
            .chain(emptied)
            .min()
    }

    /// Returns the data centres that operators have emptied.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the servers that may be given new work, in the order of their addresses.
    ///
    /// Where two starts are registered on one address, only the one that started last can be there;
    /// where they don't say, the one that registered last. Servers of emptied data centres are none of them.
    pub fn usable(&self) -> Usable<'_> {
        let mut usable = Usable::new();
        for entry in self.entries.values() {
            let other = usable.entry(entry.address).or_insert(entry);
            let is_later = |one: &Entry| (one.order.started_at, one.revision);
            if is_later(other) < is_later(entry) {
                *other = entry;
            }
        }
        usable.retain(|_, entry| self.is_usable(entry));
        usable
    }

    /// Returns until when a server is cold, if it said that it is. That may be over.
    pub fn cold_until(&self, instance: &InstanceId) -> Option<Time> {
        self.cold.get(instance).copied()
    }

    /// Returns the number of entries whose servers take new work.
    pub fn ready(&self) -> usize {
        let ready = |entry: &&Entry| entry.state == State::Ready;
        self.entries.values().filter(ready).count()
    }

    /// Returns the number of entries, and of those that are missing and not yet taken as tombstones.
    pub fn counts(&self) -> (usize, usize) {
        (self.entries.len(), self.unconfirmed.len())
    }

    fn is_usable(&self, entry: &Entry) -> bool {
        entry.state == State::Ready && !self.evacuations.contains(&entry.data_centre)
    }

    fn apply_list(&mut self, entries: Vec<Entry>, now: Time) -> bool {
        self.is_listed = true;
        self.reappeared.clear();
        let mut missing = std::mem::take(&mut self.entries);
        let mut changed = false;
        for entry in entries {
            let old = missing.remove(&entry.instance);
            changed |= self.upsert(entry, old, now);
        }
        for (instance, entry) in missing {
            self.entries.insert(instance.clone(), entry);
            changed |= self.mark_missing(&instance, now);
        }
        changed
    }

    fn apply_write(&mut self, entry: Entry, now: Time) -> bool {
        let old = self.entries.remove(&entry.instance);
        self.upsert(entry, old, now)
    }

    /// What is known stays in use. What the older copy lacks is unconfirmed until the servers have written again, and its
    /// revisions say nothing beside those of before.
    fn mark_restored(&mut self, now: Time) {
        self.grace_until = now + RECOVERY_GRACE;
        self.restored_until = now + ENTRY_EXPIRY;
        self.evacuations.store_restored(now);
        for entry in self.entries.values_mut() {
            entry.revision = Revision::default();
        }
    }

    /// Puts an entry in the place of an older one. What was overtaken on its way changes nothing: a
    /// read, or what the server said earlier or before its last start.
    fn upsert(&mut self, entry: Entry, old: Option<Entry>, now: Time) -> bool {
        let instance = entry.instance.clone();
        self.unconfirmed.remove(&instance);
        self.reappeared.remove(&instance);
        let last_order = self.tombstones.get(&instance).map(|(order, _)| *order);
        if let Some(old) = old {
            let is_new = !entry.is_older_than(&old);
            let mut changed = is_new && !entry.is_equivalent(&old);
            if old.is_older_than(&entry) {
                changed |= self.update_cold(&entry, now);
            }
            self.entries
                .insert(instance, if is_new { entry } else { old });
            return changed;
        }
        if last_order.is_some_and(|last_order| entry.order < last_order) {
            return false;
        }
        if last_order == Some(entry.order) && now < self.restored_until {
            self.reappeared
                .insert(instance, (entry, self.restored_until));
            return false;
        }
        self.tombstones.remove(&instance);
        self.update_cold(&entry, now);
        self.entries.insert(instance, entry);
        true
    }

    /// Notes how long a server is cold. Returns whether it became so, or is so no more.
    ///
    /// Each heartbeat of a cold server says a little less, and comes a little late; what is noted is never too early.
    fn update_cold(&mut self, entry: &Entry, now: Time) -> bool {
        if entry.cold_for.is_zero() {
            return self.cold.remove(&entry.instance).is_some();
        }
        let until = now + entry.cold_for;
        let before = self.cold.insert(entry.instance.clone(), until);
        before.is_none_or(|before| before + COLD_TOLERANCE < until)
    }

    /// Takes out a server whose entry can't be read any more.
    fn remove_unreadable(&mut self, instance: &InstanceId, revision: Revision, now: Time) -> bool {
        let is_older = |entry: &Entry| entry.revision > revision;
        if self.entries.get(instance).is_some_and(is_older) {
            return false;
        }
        self.remove(instance, now)
    }

    fn remove(&mut self, instance: &InstanceId, now: Time) -> bool {
        self.unconfirmed.remove(instance);
        self.reappeared.remove(instance);
        let Some(entry) = self.entries.remove(instance) else {
            return false;
        };
        let until = now + TOMBSTONE_LIFE;
        self.tombstones
            .insert(instance.clone(), (entry.order, until));
        self.cold.remove(instance);
        true
    }

    fn mark_missing(&mut self, instance: &InstanceId, now: Time) -> bool {
        self.reappeared.remove(instance);
        if now < self.grace_until {
            if self.entries.contains_key(instance) {
                self.unconfirmed.insert(instance.clone(), self.grace_until);
            }
            return false;
        }
        self.remove(instance, now)
    }

    fn tick(&mut self, now: Time) -> bool {
        self.tombstones.retain(|_, (_, until)| *until > now);
        let over = self.unconfirmed.iter().filter(|(_, until)| **until <= now);
        let over: Vec<InstanceId> = over.map(|(instance, _)| instance.clone()).collect();
        let mut changed = self.evacuations.tick(now);
        for instance in over {
            changed |= self.remove(&instance, now);
        }
        changed | self.accept_reappeared(now)
    }

    /// Takes in servers that were tombstones before the store went back, and whose entries have not lapsed since.
    fn accept_reappeared(&mut self, now: Time) -> bool {
        let reappeared = std::mem::take(&mut self.reappeared).into_iter();
        let (due, later): (BTreeMap<_, _>, BTreeMap<_, _>) =
            reappeared.partition(|(_, (_, at))| *at <= now);
        self.reappeared = later;
        let changed = !due.is_empty();
        for (instance, (entry, _)) in due {
            self.tombstones.remove(&instance);
            self.update_cold(&entry, now);
            self.entries.insert(instance, entry);
        }
        changed
    }
}
