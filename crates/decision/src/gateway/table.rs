//! The routes of one version of the configuration, and which of them a request takes.

use super::{ServiceId, Shards, delivery};
use crate::admission::Urgency;
use crate::home::Params;
use crate::query::coverage;
use monsoonring_configuration::document::{Class, Kind, SoftDeadline};
use monsoonring_configuration::id::RouteId;
use rustc_hash::FxHashMap;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Last ranks of the two upper classes. Routes that somebody in the field waits for have rank 1, the
/// others 2, and what nobody waits for comes after them.
const MAX_URGENT_RANK: u32 = 1;
const MAX_NORMAL_RANK: u32 = 2;

/// Version of a configuration; a higher one is newer.
pub type Version = u64;

/// What a request on a route is sent to.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// One server of one of the services, chosen by weight.
    Split(Vec<WeightedTarget>),
    /// One server of each service.
    FanOut(FanOut),
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedTarget {
    /// The service, alone.
    pub shards: Shards,
    /// Its share, relative to the others.
    pub weight: f64,
}

/// How a request is answered from many shards.
#[derive(Clone, Debug, PartialEq)]
pub struct FanOut {
    /// The shards.
    pub shards: Shards,
    /// Records in an answer at most.
    pub max_records: usize,
    /// Share of the shards, from 0 to 1, that an answer must hold.
    pub min_coverage: f64,
}

impl FanOut {
    /// Returns how many shards an answer can do without.
    pub fn dispensable(&self) -> usize {
        coverage::dispensable(self.min_coverage, self.shards.len() as f64)
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: RouteId,
    /// Host that requests name, in lower case.
    pub host: Box<str>,
    /// Beginning of the paths that take this route; it begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether a request may run more than once.
    pub kind: Kind,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub objective: Duration,
    /// Backend servers that may come to run one request, in each shard.
    pub attempts: u32,
    /// Rank of its requests; 0 comes first.
    pub priority: u32,
    /// Where requests go.
    pub target: Target,
}

impl Route {
    /// Returns all sets of shards that requests may go to.
    pub fn sets(&self) -> Vec<&Shards> {
        match &self.target {
            Target::Split(parts) => parts.iter().map(|part| &part.shards).collect(),
            Target::FanOut(gather) => vec![&gather.shards],
        }
    }

    /// Returns what holds for its requests at a home, where answers take so long on their way to callers.
    pub fn terms(&self, margin: Duration) -> Params {
        let soft = match &self.target {
            Target::FanOut(gather) => Some(SoftDeadline {
                after_ms: delivery::cutoff(self.objective, margin).as_millis() as u64,
                coverage: gather.min_coverage,
            }),
            Target::Split(_) => None,
        };
        Params {
            kind: self.kind,
            max_runs: self.attempts,
            soft_deadline: soft,
            min_coverage: soft.map_or(0.0, |soft| soft.coverage),
            work: xxh3_64(self.name.as_bytes()),
            urgency: Some(Urgency {
                rank: self.priority,
                objective: delivery::cutoff(self.objective, margin),
            }),
        }
    }

    /// Returns how much its requests count when there is not room for all.
    pub fn class(&self) -> Class {
        match self.priority {
            rank if rank <= MAX_URGENT_RANK => Class::Urgent,
            rank if rank <= MAX_NORMAL_RANK => Class::Normal,
            _ => Class::Background,
        }
    }
}

/// What a client may send. How long it may take over it and stay idle is bounded by the process, more
/// widely than by any configuration: a connection would keep the bound that it began under, and a
/// client that goes by a later, wider one would find it closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
}

/// What the servers of a service bear while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Requests in a second, from all hosts together.
    pub max_rate: f64,
    /// How long a server is cold that does not say.
    pub duration: Duration,
}

/// A version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    /// Its version.
    pub version: Version,
    /// What clients may take.
    pub limits: Limits,
    /// By service: connections that each of its servers accepts.
    pub connections: FxHashMap<ServiceId, u32>,
    /// By service whose cold servers bear a bounded number of requests: the bound.
    pub cold: FxHashMap<ServiceId, Cold>,
    routes: FxHashMap<Box<str>, Vec<Arc<Route>>>,
}

impl Table {
    /// Makes the table of one version.
    pub fn new(
        version: Version,
        limits: Limits,
        connections: FxHashMap<ServiceId, u32>,
        routes: Vec<Route>,
    ) -> Self {
        let mut by_host: FxHashMap<Box<str>, Vec<Arc<Route>>> = FxHashMap::default();
        for route in routes {
            let host = route.host.clone();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            limits,
            connections,
            cold: FxHashMap::default(),
            routes: by_host,
        }
    }

    /// Bounds what cold servers get, by service.
    #[must_use]
    pub fn with_cold(self, cold: FxHashMap<ServiceId, Cold>) -> Self {
        Self { cold, ..self }
    }

    /// Returns the route of a request: of those of its host, the one with the longest prefix that
    /// its path begins with. A port in `host` is of no account, and neither is its case.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(&*name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
