//! Design size and quantities derived from it.

use super::values::{Result, Values};
use monsoonring_configuration::document::Capacity;
use monsoonring_decision::placement;

pub(super) const SECONDS_PER_DAY: f64 = 86_400.0;
pub(super) const MICROS: f64 = 1e6;
pub(super) const MILLIS: f64 = 1e3;
pub(super) const MB: f64 = 1e6;
pub(super) const PERCENT: f64 = 100.0;

/// Design size of the deployment.
pub(super) struct Size {
    pub(super) daemons: f64,
    pub(super) servers: f64,
    pub(super) data_centres: f64,
    /// Queries per second over all daemons.
    pub(super) queries: f64,
    /// Groups, and thus attempts, of one query.
    pub(super) groups: f64,
    /// Configuration changes per second.
    pub(super) changes: f64,
    /// Membership changes per second. A restart is two changes (leave, join), a failure three (suspicion,
    /// death, join of the replacement).
    pub(super) churn: f64,
    pub(super) routes: f64,
    /// Backend servers of one route.
    pub(super) servers_of_route: f64,
    /// Homes of one route.
    pub(super) homes: f64,
    /// Mean number of routes for which a daemon is a home.
    pub(super) roles: f64,
    pub(super) capacity: Capacity,
}

impl Size {
    pub(super) fn of(values: &Values) -> Result<Self> {
        let groups = values.get("groups_per_query")?;
        let servers = values.get("backend_servers")?;
        let servers_of_route = groups * values.get("replicas_per_group")?;
        let capacity = Capacity {
            slots: values.count("slots_per_server")? as u32,
            connections: values.count("connections_per_server")? as u32,
            connect_ms: values.count("connect_ms")? as u64,
        };
        let daemons = values.get("daemons")?;
        let homes = placement::homes(&capacity, groups as usize, daemons as usize) as f64;
        let routes = (servers / servers_of_route).ceil();
        let restarts = values.get("restarts_per_day")?;
        let failures = values.get("failures_per_day")?;
        Ok(Self {
            daemons,
            servers,
            data_centres: values.get("data_centres")?,
            queries: values.get("queries_per_second")?,
            groups,
            changes: values.get("configuration_changes_per_day")? / SECONDS_PER_DAY,
            churn: (2.0 * restarts + 3.0 * failures) / SECONDS_PER_DAY,
            routes,
            servers_of_route,
            homes,
            roles: routes * homes / daemons,
            capacity,
        })
    }

    /// Returns the queries per second of one route at one of its homes.
    pub(super) fn queries_at_home(&self) -> f64 {
        self.queries / self.routes / self.homes
    }

    /// Returns the requests per second at one backend server, without hedges and retries.
    pub(super) fn requests_at_server(&self) -> f64 {
        self.queries * self.groups / self.servers
    }
}
