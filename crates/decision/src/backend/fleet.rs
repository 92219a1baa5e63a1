//! All backend servers of one route as seen by one home.

use super::baseline::Baseline;
use super::choice::{self, Choice, Repeat};
use super::cold::{ColdLimit, Ledger, WarmUp};
use super::latency::Latency;
use super::leaving::LeavingServers;
use super::ramp::Ramp;
use super::server::Server;
use super::service_time::ServiceTimes;
use crate::attempt::AttemptId;
use crate::placement::{Division, Homes};
use crate::policy::Policy;
use crate::rationale::LeastLoaded;
use crate::{Time, WorkKind};
use monsoonring_configuration::document::{Capacity, Route};
use monsoonring_configuration::id::{BackendServerId, Incarnation, IndexVersion};
use rand::Rng;
use rustc_hash::FxHashMap;
use smallvec::{SmallVec, smallvec};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Bounds of the hedge delay; the upper one is a share of the request deadline.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);
const MAX_HEDGE_DELAY_SHARE: f64 = 0.5;

/// Latency to assume without measurements, as a share of the request deadline.
const DEFAULT_LATENCY_SHARE: f64 = 0.25;

/// Cap on a server's own latency quantile, as a multiple of its group's. Without it, attempts at a
/// consistently slow replica would be hedged late, although the other replicas answer long before.
const MAX_OWN_QUANTILE_RATIO: f64 = 2.0;

/// Bound on the ratio of a group's median latency to the route's, and on its inverse. A slower
/// group is overloaded or faulty, and hedge delays that follow its latency further would only delay
/// the hedges that it needs.
const MAX_RELATIVE_LATENCY: f64 = 1.5;

/// Maximum number of work kinds with their own latency histogram.
pub(super) const MAX_WORK_KINDS: usize = 32;

/// Silence timeout: a multiple of a high latency quantile, with a lower bound.
const SILENCE_QUANTILE: f64 = 0.99;
const SILENCE_QUANTILE_FACTOR: f64 = 2.0;
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(10);

/// Lower bound of the silence timeout as a multiple of the server's recent mean latency, so that a
/// server that has just become slow doesn't count as silent.
const SILENCE_MEAN_FACTOR: f64 = 6.0;

/// Weight of a new interval between two attempts in the moving average, and the cap on one
/// interval, which keeps an idle period from dominating the average.
const INTERVAL_GAIN: f64 = 0.1;
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// Replicas of a group for which the temporary lists need no heap allocation.
const INLINE_REPLICAS: usize = 4;

/// All backend servers of one route as seen by one home.
pub struct Fleet {
    pub(super) servers: FxHashMap<BackendServerId, Server>,
    pub(super) groups: Vec<Group>,
    pub(super) latency: Latency,
    /// Latency by kind of work, over all servers.
    pub(super) latency_by_work: FxHashMap<WorkKind, Latency>,
    pub(super) service_times: ServiceTimes,
    pub(super) attempts: FxHashMap<AttemptId, Attempt>,
    pub(super) leaving: LeavingServers,
    /// Rate limits of all cold servers, including those of other routes.
    cold: BTreeMap<BackendServerId, ColdLimit>,
    /// Attempts that the homes of the process send to cold servers.
    ledger: Ledger,
    pub(super) capacity: Capacity,
    pub(super) division: Division,
    pub(super) deadline: Duration,
    pub(super) policy: Policy,
}

/// The replicas of one shard.
pub(super) struct Group {
    pub(super) servers: Vec<BackendServerId>,
    pub(super) latency: Latency,
    /// Cached baseline, cleared when an attempt in the group is measured. It is read many times per
    /// attempt.
    pub(super) baseline: Cell<Option<Baseline>>,
    /// Whether a server of this group is accounted under another group.
    pub(super) is_shared: bool,
    /// Moving average of the time between two attempts, in seconds.
    pub(super) interval: f64,
    /// Time of the last attempt.
    pub(super) last_sent: Option<Time>,
}

impl Group {
    /// Updates the mean interval between attempts.
    pub(super) fn record_sent(&mut self, now: Time) {
        if let Some(last) = self.last_sent.replace(now) {
            let interval = now.saturating_sub(last).min(MAX_INTERVAL).as_secs_f64();
            self.interval += INTERVAL_GAIN * (interval - self.interval);
        }
    }
}

