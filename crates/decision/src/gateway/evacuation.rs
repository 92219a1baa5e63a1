//! Data centres that operators have evacuated.
//!
//! Backend servers of an evacuated data centre get no new requests until the order is withdrawn.
//! Operators evacuate a data centre before its servers are switched off, or when they would be
//! slow. Losing an order sends them the full load, while holding it for too long only leaves
//! servers idle. In doubt, a data centre therefore counts as evacuated.

use super::registry::Revision;
use crate::Time;
use monsoonring_configuration::id::DataCentreId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which orders missing in a restored store stay in force, so that operators can write
/// them again.
const REWRITE_TIME: Duration = Duration::from_secs(10);

/// An order to evacuate a data centre, as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The data centre to evacuate.
    pub data_centre: DataCentreId,
    /// The store's version of the order.
    pub revision: Revision,
}

/// Last known status of one data centre.
#[derive(Clone, Copy, Debug)]
struct Status {
    is_evacuated: bool,
    /// Version of the last order or withdrawal.
    revision: Revision,
    /// When `is_evacuated` last changed.
    since: Time,
    /// When an order that is missing in the store is dropped.
    unconfirmed_until: Option<Time>,
}

/// The data centres that operators have evacuated.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    statuses: BTreeMap<DataCentreId, Status>,
    /// Until when missing orders stay in force.
    unconfirmed_until: Time,
}

impl Evacuations {
    /// Applies an order. Returns whether the data centre was in use before.
    pub fn ordered(&mut self, order: Order, now: Time) -> bool {
        self.set(order, true, now)
    }

    /// Applies the withdrawal of an order. Returns whether the data centre is in use again.
    pub fn withdrawn(&mut self, order: Order, now: Time) -> bool {
        self.set(order, false, now)
    }

    /// Applies the complete list of orders, as of a revision. Returns whether anything changed.
    pub fn listed(&mut self, orders: Vec<Order>, as_of: Revision, now: Time) -> bool {
        let missing = self.evacuated().filter(|data_centre| {
            let is_match = |order: &Order| order.data_centre == **data_centre;
            !orders.iter().any(is_match)
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

    /// Handles the restore of the store from an older copy: resets the revisions, which are
    /// assigned again, and keeps missing orders in force for a while.
    pub fn store_restored(&mut self, now: Time) {
        for status in self.statuses.values_mut() {
            status.revision = Revision::default();
        }
        self.unconfirmed_until = now + REWRITE_TIME;
    }

    /// Drops missing orders whose time is over. Returns whether anything changed.
    pub fn tick(&mut self, now: Time) -> bool {
        let mut changed = false;
        for status in self.statuses.values_mut() {
            if status.unconfirmed_until.is_some_and(|until| until <= now) {
                status.unconfirmed_until = None;
                status.is_evacuated = false;
                status.since = now;
                changed = true;
            }
        }
        changed
    }

    /// Returns when [`Self::tick`] is due.
    pub fn next_wake(&self) -> Option<Time> {
        let statuses = self.statuses.values();
        statuses.filter_map(|status| status.unconfirmed_until).min()
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &DataCentreId) -> bool {
        let status = self.statuses.get(data_centre);
        status.is_some_and(|status| status.is_evacuated)
    }

    /// Returns the evacuated data centres.
    pub fn evacuated(&self) -> impl Iterator<Item = &DataCentreId> {
        let evacuated = self.statuses.iter();
        let evacuated = evacuated.filter(|(_, status)| status.is_evacuated);
        evacuated.map(|(data_centre, _)| data_centre)
    }

    /// Returns when the last evacuation of a data centre ended, or `None` if it is evacuated or
    /// never was.
    pub fn withdrawn_at(&self, data_centre: &DataCentreId) -> Option<Time> {
        let status = self.statuses.get(data_centre)?;
        (!status.is_evacuated).then_some(status.since)
    }

    /// Handles an order that is missing in the store. It counts as withdrawn, except shortly after
    /// a restore from an older copy.
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

    /// Sets the status of a data centre unless a newer one is known. Returns whether it changed.
    fn set(&mut self, order: Order, is_evacuated: bool, now: Time) -> bool {
        let Order {
            data_centre,
            revision,
        } = order;
        let new = Status {
            is_evacuated,
            revision,
            since: now,
            unconfirmed_until: None,
        };
        let Some(old) = self.statuses.get_mut(&data_centre) else {
            if is_evacuated {
                self.statuses.insert(data_centre, new);
            }
            return is_evacuated;
        };
        if revision < old.revision {
            return false;
        }
        if old.is_evacuated == is_evacuated {
            old.revision = revision;
            old.unconfirmed_until = None;
            return false;
        }
        *old = new;
        true
    }
}
