//! Routes of one version of the configuration, and the lookup of a request's route.

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

/// Highest ranks of the classes urgent and normal. Rank 1 is for requests with a user waiting in
/// the field, rank 2 for other requests that somebody waits for; higher ranks are background work.
const MAX_URGENT_RANK: u32 = 1;
const MAX_NORMAL_RANK: u32 = 2;

/// Version of a configuration; higher is newer.
pub type Version = u64;

/// Destination of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// One server of one of the services, chosen by weight.
    Split(Vec<WeightedTarget>),
    /// One server of every service.
    FanOut(FanOut),
}

/// A service and its weight in the split of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedTarget {
    /// The service, as a set of one shard.
    pub shards: Shards,
    /// Weight relative to the other services of the route.
    pub weight: f64,
}

/// Parameters of a fan-out over many shards.
#[derive(Clone, Debug, PartialEq)]
pub struct FanOut {
    /// The shards to query.
    pub shards: Shards,
    /// Maximum number of records in the merged answer.
    pub max_records: usize,
    /// Fraction of the shards, from 0 to 1, that an answer must cover.
    pub min_coverage: f64,
}

impl FanOut {
    /// Returns how many shards may be missing from an answer.
    pub fn dispensable(&self) -> usize {
        coverage::dispensable(self.min_coverage, self.shards.len() as f64)
    }
}

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: RouteId,
    /// Host name that requests must carry, in lower case.
    pub host: Box<str>,
    /// Path prefix of the requests; starts and ends with a slash.
    pub prefix: Box<str>,
    /// Whether a request may be executed more than once.
    pub kind: Kind,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Target latency, measured by the caller.
    pub objective: Duration,
    /// Maximum number of backend servers per shard that may execute a request.
    pub attempts: u32,
    /// Rank of its requests; 0 is the most urgent.
    pub priority: u32,
    /// Destination of its requests.
    pub target: Target,
}

impl Route {
    /// Returns all sets of shards that requests may be sent to.
    pub fn sets(&self) -> Vec<&Shards> {
        match &self.target {
            Target::Split(parts) => parts.iter().map(|part| &part.shards).collect(),
            Target::FanOut(gather) => vec![&gather.shards],
        }
    }

    /// Returns the parameters of its requests at a home, with `margin` reserved for delivering the
    /// answer.
    pub fn params(&self, margin: Duration) -> Params {
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

    /// Returns the class of its requests for admission under overload.
    pub fn class(&self) -> Class {
        match self.priority {
            rank if rank <= MAX_URGENT_RANK => Class::Urgent,
            rank if rank <= MAX_NORMAL_RANK => Class::Normal,
            _ => Class::Background,
        }
    }
}

/// Limits on client requests. Timeouts for reading a request and for idle connections are process
/// settings, not part of the configuration: a connection keeps the limits it was opened with, and a
/// client relying on a later, longer timeout would find it closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
}

/// Load limit for the cold servers of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Requests per second and server, from all hosts together.
    pub max_rate: f64,
    /// Warm-up time of a server that reports none.
    pub duration: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    /// Version of the configuration.
    pub version: Version,
    /// Limits on client requests.
    pub limits: Limits,
    /// Connections that each server of a service accepts.
    pub connections: FxHashMap<ServiceId, u32>,
    /// Load limits for cold servers, for the services that have one.
    pub cold: FxHashMap<ServiceId, Cold>,
    routes: FxHashMap<Box<str>, Vec<Arc<Route>>>,
}

impl Table {
    /// Creates the table of one version, without limits for cold servers.
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

    /// Sets the load limits for cold servers.
    #[must_use]
    pub fn with_cold(self, cold: FxHashMap<ServiceId, Cold>) -> Self {
        Self { cold, ..self }
    }

    /// Returns the route of a request: the one with the longest matching path prefix among those of
    /// the host. Ignores the case of `host` and a port in it.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(&*name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
