//! All backend servers of one route at one home.

use super::baseline::Baseline;
use super::choice::{self, Choice, Repeat};
use super::cold::{ColdLimit, WarmUp};
use super::latency::Latency;
use super::leaving::LeavingServers;
use super::ramp::Ramp;
use super::server::Server;
use crate::attempt::AttemptId;
use crate::placement::{Division, Homes};
use crate::policy::Policy;
use crate::why::Least;
use crate::{Time, Work};
use monsoonring_configuration::document::{Capacity, Route};
use monsoonring_configuration::id::{BackendServerId, Incarnation, IndexVersion};
use rand::Rng;
use rustc_hash::FxHashMap;
use smallvec::{SmallVec, smallvec};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Bounds of the time after which an attempt is hedged.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);
const MAX_HEDGE_DELAY_SHARE: f64 = 0.5;

/// Share of the deadline that stands in for a latency that nothing is known of.
const DEFAULT_LATENCY_SHARE: f64 = 0.25;

/// A server's own quantile counts up to this multiple of its group's. A replica that is always
/// slow would otherwise be hedged late, by its own standard, although the others answer long
/// before: seen as a tail that hedging does not cut.
const MAX_OWN_QUANTILE_RATIO: f64 = 2.0;

/// Bound of the factor by which a group may be slower or faster than all: beyond it the group is in
/// trouble, and waiting longer for it would only hide that.
const MAX_RELATIVE_LATENCY: f64 = 1.5;

/// Kinds of work whose latencies are kept apart; beyond them, those of all together stand in.
pub(super) const MAX_WORK_KINDS: usize = 32;

/// Silence that is out of the ordinary: a multiple of a high quantile.
const SILENCE_QUANTILE: f64 = 0.99;
const SILENCE_QUANTILE_FACTOR: f64 = 2.0;
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(10);

/// Multiple of a server's recent mean latency that is waited in any case: one that has just become
/// slow is not silent.
const SILENCE_MEAN_FACTOR: f64 = 6.0;

/// Weight of a new time between two attempts in the mean, and what one counts at most: a quiet night says
/// nothing of the morning.
const INTERVAL_GAIN: f64 = 0.1;
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// Replicas that a group usually has at most; more of them take an allocation.
const INLINE_REPLICAS: usize = 4;

/// All backend servers of one route at one home.
pub struct Fleet {
    pub(super) servers: FxHashMap<BackendServerId, Server>,
    pub(super) groups: Vec<Group>,
    pub(super) latency: Latency,
    /// By kind of work: how long attempts take, at all servers together.
    pub(super) latency_by_work: FxHashMap<Work, Latency>,
    pub(super) attempts: FxHashMap<AttemptId, Attempt>,
    pub(super) leaving: LeavingServers,
    /// The servers that are cold, of this route or not.
    cold: BTreeMap<BackendServerId, ColdLimit>,
    pub(super) capacity: Capacity,
    pub(super) division: Division,
    pub(super) deadline: Duration,
    pub(super) policy: Policy,
}

/// Replicas of the same part of the data.
pub(super) struct Group {
    pub(super) servers: Vec<BackendServerId>,
    pub(super) latency: Latency,
    /// What is usual, until an attempt in the group is measured. It is asked for more than ten
    /// times for each attempt.
    pub(super) baseline: Cell<Option<Baseline>>,
    /// Whether a server counts as one of another group.
    pub(super) is_shared: bool,
    /// Mean time between two attempts, in seconds, and when the last one left.
    pub(super) interval: f64,
    pub(super) last_sent: Option<Time>,
}

impl Group {
    /// Records that an attempt leaves.
    pub(super) fn record_sent(&mut self, now: Time) {
        if let Some(last) = self.last_sent.replace(now) {
            let interval = now.saturating_sub(last).min(MAX_INTERVAL).as_secs_f64();
            self.interval += INTERVAL_GAIN * (interval - self.interval);
        }
    }
}

