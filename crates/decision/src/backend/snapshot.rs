//! State of the backend servers, for operators.

use super::fleet::Fleet;
use super::server::Server;
use crate::Time;
use monsoonring_configuration::id::{BackendServerId, Incarnation, IndexVersion};
use serde::Serialize;
use std::time::Duration;

/// State of one backend server, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Snapshot {
    /// The server.
    pub server: BackendServerId,
    /// Whether connections to it can be made.
    pub reachable: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Start number of its process, as far as known.
    pub start: Option<Incarnation>,
    /// Own attempts outstanding.
    pub outstanding: usize,
    /// Own attempts that may be outstanding at once.
    pub limit: usize,
    /// Weight given to its load reports, from 0 to 1.
    pub trust: f64,
    /// Median of its latency, in milliseconds.
    pub median_ms: f64,
    /// 95th percentile of its latency, in milliseconds.
    pub p95_ms: f64,
    /// Index versions that it serves, as far as known.
    pub versions: Vec<IndexVersion>,
    /// Milliseconds for which it gets no new work because it shed load.
    pub back_off_ms: u64,
}

impl Fleet {
    /// Returns the state of every server, for operators.
    pub fn snapshot(&self, now: Time) -> Vec<Snapshot> {
        let servers = self.servers.iter();
        let mut snapshots: Vec<Snapshot> = servers
            .map(|(id, server)| self.snapshot_of(*id, server, now))
            .collect();
        snapshots.sort_unstable_by_key(|snapshot| snapshot.server);
        snapshots
    }

    fn snapshot_of(&self, id: BackendServerId, server: &Server, now: Time) -> Snapshot {
        let usual = self.usual(server.group);
        let back_off = server.back_off.unwrap_or(now).saturating_sub(now);
        Snapshot {
            server: id,
            reachable: server.reachable,
            leaving: self.is_leaving(id),
            start: server.start,
            outstanding: server.outstanding,
            limit: server.limit(self.share()),
            trust: server.trust.weight(usual.service_time.div_f64(usual.slots)),
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
