//! Load and queueing delay of the groups of a route.

use super::fleet::Fleet;
use super::server::Server;
use crate::Time;
use monsoonring_configuration::id::BackendServerId;
use std::time::Duration;

/// Attempts in flight beyond a server's slots, so that no slot idles for a round trip.
const PIPELINED_ATTEMPTS: f64 = 1.0;

/// Queueing delay of a new attempt in a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Wait {
    /// Queueing delay before the attempt gets a slot.
    pub time: Duration,
    /// Index of the group.
    pub group: usize,
}

/// Queueing delay of a new attempt in each group, longest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Waits(Vec<Wait>);

impl Waits {
    /// Returns the longest delay after dropping the `dispensable` longest ones; at least one stays.
    pub fn without(&self, dispensable: usize) -> Wait {
        let last = self.0.len().saturating_sub(1);
        self.0
            .get(dispensable.min(last))
            .copied()
            .unwrap_or_default()
    }
}

impl FromIterator<Wait> for Waits {
    fn from_iter<I: IntoIterator<Item = Wait>>(waits: I) -> Self {
        let mut waits: Vec<Wait> = waits.into_iter().collect();
        waits.sort_unstable_by(|a, b| b.cmp(a));
        Self(waits)
    }
}

/// Load of the busiest group.
///
/// A search needs every group, so the busiest one determines its queueing delay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupLoad {
    /// Slots of the usable servers in the group, shared by all homes.
    pub slots: f64,
    /// Estimated number of attempts from all homes at those servers.
    pub busy: f64,
    /// Queueing delay of a new attempt in the group.
    pub wait: Duration,
    /// Mean service time of an attempt in the group, without queueing.
    pub service_time: Duration,
}

impl Fleet {
    /// Returns the load of the busiest group. Groups without usable servers are skipped, because
    /// requests don't wait for them.
    pub fn busiest_group(&self, now: Time) -> GroupLoad {
        self.busiest_group_without(0, now)
    }

    /// Returns the load of the busiest group after dropping the `dispensable` busiest ones, which a
    /// request can do without.
    pub fn busiest_group_without(&self, dispensable: usize, now: Time) -> GroupLoad {
        let groups = 0..self.groups.len();
        let mut loads: Vec<GroupLoad> = groups
            .filter_map(|group| self.load_of(group, now))
            .collect();
        loads.sort_unstable_by(|a, b| {
            let waits = b.wait.cmp(&a.wait);
            waits.then(b.busy.total_cmp(&a.busy))
        });
        let last = loads.len().saturating_sub(1);
        let busiest = loads.get(dispensable.min(last));
        busiest.copied().unwrap_or_default()
    }

    /// Returns the queueing delay at the least loaded usable server of each group, longest first.
    pub fn expected_waits(&self, now: Time) -> Vec<(usize, Duration)> {
        let groups = 0..self.groups.len();
        let mut waits: Vec<(usize, Duration)> = groups
            .filter_map(|group| Some((group, self.least_wait(group, now)?)))
            .collect();
        waits.sort_unstable_by_key(|(group, wait)| (std::cmp::Reverse(*wait), *group));
        waits
    }

    /// Returns the failure rate of recent attempts, averaged over all servers.
    pub fn failure_rate(&self, now: Time) -> f64 {
        let rates = self.servers.values().map(|server| server.failure_rate(now));
        rates.sum::<f64>() / self.servers.len().max(1) as f64
    }

    /// Returns the queueing delay at the least loaded usable server of each group, based on the
    /// load that servers report for all homes.
    pub fn reported_waits(&self, now: Time) -> Vec<Wait> {
        let groups = 0..self.groups.len();
        let wait = |group| {
            let time = self.least_reported_wait(group, now)?;
            Some(Wait { time, group })
        };
        groups.filter_map(wait).collect()
    }

    /// Returns the time in which this home sends `attempts` attempts to a group at its recent rate.
    /// The rate reflects the share of the servers that other homes leave to this one.
    pub fn time_to_send(&self, group: usize, attempts: usize) -> Duration {
        Duration::from_secs_f64(self.groups[group].interval).mul_f64(attempts as f64)
    }

    /// Returns whether most servers have reported their load recently.
    pub fn has_recent_reports(&self, now: Time) -> bool {
        let reported = self
            .servers
            .values()
            .filter(|server| server.has_recent_report(now));
        reported.count() * 2 > self.servers.len()
    }

    /// Returns whether a server has a free slot, or will have one soon, by its reported load. A
    /// server without attempts of this home always counts as free: it sends no replies, so its last
    /// report would never be updated.
    pub fn has_free_slot(&self, server: BackendServerId, now: Time) -> bool {
        self.servers.get(&server).is_some_and(|state| {
            state.own_load() == 0.0 || state.reported_load(now) < self.slots() + PIPELINED_ATTEMPTS
        })
    }

    fn least_reported_wait(&self, group: usize, now: Time) -> Option<Duration> {
        let baseline = self.baseline(group);
        let usable = self.usable(group, now);
        usable
            .map(|server| server.reported_wait(baseline, now))
            .min()
    }

    fn least_wait(&self, group: usize, now: Time) -> Option<Duration> {
        let usable = self.usable(group, now);
        let loads = usable.map(|server| self.expected_load(server, now));
        let min_load = loads.reduce(f64::min)?;
        Some(self.baseline(group).wait(min_load))
    }

    fn usable(&self, group: usize, now: Time) -> impl Iterator<Item = &Server> {
        let servers = self.groups[group].servers.iter();
        servers.filter_map(move |id| {
            let server = self.servers.get(id)?;
            let is_usable = server.reachable && server.configured && !self.is_leaving(*id);
            let is_excluded = self.excluded_until(*id, now).is_some();
            (is_usable && !is_excluded).then_some(server)
        })
    }

    fn load_of(&self, group: usize, now: Time) -> Option<GroupLoad> {
        let mut usable: u32 = 0;
        let mut busy = 0.0;
        for server in self.usable(group, now) {
            usable += 1;
            busy += self.expected_load(server, now);
        }
        if usable == 0 {
            return None;
        }
        let slots = f64::from(usable) * self.slots();
        let service_time = self.baseline(group).service_time;
        // A new attempt starts when all but `slots - 1` of those before it have ended.
        let ahead = (busy + 1.0 - slots).max(0.0);
        Some(GroupLoad {
            slots,
            busy,
            wait: service_time.mul_f64(ahead / slots),
            service_time,
        })
    }
}