/// An attempt that is outstanding.
pub(super) struct Attempt {
    pub(super) server: BackendServerId,
    pub(super) sent: Time,
    pub(super) work: Work,
    /// Time from which on it is being cancelled.
    pub(super) cancelled: Option<Time>,
    /// Whether it takes far longer than its server usually does.
    pub(super) overdue: bool,
    /// Whether it has left for its server.
    pub(super) is_transmitted: bool,
    /// Whether another start has come to its server's address since it left: how it ends says nothing
    /// of that one.
    pub(super) stale: bool,
    /// What was reported of the others' load when it left.
    pub(super) reported_others: Option<f64>,
    /// Load of all homes to be expected at the server when it left.
    pub(super) load: f64,
}

impl Fleet {
    /// Makes the fleet of a route at a home that takes its part of the `division`.
    pub fn new(route: &Route, division: impl Into<Division>, now: Time) -> Self {
        let mut fleet = Self {
            servers: FxHashMap::default(),
            groups: Vec::new(),
            latency: Latency::new(),
            latency_by_work: FxHashMap::default(),
            attempts: FxHashMap::default(),
            leaving: LeavingServers::default(),
            cold: BTreeMap::new(),
            capacity: route.capacity,
            division: division.into(),
            deadline: Duration::from_millis(route.deadline_ms),
            policy: Policy::default(),
        };
        // It is this home that is new and not the servers: no ramp.
        fleet.apply_route(route, None, now);
        fleet
    }

    /// Takes over a new configuration. Servers that stay keep their state; removed ones get no new
    /// work; new ones are ramped up.
    pub fn reconfigure(&mut self, route: &Route, now: Time) {
        self.capacity = route.capacity;
        self.deadline = Duration::from_millis(route.deadline_ms);
        self.apply_route(route, Some(Ramp::cold()), now);
    }

    /// Replaces decisions by simpler ones.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Takes over the homes of the route.
    pub fn set_homes(&mut self, homes: impl Into<Homes>, _now: Time) {
        self.division = self.division.with_homes(homes);
    }

    /// Takes over which servers are in other data centres.
    pub fn set_far(&mut self, far: &BTreeSet<BackendServerId>) {
        for (id, server) in &mut self.servers {
            server.far = far.contains(id);
        }
    }

    /// Takes over which servers are cold, and for how long.
    pub fn set_cold(&mut self, cold: &BTreeMap<BackendServerId, ColdLimit>, now: Time) {
        self.cold.clone_from(cold);
        for (&server, &cold) in cold {
            let queued = self.queued(server);
            if let Some(state) = self.servers.get_mut(&server) {
                match &mut state.warm_up {
                    Some(warm_up) if !warm_up.is_over(now) => warm_up.set_limit(cold),
                    other => *other = Some(WarmUp::in_use(cold, queued, now)),
                }
            }
        }
        for (id, server) in &mut self.servers {
            server.warm_up.take_if(|_| !cold.contains_key(id));
        }
    }

    /// Tells whether what is sent to a server in a second is bounded.
    pub fn is_cold(&self, server: BackendServerId) -> bool {
        let state = self.servers.get(&server);
        state.is_some_and(|state| state.warm_up.is_some())
    }

    /// Returns until when a server is cold and max_rate nothing of this home.
    pub fn excluded_until(&self, server: BackendServerId, now: Time) -> Option<Time> {
        let warm_up = self.servers.get(&server)?.warm_up.as_ref()?;
        let is_excluded = !warm_up.is_over(now) && self.cold_share(server, warm_up.limit()) == 0;
        is_excluded.then(|| warm_up.limit().until)
    }

    /// Returns the attempts at a server that have not left.
    fn queued(&self, server: BackendServerId) -> usize {
        let is_queued = |record: &&Attempt| record.server == server && !record.is_transmitted;
        self.attempts.values().filter(is_queued).count()
    }

    /// Returns how many attempts this home may send to a cold server in a second.
    fn cold_share(&self, server: BackendServerId, cold: ColdLimit) -> usize {
        let is_far = self.servers.get(&server).is_none_or(|state| state.far);
        match is_far {
            true => 0,
            false => self.division.cold(cold.max_rate, server),
        }
    }

