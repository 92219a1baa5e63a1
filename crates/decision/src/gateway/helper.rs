//! Selection of hosts that fan out searches for this one (*helpers*).
//!
//! A fan-out costs several milliseconds of CPU time on a full core, which a host with a small
//! fraction of a core takes several times as long for. And the fewer hosts query a backend server,
//! the better each knows its load and the larger each one's share of its connections and of the
//! retry and hedge budgets. So a host hands its searches to a host of its data centre that is at
//! least [`MIN_STRENGTH_RATIO`] times as strong, if there is one. That costs one hop and no traffic
//! between data centres. If all hosts are similarly strong, each fans out by itself.
//!
//! A data centre may hold servers of only some shards. The answers of the others then cross data
//! centres, about a kilobyte per shard. To save that traffic, the host that fans out delegates
//! those shards to a host next to their servers, which returns one merged answer.
//!
//! Helpers are never required: a host that has none, or gets no answer from one, fans out by
//! itself.

use crate::Time;
use crate::member::MemberId;
use crate::query::coverage::KeySet;
use monsoonring_configuration::id::DataCentreId;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

/// CPU capacity of a host in hundredths of a core.
pub type Centicores = u32;

/// Minimum ratio of a helper's strength to that of this host; below it the hop outweighs the gain.
pub const MIN_STRENGTH_RATIO: u32 = 2;

/// Backoff after a helper failed; doubles with each consecutive failure.
const FAILURE_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Backoff after a helper declined, because it is overloaded or has another version of the
/// configuration. New versions reach all hosts within about this time.
const DECLINED_PAUSE: Duration = Duration::from_millis(100);

/// Time without delegation after a delegated answer was incomplete or missing. This host then
/// queries all servers itself, so that it detects slow and failed servers and can decide on retries
/// for the whole search.
const INCOMPLETE_PAUSE: Duration = Duration::from_secs(2);

/// Maximum round trip to a data centre, as a multiple of that to the nearest eligible one plus a
/// slack. Admits data centres of the same region and excludes other regions.
const MAX_ROUND_TRIP_RATIO: u32 = 2;
const ROUND_TRIP_SLACK: Duration = Duration::from_millis(1);

/// A host that may fan out for others, as advertised to other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Address of the host.
    pub host: MemberId,
    /// CPU capacity of the host.
    pub strength: Centicores,
}

/// Hosts of another data centre that may fan out for others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Remote {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The advertised hosts.
    pub candidates: Vec<Candidate>,
    /// Round trip of the request that returned them.
    pub round_trip: Duration,
}

/// Part of a search that is delegated to another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegation {
    /// The host that searches it.
    pub host: MemberId,
    /// The keys to search.
    pub keys: KeySet,
}

/// How a search that was handed to a helper ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The helper answered, with whatever status.
    Answered,
    /// The helper refused it.
    Declined,
    /// The answer to a delegated part covered too few of its shards.
    Incomplete,
    /// The helper did not answer.
    Failed,
    /// The caller gave up before the helper answered.
    Cancelled,
}

#[derive(Clone, Debug)]
struct Helper {
    strength: Centicores,
    outstanding: u32,
    failures: u32,
    paused: Option<Time>,
    /// Value of [`Table::assignments`] when it was last chosen.
    last_chosen: u64,
    /// The helper's data centre, if not that of this host.
    remote: Option<DataCentreId>,
}

impl Helper {
    fn new(strength: Centicores, remote: Option<DataCentreId>) -> Self {
        Self {
            strength,
            outstanding: 0,
            failures: 0,
            paused: None,
            last_chosen: 0,
            remote,
        }
    }

    fn is_ready(&self, now: Time) -> bool {
        self.paused.is_none_or(|until| until <= now)
    }

    /// Orders by outstanding searches relative to strength, then by least recently chosen.
    fn compare(&self, other: &Self) -> Ordering {
        let load = |helper: &Self| f64::from(helper.outstanding) / f64::from(helper.strength);
        let by_load = load(self).total_cmp(&load(other));
        by_load.then(self.last_chosen.cmp(&other.last_chosen))
    }
}

/// The helpers of one host.
#[derive(Clone, Debug)]
pub struct Table {
    own: Centicores,
    helpers: BTreeMap<MemberId, Helper>,
    /// Round trip to each data centre.
    round_trips: BTreeMap<DataCentreId, Duration>,
    /// Until when nothing is delegated.
    delegation_paused: Option<Time>,
    /// Number of searches handed to helpers so far.
    assignments: u64,
}

impl Table {
    /// Creates the table of a host with this strength, without helpers.
    pub fn new(own: Centicores) -> Self {
        Self {
            own,
            helpers: BTreeMap::new(),
            round_trips: BTreeMap::new(),
            delegation_paused: None,
            assignments: 0,
        }
    }

    /// Sets the strength of a host in the same data centre. Removes it if it is not strong enough
    /// to help.
    pub fn set_strength(&mut self, host: MemberId, strength: Centicores) {
        if self.own == 0 || strength < self.own.saturating_mul(MIN_STRENGTH_RATIO) {
            self.helpers.remove(&host);
            return;
        }
        let new = Helper::new(strength, None);
        let helper = self.helpers.entry(host).or_insert(new);
        helper.strength = strength;
        // The message shows that the host has restarted or is reachable again.
        helper.paused = None;
    }

