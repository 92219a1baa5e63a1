//! GroupLoad that the backend servers of a route have for this home.

use super::fleet::Fleet;
use super::server::Server;
use crate::Time;
use monsoonring_configuration::id::BackendServerId;
use std::time::Duration;

/// Attempts sent to a server beyond its slots, so that none is idle for the time of a round trip.
const ON_THE_WAY: f64 = 1.0;

/// The time that a new attempt would wait in a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Wait {
    /// The time.
    pub time: Duration,
    /// Index of the group.
    pub group: usize,
}

/// Times that a new attempt would wait in each group, the longest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Waits(Vec<Wait>);

impl Waits {
    /// Returns the wait in the tightest group that is left when so many of the tightest are left out.
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
        waits.sort_unstable_by(|one, other| other.cmp(one));
        Self(waits)
    }
}

/// GroupLoad for service_time, taken from the group that has the least of it.
///
/// A search needs every group, so the busiest group decides how long a query waits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupLoad {
    /// Work slots of the usable servers in the tightest group, shared by all homes.
    pub slots: f64,
    /// Attempts of all homes expected at those servers.
    pub busy: f64,
    /// Time that a new attempt would wait in that group before it is worked on.
    pub wait: Duration,
    /// Measured mean time that an attempt in that group is worked on, waiting not included.
    pub service_time: Duration,
}

impl Fleet {
    /// Returns the room in the tightest group. A group none of whose servers is usable is left out:
    /// queries don't wait for it.
    pub fn busiest_group(&self, now: Time) -> GroupLoad {
        self.busiest_group_without(0, now)
    }

    /// Returns the room in the tightest group that is left when so many of the tightest are left
    /// out: a query that can do without them does not wait for them.
    pub fn busiest_group_without(&self, dispensable: usize, now: Time) -> GroupLoad {
        let groups = 0..self.groups.len();
        let mut rooms: Vec<GroupLoad> = groups
            .filter_map(|group| self.room_of(group, now))
            .collect();
        rooms.sort_unstable_by(|one, other| {
            let waits = other.wait.cmp(&one.wait);
            waits.then(other.busy.total_cmp(&one.busy))
        });
        let last = rooms.len().saturating_sub(1);
        let left = rooms.get(dispensable.min(last));
        left.copied().unwrap_or_default()
    }

    /// Returns the time that a new attempt would wait at the least busy server of each group that has usable
    /// ones, the longest first. One of them may have paused with much before it, and the next is idle.
    pub fn expected_waits(&self, now: Time) -> Vec<(usize, Duration)> {
        let groups = 0..self.groups.len();
        let mut waits: Vec<(usize, Duration)> = groups
            .filter_map(|group| Some((group, self.least_wait(group, now)?)))
            .collect();
        waits.sort_unstable_by_key(|(group, wait)| (std::cmp::Reverse(*wait), *group));
        waits
    }

    /// Returns the share of the recent attempts that failed, as the mean over all servers.
    pub fn failure_rate(&self, now: Time) -> f64 {
        let shares = self.servers.values().map(|server| server.failing(now));
        shares.sum::<f64>() / self.servers.len().max(1) as f64
    }

    /// Returns the time that a new attempt would wait in each group, at its least busy server, by what servers report of all
    /// homes' service_time.
    pub fn reported_waits(&self, now: Time) -> Vec<Wait> {
        let groups = 0..self.groups.len();
        let wait = |group| {
            let time = self.least_reported_wait(group, now)?;
            Some(Wait { time, group })
        };
        groups.filter_map(wait).collect()
    }

    /// Returns the time until so many attempts of this home have left for a group, at the rate of the recent ones: that shows what share
    /// of the servers other homes leave to this one.
    pub fn time_to_send(&self, group: usize, attempts: usize) -> Duration {
        Duration::from_secs_f64(self.groups[group].interval).mul_f64(attempts as f64)
    }

    /// Tells whether most servers have reported their load recently.
    pub fn has_recent_reports(&self, now: Time) -> bool {
        let reported = self
            .servers
            .values()
            .filter(|server| server.is_reported(now));
        reported.count() * 2 > self.servers.len()
    }

    /// Tells whether a server has a slot free, or will soon, by its reported load. A server without attempts of this home always counts as
    /// free: it sends no replies, so its report would never be renewed.
    pub fn has_free_slot(&self, server: BackendServerId, now: Time) -> bool {
        self.servers.get(&server).is_some_and(|state| {
            state.own() == 0.0 || state.reported_load(now) < self.slots() + ON_THE_WAY
        })
    }

    fn least_reported_wait(&self, group: usize, now: Time) -> Option<Duration> {
        let usual = self.usual(group);
        let usable = self.usable(group, now);
        usable.map(|server| server.reported_wait(usual, now)).min()
    }

    fn least_wait(&self, group: usize, now: Time) -> Option<Duration> {
        let usable = self.usable(group, now);
        let loads = usable.map(|server| self.expected_load(server, now));
        let least = loads.reduce(f64::min)?;
        Some(self.usual(group).wait(least))
    }

    fn usable(&self, group: usize, now: Time) -> impl Iterator<Item = &Server> {
        let servers = self.groups[group].servers.iter();
        servers.filter_map(move |id| {
            let server = self.servers.get(id)?;
            let is_usable = server.reachable && server.configured && !self.is_leaving(*id);
            let is_shut = self.excluded_until(*id, now).is_some();
            (is_usable && !is_shut).then_some(server)
        })
    }

    fn room_of(&self, group: usize, now: Time) -> Option<GroupLoad> {
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
        let service_time = self.usual(group).service_time;
        // The new attempt starts when all but `slots - 1` of those before it have ended.
        let ahead = (busy + 1.0 - slots).max(0.0);
        Some(GroupLoad {
            slots,
            busy,
            wait: service_time.mul_f64(ahead / slots),
            service_time,
        })
    }
}
