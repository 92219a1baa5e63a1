//! The state of a home, and the way of an event through it.

use super::action::{Action, Decision};
use super::counts::Counts;
use super::event::{Event, Request};
use super::flight;
use super::outage::Outage;
use super::params::Params;
use super::placement::Placement;
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

/// Those who wait, in the order in which they are served.
pub(super) type Waiting = BTreeSet<Waiter>;

/// One route at one of its homes.
pub struct Home<C: Content = Json> {
    pub(super) route: Arc<Route>,
    pub(super) policy: Policy,
    pub(super) rng: ChaCha8Rng,
    pub(super) fleet: Fleet,
    pub(super) pool: Pool,
    pub(super) gate: Gate,
    pub(super) shortage: Overload,
    pub(super) suspects: Detector,
    pub(super) budgets: RouteBudgets,
    pub(super) pin: Pin,
    pub(super) placement: Placement,
    pub(super) runs: BTreeMap<RequestId, Search<C>>,
    pub(super) executions: BTreeMap<RequestId, Execution<C>>,
    pub(super) flights: flight::Table,
    /// By group: what waits for room at one of its servers.
    pub(super) waiting: BTreeMap<usize, Waiting>,
    /// By fingerprint in quarantine: what waits until its turn.
    pub(super) held: BTreeMap<Fingerprint, Waiting>,
    /// Groups in which a server may have room again.
    pub(super) touched: BTreeSet<usize>,
    /// Groups in which a server became usable, or ceased to be: all who wait have to look again.
    pub(super) changed: BTreeSet<usize>,
    /// Fingerprints for which an attempt ended.
    pub(super) freed: BTreeSet<Fingerprint>,
    /// Servers, with the number of connections to be asked for.
    pub(super) callable: BTreeMap<BackendServerId, usize>,
    /// Until when a server asked for no work.
    pub(super) back_offs: BTreeMap<BackendServerId, Time>,
    /// What made servers unreachable, for those that are.
    pub(super) outages: BTreeMap<BackendServerId, Outage>,
    pub(super) timers: timer::Queue,
    /// When the fleet is to be told the time.
    pub(super) fleet_at: Option<Time>,
    /// Whether that may have to be earlier.
    pub(super) fleet_changed: bool,
    pub(super) next_attempt: AttemptId,
    pub(super) stopping: bool,
    pub(super) counts: Counts,
    pub(super) actions: Vec<Action<C>>,
}

impl<C: Content> Home<C> {
    /// Makes a home of a route, and returns what is to be done at once. `part` says what it may
    /// take of the backend servers beside other homes.
    /// `seed` decides every random choice.
    pub fn new(
        route: Arc<Route>,
        part: impl Into<Allocation>,
        seed: u64,
        now: Time,
    ) -> (Self, Vec<Action<C>>) {
        Self::with_policy(route, part, seed, Policy::default(), now)
    }

    /// Makes the home of a route, as [`Self::new`] does, with some decisions replaced.
    pub fn with_policy(
        route: Arc<Route>,
        part: impl Into<Allocation>,
        seed: u64,
        policy: Policy,
        now: Time,
    ) -> (Self, Vec<Action<C>>) {
        let Allocation { division, far } = part.into();
        let mut home = Self {
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            fleet: Fleet::new(&route, division, now),
            pool: Pool::new(&route, division, FIRST_CONNECTION, now),
            gate: Gate::new(&route),
            shortage: Overload::default(),
            suspects: Detector::with_crash_signal(policy.crash_signal),
            budgets: RouteBudgets::new(&route, &division),
            pin: Pin::default(),
            placement: Placement::new(&route),
            runs: BTreeMap::new(),
            executions: BTreeMap::new(),
            flights: flight::Table::default(),
            waiting: BTreeMap::new(),
            held: BTreeMap::new(),
            touched: BTreeSet::new(),
            changed: BTreeSet::new(),
            freed: BTreeSet::new(),
            callable: BTreeMap::new(),
            back_offs: BTreeMap::new(),
            outages: BTreeMap::new(),
            timers: timer::Queue::default(),
            fleet_at: None,
            fleet_changed: true,
            next_attempt: 1,
            stopping: false,
            counts: Counts::default(),
            actions: Vec::new(),
            route,
        };
        home.fleet.set_policy(policy);
        home.pool.set_identity(seed);
        home.set_far(far);
        let actions = home.conclude(now);
        (home, actions)
    }