    /// Tells whether a cold server max_rate one more attempt of this home now.
    fn allows_cold_attempt(&self, id: BackendServerId, server: &Server, now: Time) -> bool {
        let Some(warm_up) = &server.warm_up else {
            return true;
        };
        warm_up.is_open(self.cold_share(id, warm_up.limit()), now)
    }

    /// Another start is at the address of a server: everything learned of the earlier one is
    /// forgotten, and it is ramped up as a new one. Only the attempts that are outstanding stay.
    pub fn replaced(&mut self, server: BackendServerId, now: Time) {
        if let Some(state) = self.servers.get_mut(&server) {
            *state = state.restarted();
        }
        let queued = self.queued(server);
        let cold = self.cold.get(&server).copied();
        if let (Some(state), Some(cold)) = (self.servers.get_mut(&server), cold) {
            state.warm_up = Some(WarmUp::in_use(cold, queued, now));
        }
        self.leaving.remove(server);
        let at_server = |record: &&mut Attempt| record.server == server;
        for record in self.attempts.values_mut().filter(at_server) {
            record.stale = true;
        }
    }

    /// Takes over from the pool whether a server can be reached.
    pub fn set_reachable(&mut self, server: BackendServerId, reachable: bool, _now: Time) {
        if let Some(state) = self.servers.get_mut(&server) {
            // What was down may come back cold, and all homes come back to it at the same time.
            if reachable && !state.reachable {
                state.ramp = Some(Ramp::cold());
            }
            state.reachable = reachable;
        }
    }

    /// Chooses a server among `candidates` that is not in `tried` and serves `version`, if one is
    /// given. Returns `None` if none can take work now.
    pub fn choose(
        &mut self,
        candidates: &[BackendServerId],
        tried: &[BackendServerId],
        version: Option<IndexVersion>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        self.choose_with(candidates, tried, version, Repeat::Possible, now, rng)
    }

    /// Chooses a server as [`Self::choose`] does, for an attempt on which more or less depends.
    pub fn choose_with(
        &mut self,
        candidates: &[BackendServerId],
        tried: &[BackendServerId],
        version: Option<IndexVersion>,
        repeat: Repeat,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let open = self.open_candidates(candidates, tried, version, now);
        let scores = match self.policy.random_replica {
            true => smallvec![0.0; open.len()],
            false => self.scores(&open, repeat, now),
        };
        let index = choice::index_of_least(&scores, rng)?;
        let server = open[index];
        Some(Choice {
            server,
            why: self.explain(server, &scores, index, now),
        })
    }

    /// Returns the time after which an attempt at `server` is slower than the given quantile.
    pub fn hedge_delay(&self, server: BackendServerId, quantile: f64, _now: Time) -> Duration {
        self.clamp_hedge_delay(self.quantile(server, quantile))
    }

    /// Returns the time after which an attempt at `server` that asks for this kind of work is slower
    /// than the given quantile of such attempts.
    ///
    /// Where short and long requests share servers, the latency of all together hedges the short ones
    /// after the long ones' time: suggestions that had to be there in 80 ms and take 9 were hedged after
    /// 60, and 0.72 of their worth was earned in place of 0.81 (89 hosts, 36 shards, a calm day, one run).
    pub fn hedge_delay_of(
        &self,
        work: Work,
        server: BackendServerId,
        quantile: f64,
        now: Time,
    ) -> Duration {
        let baseline = self.latency_by_work.get(&work);
        let Some(baseline) = baseline.and_then(|latency| latency.quantile(quantile)) else {
            return self.hedge_delay(server, quantile, now);
        };
        self.clamp_hedge_delay(baseline.mul_f64(self.relative_latency(server)))
    }

    /// Returns the time that attempts for this kind of work usually take, where it is known.
    pub fn median_latency(&self, work: Work) -> Option<Duration> {
        self.latency_by_work.get(&work)?.quantile(0.5)
    }

