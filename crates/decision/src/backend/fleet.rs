//! All backend servers of one route at one home.

use super::choice::{self, Choice, Repeat};
use super::cold::{ColdLimit, Warming};
use super::latency::Latency;
use super::leaving::Marks;
use super::ramp::Ramp;
use super::server::Server;
use super::usual::Usual;
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

/// Bounds of the time after which an attempt is hedged.
const HEDGE_AT_LEAST: Duration = Duration::from_millis(1);
const HEDGE_AT_MOST: f64 = 0.5;

/// Share of the deadline that stands in for a latency that nothing is known of.
const UNKNOWN_LATENCY: f64 = 0.25;

/// A server's own quantile counts up to this multiple of its group's. A replica that is always
/// slow would otherwise be hedged late, by its own standard, although the others answer long
/// before: seen as a tail that hedging does not cut.
const OWN_QUANTILE_AT_MOST: f64 = 2.0;

/// Bound of the factor by which a group may be slower or faster than all: beyond it the group is in
/// trouble, and waiting longer for it would only hide that.
const RELATIVE_AT_MOST: f64 = 1.5;

/// Kinds of work whose latencies are kept apart; beyond them, those of all together stand in.
pub(super) const WORKS_AT_MOST: usize = 32;

/// Silence that is out of the ordinary: a multiple of a high quantile.
const PATIENCE_QUANTILE: f64 = 0.99;
const PATIENCE_FACTOR: f64 = 2.0;
const PATIENCE_AT_LEAST: Duration = Duration::from_millis(10);

/// Multiple of a server's recent mean latency that is waited in any case: one that has just become
/// slow is not silent.
const PATIENCE_IN_MEANS: f64 = 6.0;

/// Weight of a new time between two attempts in the mean, and what one counts at most: a quiet night says
/// nothing of the morning.
const INTERVAL_GAIN: f64 = 0.1;
const INTERVAL_AT_MOST: Duration = Duration::from_secs(1);

/// Replicas that a group usually has at most; more of them take an allocation.
const FEW: usize = 4;

/// All backend servers of one route at one home.
pub struct Fleet {
    pub(super) servers: FxHashMap<BackendServerId, Server>,
    pub(super) groups: Vec<Group>,
    pub(super) latency: Latency,
    /// By kind of work: how long attempts take, at all servers together.
    pub(super) works: FxHashMap<WorkKind, Latency>,
    pub(super) attempts: FxHashMap<AttemptId, Attempt>,
    pub(super) marks: Marks,
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
    pub(super) usual: Cell<Option<Usual>>,
    /// Whether a server counts as one of another group.
    pub(super) is_shared: bool,
    /// Mean time between two attempts, in seconds, and when the last one left.
    pub(super) interval: f64,
    pub(super) sent: Option<Time>,
}

impl Group {
    /// Records that an attempt leaves.
    pub(super) fn note_sent(&mut self, now: Time) {
        if let Some(last) = self.sent.replace(now) {
            let interval = now.saturating_sub(last).min(INTERVAL_AT_MOST).as_secs_f64();
            self.interval += INTERVAL_GAIN * (interval - self.interval);
        }
    }
}

