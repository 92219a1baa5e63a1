//! Registered backend servers.
//!
//! Entries expire while the store is unavailable, and live servers register again shortly after it
//! recovers. Trusting the first list after an outage would empty healthy services and refuse
//! requests. Entries missing during the grace period after recovery are therefore kept as
//! unconfirmed until the period ends.
//!
//! A server may restart under the same name, and an old entry may be written after a newer one.
//! Entries of one name are therefore ordered by the server's own counters ([`Order`]) and not by
//! write time.

use super::evacuation::{self, Evacuations};
use super::{InstanceId, ServiceId};
use crate::Time;
use monsoonring_configuration::id::{BackendServerId, DataCentreId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Grace period after the store recovers, in which live servers register again. They take about two
/// seconds.
pub const RECOVERY_GRACE: Duration = Duration::from_millis(2_200);

/// Time after a restore of the store from an older copy within which entries of servers that are
/// gone expire. An entry expires after three missed heartbeats, which are sent about once a second;
/// the rest is margin.
const ENTRY_EXPIRY: Duration = Duration::from_secs(8);

/// Difference in the reported end of a cold period that is attributed to network delay.
const COLD_TOLERANCE: Duration = Duration::from_millis(500);

/// Time for which the last order of a removed server is remembered. Without it, a heartbeat in
/// flight when a draining server's entry is removed would add the server again. Heartbeats are sent about
/// once a second, and the store has given up on one that is late by several of them.
const TOMBSTONE_LIFE: Duration = Duration::from_secs(60);

/// Version of an entry, assigned by the store; higher is newer.
pub type Revision = u64;

/// Wall-clock start time of a server in milliseconds since the Unix epoch, or 0 if unknown.
pub type StartTime = u64;

/// Position of an entry among all entries of the same name. A later start sorts after an earlier
/// one, regardless of the sequence numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// When the server started.
    pub started_at: StartTime,
    /// Number of entries that the server has written since its start.
    pub sequence: u64,
}

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts new requests.
    Ready,
    /// Is shutting down and accepts none.
    Draining,
}

/// Registration of one backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The server process that registered.
    pub instance: InstanceId,
    /// The service that it serves.
    pub service: ServiceId,
    /// The address that it listens on.
    pub address: BackendServerId,
    /// The data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// Remaining warm-up time when the entry was written.
    pub cold_for: Duration,
    /// Position among the entries of this server's name.
    pub order: Order,
    /// The store's version of the entry.
    pub revision: Revision,
}

impl Entry {
    /// Returns whether two entries differ only in sequence, revision and remaining warm-up time.
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

/// A change reported by the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The complete list of entries.
    Listed(Vec<Entry>),
    /// An entry was written.
    Written(Entry),
    /// A server's entry was overwritten with data that can't be parsed.
    Unreadable(InstanceId, Revision),
    /// An entry was deleted.
    Deleted(InstanceId),
    /// Operators evacuated a data centre: its servers get no new requests.
    EvacuationOrdered(evacuation::Order),
    /// Operators withdrew an evacuation.
    EvacuationWithdrawn(evacuation::Order),
    /// The complete list of evacuated data centres, as of a revision.
    EvacuationsListed(Vec<evacuation::Order>, Revision),
    /// The store was restored from an older copy. It assigns revisions again that were already
    /// used, and changes since the copy are lost unless they are written again.
    StoreRestored,
    /// The store became unreachable.
    StoreLost,
    /// The store is reachable again.
    StoreRegained,
    /// A timer is due (see [`Registry::next_wake`]).
    Tick,
}

/// Servers that accept new requests, by address.
pub type Usable<'a> = BTreeMap<BackendServerId, &'a Entry>;

/// The registered backend servers.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<InstanceId, Entry>,
    /// Missing entries that are still in use, with the time at which they are removed.
    unconfirmed: BTreeMap<InstanceId, Time>,
    /// Last order of removed servers, with the time at which it is forgotten.
    tombstones: BTreeMap<InstanceId, (Order, Time)>,
    /// Entries of removed servers that reappeared in a restored store, with the time at which they
    /// are accepted if they have not expired.
    reappeared: BTreeMap<InstanceId, (Entry, Time)>,
    /// Until when a restored store may contain entries of servers that are gone.
    restored_until: Time,
    /// End of the warm-up of cold servers.
    cold: BTreeMap<InstanceId, Time>,
    evacuations: Evacuations,
    is_listed: bool,
    /// End of the grace period, in which missing entries are kept.
    grace_until: Time,
    is_lost: bool,
}

