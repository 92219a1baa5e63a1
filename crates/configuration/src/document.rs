//! The document that the operators publish.
//!
//! The types below are the schema: the JSON schema, the forms and the reference in
//! `docs/configuration.md` are derived from them. A bound that concerns one field alone stands here,
//! as an attribute, so that all of these know it; rules between fields are in [`crate::check`].

use crate::id::{BackendServerId, CallerId, GroupId, RouteId};
use crate::limit;
use crate::range::Range;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// All that the operators decide: who may ask, and where each question goes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Who may send requests.
    pub callers: Vec<Caller>,
    /// Which requests there are and which backend servers answer them.
    pub routes: Vec<Route>,
}

/// A program or office that sends requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Unique name, sent in the header `monsoonring-caller`.
    #[schemars(with = "String", regex(pattern = limit::NAME))]
    pub name: CallerId,
    /// How much its requests count when there is not room for all.
    pub class: Class,
    /// SHA-256 of the bearer token that the caller must send, as 64 hexadecimal digits; without it
    /// the name alone identifies the caller.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "String", regex(pattern = limit::SHA256))]
    pub token_sha256: Option<String>,
}

/// Order in which requests are admitted when there is not room for all.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Admitted first: somebody can't go on without the answer.
    Urgent,
    /// Admitted next: somebody waits for the answer.
    Normal,
    /// Admitted last: nobody waits for the answer.
    Background,
}

/// What a request of a route does at the backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Reads from every group of the route; idempotent.
    Search,
    /// Changes something at one backend server of the route's only group; not idempotent.
    Execute,
}

/// One query route: which callers reach which backend servers, under which deadline.
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
    /// Time after which a request that named no deadline has failed, in milliseconds.
    #[schemars(range(min = 1, max = limit::DEADLINE_MS), extend("x-unit" = "ms"))]
    pub deadline_ms: u64,
    /// When and at which coverage waiting on is no longer worth it; without it a query waits for
    /// the whole of the data until its deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "SoftDeadline")]
    pub soft_deadline: Option<SoftDeadline>,
    /// What may be sent twice to escape a straggler; always off where `kind` is `execute`.
    #[serde(default)]
    pub hedge: Hedge,
    /// What may be sent again after a failure; where `kind` is `execute`, only after a reply that
    /// proves that the request did not run.
    #[serde(default)]
    pub retry: Retry,
    /// Work and connections that the route may take of one backend server.
    pub capacity: Capacity,
    /// Largest request body taken, in bytes.
    #[serde(default = "default_max_body_bytes")]
    #[schemars(range(min = 1, max = limit::BODY_BYTES), extend("x-unit" = "bytes"))]
    pub max_body_bytes: u64,
    /// Index versions below this one are never answered from.
    #[serde(default)]
    #[schemars(range(max = u64::MAX))]
    pub minimum_index_version: u64,
    /// The whole key space of the route; the groups' ranges tile it.
    pub keys: Range,
    /// The groups of replicas that hold the key space.
    #[schemars(length(min = 1, max = limit::GROUPS))]
    pub groups: Vec<Group>,
}

/// The point from which a partial answer is better than a later one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SoftDeadline {
    /// Milliseconds after the start of the query.
    #[schemars(range(min = 1, max = limit::DEADLINE_MS), extend("x-unit" = "ms"))]
    pub after_ms: u64,
    /// Coverage, from 0 to 1, from which on the answer is given at that point.
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

/// What one backend server takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Requests that a backend server works on at the same time.
    #[schemars(range(min = 1, max = limit::SLOTS))]
    pub slots: u32,
    /// Connections that a backend server accepts, over all daemons.
    #[schemars(range(min = 1, max = limit::CONNECTIONS))]
    pub connections: u32,
    /// Time that a new connection costs, in milliseconds.
    #[serde(default)]
    #[schemars(range(max = limit::DEADLINE_MS), extend("x-unit" = "ms"))]
    pub connect_ms: u64,
}

/// Replicas that hold the same part of the key space.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Name, unique within the route.
    #[schemars(with = "String", regex(pattern = limit::NAME))]
    pub name: GroupId,
    /// The keys that each backend server of the group holds.
    pub keys: Range,
    /// Share of the route's data that lies in the range, relative to the other groups.
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