    /// Takes in what happened at `now` and returns what is to be done, in this order.
    ///
    /// What came due before is handled first: a process that was paused finds that a deadline has
    /// passed before it finds the reply that waited.
    pub fn handle(&mut self, event: Event<C>, now: Time) -> Vec<Action<C>> {
        self.fire(now);
        self.apply(event, now);
        self.conclude(now)
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.runs.len() + self.executions.len()
    }

    /// Returns the number of backend servers that get no new work because they are leaving.
    pub fn leaving(&self) -> usize {
        let servers = self.placement.servers().iter();
        servers.filter(|id| self.fleet.is_leaving(**id)).count()
    }

    /// Returns what was counted since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the version that new queries pin, if one is known.
    pub fn index_version(&self) -> Option<IndexVersion> {
        self.pin.version()
    }

    /// Returns the state of the route's backend servers.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the retries that could be made now at the group that has fewest left.
    pub fn retries_left(&mut self, now: Time) -> f64 {
        self.budgets.available(now)
    }

    /// Returns the room that the route's backend servers have for this home.
    pub fn busiest_group(&self, now: Time) -> GroupLoad {
        self.fleet.busiest_group(now)
    }

    fn apply(&mut self, event: Event<C>, now: Time) {
        match event {
            Event::Request(request) => self.arrived(request, now),
            Event::Abandoned(id) => self.abandoned(id, now),
            Event::DelegatedReply(id, reply) => self.gathered(id, reply, now),
            Event::DelegationFailed(id, begun) => self.not_gathered(id, begun, now),
            Event::Opened(connection) => self.opened(connection, now),
            Event::Closed(connection) => self.closed(connection, now),
            Event::ConnectFailed(connection, why) => self.unopened(connection, why, now),
            Event::Reply(attempt, reply) => self.replied(attempt, reply, now),
            Event::Executed(attempt, value, report) => {
                self.executed(attempt, value, &report, now);
            }
            Event::Failed(attempt, failure) => self.failed(attempt, &failure, now),
            Event::Route(route) => self.reroute(route, now),
            Event::Replaced(servers) => self.replaced(&servers, now),
            Event::RemoteServers(far) => self.set_far(far),
            Event::Cold(cold) => self.set_cold(&cold, now),
            Event::Homes(homes) => {
                self.fleet.set_homes(homes, now);
                self.pool.set_homes(homes, now);
                self.budgets.set_slack(self.pool.division().slack());
            }
            Event::Leaving {
                backend_server,
                start,
            } => self.told_leaving(backend_server, start, now),
            Event::Suspect { fingerprint, until } => {
                self.suspects.apply_refusal(fingerprint, until, now);
                self.condemn(fingerprint, now);
            }
            Event::Polled(server, report) => self.polled(server, report.as_ref(), now),
            Event::Tick => {}
            Event::Stop => self.stopping = true,
        }
    }

    fn set_far(&mut self, far: BTreeSet<BackendServerId>) {
        self.fleet.set_far(&far);
        self.pool.set_far(far);
    }

    fn arrived(&mut self, request: Request<C>, now: Time) {
        let known = self.runs.contains_key(&request.id);
        if known || self.executions.contains_key(&request.id) {
            return;
        }
        if let Some((reason, retry_after)) = self.refusal(&request, now) {
            let outcome = NotRunProof::on_arrival().into_outcome(reason, retry_after);
            let is_overload = reason == Reason::Overload;
            let why = match is_overload {
                true => format!("{reason} {}", self.refused_by(&request, now)),
                false => format!("{reason} class={:?}", request.class),
            };
            self.log(Some(request.id), "refuse", None, why);
            if is_overload {
                let change = self.shortage.refused(now);
                self.log_shortage(change);
            }
            self.actions.push(Action::Finish(request.id, outcome));
            return;
        }
        let change = self.shortage.admitted(now);
        self.log_shortage(change);
        self.timers
            .set(request.deadline, Timer::Deadline(request.id));
        match self.params(&request).kind {
            Kind::Search => self.search(request, now),
            Kind::Execute => self.execute(request, now),
        }
    }

