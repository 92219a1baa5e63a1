//! Choice of the hosts in this data centre that read the store for the others.
//!
//! Each host computes the readers from the members it knows, without coordination. Views may differ
//! temporarily, which is harmless: a host wrongly taken for a reader declines, and a superfluous
//! reader only costs some calls to the store.

use super::{Action, Members};
use crate::gateway::source::Readers;
use crate::member::MemberId;
use crate::placement;
use std::collections::BTreeSet;

/// Number of readers per data centre, so that one may be restarting and another partitioned from
/// the store. In data centres with no more hosts than this, every host is a reader.
const MAX_READERS: usize = 3;

/// Hash key for ranking the readers. All hosts must use the same.
const RANK_KEY: &str = "readers of the store";

impl Members {
    /// Updates the readers and publishes them if they changed.
    pub(super) fn choose_readers(&mut self) {
        let readers = self.readers();
        if readers != self.readers {
            self.readers.clone_from(&readers);
            self.actions.push(Action::Readers(readers));
        }
    }

    /// Returns the readers. Strong hosts are preferred, as answering polls costs CPU time. Each
    /// host rotates the list by its own index, which spreads the polls.
    fn readers(&self) -> Readers {
        let own = self.table.own();
        let members = self.table.members().into_iter();
        let near = members.filter(|member| member.data_centre == self.data_centre);
        let near: BTreeSet<MemberId> = near.map(|member| member.id).chain([own]).collect();
        let index = near.range(..own).count();
        let others = |mut readers: Vec<MemberId>| {
            readers.retain(|id| *id != own);
            let offset = index % readers.len().max(1);
            readers.rotate_left(offset);
            readers
        };
        if near.len() <= MAX_READERS {
            return Readers {
                is_reader: true,
                others: others(near.into_iter().collect()),
            };
        }
        let strong: Vec<MemberId> = self.strong().filter(|id| near.contains(id)).collect();
        let mut readers = match strong.is_empty() {
            true => near.into_iter().collect(),
            false => strong,
        };
        readers.sort_by_key(|id| std::cmp::Reverse(placement::score(RANK_KEY, *id)));
        readers.truncate(MAX_READERS);
        Readers {
            is_reader: readers.contains(&own),
            others: others(readers),
        }
    }
}
