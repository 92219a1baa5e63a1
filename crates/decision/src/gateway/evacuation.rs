//! Which data centres operators have emptied.
//!
//! From the order on until it is taken back, backend servers there get no new work: operators empty a data
//! centre because its servers are about to be switched off, or have just lost what makes them fast. An order
//! that is lost sends them the full load; one that is held for too long only keeps servers idle. So whatever
//! is in doubt counts as emptied.

use super::registry::Revision;
use crate::Time;
use monsoonring_configuration::id::DataCentreId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after the store went back for which an order stays in force that its copy does not hold. Operators write
/// theirs again in these seconds.
const REWRITE_TIME: Duration = Duration::from_secs(10);

/// An order to empty a data centre, as it stands in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Version of the order.
    pub revision: Revision,
}

/// What is known of one data centre.
#[derive(Clone, Copy, Debug)]
struct Status {
    is_emptied: bool,
    /// Version of the last order, or of its being taken back.
    revision: Revision,
    /// When it came to stand like this.
    since: Time,
    /// When it is given up, where it is missing in the store.
    unconfirmed_until: Option<Time>,
}

/// The data centres that operators have emptied.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    statuses: BTreeMap<DataCentreId, Status>,
    /// Until when a missing order is only doubted.
    unconfirmed_until: Time,
}

impl Evacuations {
    /// Takes in an order. Returns whether the data centre was in use before.
    pub fn ordered(&mut self, order: Order, now: Time) -> bool {
        self.set(order, true, now)
    }

    /// Takes in that an order was taken back. Returns whether the data centre is in use again.
    pub fn withdrawn(&mut self, order: Order, now: Time) -> bool {
        self.set(order, false, now)
    }

    /// Takes in all orders that there are, as of a revision. Returns whether anything changed.
    pub fn listed(&mut self, orders: Vec<Order>, as_of: Revision, now: Time) -> bool {
        let missing = self.emptied().filter(|data_centre| {
            let is_it = |order: &Order| order.data_centre == **data_centre;
            !orders.iter().any(is_it)
        });
        let missing: Vec<DataCentreId> = missing.cloned().collect();
        let mut changed = false;
        for order in orders {
            changed |= self.ordered(order, now);
        }
        for data_centre in missing {
            changed |= self.mark_missing(data_centre, as_of, now);
        }
        changed
    }

    /// The store came back from an older copy: its revisions are given out again, and what it lacks may be
    /// written again.
    pub fn store_restored(&mut self, now: Time) {
        for status in self.statuses.values_mut() {
            status.revision = Revision::default();
        }
        self.unconfirmed_until = now + REWRITE_TIME;
    }

    /// Gives up orders that were doubted for long enough. Returns whether anything changed.
    pub fn tick(&mut self, now: Time) -> bool {
        let mut changed = false;
        for status in self.statuses.values_mut() {
            if status.unconfirmed_until.is_some_and(|until| until <= now) {
                status.unconfirmed_until = None;
                status.is_emptied = false;
                status.since = now;
                changed = true;
            }
        }
        changed
    }

    /// Returns when [`Self::tick`] has something to do.
    pub fn next_wake(&self) -> Option<Time> {
        let doubted = self.statuses.values();
        doubted.filter_map(|status| status.unconfirmed_until).min()
    }

    /// Tells whether a data centre is emptied.
    pub fn contains(&self, data_centre: &DataCentreId) -> bool {
        let status = self.statuses.get(data_centre);
        status.is_some_and(|status| status.is_emptied)
    }

    /// Returns the data centres that are emptied.
    pub fn emptied(&self) -> impl Iterator<Item = &DataCentreId> {
        let emptied = self.statuses.iter();
        let emptied = emptied.filter(|(_, status)| status.is_emptied);
        emptied.map(|(data_centre, _)| data_centre)
    }

    /// Returns when a data centre that had been emptied was last given back, if it is in use now.
    pub fn withdrawn_at(&self, data_centre: &DataCentreId) -> Option<Time> {
        let status = self.statuses.get(data_centre)?;
        (!status.is_emptied).then_some(status.since)
    }

    /// Takes in that an order is not in the store. It is only doubted where that may lie at an older copy.
    fn mark_missing(&mut self, data_centre: DataCentreId, as_of: Revision, now: Time) -> bool {
        let unconfirmed_until = self.unconfirmed_until;
        if now >= unconfirmed_until {
            let order = Order {
                data_centre,
                revision: as_of,
            };
            return self.withdrawn(order, now);
        }
        if let Some(status) = self.statuses.get_mut(&data_centre) {
            status.unconfirmed_until = Some(unconfirmed_until);
        }
        false
    }

    /// Takes over an order or its end, unless something later is known.
    fn set(&mut self, order: Order, is_emptied: bool, now: Time) -> bool {
        let Order {
            data_centre,
            revision,
        } = order;
        let new = Status {
            is_emptied,
            revision,
            since: now,
            unconfirmed_until: None,
        };
        let Some(old) = self.statuses.get_mut(&data_centre) else {
            if is_emptied {
                self.statuses.insert(data_centre, new);
            }
            return is_emptied;
        };
        if revision < old.revision {
            return false;
        }
        if old.is_emptied == is_emptied {
            old.revision = revision;
            old.unconfirmed_until = None;
            return false;
        }
        *old = new;
        true
    }
}