/// An outstanding attempt.
pub(super) struct Attempt {
    pub(super) server: BackendServerId,
    /// Time at which the server was chosen; the attempt may still wait for a connection.
    pub(super) sent: Time,
    pub(super) work: WorkKind,
    /// Time at which cancellation began.
    pub(super) cancelled: Option<Time>,
    /// Whether the attempt has exceeded the silence timeout.
    pub(super) overdue: bool,
    /// Whether the attempt was written to a connection.
    pub(super) is_transmitted: bool,
    /// Whether the server's process was replaced after the attempt was sent; its outcome then says
    /// nothing about the new process.
    pub(super) stale: bool,
    /// Load from other homes that the server had last reported when the attempt was sent.
    pub(super) reported_others: Option<f64>,
    /// Estimated load from all homes at the server when the attempt was sent.
    pub(super) load: f64,
}

impl Fleet {
    /// Creates the fleet of a route at a home with the given share of each server.
    pub fn new(route: &Route, division: impl Into<Division>, now: Time) -> Self {
        let mut fleet = Self {
            servers: FxHashMap::default(),
            groups: Vec::new(),
            latency: Latency::new(),
            latency_by_work: FxHashMap::default(),
            service_times: ServiceTimes::default(),
            attempts: FxHashMap::default(),
            leaving: LeavingServers::default(),
            cold: BTreeMap::new(),
            ledger: Ledger::default(),
            capacity: route.capacity,
            division: division.into(),
            deadline: Duration::from_millis(route.deadline_ms),
            policy: Policy::default(),
        };
        // The home is new, not the servers: they need no ramp.
        fleet.apply_route(route, None, now);
        fleet
    }

    /// Applies a new configuration. Servers that stay keep their state, removed ones get no new
    /// attempts, and new ones start with a ramp.
    pub fn reconfigure(&mut self, route: &Route, now: Time) {
        self.capacity = route.capacity;
        self.deadline = Duration::from_millis(route.deadline_ms);
        self.apply_route(route, Some(Ramp::cold()), now);
    }

    /// Sets the policy, which can replace decisions by simpler ones for comparison.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Sets the homes of the route.
    pub fn set_homes(&mut self, homes: impl Into<Homes>, _now: Time) {
        self.division = self.division.with_homes(homes);
    }

    /// Shares a ledger of attempts to cold servers. Call before any server is known to be cold.
    pub fn share_ledger(&mut self, ledger: Ledger) {
        self.ledger = ledger;
    }

    /// Sets which servers are in other data centres.
    pub fn set_remote(&mut self, remote: &BTreeSet<BackendServerId>) {
        for (id, server) in &mut self.servers {
            server.remote = remote.contains(id);
        }
    }

    /// Replaces the rate limits of cold servers.
    pub fn set_cold(&mut self, cold: &BTreeMap<BackendServerId, ColdLimit>, now: Time) {
        self.cold.clone_from(cold);
        for (&server, &limit) in cold {
            let queued = self.queued(server);
            if let Some(state) = self.servers.get_mut(&server) {
                match &mut state.warm_up {
                    Some(warm_up) if !warm_up.is_over(now) => warm_up.set_limit(limit),
                    warm_up => {
                        let ledger = self.ledger.clone();
                        *warm_up = Some(WarmUp::in_use(server, limit, ledger, queued, now));
                    }
                }
            }
        }
        for (id, server) in &mut self.servers {
            server.warm_up.take_if(|_| !cold.contains_key(id));
        }
    }

    /// Returns whether a server's request rate is limited because it is cold.
    pub fn is_cold(&self, server: BackendServerId) -> bool {
        let state = self.servers.get(&server);
        state.is_some_and(|state| state.warm_up.is_some())
    }

    /// Returns the end of a server's cold period if this home has no quota for it, else `None`.
    pub fn excluded_until(&self, server: BackendServerId, now: Time) -> Option<Time> {
        let warm_up = self.servers.get(&server)?.warm_up.as_ref()?;
        let is_excluded = !warm_up.is_over(now) && self.cold_quota(server, warm_up.limit()) == 0;
        is_excluded.then(|| warm_up.limit().until)
    }

    /// Returns the number of attempts that wait for a connection to a server.
    fn queued(&self, server: BackendServerId) -> usize {
        let is_queued = |record: &&Attempt| record.server == server && !record.is_transmitted;
        self.attempts.values().filter(is_queued).count()
    }

    /// Returns how many attempts per second this home may send to a cold server.
    fn cold_quota(&self, server: BackendServerId, limit: ColdLimit) -> usize {
        let is_remote = self.servers.get(&server).is_none_or(|state| state.remote);
        match is_remote {
            true => 0,
            false => self.division.cold_quota(limit.max_rate, server),
        }
    }

