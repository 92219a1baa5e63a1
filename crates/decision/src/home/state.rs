//! State of a home, and the handling of events.

use super::action::{Action, Decision};
use super::counts::Counts;
use super::event::{Event, Request};
use super::flight;
use super::outage::Outage;
use super::params::Params;
use super::placement::Placement;
use super::shutdown::Shutdown;
use super::timer::{self, Timer};
use crate::admission::overload;
use crate::admission::{Admission, Gate, Overload, RankedRequest, Waits};
use crate::attempt::AttemptId;
use crate::backend::pool::Pool;
use crate::backend::suspect::{Detector, Status};
use crate::backend::{Fleet, GroupLoad, Wait};
use crate::budget::{Budgets, RouteBudgets};
use crate::content::{Content, Json};
use crate::outcome::{Outcome, Reason};
use crate::placement::Allocation;
use crate::policy::Policy;
use crate::query::attempt::NotRunProof;
use crate::query::coverage;
use crate::query::execution::Execution;
use crate::query::pin::Pin;
use crate::query::search::{Search, Waiter};
use crate::rationale::Rationale;
use crate::{Fingerprint, RequestId, Time};
use monsoonring_configuration::document::{Kind, Route};
use monsoonring_configuration::id::{BackendServerId, IndexVersion};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Id of the first connection of a home.
const FIRST_CONNECTION: u64 = 1;

/// Waiters in the order in which they are resumed.
pub(super) type WaitList = BTreeSet<Waiter>;

/// State machine of one home of a route.
pub struct Home<C: Content = Json> {
    pub(super) route: Arc<Route>,
    pub(super) policy: Policy,
    pub(super) rng: ChaCha8Rng,
    pub(super) fleet: Fleet,
    pub(super) pool: Pool,
    pub(super) gate: Gate,
    pub(super) overload: Overload,
    pub(super) suspects: Detector,
    pub(super) budgets: RouteBudgets,
    pub(super) pin: Pin,
    pub(super) placement: Placement,
    pub(super) searches: BTreeMap<RequestId, Search<C>>,
    pub(super) executions: BTreeMap<RequestId, Execution<C>>,
    pub(super) flights: flight::Table,
    /// By group: parts and requests that wait for a free slot at one of its servers.
    pub(super) waiting: BTreeMap<usize, WaitList>,
    /// By quarantined fingerprint: parts and requests that wait for their turn.
    pub(super) quarantined: BTreeMap<Fingerprint, WaitList>,
    /// Groups in which a server may have a free slot again.
    pub(super) groups_with_free_slots: BTreeSet<usize>,
    /// Groups in which a server became usable or unusable: all waiters are resumed.
    pub(super) changed_groups: BTreeSet<usize>,
    /// Fingerprints for which an attempt ended.
    pub(super) freed_fingerprints: BTreeSet<Fingerprint>,
    /// Number of connections to acquire, by server.
    pub(super) pending_acquires: BTreeMap<BackendServerId, usize>,
    /// End of the back-off that each server asked for.
    pub(super) back_offs: BTreeMap<BackendServerId, Time>,
    /// Why each unreachable server is unreachable.
    pub(super) outages: BTreeMap<BackendServerId, Outage>,
    pub(super) timers: timer::Queue,
    /// When the fleet's timer is due.
    pub(super) fleet_wake_at: Option<Time>,
    /// Whether the fleet may need an earlier timer.
    pub(super) fleet_wake_stale: bool,
    pub(super) next_attempt: AttemptId,
    pub(super) stopping: bool,
    /// The shutdown of the daemon, once it has begun.
    pub(super) shutdown: Option<Shutdown>,
    pub(super) counts: Counts,
    pub(super) actions: Vec<Action<C>>,
}

