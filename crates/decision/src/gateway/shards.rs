//! Conversion of a set of shards to the route that a home serves.
//!
//! The key space of a set of `n` shards is `0..n`, and shard `i` holds key `i`. Coverage is
//! therefore the fraction of shards that answered, all shards weigh the same, and missing keys
//! identify missing shards.

use super::registry::{Entry, Registry, StartTime, Usable};
use super::table::Table;
use super::{InstanceId, ServiceId, Shards};
use crate::Time;
use crate::backend::ColdLimit;
use crate::query::coverage::KeySet;
use monsoonring_configuration::Range;
use monsoonring_configuration::document::{Capacity, Group, Hedge, Kind, Retry, Route};
use monsoonring_configuration::id::{BackendServerId, DataCentreId};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Shares of the extra attempts that the owners of the backend servers allow per first attempt. The
/// rest covers requests that start in one budget window and end in another.
const HEDGE_BUDGET_SHARE: f64 = 0.5;
const RETRY_BUDGET_SHARE: f64 = 0.4;

/// Latency quantile of a shard after which an attempt is hedged. Balances hedges against servers
/// that pause, about one attempt in 25, with hedges against ordinary stragglers.
const HEDGE_QUANTILE: f64 = 0.92;

/// Maximum attempts per shard, including refused ones. The number of executions is bounded per
/// request.
const MAX_ATTEMPTS: u32 = 6;

/// Objective of a set that no route leads to.
const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);

/// Deadline of a set as a multiple of the longest objective of its routes. Admission targets half
/// of the deadline.
const OBJECTIVES_PER_DEADLINE: u32 = 2;

/// Slots of a set without servers, and connections per server of services without a configured
/// limit.
const DEFAULT_SLOTS: u32 = 1;
const DEFAULT_CONNECTIONS: u32 = 16;

/// Returns the name of a set for logs and metrics.
pub fn name(shards: &Shards) -> String {
    match &**shards {
        [service] => service.to_string(),
        [first, .., last] => format!("{first}..{last}"),
        [] => String::new(),
    }
}

/// Returns the route for a set of shards. Servers are grouped by service and ordered by address;
/// `extra` is the number of extra attempts allowed per first attempt.
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

/// The server start expected at an address, and its shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expected {
    /// Name of the start.
    pub instance: InstanceId,
    /// Start time, which distinguishes restarts under the same name.
    pub started_at: StartTime,
    /// Keys of its shard.
    pub keys: Range,
}

/// Returns the expected server start for each address of a set.
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

/// Returns the load limits of the cold servers of a set. After the evacuation of a data centre is
/// withdrawn, all its servers count as cold, as they report it only with their next heartbeat.
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

/// Returns the addresses whose expected start changed. State learned about the earlier start no
/// longer applies.
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

/// Minimum number of shards to delegate to another data centre. A merged answer carries a full list
/// of records and a signature per shard, so it saves little traffic for fewer.
const MIN_REMOTE_SHARDS: usize = 4;

/// Returns, by data centre, the shards of a set that have servers there and none in `own`. Omits
/// data centres with fewer than `MIN_REMOTE_SHARDS` of them.
pub fn remote_shards(
    shards: &Shards,
    usable: &Usable<'_>,
    own: &DataCentreId,
) -> BTreeMap<DataCentreId, KeySet> {
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
    let eligible = remote.filter(|(_, missing)| missing.len() >= MIN_REMOTE_SHARDS);
    eligible
        .map(|(data_centre, missing)| {
            let keys = missing.into_iter().map(shard).collect();
            (data_centre.clone(), keys)
        })
        .collect()
}

/// Returns whether some route leads to a larger set that shares a service with this one.
pub fn is_in_larger_set(shards: &Shards, table: &Table) -> bool {
    let is_larger = |other: &&Shards| {
        let overlaps = other.iter().any(|service| shards.contains(service));
        overlaps && other.len() > shards.len()
    };
    table
        .routes()
        .any(|route| route.sets().iter().any(is_larger))
}

/// Returns the index of each service in a set. Every change to the servers matches all of them
/// against all sets, so this must not be a linear search.
fn indexes(shards: &Shards) -> FxHashMap<&ServiceId, usize> {
    let mut indexes = FxHashMap::default();
    for (index, service) in shards.iter().enumerate() {
        indexes.entry(service).or_insert(index);
    }
    indexes
}

/// Returns the keys of the shard with this index.
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
