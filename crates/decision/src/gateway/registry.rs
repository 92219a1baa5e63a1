//! Which backend servers there are, by what they register.
//!
//! Entries lapse by themselves while the store that holds them is away, and those whose servers
//! live are back a moment after it. Taking the first list after an outage at its word would empty
//! services whose servers are well, seen as refusals everywhere just when the store is back. So what
//! is missing in the time after a return is only doubted, and stays in use until that time is over.
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

/// Time after the store went back within which the entry of a server that is gone has lapsed there: three heartbeats,
/// which come every second or so, with as much again.
const LAPSED: Duration = Duration::from_secs(8);

/// Time by which heartbeats of a server that is cold for as long as it said before may differ on their way.
const COLD_LATE: Duration = Duration::from_millis(500);

/// Time for which it is remembered what a server that is gone said last. A heartbeat that was under
/// way when the entry went would bring a server back that is leaving without a word; they come every
/// second or so, and one that is late by more than some of them has been given up by the store.
const REMEMBERED: Duration = Duration::from_secs(60);

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
    fn says_the_same(&self, other: &Self) -> bool {
        let said_then = Self {
            order: Order {
                sequence: other.order.sequence,
                ..self.order
            },
            revision: other.revision,
            cold_for: other.cold_for,
            ..self.clone()
        };
        said_then == *other
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
    /// An entry is gone.
    Deleted(InstanceId),
    /// Operators have emptied a data centre: its servers are to get no new work.
    EvacuationOrdered(evacuation::Order),
    /// They have taken the order back.
    EvacuationWithdrawn(evacuation::Order),
    /// All orders to empty data centres that there are, as of a revision.
    EvacuationsListed(Vec<evacuation::Order>, Revision),
    /// The store came back from an older copy: revisions are given out again, and what was written since is
    /// written again, or gone.
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
    /// Entries that are missing, and when they are taken as gone.
    doubted: BTreeMap<InstanceId, Time>,
    /// What those that are gone said last, and until when that is remembered.
    gone: BTreeMap<InstanceId, (Order, Time)>,
    /// Entries that an older copy of the store has of servers that were gone, and when they are believed.
    revived: BTreeMap<InstanceId, (Entry, Time)>,
    /// Until when the store may hold entries of servers that are gone.
    copied_until: Time,
    /// Until when servers are cold.
    cold: BTreeMap<InstanceId, Time>,
    evacuations: Evacuations,
    listed: bool,
    /// Time from which on a missing entry is gone.
    trusted_from: Time,
    lost: bool,
}

impl Registry {
    /// Takes in what was learned. Returns whether the usable servers may have changed.
    pub fn handle(&mut self, event: Event, now: Time) -> bool {
        let ticked = self.tick(now);
        let changed = match event {
            Event::Listed(entries) => self.list(entries, now),
            Event::Written(entry) => self.write(entry, now),
            Event::Unreadable(instance, revision) => self.distrust(&instance, revision, now),
            Event::Deleted(instance) => self.miss(&instance, now),
            Event::EvacuationOrdered(order) => self.evacuations.ordered(order, now),
            Event::EvacuationWithdrawn(order) => self.evacuations.withdrawn(order, now),
            Event::EvacuationsListed(orders, as_of) => self.evacuations.listed(orders, as_of, now),
            Event::StoreRestored => {
                self.go_back(now);
                false
            }
            Event::StoreLost => {
                self.lost = true;
                false
            }
            Event::StoreRegained => {
                if std::mem::take(&mut self.lost) {
                    self.trusted_from = now + RECOVERY_GRACE;
                }
                false
            }
            Event::Tick => false,
        };
        ticked || changed
    }

    /// Tells whether the servers were ever listed.
    pub fn is_known(&self) -> bool {
        self.listed
    }