    /// Returns whether the cold-server quota allows another attempt; always true for a warm server.
    fn allows_cold_attempt(&self, id: BackendServerId, server: &Server, now: Time) -> bool {
        let Some(warm_up) = &server.warm_up else {
            return true;
        };
        warm_up.is_open(self.cold_quota(id, warm_up.limit()), now)
    }

    /// Records that a new process runs at the address of a server. Its state is reset and it starts
    /// with a ramp; only the outstanding attempts are kept.
    pub fn replaced(&mut self, server: BackendServerId, now: Time) {
        if let Some(state) = self.servers.get_mut(&server) {
            *state = state.restarted();
        }
        let queued = self.queued(server);
        let limit = self.cold.get(&server).copied();
        if let (Some(state), Some(limit)) = (self.servers.get_mut(&server), limit) {
            let ledger = self.ledger.clone();
            state.warm_up = Some(WarmUp::in_use(server, limit, ledger, queued, now));
        }
        self.leaving.remove(server);
        let at_server = |record: &&mut Attempt| record.server == server;
        for record in self.attempts.values_mut().filter(at_server) {
            record.stale = true;
        }
    }

    /// Sets whether a server can be reached, as reported by the pool.
    pub fn set_reachable(&mut self, server: BackendServerId, reachable: bool, _now: Time) {
        if let Some(state) = self.servers.get_mut(&server) {
            // The server may come back cold, and all homes return to it simultaneously.
            if reachable && !state.reachable {
                state.ramp = Some(Ramp::cold());
            }
            state.reachable = reachable;
        }
    }

    /// Chooses a server among `candidates` that is not in `tried` and serves `version`, if given.
    /// Returns `None` if no candidate can take an attempt now.
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

