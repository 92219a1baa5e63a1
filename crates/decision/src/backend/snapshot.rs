//! Snapshot of the backend servers for operators.

use super::fleet::Fleet;
use super::server::Server;
use crate::Time;
use monsoonring_configuration::id::{BackendServerId, Incarnation, IndexVersion};
use serde::Serialize;
use std::time::Duration;

/// State of one backend server, shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Snapshot {
    /// Id of the server.
    pub server: BackendServerId,
    /// Whether the server can be connected to.
    pub reachable: bool,
    /// Whether the server is leaving and gets no new attempts.
    pub leaving: bool,
    /// Incarnation of its process; `None` if unknown.
    pub start: Option<Incarnation>,
    /// Outstanding attempts of this home.
    pub outstanding: usize,
    /// Limit on outstanding attempts of this home.
    pub limit: usize,
    /// Weight of its load reports, from 0 to 1.
    pub trust: f64,
    /// Median latency in milliseconds.
    pub median_ms: f64,
    /// 95th percentile of latency in milliseconds.
    pub p95_ms: f64,
    /// Index versions that it serves; empty if unknown.
    pub versions: Vec<IndexVersion>,
    /// Remaining back-off after shedding load, in milliseconds.
    pub back_off_ms: u64,
}

impl Fleet {
    /// Returns a snapshot of every server, ordered by id.
    pub fn snapshot(&self, now: Time) -> Vec<Snapshot> {
        let servers = self.servers.iter();
        let mut snapshots: Vec<Snapshot> = servers
            .map(|(id, server)| self.snapshot_of(*id, server, now))
            .collect();
        snapshots.sort_unstable_by_key(|snapshot| snapshot.server);
        snapshots
    }

    fn snapshot_of(&self, id: BackendServerId, server: &Server, now: Time) -> Snapshot {
        let baseline = self.baseline(server.group);
        let back_off = server.back_off.unwrap_or(now).saturating_sub(now);
        Snapshot {
            server: id,
            reachable: server.reachable,
            leaving: self.is_leaving(id),
            start: server.start,
            outstanding: server.outstanding,
            limit: server.limit(self.share()),
            trust: server
                .load_regression
                .weight(baseline.service_time.div_f64(baseline.slots)),
            median_ms: milliseconds(self.quantile(id, 0.5)),
            p95_ms: milliseconds(self.quantile(id, 0.95)),
            versions: server.versions.clone(),
            back_off_ms: back_off.as_millis() as u64,
        }
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