    /// Tells whether what lists the servers can't be reached.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Returns when [`Event::Tick`] has something to do.
    pub fn next_wake(&self) -> Option<Time> {
        let doubted = self.doubted.values().min().copied();
        let revived = self.revived.values().map(|(_, at)| *at).min();
        let emptied = self.evacuations.next_wake();
        doubted.into_iter().chain(revived).chain(emptied).min()
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
        usable.retain(|_, entry| self.takes_work(entry));
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

    /// Returns the number of entries, and of those that are missing and not yet taken as gone.
    pub fn counts(&self) -> (usize, usize) {
        (self.entries.len(), self.doubted.len())
    }

    fn takes_work(&self, entry: &Entry) -> bool {
        entry.state == State::Ready && !self.evacuations.contains(&entry.data_centre)
    }

    fn list(&mut self, entries: Vec<Entry>, now: Time) -> bool {
        self.listed = true;
        self.revived.clear();
        let mut missing = std::mem::take(&mut self.entries);
        let mut changed = false;
        for entry in entries {
            let old = missing.remove(&entry.instance);
            changed |= self.put(entry, old, now);
        }
        for (instance, entry) in missing {
            self.entries.insert(instance.clone(), entry);
            changed |= self.miss(&instance, now);
        }
        changed
    }

    fn write(&mut self, entry: Entry, now: Time) -> bool {
        let old = self.entries.remove(&entry.instance);
        self.put(entry, old, now)
    }

    /// What is known stays in use. What the older copy lacks is doubted until the servers have written again, and its
    /// revisions say nothing beside those of before.
    fn go_back(&mut self, now: Time) {
        self.trusted_from = now + RECOVERY_GRACE;
        self.copied_until = now + LAPSED;
        self.evacuations.went_back(now);
        for entry in self.entries.values_mut() {
            entry.revision = Revision::default();
        }
    }

    /// Puts an entry in the place of an older one. What was overtaken on its way changes nothing: a
    /// read, or what the server said earlier or before its last start.
    fn put(&mut self, entry: Entry, old: Option<Entry>, now: Time) -> bool {
        let instance = entry.instance.clone();
        self.doubted.remove(&instance);
        self.revived.remove(&instance);
        let said_last = self.gone.get(&instance).map(|(order, _)| *order);
        if let Some(old) = old {
            let is_new = !entry.is_older_than(&old);
            let mut changed = is_new && !entry.says_the_same(&old);
            if old.is_older_than(&entry) {
                changed |= self.note_cold(&entry, now);
            }
            self.entries
                .insert(instance, if is_new { entry } else { old });
            return changed;
        }
        if said_last.is_some_and(|said_last| entry.order < said_last) {
            return false;
        }
        if said_last == Some(entry.order) && now < self.copied_until {
            self.revived.insert(instance, (entry, self.copied_until));
            return false;
        }
        self.gone.remove(&instance);
        self.note_cold(&entry, now);
        self.entries.insert(instance, entry);
        true
    }

    /// Notes how long a server is cold. Returns whether it became so, or is so no more.
    ///
    /// Each heartbeat of a cold server says a little less, and comes a little late; what is noted is never too early.
    fn note_cold(&mut self, entry: &Entry, now: Time) -> bool {
        if entry.cold_for.is_zero() {
            return self.cold.remove(&entry.instance).is_some();
        }
        let until = now + entry.cold_for;
        let before = self.cold.insert(entry.instance.clone(), until);
        before.is_none_or(|before| before + COLD_LATE < until)
    }

    /// Takes out a server whose entry can't be read any more.
    fn distrust(&mut self, instance: &InstanceId, revision: Revision, now: Time) -> bool {
        let is_older = |entry: &Entry| entry.revision > revision;
        if self.entries.get(instance).is_some_and(is_older) {
            return false;
        }
        self.remove(instance, now)
    }

    fn remove(&mut self, instance: &InstanceId, now: Time) -> bool {
        self.doubted.remove(instance);
        self.revived.remove(instance);
        let Some(entry) = self.entries.remove(instance) else {
            return false;
        };
        let until = now + REMEMBERED;
        self.gone.insert(instance.clone(), (entry.order, until));
        self.cold.remove(instance);
        true
    }

    fn miss(&mut self, instance: &InstanceId, now: Time) -> bool {
        self.revived.remove(instance);
        if now < self.trusted_from {
            if self.entries.contains_key(instance) {
                self.doubted.insert(instance.clone(), self.trusted_from);
            }
            return false;
        }
        self.remove(instance, now)
    }

    fn tick(&mut self, now: Time) -> bool {
        self.gone.retain(|_, (_, until)| *until > now);
        let over = self.doubted.iter().filter(|(_, until)| **until <= now);
        let over: Vec<InstanceId> = over.map(|(instance, _)| instance.clone()).collect();
        let mut changed = self.evacuations.tick(now);
        for instance in over {
            changed |= self.remove(&instance, now);
        }
        changed | self.believe_revived(now)
    }

    /// Takes in servers that were gone before the store went back, and whose entries have not lapsed since.
    fn believe_revived(&mut self, now: Time) -> bool {
        let revived = std::mem::take(&mut self.revived).into_iter();
        let (due, later): (BTreeMap<_, _>, BTreeMap<_, _>) =
            revived.partition(|(_, (_, at))| *at <= now);
        self.revived = later;
        let changed = !due.is_empty();
        for (instance, (entry, _)) in due {
            self.gone.remove(&instance);
            self.note_cold(&entry, now);
            self.entries.insert(instance, entry);
        }
        changed
    }
}
