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
const WRITTEN_AGAIN: Duration = Duration::from_secs(10);

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
struct Standing {
    is_emptied: bool,
    /// Version of the last order, or of its being taken back.
    revision: Revision,
    /// When it came to stand like this.
    since: Time,
    /// When it is given up, where it is missing in the store.
    doubted_until: Option<Time>,
}

/// The data centres that operators have emptied.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    standings: BTreeMap<DataCentreId, Standing>,
    /// Until when a missing order is only doubted.
    doubted_until: Time,
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
            changed |= self.missed(data_centre, as_of, now);
        }
        changed
    }

    /// The store came back from an older copy: its revisions are given out again, and what it lacks may be
    /// written again.
    pub fn went_back(&mut self, now: Time) {
        for standing in self.standings.values_mut() {
            standing.revision = Revision::default();
        }
        self.doubted_until = now + WRITTEN_AGAIN;
    }

    /// Gives up orders that were doubted for long enough. Returns whether anything changed.
    pub fn tick(&mut self, now: Time) -> bool {
        let mut changed = false;
        for standing in self.standings.values_mut() {
            if standing.doubted_until.is_some_and(|until| until <= now) {
                standing.doubted_until = None;
                standing.is_emptied = false;
                standing.since = now;
                changed = true;
            }
        }
        changed
    }

    /// Returns when [`Self::tick`] has something to do.
    pub fn next_wake(&self) -> Option<Time> {
        let doubted = self.standings.values();
        doubted.filter_map(|standing| standing.doubted_until).min()
    }

    /// Tells whether a data centre is emptied.
    pub fn contains(&self, data_centre: &DataCentreId) -> bool {
        let standing = self.standings.get(data_centre);
        standing.is_some_and(|standing| standing.is_emptied)
    }

    /// Returns the data centres that are emptied.
    pub fn emptied(&self) -> impl Iterator<Item = &DataCentreId> {
        let emptied = self.standings.iter();
        let emptied = emptied.filter(|(_, standing)| standing.is_emptied);
        emptied.map(|(data_centre, _)| data_centre)
    }

    /// Returns when a data centre that had been emptied was last given back, if it is in use now.
    pub fn given_back(&self, data_centre: &DataCentreId) -> Option<Time> {
        let standing = self.standings.get(data_centre)?;
        (!standing.is_emptied).then_some(standing.since)
    }

    /// Takes in that an order is not in the store. It is only doubted where that may lie at an older copy.
    fn missed(&mut self, data_centre: DataCentreId, as_of: Revision, now: Time) -> bool {
        let doubted_until = self.doubted_until;
        if now >= doubted_until {
            let order = Order {
                data_centre,
                revision: as_of,
            };
            return self.withdrawn(order, now);
        }
        if let Some(standing) = self.standings.get_mut(&data_centre) {
            standing.doubted_until = Some(doubted_until);
        }
        false
    }

    /// Takes over an order or its end, unless something later is known.
    fn set(&mut self, order: Order, is_emptied: bool, now: Time) -> bool {
        let Order {
            data_centre,
            revision,
        } = order;
        let new = Standing {
            is_emptied,
            revision,
            since: now,
            doubted_until: None,
        };
        let Some(old) = self.standings.get_mut(&data_centre) else {
            if is_emptied {
                self.standings.insert(data_centre, new);
            }
            return is_emptied;
        };
        if revision < old.revision {
            return false;
        }
        if old.is_emptied == is_emptied {
            old.revision = revision;
            old.doubted_until = None;
            return false;
        }
        *old = new;
        true
    }
}