impl<C: Content> Home<C> {
    /// Creates a home, and returns the first actions. `allocation` is the home's share of the
    /// backend servers' connections, and says which servers are remote. `seed` determines every
    /// random choice.
    pub fn new(
        route: Arc<Route>,
        allocation: impl Into<Allocation>,
        seed: u64,
        now: Time,
    ) -> (Self, Vec<Action<C>>) {
        Self::with_policy(route, allocation, seed, Policy::default(), now)
    }

    /// Creates a home as [`Self::new`] does, with some decisions replaced by `policy`.
    pub fn with_policy(
        route: Arc<Route>,
        allocation: impl Into<Allocation>,
        seed: u64,
        policy: Policy,
        now: Time,
    ) -> (Self, Vec<Action<C>>) {
        let Allocation {
            division,
            remote_servers,
            cold,
        } = allocation.into();
        let mut home = Self {
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            fleet: Fleet::new(&route, division, now),
            pool: Pool::new(&route, division, FIRST_CONNECTION, now),
            gate: Gate::new(&route),
            overload: Overload::default(),
            suspects: Detector::with_crash_signal(policy.crash_signal),
            budgets: RouteBudgets::new(&route, &division),
            pin: Pin::default(),
            placement: Placement::new(&route),
            searches: BTreeMap::new(),
            executions: BTreeMap::new(),
            flights: flight::Table::default(),
            waiting: BTreeMap::new(),
            quarantined: BTreeMap::new(),
            groups_with_free_slots: BTreeSet::new(),
            changed_groups: BTreeSet::new(),
            freed_fingerprints: BTreeSet::new(),
            pending_acquires: BTreeMap::new(),
            back_offs: BTreeMap::new(),
            outages: BTreeMap::new(),
            timers: timer::Queue::default(),
            fleet_wake_at: None,
            fleet_wake_stale: true,
            next_attempt: 1,
            stopping: false,
            shutdown: None,
            counts: Counts::default(),
            actions: Vec::new(),
            route,
        };
        home.fleet.set_policy(policy);
        home.fleet.share_ledger(cold);
        home.pool.set_identity(seed);
        home.set_remote(remote_servers);
        let actions = home.finish_event(now);
        (home, actions)
    }

    /// Handles an event at `now` and returns the resulting actions, in the order in which to carry
    /// them out.
    ///
    /// Due timers run first: after a pause of the process, a passed deadline is handled before a
    /// reply that arrived in the meantime.
    pub fn handle(&mut self, event: Event<C>, now: Time) -> Vec<Action<C>> {
        self.run_timers(now);
        self.apply(event, now);
        self.finish_event(now)
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.searches.len() + self.executions.len()
    }