    fn clamp_hedge_delay(&self, quantile: Duration) -> Duration {
        if let Some(fixed) = self.policy.hedge_after {
            return fixed;
        }
        let at_most = self
            .deadline
            .mul_f64(MAX_HEDGE_DELAY_SHARE)
            .max(MIN_HEDGE_DELAY);
        quantile.clamp(MIN_HEDGE_DELAY, at_most)
    }

    /// Returns how long attempts usually take in a server's group, relative to all groups.
    fn relative_latency(&self, server: BackendServerId) -> f64 {
        let Some(state) = self.servers.get(&server) else {
            return 1.0;
        };
        let of_group = self.groups[state.group].latency.quantile(0.5);
        match (of_group, self.latency.quantile(0.5)) {
            (Some(of_group), Some(of_all)) => (of_group.as_secs_f64() / of_all.as_secs_f64())
                .clamp(MAX_RELATIVE_LATENCY.recip(), MAX_RELATIVE_LATENCY),
            _ => 1.0,
        }
    }

    /// Returns the time after which an attempt at `server` is suspiciously silent.
    pub fn silence_timeout(&self, server: BackendServerId, _now: Time) -> Duration {
        let baseline = self.quantile(server, SILENCE_QUANTILE);
        let recent = self
            .servers
            .get(&server)
            .and_then(|state| state.recent_latency);
        let recent = recent.map_or(0.0, |(mean, _)| mean * SILENCE_MEAN_FACTOR);
        baseline
            .mul_f64(SILENCE_QUANTILE_FACTOR)
            .max(Duration::from_secs_f64(recent))
            .max(MIN_SILENCE_TIMEOUT)
    }

    /// Tells whether a server is leaving.
    pub fn is_leaving(&self, server: BackendServerId) -> bool {
        self.leaving.contains(server)
    }

    /// Returns the start number of a server, as far as known.
    pub fn start(&self, server: BackendServerId) -> Option<Incarnation> {
        self.servers.get(&server)?.start
    }

    /// Returns the index versions that a server serves, in order; empty where it did not say.
    pub fn versions(&self, server: BackendServerId) -> &[IndexVersion] {
        self.servers
            .get(&server)
            .map_or(&[], |state| state.versions.as_slice())
    }