impl Registry {
    /// Applies an event. Returns whether the usable servers may have changed.
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
                self.is_lost = true;
                false
            }
            Event::StoreRegained => {
                if std::mem::take(&mut self.is_lost) {
                    self.grace_until = now + RECOVERY_GRACE;
                }
                false
            }
            Event::Tick => false,
        };
        ticked || changed
    }

    /// Returns whether a complete list was ever received.
    pub fn is_known(&self) -> bool {
        self.is_listed
    }

    /// Returns whether the store is unreachable.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Returns when [`Event::Tick`] is due.
    pub fn next_wake(&self) -> Option<Time> {
        let unconfirmed = self.unconfirmed.values().min().copied();
        let reappeared = self.reappeared.values().map(|(_, at)| *at).min();
        let evacuations = self.evacuations.next_wake();
        unconfirmed
            .into_iter()
            .chain(reappeared)
            .chain(evacuations)
            .min()
    }

    /// Returns the evacuated data centres.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the servers that accept new requests, by address.
    ///
    /// If two server processes are registered on one address, the one that started later is
    /// returned, or the one that registered later if the start times are equal or unknown. Servers
    /// in evacuated data centres are excluded.
    pub fn usable(&self) -> Usable<'_> {
        let mut usable = Usable::new();
        for entry in self.entries.values() {
            let latest = usable.entry(entry.address).or_insert(entry);
            let recency = |entry: &Entry| (entry.order.started_at, entry.revision);
            if recency(latest) < recency(entry) {
                *latest = entry;
            }
        }
        usable.retain(|_, entry| self.is_usable(entry));
        usable
    }

    /// Returns the end of a server's warm-up, if it reported one; may lie in the past.
    pub fn cold_until(&self, instance: &InstanceId) -> Option<Time> {
        self.cold.get(instance).copied()
    }

    /// Returns the number of entries in state [`State::Ready`].
    pub fn ready(&self) -> usize {
        let ready = |entry: &&Entry| entry.state == State::Ready;
        self.entries.values().filter(ready).count()
    }

    /// Returns the number of entries, and how many of them are missing but still in use.
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

    /// Keeps all known entries. Those that the restored copy lacks stay unconfirmed for the grace
    /// period. The copy's revisions can't be compared with earlier ones, so the revisions of the
    /// known entries are reset.
    fn mark_restored(&mut self, now: Time) {
        self.grace_until = now + RECOVERY_GRACE;
        self.restored_until = now + ENTRY_EXPIRY;
        self.evacuations.store_restored(now);
        for entry in self.entries.values_mut() {
            entry.revision = Revision::default();
        }
    }

    /// Inserts an entry or replaces an older one. Ignores an entry that is older than the known one
    /// or than the server's tombstone.
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

    /// Updates the end of a server's warm-up. Returns whether the warm-up started, ended or was
    /// extended.
    ///
    /// The remaining time in consecutive heartbeats decreases and each arrives with some delay, so
    /// the computed end is never too early.
    fn update_cold(&mut self, entry: &Entry, now: Time) -> bool {
        if entry.cold_for.is_zero() {
            return self.cold.remove(&entry.instance).is_some();
        }
        let until = now + entry.cold_for;
        let before = self.cold.insert(entry.instance.clone(), until);
        before.is_none_or(|before| before + COLD_TOLERANCE < until)
    }

    /// Removes a server whose entry can't be parsed, unless a newer entry is known.
    fn remove_unreadable(&mut self, instance: &InstanceId, revision: Revision, now: Time) -> bool {
        let is_newer = |entry: &Entry| entry.revision > revision;
        if self.entries.get(instance).is_some_and(is_newer) {
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

    /// Marks an entry that the store lacks as unconfirmed during the grace period; else removes it.
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
        let expired = self.unconfirmed.iter().filter(|(_, until)| **until <= now);
        let expired: Vec<InstanceId> = expired.map(|(instance, _)| instance.clone()).collect();
        let mut changed = self.evacuations.tick(now);
        for instance in expired {
            changed |= self.remove(&instance, now);
        }
        changed | self.accept_reappeared(now)
    }

    /// Accepts reappeared servers whose entries have not expired by now.
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
