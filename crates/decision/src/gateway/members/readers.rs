//! Which hosts of the own data centre read the store for the others.
//!
//! All compute this from the members that they know, without a word to each other. Views may differ for a
//! while: a host that is taken for a reader and is none declines, and one that reads although nobody asks it costs
//! some calls.

use super::{Action, Members};
use crate::gateway::source::Readers;
use crate::member::MemberId;
use crate::placement;
use std::collections::BTreeSet;

/// Readers in a data centre: one may be restarting and one cut off from the store. Where there are no more
/// hosts than that, each reads for itself.
const MAX_READERS: usize = 3;

/// What readers are ranked by.
const RANK_KEY: &str = "readers of the store";

impl Members {
    /// Tells this host whom to ask, where that has changed.
    pub(super) fn choose_readers(&mut self) {
        let readers = self.readers();
        if readers != self.readers {
            self.readers.clone_from(&readers);
            self.actions.push(Action::Readers(readers));
        }
    }

    /// Returns those who read. The strong ones come before others, as each answer takes processor time; hosts take
    /// turns in whom they ask first, so that all are asked alike.
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
