//! Determines which routes a membership change can affect.
//!
//! Selecting the homes of a route takes time linear in the members, which is too expensive to repeat for
//! every route with every membership change in a large deployment. Most changes affect no home of a
//! given route, and with rendezvous hashing the changed members alone show whether one does.

use super::{MAX_HOMES, Member, score};
use crate::member::MemberId;
use std::collections::{BTreeMap, HashMap};

/// Difference between two lists of members.
#[derive(Clone, Debug)]
pub struct Difference {
    arrived: Vec<MemberId>,
    departed: Vec<MemberId>,
    /// Whether [`Difference::may_affect`] can decide from the changed members alone.
    comparable: bool,
}

impl Difference {
    /// Compares two lists. A member that moved to another data centre counts as departed and arrived.
    pub fn between(old: &[Member], new: &[Member]) -> Self {
        let comparable = sizes(old).keys().eq(sizes(new).keys())
            && has_full_data_centres(old)
            && has_full_data_centres(new);
        Self {
            arrived: missing(new, old),
            departed: missing(old, new),
            comparable,
        }
    }

    /// Returns whether [`super::select`] may return different homes for a route than before. `false` is
    /// always exact.
    ///
    /// If each data centre has at least [`MAX_HOMES`] members before and after, the homes are those with
    /// the highest scores within each data centre. A member that is not a home can then depart, and a
    /// member that scores lower than every home can arrive, without effect. Otherwise any change may
    /// affect every route.
    pub fn may_affect(&self, route: &str, homes: &[MemberId]) -> bool {
        if self.arrived.is_empty() && self.departed.is_empty() {
            return false;
        }
        if !self.comparable || self.departed.iter().any(|id| homes.contains(id)) {
            return true;
        }
        let rank = |id: &MemberId| (score(route, *id), *id);
        let lowest = homes.iter().map(rank).min();
        self.arrived.iter().map(rank).max() > lowest
    }
}

fn sizes(members: &[Member]) -> BTreeMap<&str, usize> {
    let mut sizes = BTreeMap::new();
    for member in members {
        *sizes.entry(&*member.data_centre).or_default() += 1;
    }
    sizes
}

fn has_full_data_centres(members: &[Member]) -> bool {
    sizes(members).values().all(|size| *size >= MAX_HOMES)
}

/// Returns the members of `from` that are not in `list` with the same data centre.
fn missing(from: &[Member], list: &[Member]) -> Vec<MemberId> {
    let known = list.iter().map(|member| (member.id, &member.data_centre));
    let known: HashMap<_, _> = known.collect();
    let is_missing = |member: &&Member| known.get(&member.id) != Some(&&member.data_centre);
    let missing = from.iter().filter(is_missing);
    missing.map(|member| member.id).collect()
}
