//! Counting attempts at the backend servers.
//!
//! Extra load is counted where it is felt and not where it is sent: a daemon's own count would miss
//! what other daemons add, and what it believes to have cancelled in time.

use crate::report::Attempts;
use monsoonring_fakes::backend_server::Server;
use monsoonring_fakes::fleet::{Fleet, Shape};
use std::collections::{HashMap, HashSet};

/// A count that has begun.
pub struct Tally<'a> {
    fleet: &'a Fleet,
    shape: &'a Shape,
    before: Vec<Vec<Seen>>,
}

/// What one backend server had counted when the tally began.
struct Seen {
    attempts: usize,
    crashes: u64,
}

impl<'a> Tally<'a> {
    /// Begins to count the attempts at the backend servers of a shape.
    pub fn begin(fleet: &'a Fleet, shape: &'a Shape) -> Self {
        let seen = |server: &Server| Seen {
            attempts: server.attempts().len(),
            crashes: server.counters().crashes,
        };
        let group = |place| fleet.group(&shape.route, place);
        let before = (0..shape.groups).map(|place| group(place).iter().map(seen).collect());
        Self {
            fleet,
            shape,
            before: before.collect(),
        }
    }

    /// Returns the count since the beginning. The first attempt that a request has at a group isn't
    /// extra; a backend server that refuses an attempt, or at which it is cancelled, counts it all
    /// the same.
    pub fn end(self) -> Attempts {
        let mut total = Attempts::default();
        for (place, before) in self.before.iter().enumerate() {
            let servers = self.fleet.group(&self.shape.route, place);
            total += count(servers, before);
        }
        total
    }
}

fn count(servers: &[Server], before: &[Seen]) -> Attempts {
    let mut requests = HashSet::new();
    let mut group = Attempts::default();
    for (server, seen) in servers.iter().zip(before) {
        let attempts = server.attempts().split_off(seen.attempts);
        group.all += attempts.len() as u64;
        group.crashes += server.counters().crashes - seen.crashes;
        requests.extend(attempts.into_iter().map(|attempt| attempt.request));
    }
    group.first = requests.len() as u64;
    group.doubled = doubled(servers);
    group
}

/// Runs beyond the first one under each key. A key is doubled whenever its runs began, so this counts
/// from the start of the servers on, and wherever in the group the runs took place.
fn doubled(servers: &[Server]) -> u64 {
    let mut runs: HashMap<String, u64> = HashMap::new();
    for (key, of_key) in servers.iter().flat_map(Server::runs) {
        *runs.entry(key).or_default() += of_key.started;
    }
    runs.values().map(|begun| begun.saturating_sub(1)).sum()
}