    /// Returns how many own attempts are outstanding.
    pub fn outstanding(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the own attempts that a server may have at once.
    pub(super) fn share(&self) -> usize {
        self.division.connections(self.capacity.connections)
    }

    pub(super) fn slots(&self) -> f64 {
        f64::from(self.capacity.slots.max(1))
    }

    /// Tells whether a server can take an attempt now.
    pub(super) fn is_open(&self, server: BackendServerId, now: Time) -> bool {
        let Some(state) = self.servers.get(&server) else {
            return false;
        };
        let allows_cold_attempt = self.allows_cold_attempt(server, state, now);
        !self.is_leaving(server) && allows_cold_attempt && state.is_open(self.share(), now)
    }

    /// Returns what is usual in a group.
    pub(super) fn baseline(&self, group: usize) -> Baseline {
        let state = &self.groups[group];
        if let Some(baseline) = state.baseline.get() {
            return baseline;
        }
        let baseline = self.compute_baseline(group);
        // Otherwise it would miss what is measured elsewhere: all groups stand in for one of which
        // little is known, and a shared server is measured in the last of its groups.
        if state.latency.has_enough_samples() && !state.is_shared {
            state.baseline.set(Some(baseline));
        }
        baseline
    }

    fn compute_baseline(&self, group: usize) -> Baseline {
        let members = self.groups[group].servers.iter();
        let service_times: Vec<Duration> = members
            .filter_map(|server| self.servers.get(server)?.service_time())
            .collect();
        let median = self.groups[group]
            .latency
            .quantile(0.5)
            .or_else(|| self.latency.quantile(0.5))
            .unwrap_or_else(|| self.default_latency());
        let service_time = match service_times.len() {
            0 => median,
            count => service_times.iter().sum::<Duration>() / count as u32,
        };
        Baseline {
            service_time,
            median,
            slots: self.slots(),
            interval: Duration::from_secs_f64(self.groups[group].interval),
        }
    }

    pub(super) fn quantile(&self, server: BackendServerId, quantile: f64) -> Duration {
        let Some(state) = self.servers.get(&server) else {
            return self.default_latency();
        };
        let own = state.latency.quantile(quantile);
        let of_group = self.groups[state.group].latency.quantile(quantile);
        match (own, of_group) {
            (Some(own), Some(of_group)) => own.min(of_group.mul_f64(MAX_OWN_QUANTILE_RATIO)),
            (None, Some(of_group)) => of_group,
            (_, None) => self
                .latency
                .quantile(quantile)
                .unwrap_or_else(|| self.default_latency()),
        }
    }

    fn default_latency(&self) -> Duration {
        self.deadline.mul_f64(DEFAULT_LATENCY_SHARE)
    }

    fn open_candidates(
        &self,
        candidates: &[BackendServerId],
        tried: &[BackendServerId],
        version: Option<IndexVersion>,
        now: Time,
    ) -> SmallVec<[BackendServerId; INLINE_REPLICAS]> {
        let serves = |server| {
            let state = self.servers.get(server);
            state.is_some_and(|state| state.serves(version))
        };
        candidates
            .iter()
            .filter(|server| !tried.contains(server))
            .filter(|server| serves(server) && self.is_open(**server, now))
            .copied()
            .collect()
    }

    fn scores(
        &self,
        servers: &[BackendServerId],
        repeat: Repeat,
        now: Time,
    ) -> SmallVec<[f64; INLINE_REPLICAS]> {
        servers
            .iter()
            .map(|server| {
                let state = &self.servers[server];
                choice::score(state, self.baseline(state.group), repeat, now)
            })
            .collect()
    }

    fn explain(&self, server: BackendServerId, scores: &[f64], index: usize, now: Time) -> Least {
        let state = &self.servers[&server];
        let others = choice::excess_load(state, self.baseline(state.group), now);
        Least {
            score: scores[index],
            open: scores.len(),
            own: state.outstanding,
            others,
        }
    }

    /// Takes over the groups; servers that are new start with `ramp`.
    fn apply_route(&mut self, route: &Route, ramp: Option<Ramp>, now: Time) {
        self.servers
            .values_mut()
            .for_each(|server| server.configured = false);
        let mut groups: Vec<Group> = Vec::with_capacity(route.groups.len());
        for (index, group) in route.groups.iter().enumerate() {
            for id in &group.backend_servers {
                let warm_up = self.cold.get(id).copied().map(WarmUp::new);
                let new = || Server::new(index, ramp).with_warm_up(warm_up);
                let server = self.servers.entry(*id).or_insert_with(new);
                server.group = index;
                server.configured = true;
            }
            groups.push(Group {
                servers: group.backend_servers.clone(),
                latency: self.inherited_latency(&group.backend_servers),
                baseline: Cell::new(None),
                is_shared: false,
                interval: 0.0,
                last_sent: None,
            });
        }
        for (index, group) in groups.iter_mut().enumerate() {
            let is_in_other_group = |id: &BackendServerId| self.servers[id].group != index;
            group.is_shared = group.servers.iter().any(is_in_other_group);
        }
        self.groups = groups;
        self.drop_removed();
        let servers = &self.servers;
        self.leaving
            .retain(now, |server| servers.contains_key(&server));
    }

    /// Returns the latency of the group, before the change, of the first server that was in one.
    fn inherited_latency(&self, servers: &[BackendServerId]) -> Latency {
        let overlaps = |group: &&Group| servers.iter().any(|id| group.servers.contains(id));
        let old = self.groups.iter().find(overlaps);
        old.map_or_else(Latency::new, |group| group.latency.clone())
    }

    /// Drops removed servers that have nothing outstanding any more.
    pub(super) fn drop_removed(&mut self) {
        self.servers
            .retain(|_, server| server.configured || server.outstanding > 0);
        // A removed server that still works belongs to no group; its old index may be out of range.
        let last = self.groups.len().saturating_sub(1);
        for server in self.servers.values_mut() {
            server.group = server.group.min(last);
        }
    }
}