    /// Returns what holds for a request.
    pub(super) fn params(&self, request: &Request<C>) -> Params {
        request.params.unwrap_or_else(|| Params::from(&*self.route))
    }

    /// Returns how many groups an answer to a request can do without, as they weigh alike.
    pub(super) fn dispensable(&self, request: &Request<C>) -> usize {
        let least = self.params(request).min_coverage;
        let groups = match &request.scope.only {
            Some(only) => only.weight(&self.route.groups),
            None => self.route.groups.len() as f64,
        };
        match least > 0.0 {
            true => coverage::dispensable(least, groups),
            false => 0,
        }
    }

    /// Returns the budgets of the first group that a server is in, if it is still in one.
    pub(super) fn budgets_of(&mut self, server: BackendServerId) -> Option<&mut Budgets> {
        let group = self.placement.groups(server).first()?;
        Some(self.budgets.for_group(*group))
    }

    /// Returns why a new request is not taken on. Admission comes last, as it counts those that it
    /// admits.
    fn refusal(&mut self, request: &Request<C>, now: Time) -> Option<(Reason, Option<Duration>)> {
        if self.stopping {
            return Some((Reason::Stopping, Some(Duration::ZERO)));
        }
        if let Status::Refused(until) = self.suspects.status(request.fingerprint, now) {
            return Some((Reason::Suspect, Some(until.saturating_sub(now))));
        }
        if self.policy.admit_all {
            return None;
        }
        let dispensable = self.dispensable(request);
        let room = self.fleet.busiest_group_without(dispensable, now);
        let ranked = self.ranked(request, now);
        let (class, deadline) = (request.class, request.deadline);
        match self
            .gate
            .admit_ranked(class, ranked.as_ref(), deadline, &room, now)
        {
            Admission::Admit => None,
            Admission::Refuse {
                reason,
                retry_after,
            } => Some((reason, retry_after)),
        }
    }

    fn log_shortage(&mut self, change: Option<overload::Change>) {
        if let Some(change) = change {
            self.log(None, "overload", None, change.to_string());
        }
    }

    /// Returns the longest time that a new attempt waits at the servers of a group, by their reports.
    pub fn longest_wait(&self, now: Time) -> Duration {
        let waits = self.fleet.reported_waits(now).into_iter();
        waits.map(|wait| wait.time).max().unwrap_or_default()
    }

    /// Returns how many parts of searches wait here for room at a server.
    pub fn parts_waiting(&self) -> usize {
        self.waiting.values().map(BTreeSet::len).sum()
    }

    /// Returns what a refusal was decided by, for the log.
    fn refused_by(&self, request: &Request<C>, now: Time) -> String {
        let in_flight = format!(
            "in_flight={}/{:.0}",
            self.gate.in_flight(),
            self.gate.limit()
        );
        match self.ranked(request, now) {
            Some(ranked) => format!("{} {in_flight}", self.gate.describe(&ranked, now)),
            None => format!("class={:?} {in_flight}", request.class),
        }
    }

    /// Returns what admission has to know of a request whose rank is known.
    fn ranked(&self, request: &Request<C>, now: Time) -> Option<RankedRequest> {
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
        let here = |group| {
            let waiting = self.waiting.get(&group).map_or(0, BTreeSet::len);
            self.fleet.time_to_send(group, waiting)
        };
        Waits {
            total: at_servers
                .iter()
                .map(|wait| Wait {
                    time: wait.time + here(wait.group),
                    ..*wait
                })
                .collect(),
            at_servers: at_servers.into_iter().collect(),
            has_load_reports: self.fleet.has_recent_reports(now),
        }
    }

