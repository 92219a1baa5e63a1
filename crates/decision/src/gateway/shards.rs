//! What a home works on: a set of shards as a route of the core.
//!
//! The key space of a set of `n` shards is `0..n`, and shard `i` holds key `i`: coverage then is the
//! share of the shards that are in, all of them weigh the same, and what is missing in an answer is
//! a list of shards. The same core so counts coverage for both interfaces.

use super::registry::{Entry, Registry, StartTime, Usable};
use super::table::Table;
use super::{InstanceId, ServiceId, Shards};
use crate::Time;
use crate::backend::ColdLimit;
use crate::query::coverage::Set;
use monsoonring_configuration::Range;
use monsoonring_configuration::document::{Capacity, Group, Hedge, Kind, Retry, Route};
use monsoonring_configuration::id::{BackendServerId, DataCentreId};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Parts of the extra attempts that the owners of the backend servers allow, in all, for each first
/// one; the rest is for requests that end within another window than they began.
const HEDGE_BUDGET_SHARE: f64 = 0.5;
const RETRY_BUDGET_SHARE: f64 = 0.4;

/// Quantile of a shard's latency after which an attempt is hedged. About one attempt in 25 meets a
/// pause of its server, so that the budget pays for these and as many ordinary stragglers.
const HEDGE_QUANTILE: f64 = 0.92;

/// Attempts for one shard that servers may refuse before the shard is given up. What may run is
/// bounded for each request.
const MAX_ATTEMPTS: u32 = 6;

/// Longest objective that is assumed where no route names one.
const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);

/// Deadline of the set as a multiple of the longest objective of its routes: admission aims at half
/// of the deadline.
const OBJECTIVES_PER_DEADLINE: u32 = 2;

/// Slots and connections that are assumed of a server that says nothing of them.
const DEFAULT_SLOTS: u32 = 1;
const DEFAULT_CONNECTIONS: u32 = 16;

/// Returns the name of a set, for logs and metrics.
pub fn name(shards: &Shards) -> String {
    match &**shards {
        [service] => service.to_string(),
        [first, .., last] => format!("{first}..{last}"),
        [] => String::new(),
    }
}

/// Makes the route of the core for a set of shards, whose owners allow so many extra attempts for each
/// first one. A server is in the group of its service, in the order of the addresses.
pub fn route(shards: &Shards, table: &Table, usable: &Usable<'_>, extra: f64) -> Route {
    let mut by_service: FxHashMap<&ServiceId, Vec<&Entry>> = FxHashMap::default();
    for entry in usable.values() {
        by_service.entry(&entry.service).or_default().push(entry);
    }
    let servers = |service| by_service.get(service).cloned().unwrap_or_default();
    let groups: Vec<(&ServiceId, Vec<&Entry>)> = shards
        .iter()
        .map(|service| (service, servers(service)))
        .collect();
    let slots = groups.iter().flat_map(|(_, servers)| servers.iter());
    let slots = slots
        .map(|entry| entry.slots)
        .min()
        .unwrap_or(DEFAULT_SLOTS);
    let limits = shards
        .iter()
        .filter_map(|service| table.connections.get(service));
    let objective = objective(shards, table);
    Route {
        name: name(shards).into(),
        kind: Kind::Search,
        callers: Vec::new(),
        deadline_ms: (objective * OBJECTIVES_PER_DEADLINE).as_millis() as u64,
        soft_deadline: None,
        hedge: Hedge {
            budget_percent: extra * HEDGE_BUDGET_SHARE * 100.0,
            quantile: HEDGE_QUANTILE,
        },
        retry: Retry {
            budget_percent: extra * RETRY_BUDGET_SHARE * 100.0,
            attempts: MAX_ATTEMPTS,
        },
        capacity: Capacity {
            slots,
            connections: limits.min().copied().unwrap_or(DEFAULT_CONNECTIONS),
            connect_ms: 0,
        },
        max_body_bytes: table.limits.body_bytes as u64,
        minimum_index_version: 0,
        keys: keys(0, groups.len()),
        groups: groups.iter().enumerate().map(group).collect(),
    }
}

/// The start of a server that is expected at an address, and the shard that it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expected {
    /// The start.
    pub instance: InstanceId,
    /// When it was: a later start may have the same name.
    pub started_at: StartTime,
    /// The keys of its shard.
    pub keys: Range,
}

/// Returns what is expected at each address of a set.
pub fn expected(shards: &Shards, usable: &Usable<'_>) -> BTreeMap<BackendServerId, Expected> {
    let indexes = indexes(shards);
    let expected = usable.iter().filter_map(|(address, entry)| {
        let index = *indexes.get(&entry.service)?;
        let expected = Expected {
            instance: entry.instance.clone(),
            started_at: entry.order.started_at,
            keys: shard(index),
        };
        Some((*address, expected))
    });
    expected.collect()
}

