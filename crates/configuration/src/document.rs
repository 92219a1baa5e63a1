//! The configuration document that operators publish.
//!
//! The JSON schema, the forms of the console and the reference in `docs/configuration.md` are derived
//! from these types and their doc comments. Bounds of single fields are attributes here; rules between
//! fields are in [`crate::check`].

use crate::id::{BackendServerId, CallerId, GroupId, RouteId};
use crate::limit;
use crate::range::Range;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Callers, routes and backend servers of the query tier.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Callers that may send requests.
    pub callers: Vec<Caller>,
    /// Routes of the requests, with the backend servers that answer them.
    pub routes: Vec<Route>,
}

/// A program or office that sends requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Unique name, sent in the header `monsoonring-caller`.
    #[schemars(with = "String", regex(pattern = limit::NAME))]
    pub name: CallerId,
    /// Priority of its requests under overload.
    pub class: Class,
    /// SHA-256 of the bearer token that the caller must send, as 64 hexadecimal digits; without it
    /// the name alone identifies the caller.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "String", regex(pattern = limit::SHA256))]
    pub token_sha256: Option<String>,
}

/// Order in which requests are admitted under overload.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Admitted first: somebody is blocked until the answer arrives.
    Urgent,
    /// Admitted next: somebody is waiting for the answer.
    Normal,
    /// Admitted last: nobody is waiting for the answer.
    Background,
}

/// Whether the requests of a route are searches or non-idempotent operations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Reads from every group of the route; idempotent.
    Search,
    /// Changes something at one backend server of the route's only group; not idempotent.
    Execute,
}

/// A query route: its callers, its backend servers and its deadlines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name, the last part of the path `/routes/{name}/query`.
    #[schemars(with = "String", regex(pattern = limit::NAME))]
    pub name: RouteId,
    /// Whether requests are idempotent reads or run at most once.
    pub kind: Kind,
    /// Names of the callers that may use the route; an empty list closes it.
    #[schemars(with = "Vec<String>")]
    pub callers: Vec<CallerId>,
    /// Deadline of a request that doesn't set its own, in milliseconds.
    #[schemars(range(min = 1, max = limit::DEADLINE_MS), extend("x-unit" = "ms"))]
    pub deadline_ms: u64,
    /// When, and from which coverage, a partial answer is returned; without it, a query waits for
    /// complete data until its deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "SoftDeadline")]
    pub soft_deadline: Option<SoftDeadline>,
    /// Extra attempts against stragglers; always off if `kind` is `execute`.
    #[serde(default)]
    pub hedge: Hedge,
    /// Repeated attempts after failures; if `kind` is `execute`, only after a reply that proves that
    /// the request did not run.
    #[serde(default)]
    pub retry: Retry,
    /// Concurrent requests and connections that the route may use at one backend server.
    pub capacity: Capacity,
    /// Largest accepted request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    #[schemars(range(min = 1, max = limit::BODY_BYTES), extend("x-unit" = "bytes"))]
    pub max_body_bytes: u64,
    /// Lowest index version that answers may come from.
    #[serde(default)]
    #[schemars(range(max = u64::MAX))]
    pub minimum_index_version: u64,
    /// Key space of the route; the ranges of the groups divide it without gaps or overlaps.
    pub keys: Range,
    /// Groups of replicas that hold the key space.
    #[schemars(length(min = 1, max = limit::GROUPS))]
    pub groups: Vec<Group>,
}

/// The time after which a partial answer is better than a later complete one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SoftDeadline {
    /// Milliseconds after the start of the query.
    #[schemars(range(min = 1, max = limit::DEADLINE_MS), extend("x-unit" = "ms"))]
    pub after_ms: u64,
    /// Lowest coverage, from 0 to 1, at which a partial answer is returned.
    #[schemars(range(min = 0, max = 1))]
    pub coverage: f64,
}

/// Extra attempts against stragglers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Hedge {
    /// Extra attempts allowed, in per cent of the route's first attempts; 0 turns hedging off.
    #[schemars(range(min = 0, max = limit::PERCENT), extend("x-unit" = "%"))]
    pub budget_percent: f64,
    /// Quantile of a backend server's latency, from 0 to 1, after which an attempt is hedged.
    #[schemars(range(min = 0, max = 1))]
    pub quantile: f64,
}

impl Default for Hedge {
    fn default() -> Self {
        Self {
            budget_percent: 5.0,
            quantile: 0.95,
        }
    }
}

/// Repeated attempts after failures.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Retry {
    /// Retries allowed, in per cent of the route's first attempts; 0 turns retries off.
    #[schemars(range(min = 0, max = limit::PERCENT), extend("x-unit" = "%"))]
    pub budget_percent: f64,
    /// Attempts for one range of one request, the first one included.
    #[schemars(range(min = 1, max = limit::ATTEMPTS))]
    pub attempts: u32,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            budget_percent: 10.0,
            attempts: 3,
        }
    }
}

/// Limits of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Requests that a backend server processes concurrently.
    #[schemars(range(min = 1, max = limit::SLOTS))]
    pub slots: u32,
    /// Connections that a backend server accepts, over all daemons.
    #[schemars(range(min = 1, max = limit::CONNECTIONS))]
    pub connections: u32,
    /// Time to open a connection, in milliseconds.
    #[serde(default)]
    #[schemars(range(max = limit::DEADLINE_MS), extend("x-unit" = "ms"))]
    pub connect_ms: u64,
}

/// Replicas that hold the same range of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Name, unique within the route.
    #[schemars(with = "String", regex(pattern = limit::NAME))]
    pub name: GroupId,
    /// The keys that each backend server of the group holds.
    pub keys: Range,
    /// Share of the route's data that is in the range, relative to the other groups.
    #[serde(default = "default_weight")]
    #[schemars(range(max = limit::WEIGHT), extend("exclusiveMinimum" = 0))]
    pub weight: f64,
    /// Addresses (IP and port) of the replicas.
    #[schemars(length(min = 1, max = limit::REPLICAS))]
    pub backend_servers: Vec<BackendServerId>,
}

fn default_max_body_bytes() -> u64 {
    64 * 1024
}

fn default_weight() -> f64 {
    1.0
}