    /// Chooses a server like [`Self::choose`], given whether the request may be sent again.
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
            rationale: self.explain(server, &scores, index, now),
        })
    }

    /// Returns the hedge delay of an attempt at `server`: a latency quantile within the bounds.
    pub fn hedge_delay(&self, server: BackendServerId, quantile: f64, _now: Time) -> Duration {
        self.clamp_hedge_delay(self.quantile(server, quantile))
    }

    /// Returns the hedge delay of an attempt at `server` for this kind of work.
    ///
    /// Uses the latency of the same kind of work at all servers, scaled by the latency of the
    /// server's group relative to the whole route. Kinds of work with too few measurements use the
    /// server's own latency.
    pub fn hedge_delay_of(
        &self,
        work: WorkKind,
        server: BackendServerId,
        quantile: f64,
        now: Time,
    ) -> Duration {
        let work_latency = self.latency_by_work.get(&work);
        let Some(work_quantile) = work_latency.and_then(|latency| latency.quantile(quantile))
        else {
            return self.hedge_delay(server, quantile, now);
        };
        self.clamp_hedge_delay(work_quantile.mul_f64(self.relative_latency(server)))
    }

    /// Returns the median latency of a kind of work, or `None` with too few measurements.
    pub fn median_latency(&self, work: WorkKind) -> Option<Duration> {
        self.latency_of(work, 0.5)
    }

    /// Returns a latency quantile of a kind of work, or `None` with too few measurements.
    pub fn latency_of(&self, work: WorkKind, quantile: f64) -> Option<Duration> {
        self.latency_by_work.get(&work)?.quantile(quantile)
    }

    /// Returns the shortest plausible service time of a kind of work, zero if none is known.
    pub fn service_time_of(&self, work: WorkKind) -> Duration {
        self.service_times.get(work)
    }

    /// Returns the number of homes that send as much to the servers as this one, itself included.
    pub fn similar_homes(&self) -> f64 {
        self.division.similar_homes()
    }

    fn clamp_hedge_delay(&self, quantile: Duration) -> Duration {
        if let Some(fixed) = self.policy.hedge_after {
            return fixed;
        }
        let max_delay = self
            .deadline
            .mul_f64(MAX_HEDGE_DELAY_SHARE)
            .max(MIN_HEDGE_DELAY);
        quantile.clamp(MIN_HEDGE_DELAY, max_delay)
    }

    /// Returns the median latency of a server's group relative to the whole route.
    fn relative_latency(&self, server: BackendServerId) -> f64 {
        let Some(state) = self.servers.get(&server) else {
            return 1.0;
        };
        let of_group = self.groups[state.group].latency.quantile(0.5);
        match (of_group, self.latency.quantile(0.5)) {
            (Some(of_group), Some(of_route)) => (of_group.as_secs_f64() / of_route.as_secs_f64())
                .clamp(MAX_RELATIVE_LATENCY.recip(), MAX_RELATIVE_LATENCY),
            _ => 1.0,
        }
    }

    /// Returns the time after which an unanswered attempt at `server` is overdue.
    pub fn silence_timeout(&self, server: BackendServerId, _now: Time) -> Duration {
        let quantile = self.quantile(server, SILENCE_QUANTILE);
        let recent = self
            .servers
            .get(&server)
            .and_then(|state| state.recent_latency);
        let recent = recent.map_or(0.0, |(mean, _)| mean * SILENCE_MEAN_FACTOR);
        quantile
            .mul_f64(SILENCE_QUANTILE_FACTOR)
            .max(Duration::from_secs_f64(recent))
            .max(MIN_SILENCE_TIMEOUT)
    }

    /// Returns whether a server is leaving.
    pub fn is_leaving(&self, server: BackendServerId) -> bool {
        self.leaving.contains(server)
    }

    /// Returns the incarnation of a server's process, if known.
    pub fn start(&self, server: BackendServerId) -> Option<Incarnation> {
        self.servers.get(&server)?.start
    }

    /// Returns the index versions that a server serves, in ascending order; empty if unknown.
    pub fn versions(&self, server: BackendServerId) -> &[IndexVersion] {
        self.servers
            .get(&server)
            .map_or(&[], |state| state.versions.as_slice())
    }

    /// Returns the number of outstanding attempts of this home.
    pub fn outstanding(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the maximum number of outstanding attempts of this home per server.
    pub(super) fn share(&self) -> usize {
        self.division.connections(self.capacity.connections)
    }

    pub(super) fn slots(&self) -> f64 {
        f64::from(self.capacity.slots.max(1))
    }

    /// Returns whether a server can take an attempt now.
    pub(super) fn is_open(&self, server: BackendServerId, now: Time) -> bool {
        let Some(state) = self.servers.get(&server) else {
            return false;
        };
        let allows_cold_attempt = self.allows_cold_attempt(server, state, now);
        !self.is_leaving(server) && allows_cold_attempt && state.is_open(self.share(), now)
    }

    /// Returns the baseline of a group.
    pub(super) fn baseline(&self, group: usize) -> Baseline {
        let state = &self.groups[group];
        if let Some(baseline) = state.baseline.get() {
            return baseline;
        }
        let baseline = self.compute_baseline(group);
        // Don't cache a baseline that depends on attempts outside the group: one with few
        // measurements falls back to the whole route, and a shared server is measured in the last
        // of its groups.
        if state.latency.has_enough_samples() && !state.is_shared {
            state.baseline.set(Some(baseline));
        }
        baseline
    }

    fn compute_baseline(&self, group: usize) -> Baseline {
        let servers = self.groups[group].servers.iter();
        let service_times: Vec<Duration> = servers
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

    fn explain(
        &self,
        server: BackendServerId,
        scores: &[f64],
        index: usize,
        now: Time,
    ) -> LeastLoaded {
        let state = &self.servers[&server];
        let others = choice::excess_load(state, self.baseline(state.group), now);
        LeastLoaded {
            score: scores[index],
            open: scores.len(),
            own: state.outstanding,
            others,
        }
    }

    /// Applies the groups of a route; new servers start with `ramp`.
    fn apply_route(&mut self, route: &Route, ramp: Option<Ramp>, now: Time) {
        self.servers
            .values_mut()
            .for_each(|server| server.configured = false);
        let mut groups: Vec<Group> = Vec::with_capacity(route.groups.len());
        for (index, group) in route.groups.iter().enumerate() {
            for id in &group.backend_servers {
                let limit = self.cold.get(id).copied();
                let warm_up = limit.map(|limit| WarmUp::new(*id, limit, self.ledger.clone()));
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

    /// Returns the latency of the first previous group that shares a server with `servers`.
    fn inherited_latency(&self, servers: &[BackendServerId]) -> Latency {
        let overlaps = |group: &&Group| servers.iter().any(|id| group.servers.contains(id));
        let old = self.groups.iter().find(overlaps);
        old.map_or_else(Latency::new, |group| group.latency.clone())
    }

    /// Drops removed servers without outstanding attempts.
    pub(super) fn drop_removed(&mut self) {
        self.servers
            .retain(|_, server| server.configured || server.outstanding > 0);
        // A removed server with outstanding attempts belongs to no group: keep its index in range.
        let last = self.groups.len().saturating_sub(1);
        for server in self.servers.values_mut() {
            server.group = server.group.min(last);
        }
    }
}