    /// Tells whether a request keeps out of the servers' queues. Parts that were sent can't be overtaken any more, so that its parts are
    /// held here until a slot is free.
    pub(super) fn yields(&self, request: &Request<C>, now: Time) -> bool {
        let params = self.params(request);
        let yields = |urgency| self.gate.yields(params.work, urgency, now);
        params.urgency.is_some_and(yields)
    }

    fn abandoned(&mut self, id: RequestId, now: Time) {
        if let Some(run) = self.runs.remove(&id) {
            self.finish_search(run, Reason::Abandoned, now);
        } else {
            self.abandon_execution(id, now);
        }
    }

    /// Ends every request of a fingerprint that was found to crash backend servers.
    pub(super) fn condemn(&mut self, fingerprint: Fingerprint, now: Time) {
        let runs = self.runs.values();
        let like = runs.filter(|run| run.request.fingerprint == fingerprint);
        let ids: Vec<RequestId> = like.map(|run| run.request.id).collect();
        for id in ids {
            if let Some(run) = self.runs.remove(&id) {
                self.finish_search(run, Reason::Suspect, now);
            }
        }
        self.condemn_executions(fingerprint, now);
    }

    /// Records the one final result of a request.
    pub(super) fn finish(
        &mut self,
        request: &Request<C>,
        began: Time,
        outcome: Outcome<C::Value>,
        now: Time,
    ) {
        self.timers
            .clear(request.deadline, Timer::Deadline(request.id));
        let took = now.saturating_sub(began);
        self.gate.finished(request.class, took, now);
        if matches!(outcome, Outcome::Answered(_)) {
            self.gate.answered(self.params(request).work, now);
        }
        self.actions.push(Action::Finish(request.id, outcome));
    }

    fn fire(&mut self, now: Time) {
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Deadline(id) => self.expire(id, now),
                Timer::Soft(id) => self.with_run(id, now, |_, _| {}),
                Timer::Rescue(id) => self.rescue_due(id, now),
                Timer::Attempt(id) => self.overdue(id, now),
                Timer::Fleet => self.tick_fleet(now),
            }
        }
    }

    fn tick_fleet(&mut self, now: Time) {
        for server in self.fleet.tick(now) {
            self.changed(server);
        }
        self.suspects.tick(now);
        self.fleet_changed = true;
    }

    /// Sets the timer of the fleet. To find its next wake-up all servers and attempts are looked
    /// at, so it is asked only after what may have brought it forward.
    fn time_fleet(&mut self) {
        if !std::mem::take(&mut self.fleet_changed) {
            return;
        }
        if let Some(at) = self.fleet_at.take() {
            self.timers.clear(at, Timer::Fleet);
        }
        self.fleet_at = self.fleet.next_wake();
        if let Some(at) = self.fleet_at {
            self.timers.set(at, Timer::Fleet);
        }
    }

    fn expire(&mut self, id: RequestId, now: Time) {
        if let Some(run) = self.runs.remove(&id) {
            self.finish_search(run, Reason::Deadline, now);
        } else if let Some(execution) = self.executions.remove(&id) {
            self.finish_execution(execution, Reason::Deadline, now);
        }
    }

    /// Serves those who wait, brings attempts onto connections, and returns what is to be done.
    fn conclude(&mut self, now: Time) -> Vec<Action<C>> {
        while self.has_work() {
            self.serve(now);
            self.transmit(now);
        }
        self.command(now);
        self.time_fleet();
        if let Some(at) = self.timers.wake(self.pool.next_wake(), now) {
            self.actions.push(Action::Wake(at));
        }
        std::mem::take(&mut self.actions)
    }

    fn has_work(&self) -> bool {
        let waits = self.touched.is_empty() && self.changed.is_empty();
        !(waits && self.freed.is_empty() && self.callable.is_empty())
    }

    pub(super) fn log(
        &mut self,
        request: Option<RequestId>,
        what: &'static str,
        backend_server: Option<BackendServerId>,
        why: impl Into<Rationale>,
    ) {
        self.actions.push(Action::Log(Decision {
            request,
            what,
            backend_server,
            why: why.into(),
        }));
    }
}