/// An attempt that is outstanding.
pub(super) struct Attempt {
    pub(super) server: BackendServerId,
    pub(super) sent: Time,
    pub(super) work: WorkKind,
    /// Time from which on it is being cancelled.
    pub(super) cancelled: Option<Time>,
    /// Whether it takes far longer than its server usually does.
    pub(super) overdue: bool,
    /// Whether it has left for its server.
    pub(super) has_left: bool,
    /// Whether another start has come to its server's address since it left: how it ends says nothing
    /// of that one.
    pub(super) earlier: bool,
    /// What was reported of the others' load when it left.
    pub(super) reported: Option<f64>,
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
            works: FxHashMap::default(),
            attempts: FxHashMap::default(),
            marks: Marks::default(),
            cold: BTreeMap::new(),
            capacity: route.capacity,
            division: division.into(),
            deadline: Duration::from_millis(route.deadline_ms),
            policy: Policy::default(),
        };
        // It is this home that is new and not the servers: no ramp.
        fleet.adopt(route, None, now);
        fleet
    }

    /// Takes over a new configuration. Servers that stay keep their state; removed ones get no new
    /// work; new ones are ramped up.
    pub fn reconfigure(&mut self, route: &Route, now: Time) {
        self.capacity = route.capacity;
        self.deadline = Duration::from_millis(route.deadline_ms);
        self.adopt(route, Some(Ramp::cold()), now);
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
                match &mut state.warming {
                    Some(warming) if !warming.is_over(now) => warming.set(cold),
                    other => *other = Some(Warming::in_use(cold, queued, now)),
                }
            }
        }
        for (id, server) in &mut self.servers {
            server.warming.take_if(|_| !cold.contains_key(id));
        }
    }

    /// Tells whether what is sent to a server in a second is bounded.
    pub fn is_cold(&self, server: BackendServerId) -> bool {
        let state = self.servers.get(&server);
        state.is_some_and(|state| state.warming.is_some())
    }

    /// Returns until when a server is cold and max_rate nothing of this home.
    pub fn excluded_until(&self, server: BackendServerId, now: Time) -> Option<Time> {
        let warming = self.servers.get(&server)?.warming.as_ref()?;
        let is_shut = !warming.is_over(now) && self.cold_share(server, warming.cold()) == 0;
        is_shut.then(|| warming.cold().until)
    }

    /// Returns the attempts at a server that have not left.
    fn queued(&self, server: BackendServerId) -> usize {
        let waits = |record: &&Attempt| record.server == server && !record.has_left;
        self.attempts.values().filter(waits).count()
    }

    /// Returns how many attempts this home may send to a cold server in a second.
    fn cold_share(&self, server: BackendServerId, cold: ColdLimit) -> usize {
        let is_far = self.servers.get(&server).is_none_or(|state| state.far);
        match is_far {
            true => 0,
            false => self.division.cold_quota(cold.max_rate, server),
        }
    }

    /// Tells whether a cold server max_rate one more attempt of this home now.
    fn bears_one(&self, id: BackendServerId, server: &Server, now: Time) -> bool {
        let Some(warming) = &server.warming else {
            return true;
        };
        warming.is_open(self.cold_share(id, warming.cold()), now)
    }

    /// Another start is at the address of a server: everything learned of the earlier one is
    /// forgotten, and it is ramped up as a new one. Only the attempts that are outstanding stay.
    pub fn replaced(&mut self, server: BackendServerId, now: Time) {
        if let Some(state) = self.servers.get_mut(&server) {
            *state = state.replaced();
        }
        let queued = self.queued(server);
        let cold = self.cold.get(&server).copied();
        if let (Some(state), Some(cold)) = (self.servers.get_mut(&server), cold) {
            state.warming = Some(Warming::in_use(cold, queued, now));
        }
        self.marks.forget(server);
        let of_server = |record: &&mut Attempt| record.server == server;
        for record in self.attempts.values_mut().filter(of_server) {
            record.earlier = true;
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
        let open = self.open(candidates, tried, version, now);
        let scores = match self.policy.random_replica {
            true => smallvec![0.0; open.len()],
            false => self.scores(&open, repeat, now),
        };
        let index = choice::least(&scores, rng)?;
        let server = open[index];
        Some(Choice {
            server,
            why: self.why(server, &scores, index, now),
        })
    }

    /// Returns the time after which an attempt at `server` is slower than the given quantile.
    pub fn hedge_delay(&self, server: BackendServerId, quantile: f64, _now: Time) -> Duration {
        self.hedge_after(self.quantile(server, quantile))
    }

    /// Returns the time after which an attempt at `server` that asks for this kind of work is slower
    /// than the given quantile of such attempts.
    ///
    /// Where short and long requests share servers, the latency of all together hedges the short ones
    /// after the long ones' time: suggestions that had to be there in 80 ms and take 9 were hedged after
    /// 60, and 0.72 of their worth was earned in place of 0.81 (89 hosts, 36 shards, a calm day, one run).
    pub fn hedge_delay_of(
        &self,
        work: WorkKind,
        server: BackendServerId,
        quantile: f64,
        now: Time,
    ) -> Duration {
        let usual = self.works.get(&work);
        let Some(usual) = usual.and_then(|latency| latency.quantile(quantile)) else {
            return self.hedge_delay(server, quantile, now);
        };
        self.hedge_after(usual.mul_f64(self.relative(server)))
    }

    /// Returns the time that attempts for this kind of work usually take, where it is known.
    pub fn median_latency(&self, work: WorkKind) -> Option<Duration> {
        self.works.get(&work)?.quantile(0.5)
    }

    fn hedge_after(&self, quantile: Duration) -> Duration {
        if let Some(fixed) = self.policy.hedge_after {
            return fixed;
        }
        let at_most = self.deadline.mul_f64(HEDGE_AT_MOST).max(HEDGE_AT_LEAST);
        quantile.clamp(HEDGE_AT_LEAST, at_most)
    }

    /// Returns how long attempts usually take in a server's group, relative to all groups.
    fn relative(&self, server: BackendServerId) -> f64 {
        let Some(state) = self.servers.get(&server) else {
            return 1.0;
        };
        let of_group = self.groups[state.group].latency.quantile(0.5);
        match (of_group, self.latency.quantile(0.5)) {
            (Some(of_group), Some(of_all)) => (of_group.as_secs_f64() / of_all.as_secs_f64())
                .clamp(RELATIVE_AT_MOST.recip(), RELATIVE_AT_MOST),
            _ => 1.0,
        }
    }

    /// Returns the time after which an attempt at `server` is suspiciously silent.
    pub fn silence_timeout(&self, server: BackendServerId, _now: Time) -> Duration {
        let usual = self.quantile(server, PATIENCE_QUANTILE);
        let recent = self.servers.get(&server).and_then(|state| state.recent);
        let recent = recent.map_or(0.0, |(mean, _)| mean * PATIENCE_IN_MEANS);
        usual
            .mul_f64(PATIENCE_FACTOR)
            .max(Duration::from_secs_f64(recent))
            .max(PATIENCE_AT_LEAST)
    }

    /// Tells whether a server is leaving.
    pub fn is_leaving(&self, server: BackendServerId) -> bool {
        self.marks.contains(server)
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
        let bears_one = self.bears_one(server, state, now);
        !self.is_leaving(server) && bears_one && state.is_open(self.share(), now)
    }

    /// Returns what is usual in a group.
    pub(super) fn usual(&self, group: usize) -> Usual {
        let known = &self.groups[group];
        if let Some(usual) = known.usual.get() {
            return usual;
        }
        let usual = self.find_usual(group);
        // Otherwise it would miss what is measured elsewhere: all groups stand in for one of which
        // little is known, and a shared server is measured in the last of its groups.
        if known.latency.is_known() && !known.is_shared {
            known.usual.set(Some(usual));
        }
        usual
    }

    fn find_usual(&self, group: usize) -> Usual {
        let members = self.groups[group].servers.iter();
        let service_times: Vec<Duration> = members
            .filter_map(|server| self.servers.get(server)?.service_time())
            .collect();
        let median = self.groups[group]
            .latency
            .quantile(0.5)
            .or_else(|| self.latency.quantile(0.5))
            .unwrap_or_else(|| self.unknown_latency());
        let service_time = match service_times.len() {
            0 => median,
            count => service_times.iter().sum::<Duration>() / count as u32,
        };
        Usual {
            service_time,
            median,
            slots: self.slots(),
            interval: Duration::from_secs_f64(self.groups[group].interval),
        }
    }

    pub(super) fn quantile(&self, server: BackendServerId, quantile: f64) -> Duration {
        let Some(state) = self.servers.get(&server) else {
            return self.unknown_latency();
        };
        let own = state.latency.quantile(quantile);
        let of_group = self.groups[state.group].latency.quantile(quantile);
        match (own, of_group) {
            (Some(own), Some(of_group)) => own.min(of_group.mul_f64(OWN_QUANTILE_AT_MOST)),
            (None, Some(of_group)) => of_group,
            (_, None) => self
                .latency
                .quantile(quantile)
                .unwrap_or_else(|| self.unknown_latency()),
        }
    }

    fn unknown_latency(&self) -> Duration {
        self.deadline.mul_f64(UNKNOWN_LATENCY)
    }

    fn open(
        &self,
        candidates: &[BackendServerId],
        tried: &[BackendServerId],
        version: Option<IndexVersion>,
        now: Time,
    ) -> SmallVec<[BackendServerId; FEW]> {
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
    ) -> SmallVec<[f64; FEW]> {
        servers
            .iter()
            .map(|server| {
                let state = &self.servers[server];
                choice::score(state, self.usual(state.group), repeat, now)
            })
            .collect()
    }

    fn why(&self, server: BackendServerId, scores: &[f64], index: usize, now: Time) -> LeastLoaded {
        let state = &self.servers[&server];
        let others = choice::others(state, self.usual(state.group), now);
        LeastLoaded {
            score: scores[index],
            open: scores.len(),
            own: state.outstanding,
            others,
        }
    }

    /// Takes over the groups; servers that are new start with `ramp`.
    fn adopt(&mut self, route: &Route, ramp: Option<Ramp>, now: Time) {
        self.servers
            .values_mut()
            .for_each(|server| server.configured = false);
        let mut groups: Vec<Group> = Vec::with_capacity(route.groups.len());
        for (index, group) in route.groups.iter().enumerate() {
            for id in &group.backend_servers {
                let warming = self.cold.get(id).copied().map(Warming::new);
                let new = || Server::new(index, ramp).warmed_by(warming);
                let server = self.servers.entry(*id).or_insert_with(new);
                server.group = index;
                server.configured = true;
            }
            groups.push(Group {
                servers: group.backend_servers.clone(),
                latency: self.latency_of(&group.backend_servers),
                usual: Cell::new(None),
                is_shared: false,
                interval: 0.0,
                sent: None,
            });
        }
        for (index, group) in groups.iter_mut().enumerate() {
            let elsewhere = |id: &BackendServerId| self.servers[id].group != index;
            group.is_shared = group.servers.iter().any(elsewhere);
        }
        self.groups = groups;
        self.drop_removed();
        let servers = &self.servers;
        self.marks
            .retain(now, |server| servers.contains_key(&server));
    }

    /// Returns the latency of the group, before the change, of the first server that was in one.
    fn latency_of(&self, servers: &[BackendServerId]) -> Latency {
        let of_old = |group: &&Group| servers.iter().any(|id| group.servers.contains(id));
        let old = self.groups.iter().find(of_old);
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
