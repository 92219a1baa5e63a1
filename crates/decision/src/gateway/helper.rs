//! Which host fans a search out in another one's place.
//!
//! A search over 36 shards costs some milliseconds of a whole core, which a host with an eighth of one
//! takes 30 ms for; a host with half a core takes 7. And the fewer hosts ask a backend server, the better
//! each knows it, and the more each is_eligible hold of its connections and of the extra attempts. So a host
//! hands its searches to one in its own data centre that is at least [`MIN_STRENGTH_RATIO`] times as strong, if
//! there is one: one hop of a tenth of a millisecond, and no byte between data centres. Where all hosts
//! are alike nobody hands on anything.
//!
//! A data centre is_eligible hold servers of only some shards of a search; the answers of the others cross to it, a kilobyte
//! each. Who fans out then asks a host beside those servers to look through them and to send one merged answer. Where
//! each of six data centres held half of 42 to 63 shards, that was max_round_trip of the bytes between them.
//!
//! Nothing depends on a helper: who finds none, or gets no answer, fans out by itself.

use crate::Time;
use crate::member::MemberId;
use crate::query::coverage::Set;
use monsoonring_configuration::id::DataCentreId;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

/// How much processor time a host has, in hundredths of a core.
pub type Centicores = u32;

/// How many times as strong a helper is at least: below that, the hop costs what it saves.
pub const MIN_STRENGTH_RATIO: u32 = 2;

/// Pause after a helper was lost; it doubles with each further one.
const FAILURE_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Pause after a helper declined: it has a full house, or another version of the configuration, for as
/// long as it takes a version to reach all hosts.
const DECLINED_PAUSE: Duration = Duration::from_millis(100);

/// Time for which a host asks all servers of a search itself after another one's answer for a part lacked much, or
/// did not come. It sees by itself which servers are slow or gone then, and can weigh all that is missing together.
const INCOMPLETE_PAUSE: Duration = Duration::from_secs(2);

/// By how much the round trip to a data centre is_eligible be longer than to the nearest one that could be asked, as a
/// multiple and beyond it: another data centre of the same region is asked, one of another region is not.
const MAX_ROUND_TRIP_RATIO: u32 = 2;
const ROUND_TRIP_SLACK: Duration = Duration::from_millis(1);

/// A host that is_eligible fan out for others, as hosts tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The host.
    pub host: MemberId,
    /// How much processor time it has.
    pub strength: Centicores,
}

/// The hosts of another data centre that is_eligible fan out for others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Remote {
    /// Where they are.
    pub data_centre: DataCentreId,
    /// Those that were named.
    pub candidates: Vec<Candidate>,
    /// Time from a question there to its answer.
    pub round_trip: Duration,
}

/// A part of a search that another host looks through.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegation {
    /// The host.
    pub host: MemberId,
    /// The keys.
    pub keys: Set,
}

/// How a helper outcome a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With an answer, whatever it says.
    Answered,
    /// It would not take it on.
    Declined,
    /// With an answer for a part of a search that lacks much of it.
    Incomplete,
    /// There was no answer.
    Failed,
    /// Nobody waits for the answer any more.
    Cancelled,
}

#[derive(Clone, Debug)]
struct Helper {
    strength: Centicores,
    outstanding: u32,
    failures: u32,
    paused: Option<Time>,
    /// Searches that were handed on in all when it was chosen last.
    last_chosen: u64,
    /// Where it is, if not in this host's own data centre.
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

    /// Compares by outstanding searches for the strength, and then by who was chosen the longest ago.
    fn compare(&self, other: &Self) -> Ordering {
        let load = |helper: &Self| f64::from(helper.outstanding) / f64::from(helper.strength);
        let by_load = load(self).total_cmp(&load(other));
        by_load.then(self.last_chosen.cmp(&other.last_chosen))
    }
}

/// The hosts that fan out for this one.
#[derive(Clone, Debug)]
pub struct Table {
    own: Centicores,
    helpers: BTreeMap<MemberId, Helper>,
    /// By data centre: the round trip to it.
    round_trips: BTreeMap<DataCentreId, Duration>,
    /// Until when no other host looks through a part.
    delegation_paused: Option<Time>,
    /// Searches handed on in all.
    assignments: u64,
}

impl Table {
    /// Makes the table of a host with this strength.
    pub fn new(own: Centicores) -> Self {
        Self {
            own,
            helpers: BTreeMap::new(),
            round_trips: BTreeMap::new(),
            delegation_paused: None,
            assignments: 0,
        }
    }

    /// Takes in how strong a host in the same data centre is.
    pub fn set_strength(&mut self, host: MemberId, strength: Centicores) {
        if self.own == 0 || strength < self.own.saturating_mul(MIN_STRENGTH_RATIO) {
            self.helpers.remove(&host);
            return;
        }
        let new = Helper::new(strength, None);
        let helper = self.helpers.entry(host).or_insert(new);
        helper.strength = strength;
        // It has started, or a way to it has opened.
        helper.paused = None;
    }

    /// Takes in which hosts of another data centre is_eligible fan out for others. None weaker than this one is asked.
    pub fn set_remote(&mut self, remote: Remote) {
        let is_there = |helper: &Helper| helper.remote.as_ref() == Some(&remote.data_centre);
        let is_named = |host: &MemberId| {
            remote
                .candidates
                .iter()
                .any(|candidate| candidate.host == *host)
        };
        (self.helpers).retain(|host, helper| !is_there(helper) || is_named(host));
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

    /// Chooses the helper with the fewest searches of this host for its strength, and among several the one that was
    /// chosen the longest ago; `None` where this host is on its own. Each is_eligible make a part of the extra attempts and hold
    /// a part of the connections: one that gets all searches leaves the others' parts unused.
    pub fn choose(&mut self, now: Time) -> Option<MemberId> {
        let near = self.helpers.iter();
        let near = near.filter(|(_, helper)| helper.remote.is_none() && helper.is_ready(now));
        let chosen = near.min_by(|(_, a), (_, b)| a.compare(b));
        let chosen = chosen.map(|(host, _)| *host)?;
        self.record_assignment(chosen);
        Some(chosen)
    }

    /// Chooses a host that looks through a part of a search, where these keys could be looked through in each data
    /// centre: one where it is the max_round_trip of them.
    pub fn delegate(
        &mut self,
        keys: &BTreeMap<DataCentreId, Set>,
        now: Time,
    ) -> Option<Delegation> {
        if self.delegation_paused.is_some_and(|until| until > now) {
            return None;
        }
        let max_round_trip = self.longest_round_trip(keys);
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
        let order = |(_, a, a_keys): &(_, &Helper, &Set), (_, b, b_keys): &(_, &Helper, &Set)| {
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

    /// Returns the longest round trip to a data centre that is asked for a part.
    fn longest_round_trip(&self, keys: &BTreeMap<DataCentreId, Set>) -> Duration {
        let eligible = self.round_trips.iter();
        let eligible = eligible.filter(|(data_centre, _)| keys.contains_key(*data_centre));
        let shortest = eligible.map(|(_, time)| *time).min().unwrap_or_default();
        shortest * MAX_ROUND_TRIP_RATIO + ROUND_TRIP_SLACK
    }

    /// Records how a search outcome that a helper was chosen for.
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

    /// Tells whether no host fans out for this one.
    pub fn is_empty(&self) -> bool {
        self.helpers.values().all(|helper| helper.remote.is_some())
    }
}