/// Returns which servers of a set are cold, with what they bear. Where a data centre was just given back, all its
/// servers may be, and say so a heartbeat later.
pub fn cold(
    shards: &Shards,
    table: &Table,
    registry: &Registry,
    usable: &Usable<'_>,
    now: Time,
) -> BTreeMap<BackendServerId, ColdLimit> {
    if table.cold.is_empty() {
        return BTreeMap::new();
    }
    let indexes = indexes(shards);
    let cold = usable.iter().filter_map(|(address, entry)| {
        indexes.get(&entry.service)?;
        let bound = table.cold.get(&entry.service)?;
        let reported = registry.cold_until(&entry.instance);
        let withdrawn_at = registry.evacuations().withdrawn_at(&entry.data_centre);
        let until = reported.max(withdrawn_at.map(|at| at + bound.duration))?;
        let max_rate = bound.max_rate;
        (until > now).then_some((*address, ColdLimit { until, max_rate }))
    });
    cold.collect()
}

/// Returns the addresses at which another start is expected now than before: what was learned of the
/// earlier one does not hold any more.
pub fn replaced(
    before: &BTreeMap<BackendServerId, Expected>,
    now: &BTreeMap<BackendServerId, Expected>,
) -> BTreeSet<BackendServerId> {
    let start = |expected: &Expected| (expected.instance.clone(), expected.started_at);
    let is_restarted = |(address, expected): &(&BackendServerId, &Expected)| {
        let earlier = before.get(address);
        earlier.is_some_and(|earlier| start(earlier) != start(expected))
    };
    now.iter()
        .filter(is_restarted)
        .map(|(address, _)| *address)
        .collect()
}

/// Returns the servers of a set that are in other data centres than `own`.
pub fn remote_servers(
    shards: &Shards,
    usable: &Usable<'_>,
    own: &DataCentreId,
) -> BTreeSet<BackendServerId> {
    let indexes = indexes(shards);
    usable
        .iter()
        .filter(|(_, entry)| entry.data_centre != *own && indexes.contains_key(&entry.service))
        .map(|(address, _)| *address)
        .collect()
}

/// Shards without a server in a host's own data centre from which on another host looks through them. One answer
/// has the records of a whole one and a signature for each shard, so that for fewer it saves few bytes.
const MIN_REMOTE_SHARDS: usize = 4;

/// Returns, by data centre, the shards of a set that have servers there and none in `own`; none at all where they are
/// few.
pub fn remote_shards(
    shards: &Shards,
    usable: &Usable<'_>,
    own: &DataCentreId,
) -> BTreeMap<DataCentreId, Set> {
    let indexes = indexes(shards);
    let mut held: BTreeMap<&DataCentreId, BTreeSet<usize>> = BTreeMap::new();
    for entry in usable.values() {
        if let Some(index) = indexes.get(&entry.service) {
            held.entry(&entry.data_centre).or_default().insert(*index);
        }
    }
    let here = held.remove(own).unwrap_or_default();
    let remote = held.into_iter().map(|(data_centre, held)| {
        let missing = held.difference(&here);
        (data_centre, missing.copied().collect::<Vec<usize>>())
    });
    let enough = remote.filter(|(_, missing)| missing.len() >= MIN_REMOTE_SHARDS);
    enough
        .map(|(data_centre, missing)| {
            let keys = missing.into_iter().map(shard).collect();
            (data_centre.clone(), keys)
        })
        .collect()
}

/// Tells whether a larger set that some route leads to has one of the services of this one.
pub fn is_in_larger_set(shards: &Shards, table: &Table) -> bool {
    let larger = |other: &&Shards| {
        let shares = other.iter().any(|service| shards.contains(service));
        shares && other.len() > shards.len()
    };
    table.routes().any(|route| route.sets().iter().any(larger))
}

/// Returns the place of each service in a set. A host holds all servers against all sets at each change of one. Without
/// an index that took 414 µs for 315 servers of 63 shards, 3.4 ms at a host of an eighth of a core, and 65 ms for 5,000 of
/// 1,000; with it, 111 µs and 2.8 ms (`cargo run --release -p monsoonring-decision --example placing`, one run each).
fn indexes(shards: &Shards) -> FxHashMap<&ServiceId, usize> {
    let mut indexes = FxHashMap::default();
    for (index, service) in shards.iter().enumerate() {
        indexes.entry(service).or_insert(index);
    }
    indexes
}

/// Returns the keys that the shard with this index holds.
pub fn shard(index: usize) -> Range {
    keys(index, index + 1)
}

fn group((index, (service, servers)): (usize, &(&ServiceId, Vec<&Entry>))) -> Group {
    Group {
        name: (*service).clone(),
        keys: shard(index),
        weight: 1.0,
        backend_servers: servers.iter().map(|entry| entry.address).collect(),
    }
}

fn keys(start: usize, end: usize) -> Range {
    Range {
        start: start as u64,
        end: end as u64,
    }
}

/// Returns the longest objective of the routes that lead to a set.
fn objective(shards: &Shards, table: &Table) -> Duration {
    let leads = |route: &&std::sync::Arc<super::table::Route>| route.sets().contains(&shards);
    let routes = table.routes().filter(leads);
    let longest = routes.map(|route| route.objective).max();
    longest
        .unwrap_or(DEFAULT_OBJECTIVE)
        .max(Time::from_millis(1))
}