    /// Returns the number of backend servers that get no new work because they are leaving.
    pub fn leaving(&self) -> usize {
        let servers = self.placement.servers().iter();
        servers.filter(|id| self.fleet.is_leaving(**id)).count()
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the version that new searches pin; `None` while no version is known.
    pub fn index_version(&self) -> Option<IndexVersion> {
        self.pin.version()
    }

    /// Returns the state of the route's backend servers.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the number of retries that the group with the smallest budget may send now.
    pub fn retries_left(&mut self, now: Time) -> f64 {
        self.budgets.available(now)
    }

    /// Returns the load of the busiest group of backend servers.
    pub fn busiest_group(&self, now: Time) -> GroupLoad {
        self.fleet.busiest_group(now)
    }

    fn apply(&mut self, event: Event<C>, now: Time) {
        match event {
            Event::Request(request) => self.arrived(request, now),
            Event::Abandoned(id) => self.abandoned(id, now),
            Event::DelegatedReply(id, reply) => self.delegated_reply(id, reply, now),
            Event::DelegationFailed(id, progress) => self.delegation_failed(id, progress, now),
            Event::Opened(connection) => self.opened(connection, now),
            Event::Closed(connection) => self.closed(connection, now),
            Event::ConnectFailed(connection, failure) => {
                self.connect_failed(connection, failure, now)
            }
            Event::Reply(attempt, reply) => self.replied(attempt, reply, now),
            Event::Executed(attempt, value, report) => {
                self.executed(attempt, value, &report, now);
            }
            Event::Failed(attempt, failure) => self.failed(attempt, &failure, now),
            Event::Route(route) => self.apply_route(route, now),
            Event::Replaced(servers) => self.replaced(&servers, now),
            Event::RemoteServers(servers) => self.set_remote(servers),
            Event::Cold(cold) => self.set_cold(&cold, now),
            Event::Homes(homes) => {
                self.fleet.set_homes(homes, now);
                self.pool.set_homes(homes, now);
                self.budgets.set_slack(self.pool.division().slack());
            }
            Event::Leaving {
                backend_server,
                start,
            } => self.leaving_announced(backend_server, start, now),
            Event::Suspect { fingerprint, until } => {
                self.suspects.apply_refusal(fingerprint, until, now);
                self.end_suspects(fingerprint, now);
            }
            Event::CrashEvidence(announcement, until) => {
                self.suspects.apply_announcement(announcement, until, now);
            }
            Event::Polled(server, report) => self.polled(server, report.as_ref(), now),
            Event::Tick => {}
            Event::Stop => self.stopping = true,
            Event::Shutdown(end) => self.shut_down(end, now),
        }
    }

    fn set_remote(&mut self, servers: BTreeSet<BackendServerId>) {
        self.fleet.set_remote(&servers);
        self.pool.set_remote(servers);
    }

    fn arrived(&mut self, request: Request<C>, now: Time) {
        let is_known = self.searches.contains_key(&request.id);
        if is_known || self.executions.contains_key(&request.id) {
            return;
        }
        if let Some((reason, retry_after)) = self.refusal(&request, now) {
            let outcome = NotRunProof::on_arrival().into_outcome(reason, retry_after);
            let is_overload = reason == Reason::Overload;
            let rationale = match is_overload {
                true => format!("{reason} {}", self.overload_details(&request, now)),
                false => format!("{reason} class={:?}", request.class),
            };
            self.log(Some(request.id), "refuse", None, rationale);
            if is_overload {
                let change = self.overload.refused(now);
                self.log_overload(change);
            }
            self.actions.push(Action::Finish(request.id, outcome));
            return;
        }
        let change = self.overload.admitted(now);
        self.log_overload(change);
        self.timers
            .set(request.deadline, Timer::Deadline(request.id));
        if let Some(at) = self.last_send(&request) {
            self.timers.set(at, Timer::LastSend(request.id));
        }
        match self.params(&request).kind {
            Kind::Search => self.search(request, now),
            Kind::Execute => self.execute(request, now),
        }
    }

    /// Returns the parameters of a request, by default those of the route.
    pub(super) fn params(&self, request: &Request<C>) -> Params {
        request.params.unwrap_or_else(|| Params::from(&*self.route))
    }

    /// Returns how many groups the answer to a request may lack, assuming groups of equal weight.
    pub(super) fn dispensable(&self, request: &Request<C>) -> usize {
        let min_coverage = self.params(request).min_coverage;
        let groups = match &request.scope.only {
            Some(only) => only.weight(&self.route.groups),
            None => self.route.groups.len() as f64,
        };
        match min_coverage > 0.0 {
            true => coverage::dispensable(min_coverage, groups),
            false => 0,
        }
    }

    /// Returns the budgets of the first group of a server; `None` if no group contains it.
    pub(super) fn budgets_of(&mut self, server: BackendServerId) -> Option<&mut Budgets> {
        let group = self.placement.groups(server).first()?;
        Some(self.budgets.for_group(*group))
    }

    /// Returns why a new request is refused, and when to retry. Admission is checked last, because
    /// it counts the requests that it admits.
    fn refusal(&mut self, request: &Request<C>, now: Time) -> Option<(Reason, Option<Duration>)> {
        if self.stopping || self.is_too_late_for_shutdown(request, now) {
            return Some((Reason::Stopping, Some(Duration::ZERO)));
        }
        if let Status::Refused(until) = self.suspects.status(request.fingerprint, now) {
            return Some((Reason::Suspect, Some(until.saturating_sub(now))));
        }
        if self.policy.admit_all {
            return None;
        }
        let dispensable = self.dispensable(request);
        let load = GroupLoad {
            service_time: self.fleet.service_time_of(self.params(request).work),
            ..self.fleet.busiest_group_without(dispensable, now)
        };
        self.gate.set_homes(self.fleet.similar_homes());
        let ranked = self.ranked_request(request, now);
        let (class, deadline) = (request.class, request.deadline);
        match self
            .gate
            .admit_ranked(class, ranked.as_ref(), deadline, &load, now)
        {
            Admission::Admit => None,
            Admission::Refuse {
                reason,
                retry_after,
            } => Some((reason, retry_after)),
        }
    }

    fn log_overload(&mut self, change: Option<overload::Change>) {
        if let Some(change) = change {
            self.log(None, "overload", None, change.to_string());
        }
    }

    /// Returns the longest queueing delay over all groups. The delay of a group is that at its
    /// least loaded server, by the load reports.
    pub fn longest_wait(&self, now: Time) -> Duration {
        let waits = self.fleet.reported_waits(now).into_iter();
        waits.map(|wait| wait.time).max().unwrap_or_default()
    }

    /// Returns how many parts of searches and executions wait in this home for a free slot at a
    /// server.
    pub fn parts_waiting(&self) -> usize {
        self.waiting.values().map(BTreeSet::len).sum()
    }

    /// Returns the load that led to a refusal for overload, for the log.
    fn overload_details(&self, request: &Request<C>, now: Time) -> String {
        let in_flight = format!(
            "in_flight={}/{:.0}",
            self.gate.in_flight(),
            self.gate.limit()
        );
        match self.ranked_request(request, now) {
            Some(ranked) => format!("{} {in_flight}", self.gate.describe(&ranked, now)),
            None => format!("class={:?} {in_flight}", request.class),
        }
    }

    /// Returns the input of admission for a request with an urgency, or `None` without one.
    fn ranked_request(&self, request: &Request<C>, now: Time) -> Option<RankedRequest> {
        let params = self.params(request);
        Some(RankedRequest {
            work: params.work,
            urgency: params.urgency?,
            dispensable: self.dispensable(request),
            waits: self.waits(now),
        })
    }

    fn waits(&self, now: Time) -> Waits {
        let at_servers = self.fleet.reported_waits(now);
        let wait_here = |group| {
            let waiting = self.waiting.get(&group).map_or(0, BTreeSet::len);
            self.fleet.time_to_send(group, waiting)
        };
        Waits {
            total: at_servers
                .iter()
                .map(|wait| Wait {
                    time: wait.time + wait_here(wait.group),
                    ..*wait
                })
                .collect(),
            at_servers: at_servers.into_iter().collect(),
            has_load_reports: self.fleet.has_recent_reports(now),
        }
    }

    /// Returns whether a request yields to more urgent ones. Sent attempts can't be overtaken, so
    /// the parts of a yielding request wait here until a slot is free.
    pub(super) fn yields(&self, request: &Request<C>, now: Time) -> bool {
        let params = self.params(request);
        let yields = |urgency| self.gate.yields(params.work, urgency, now);
        params.urgency.is_some_and(yields)
    }

    fn abandoned(&mut self, id: RequestId, now: Time) {
        if let Some(search) = self.searches.remove(&id) {
            self.finish_search(search, Reason::Abandoned, now);
        } else {
            self.abandon_execution(id, now);
        }
    }

    /// Ends all requests of a fingerprint that crashes backend servers.
    pub(super) fn end_suspects(&mut self, fingerprint: Fingerprint, now: Time) {
        let searches = self.searches.values();
        let matching = searches.filter(|search| search.request.fingerprint == fingerprint);
        let ids: Vec<RequestId> = matching.map(|search| search.request.id).collect();
        for id in ids {
            if let Some(search) = self.searches.remove(&id) {
                self.finish_search(search, Reason::Suspect, now);
            }
        }
        self.end_suspect_executions(fingerprint, now);
    }

    /// Records the final result of a request.
    pub(super) fn finish(
        &mut self,
        request: &Request<C>,
        started: Time,
        outcome: Outcome<C::Value>,
        now: Time,
    ) {
        self.timers
            .clear(request.deadline, Timer::Deadline(request.id));
        let elapsed = now.saturating_sub(started);
        self.gate.finished(request.class, elapsed, now);
        if matches!(outcome, Outcome::Answered(_)) {
            self.gate.answered(self.params(request).work, now);
        }
        self.actions.push(Action::Finish(request.id, outcome));
    }

    fn run_timers(&mut self, now: Time) {
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Deadline(id) => self.expire(id, now),
                Timer::SoftDeadline(id) => self.with_search(id, now, |_, _| {}),
                Timer::LastSend(id) => self.refuse_unsent(id, now),
                Timer::Shutdown => self.end_all(now),
                Timer::Deferral(id) => self.deferral_expired(id, now),
                Timer::Attempt(id) => self.attempt_due(id, now),
                Timer::Quarantine(fingerprint) => {
                    self.freed_fingerprints.insert(fingerprint);
                }
                Timer::Fleet => self.tick_fleet(now),
            }
        }
    }

    fn tick_fleet(&mut self, now: Time) {
        for server in self.fleet.tick(now) {
            self.mark_changed(server);
        }
        self.suspects.tick(now);
        self.fleet_wake_stale = true;
    }

    /// Schedules the fleet's timer. Computing its next wake-up visits all servers and attempts, so
    /// this is done only after changes that may require an earlier one.
    fn schedule_fleet_wake(&mut self) {
        if !std::mem::take(&mut self.fleet_wake_stale) {
            return;
        }
        if let Some(at) = self.fleet_wake_at.take() {
            self.timers.clear(at, Timer::Fleet);
        }
        self.fleet_wake_at = self.fleet.next_wake();
        if let Some(at) = self.fleet_wake_at {
            self.timers.set(at, Timer::Fleet);
        }
    }

    fn expire(&mut self, id: RequestId, now: Time) {
        if let Some(search) = self.searches.remove(&id) {
            self.finish_search(search, Reason::Deadline, now);
        } else if let Some(execution) = self.executions.remove(&id) {
            self.finish_execution(execution, Reason::Deadline, now);
        }
    }

    /// Resumes waiters, sends attempts, and returns the actions to carry out.
    fn finish_event(&mut self, now: Time) -> Vec<Action<C>> {
        while self.has_work() {
            self.resume_waiters(now);
            self.send_queued(now);
        }
        self.apply_pool_commands(now);
        self.schedule_fleet_wake();
        if let Some(at) = self.timers.next_wake(self.pool.next_wake(), now) {
            self.actions.push(Action::Wake(at));
        }
        std::mem::take(&mut self.actions)
    }

    fn has_work(&self) -> bool {
        let is_idle = self.groups_with_free_slots.is_empty() && self.changed_groups.is_empty();
        !(is_idle && self.freed_fingerprints.is_empty() && self.pending_acquires.is_empty())
    }

    pub(super) fn log(
        &mut self,
        request: Option<RequestId>,
        label: &'static str,
        backend_server: Option<BackendServerId>,
        rationale: impl Into<Rationale>,
    ) {
        self.actions.push(Action::Log(Decision {
            request,
            label,
            backend_server,
            rationale: rationale.into(),
        }));
    }
}
