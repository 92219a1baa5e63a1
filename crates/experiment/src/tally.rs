//! Counts attempts at the backend servers.
//!
//! Extra load is counted where it arrives: the count of one daemon would miss the attempts of other
//! daemons, and attempts that it cancelled too late.

use crate::report::Attempts;
use monsoonring_fakes::backend_server::Server;
use monsoonring_fakes::fleet::{Fleet, Shape};
use std::collections::{HashMap, HashSet};

/// Counts the attempts at a shape's backend servers since [`Tally::begin`].
pub struct Tally<'a> {
    fleet: &'a Fleet,
    shape: &'a Shape,
    before: Vec<Vec<Baseline>>,
}

/// Counts of one backend server when the tally began.
struct Baseline {
    attempts: usize,
    crashes: u64,
}

impl<'a> Tally<'a> {
    /// Starts to count attempts at the backend servers of a shape.
    pub fn begin(fleet: &'a Fleet, shape: &'a Shape) -> Self {
        let baseline = |server: &Server| Baseline {
            attempts: server.attempts().len(),
            crashes: server.counters().crashes,
        };
        let group = |index| fleet.group(&shape.route, index);
        let before = (0..shape.groups).map(|index| group(index).iter().map(baseline).collect());
        Self {
            fleet,
            shape,
            before: before.collect(),
        }
    }

    /// Returns the attempts since the start of the tally. The first attempt of a request at a group
    /// isn't extra. Refused and cancelled attempts are counted.
    pub fn end(self) -> Attempts {
        let mut total = Attempts::default();
        for (index, before) in self.before.iter().enumerate() {
            let servers = self.fleet.group(&self.shape.route, index);
            total += count(servers, before);
        }
        total
    }
}

fn count(servers: &[Server], before: &[Baseline]) -> Attempts {
    let mut requests = HashSet::new();
    let mut group = Attempts::default();
    for (server, baseline) in servers.iter().zip(before) {
        let attempts = server.attempts().split_off(baseline.attempts);
        group.all += attempts.len() as u64;
        group.crashes += server.counters().crashes - baseline.crashes;
        requests.extend(attempts.into_iter().map(|attempt| attempt.request));
    }
    group.first = requests.len() as u64;
    group.doubled = doubled(servers);
    group
}

/// Returns the duplicate executions of all idempotency keys. Counts since the start of the servers and
/// across the group, as the first execution may precede the tally or be at another replica.
fn doubled(servers: &[Server]) -> u64 {
    let mut runs: HashMap<String, u64> = HashMap::new();
    for (key, executions) in servers.iter().flat_map(Server::runs) {
        *runs.entry(key).or_default() += executions.started;
    }
    runs.values().map(|started| started.saturating_sub(1)).sum()
}