    /// Replaces the helpers in another data centre. Ignores hosts that are weaker than this one.
    pub fn set_remote(&mut self, remote: Remote) {
        let is_in_data_centre =
            |helper: &Helper| helper.remote.as_ref() == Some(&remote.data_centre);
        let is_advertised = |host: &MemberId| {
            remote
                .candidates
                .iter()
                .any(|candidate| candidate.host == *host)
        };
        (self.helpers).retain(|host, helper| !is_in_data_centre(helper) || is_advertised(host));
        for Candidate { host, strength } in remote.candidates {
            if self.own == 0 || strength < self.own {
                continue;
            }
            let new = Helper::new(strength, Some(remote.data_centre.clone()));
            self.helpers.entry(host).or_insert(new).strength = strength;
        }
        self.round_trips
            .insert(remote.data_centre, remote.round_trip);
    }

    /// Chooses the helper in this data centre with the fewest outstanding searches of this host
    /// relative to its strength, the least recently chosen among equals; `None` if there is none.
    /// Spreading the searches uses every helper's share of the connections and budgets.
    pub fn choose(&mut self, now: Time) -> Option<MemberId> {
        let near = self.helpers.iter();
        let near = near.filter(|(_, helper)| helper.remote.is_none() && helper.is_ready(now));
        let chosen = near.min_by(|(_, a), (_, b)| a.compare(b));
        let chosen = chosen.map(|(host, _)| *host)?;
        self.record_assignment(chosen);
        Some(chosen)
    }

    /// Chooses a host to delegate a part of a search to, given the keys that each data centre could
    /// search: one in the data centre with the most keys.
    pub fn delegate(
        &mut self,
        keys: &BTreeMap<DataCentreId, KeySet>,
        now: Time,
    ) -> Option<Delegation> {
        if self.delegation_paused.is_some_and(|until| until > now) {
            return None;
        }
        let max_round_trip = self.max_round_trip(keys);
        let is_near_enough = |data_centre: &DataCentreId| {
            self.round_trips
                .get(data_centre)
                .is_some_and(|time| *time <= max_round_trip)
        };
        let eligible = self.helpers.iter().filter_map(|(host, helper)| {
            let data_centre = helper.remote.as_ref()?;
            let keys = keys.get(data_centre)?;
            let is_eligible = helper.is_ready(now) && is_near_enough(data_centre);
            is_eligible.then_some((host, helper, keys))
        });
        let order = |(_, a, a_keys): &(_, &Helper, &KeySet),
                     (_, b, b_keys): &(_, &Helper, &KeySet)| {
            let by_size = b_keys.len().cmp(&a_keys.len());
            by_size.then_with(|| a.compare(b))
        };
        let (host, _, keys) = eligible.min_by(order)?;
        let delegation = Delegation {
            host: *host,
            keys: keys.clone(),
        };
        self.record_assignment(delegation.host);
        Some(delegation)
    }

    fn record_assignment(&mut self, host: MemberId) {
        if let Some(helper) = self.helpers.get_mut(&host) {
            self.assignments += 1;
            helper.last_chosen = self.assignments;
            helper.outstanding += 1;
        }
    }

    /// Returns the maximum round trip to a data centre that a part is delegated to.
    fn max_round_trip(&self, keys: &BTreeMap<DataCentreId, KeySet>) -> Duration {
        let eligible = self.round_trips.iter();
        let eligible = eligible.filter(|(data_centre, _)| keys.contains_key(*data_centre));
        let shortest = eligible.map(|(_, time)| *time).min().unwrap_or_default();
        shortest * MAX_ROUND_TRIP_RATIO + ROUND_TRIP_SLACK
    }

    /// Records how a search that was handed to a helper ended.
    pub fn finished(&mut self, host: MemberId, outcome: Outcome, now: Time) {
        let Some(helper) = self.helpers.get_mut(&host) else {
            return;
        };
        helper.outstanding = helper.outstanding.saturating_sub(1);
        let is_incomplete = matches!(outcome, Outcome::Incomplete | Outcome::Failed);
        if helper.remote.is_some() && is_incomplete {
            self.delegation_paused = Some(now + INCOMPLETE_PAUSE);
        }
        match outcome {
            Outcome::Answered | Outcome::Incomplete => helper.failures = 0,
            Outcome::Declined => helper.paused = helper.paused.max(Some(now + DECLINED_PAUSE)),
            Outcome::Failed => {
                let doublings = helper.failures.min(MAX_BACKOFF_DOUBLINGS);
                helper.failures = helper.failures.saturating_add(1);
                helper.paused = helper
                    .paused
                    .max(Some(now + FAILURE_BACKOFF * 2_u32.pow(doublings)));
            }
            Outcome::Cancelled => {}
        }
    }

    /// Returns whether there is no helper in this data centre.
    pub fn is_empty(&self) -> bool {
        self.helpers.values().all(|helper| helper.remote.is_some())
    }
}
