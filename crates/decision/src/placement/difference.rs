//! Which routes a change of members can concern.
//!
//! Choosing the homes of one route looks at every member. At 3,800 members and hundreds of routes
//! that is tens of milliseconds, and members change about once a second; it would take several times
//! the processor time that control may take. Nearly all changes concern no home of a given route,
//! and by rendezvous hashing a look at the changed members alone tells so.

use super::{MAX_HOMES, Member, score};
use crate::member::MemberId;
use std::collections::{BTreeMap, HashMap};

/// What differs between two lists of members.
#[derive(Clone, Debug)]
pub struct Difference {
    arrived: Vec<MemberId>,
    departed: Vec<MemberId>,
    /// Whether the lists are such that [`Difference::concerns`] can tell by the changed members.
    steady: bool,
}

impl Difference {
    /// Compares two lists. A member that moved to another data centre departed and arrived.
    pub fn between(old: &[Member], new: &[Member]) -> Self {
        let steady = sizes(old).keys().eq(sizes(new).keys()) && is_roomy(old) && is_roomy(new);
        Self {
            arrived: missing(new, old),
            departed: missing(old, new),
            steady,
        }
    }

    /// Tells whether [`super::select`] may give a route other homes than before.
    ///
    /// Never wrong with "no". Where each data centre has at least [`MAX_HOMES`] members, before and
    /// after, the homes are the best by score among each data centre's best; so a member that was no
    /// home may go, and one with a lower score than every home may come, without any effect. Else
    /// each change may concern every route.
    pub fn concerns(&self, route: &str, homes: &[MemberId]) -> bool {
        if self.arrived.is_empty() && self.departed.is_empty() {
            return false;
        }
        if !self.steady || self.departed.iter().any(|id| homes.contains(id)) {
            return true;
        }
        let rank = |id: &MemberId| (score(route, *id), *id);
        let least = homes.iter().map(rank).min();
        self.arrived.iter().map(rank).max() > least
    }
}

fn sizes(members: &[Member]) -> BTreeMap<&str, usize> {
    let mut sizes = BTreeMap::new();
    for member in members {
        *sizes.entry(&*member.data_centre).or_default() += 1;
    }
    sizes
}

fn is_roomy(members: &[Member]) -> bool {
    sizes(members).values().all(|size| *size >= MAX_HOMES)
}

/// Returns the members of `from` that are not in `list`.
fn missing(from: &[Member], list: &[Member]) -> Vec<MemberId> {
    let known = list.iter().map(|member| (member.id, &member.data_centre));
    let known: HashMap<_, _> = known.collect();
    let is_missing = |member: &&Member| known.get(&member.id) != Some(&&member.data_centre);
    let missing = from.iter().filter(is_missing);
    missing.map(|member| member.id).collect()
}
