//! Which backend servers there are, by what they register.
//!
//! Entries lapse by themselves while the store that holds them is away, and those whose servers
//! live are back a moment after it. Taking the first list after an outage at its word would empty
//! services whose servers are well, seen as refusals everywhere just when the store is back. So what
//! is missing in the time after a return is only doubted, and stays in use until that time is over.

use super::{InstanceId, ServiceId};
use crate::Time;
use monsoonring_configuration::id::{BackendServerId, DataCentreId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after a return of the store within which entries of living servers come back: their owners
/// name about two seconds.
const RETURN: Duration = Duration::from_millis(2_200);

/// Version that the store gives an entry; a higher one is newer.
pub type Revision = u64;

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
    /// Version of the entry.
    pub revision: Revision,
}

/// Something that was learned from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// All entries that there are, as of a revision.
    Listed(Vec<Entry>),
    /// An entry was written.
    Written(Entry),
    /// An entry is gone.
    Deleted(InstanceId),
    /// The store can't be reached.
    Lost,
    /// The store can be reached again.
    Regained,
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
    listed: bool,
    /// Time from which on a missing entry is gone.
    trusted_from: Time,
    lost: bool,
}

impl Registry {
    /// Takes in what was learned. Returns whether the usable servers may have changed.
    pub fn on(&mut self, event: Event, now: Time) -> bool {
        let ticked = self.tick(now);
        let changed = match event {
            Event::Listed(entries) => self.list(entries, now),
            Event::Written(entry) => self.write(entry),
            Event::Deleted(instance) => self.miss(&instance, now),
            Event::Lost => {
                self.lost = true;
                false
            }
            Event::Regained => {
                if std::mem::take(&mut self.lost) {
                    self.trusted_from = now + RETURN;
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
        self.doubted.values().min().copied()
    }

    /// Returns the servers that may be given new work, in the order of their addresses.
    ///
    /// Where two starts are registered on one address, only the one that registered last can be
    /// there.
    pub fn usable(&self) -> Usable<'_> {
        let mut usable = Usable::new();
        for entry in self.entries.values() {
            let other = usable.entry(entry.address).or_insert(entry);
            if other.revision < entry.revision {
                *other = entry;
            }
        }
        usable.retain(|_, entry| entry.state == State::Ready);
        usable
    }

    /// Returns the number of entries, and of those that are missing and not yet taken as gone.
    pub fn counts(&self) -> (usize, usize) {
        (self.entries.len(), self.doubted.len())
    }

    fn list(&mut self, entries: Vec<Entry>, now: Time) -> bool {
        self.listed = true;
        let mut missing = std::mem::take(&mut self.entries);
        let mut changed = false;
        for entry in entries {
            let old = missing.remove(&entry.instance);
            changed |= self.put(entry, old);
        }
        for (instance, entry) in missing {
            self.entries.insert(instance.clone(), entry);
            changed |= self.miss(&instance, now);
        }
        changed
    }

    fn write(&mut self, entry: Entry) -> bool {
        let old = self.entries.remove(&entry.instance);
        self.put(entry, old)
    }

    /// Puts an entry in the place of an older one; a read that was overtaken changes nothing.
    fn put(&mut self, entry: Entry, old: Option<Entry>) -> bool {
        self.doubted.remove(&entry.instance);
        let newest = match old {
            Some(old) if old.revision > entry.revision => old,
            Some(old) if old == entry => entry,
            _ => {
                self.entries.insert(entry.instance.clone(), entry);
                return true;
            }
        };
        self.entries.insert(newest.instance.clone(), newest);
        false
    }

    fn miss(&mut self, instance: &InstanceId, now: Time) -> bool {
        if now < self.trusted_from {
            if self.entries.contains_key(instance) {
                self.doubted.insert(instance.clone(), self.trusted_from);
            }
            return false;
        }
        self.doubted.remove(instance);
        self.entries.remove(instance).is_some()
    }

    fn tick(&mut self, now: Time) -> bool {
        let before = self.entries.len();
        let over = self.doubted.iter().filter(|(_, until)| **until <= now);
        let over: Vec<InstanceId> = over.map(|(instance, _)| instance.clone()).collect();
        for instance in over {
            self.doubted.remove(&instance);
            self.entries.remove(&instance);
        }
        self.entries.len() != before
    }
}
