//! Searches: assigns parts to servers, and decides when a search ends.

use super::dispatch::AttemptSpec;
use super::event::Request;
use super::flight::Owner;
use super::state::Home;
use super::timer::Timer;
use crate::attempt::AttemptId;
use crate::backend::suspect::Status;
use crate::budget::Importance;
use crate::content::Content;
use crate::outcome::{Outcome, Reason};
use crate::query::search::{Cause, Part, PartId, Search};
use crate::rationale::LeastLoaded;
use crate::{Fingerprint, RequestId, Time};
use monsoonring_configuration::id::{BackendServerId, IndexVersion};
use smallvec::{SmallVec, smallvec};
use std::time::Duration;

/// Failure rate of attempts above which no group is omitted: the missing coverage that an answer
/// tolerates is then needed for parts that fail.
const MAX_FAILURE_RATE: f64 = 0.05;

/// Share of the time up to the soft deadline within which a group has to be expected to answer.
const IN_TIME_SHARE: f64 = 0.7;

/// Time after the soft deadline for which a search waits for delegated keys. The other home replies
/// at about its own soft deadline, and its reply covers much of the answer.
const DELEGATED_GRACE: Duration = Duration::from_millis(5);

/// Quantile of a server's latency that has to fit before the deadline for a search to restart at a
/// newer version.
const RESTART_QUANTILE: f64 = 0.5;

impl<C: Content> Home<C> {
    /// Starts a search with attempts to all groups in parallel.
    pub(super) fn search(&mut self, request: Request<C>, now: Time) {
        let id = request.id;
        let search = Search::new(request, self.pin.version(), &self.route, now);
        for at in self.soft_deadlines(&search) {
            self.timers.set(at, Timer::SoftDeadline(id));
        }
        self.searches.insert(id, search);
        self.with_search(id, now, |home, search| {
            home.omit_late_groups(search, now);
            home.assign_all(search, Cause::First, now);
        });
    }

    /// Returns the times from which a partial answer is returned: with delegated keys still
    /// outstanding the later one applies.
    fn soft_deadlines(&self, search: &Search<C>) -> SmallVec<[Time; 2]> {
        let Some(soft) = self.params(&search.request).soft_deadline else {
            return SmallVec::new();
        };
        let at = search.started + Duration::from_millis(soft.after_ms);
        match search.request.scope.delegated.is_empty() {
            true => smallvec![at],
            false => smallvec![at, at + DELEGATED_GRACE],
        }
    }

    /// Omits groups that are unlikely to answer in time, as far as the answer can do without them.
    /// Waiting for them would delay the caller, and keep their servers busy with replies that come
    /// too late.
    ///
    /// The groups with the longest expected waits are omitted first. If several groups are short of
    /// servers, each search thus uses those with the shortest queues.
    fn omit_late_groups(&mut self, search: &mut Search<C>, now: Time) {
        let Some(soft) = self.params(&search.request).soft_deadline else {
            return;
        };
        let dispensable = self.dispensable(&search.request);
        if dispensable == 0 || self.fleet.failure_rate(now) > MAX_FAILURE_RATE {
            return;
        }
        let work = self.params(&search.request).work;
        let median = self.fleet.median_latency(work).unwrap_or_default();
        let in_time = Duration::from_millis(soft.after_ms).mul_f64(IN_TIME_SHARE);
        let in_time = in_time.saturating_sub(median);
        let waits = self.fleet.expected_waits(now);
        let late_groups = waits.into_iter().filter(|(_, wait)| *wait > in_time);
        for (group, wait) in late_groups.take(dispensable) {
            let in_group = |(_, part): &(&PartId, &Part)| part.group == group;
            let Some(id) = search.parts.iter().find(in_group).map(|(id, _)| *id) else {
                continue;
            };
            let rationale = format!("part {id} would wait {wait:?}, limit {in_time:?}");
            self.log(Some(search.request.id), "leave_out", None, rationale);
            search.give_up(id);
        }
    }

    /// Calls `update` with a search, and ends the search if that decided it.
    pub(super) fn with_search(
        &mut self,
        id: RequestId,
        now: Time,
        update: impl FnOnce(&mut Self, &mut Search<C>),
    ) {
        let Some(mut search) = self.searches.remove(&id) else {
            return;
        };
        update(self, &mut search);
        self.decide_deferred(&mut search, now);
        self.finish_if_decided(search, now);
    }

    /// Ends a search if no further reply can change its result, and puts it back otherwise.
    fn finish_if_decided(&mut self, mut search: Search<C>, now: Time) {
        if let Some(version) = self.restart_version(&search, now) {
            self.restart(&mut search, version, now);
        }
        if search.is_complete(&self.route) || !search.is_open() {
            let reason = search.reason();
            self.finish_search(search, reason, now);
            return;
        }
        if self.cannot_reach_min_coverage(&search) {
            let reason = search.reason();
            self.finish_search(search, reason, now);
            return;
        }
        if self.is_soft_deadline_met(&search, now) {
            self.finish_search(search, Reason::Deadline, now);
            return;
        }
        self.searches.insert(search.request.id, search);
    }

    /// Tells whether a soft deadline has passed and the coverage that it requires is reached.
    fn is_soft_deadline_met(&self, search: &Search<C>, now: Time) -> bool {
        let Some(soft) = self.params(&search.request).soft_deadline else {
            return false;
        };
        let deadlines = self.soft_deadlines(search);
        let at = match search.has_delegated() {
            true => deadlines.last(),
            false => deadlines.first(),
        };
        at.is_some_and(|at| now >= *at) && search.coverage(&self.route) >= soft.coverage
    }

    /// Tells whether so many parts were given up that the answer can't reach the minimum coverage.
    /// Such a search ends early to free the caller and the servers.
    pub(super) fn cannot_reach_min_coverage(&self, search: &Search<C>) -> bool {
        let min_coverage = self.params(&search.request).min_coverage;
        let is_intact = || search.parts.values().all(|part| part.given_up.is_none());
        min_coverage > 0.0 && !is_intact() && search.reachable(&self.route, None) < min_coverage
    }

    /// Returns how important another attempt for a part is.
    fn importance(&self, search: &Search<C>, id: PartId, cause: Cause) -> Importance {
        let min_coverage = self.params(&search.request).min_coverage;
        let is_retry = matches!(cause, Cause::Retry | Cause::Overdue);
        if !is_retry
            || min_coverage <= 0.0
            || search.reachable(&self.route, Some(id)) < min_coverage
        {
            return Importance::Required(search.retries);
        }
        Importance::Optional
    }

    /// Returns the newer version to restart a search at, if its pinned version is no longer served
    /// and there is time for a reply. A search restarts once at most.
    fn restart_version(&self, search: &Search<C>, now: Time) -> Option<IndexVersion> {
        let pinned = search.pin?;
        let newer = self.pin.version().filter(|version| *version > pinned)?;
        let is_below_min = pinned < self.route.minimum_index_version;
        let is_lost = |part: &&Part| part.version_gone || is_below_min;
        let part = search.parts.values().find(is_lost)?;
        let server = self.route.groups.get(part.group)?.backend_servers.first()?;
        let latency = self.fleet.hedge_delay(*server, RESTART_QUANTILE, now);
        let in_time = now + latency < search.request.deadline;
        (!search.restarted && in_time).then_some(newer)
    }

    fn restart(&mut self, search: &mut Search<C>, version: IndexVersion, now: Time) {
        let rationale = format!(
            "version {} is no longer served, restarted at {version}",
            search.pin.unwrap_or(0)
        );
        self.log(Some(search.request.id), "restart", None, rationale);
        for attempt in search.restart(version, &self.route) {
            self.cancel(attempt, now);
        }
        self.assign_all(search, Cause::First, now);
    }

    pub(super) fn assign_all(&mut self, search: &mut Search<C>, cause: Cause, now: Time) {
        search.yields = self.yields(&search.request, now);
        let wanted = search
            .parts
            .iter()
            .filter(|(_, part)| part.given_up.is_none());
        let mut wanted: Vec<(PartId, usize)> = wanted.map(|(id, part)| (*id, part.group)).collect();
        let fingerprint = search.request.fingerprint;
        if self.suspects.status(fingerprint, now) == Status::Quarantined {
            // A success there ends the quarantine, and the other parts are sent together.
            wanted.sort_by_key(|(_, group)| !self.has_crashed_in(*group, fingerprint, now));
        }
        for (part, _) in wanted {
            self.assign(search, part, cause, now);
        }
    }

    /// Returns whether a server of a group has crashed under a fingerprint.
    fn has_crashed_in(&self, group: usize, fingerprint: Fingerprint, now: Time) -> bool {
        let servers = self.route.groups.get(group).into_iter();
        let mut servers = servers.flat_map(|group| &group.backend_servers);
        servers.any(|server| self.suspects.blames(fingerprint, *server, now))
    }

    /// Resumes a part that waited, or that was given up for lack of a server.
    pub(super) fn resume_part(&mut self, request: RequestId, id: PartId, now: Time) {
        self.with_search(request, now, |home, search| {
            search.yields = home.yields(&search.request, now);
            let Some(part) = search.parts.get_mut(&id) else {
                return;
            };
            if part.live.is_empty() {
                part.given_up = None;
                part.version_gone = false;
                let cause = part.cause;
                home.assign(search, id, cause, now);
            }
        });
    }

    /// Assigns a server to a part, or defers its retry. Without a server the part waits if one is
    /// expected to have a free slot before the deadline, and is given up otherwise.
    pub(super) fn assign(&mut self, search: &mut Search<C>, id: PartId, cause: Cause, now: Time) {
        if cause != Cause::Retry || !self.try_defer(search, id, now) {
            let importance = self.importance(search, id, cause);
            self.assign_with(search, id, cause, importance, now);
        }
    }

    /// Assigns a server to a part, with a budget that depends on the importance of the attempt.
    pub(super) fn assign_with(
        &mut self,
        search: &mut Search<C>,
        id: PartId,
        cause: Cause,
        importance: Importance,
        now: Time,
    ) {
        let params = self.params(&search.request);
        let Some(part) = search.parts.get_mut(&id) else {
            return;
        };
        if !cause.is_second() {
            part.cause = cause;
        }
        let is_exhausted = cause == Cause::Retry && part.attempts >= self.route.retry.attempts;
        if is_exhausted || part.may_have_run() >= params.max_runs {
            if part.live.is_empty() {
                part.give_up();
            }
            return;
        }
        let group = part.group;
        if !self.suspects.can_send(search.request.fingerprint, now) {
            if part.live.is_empty() {
                let quarantined = self
                    .quarantined
                    .entry(search.request.fingerprint)
                    .or_default();
                quarantined.insert(search.waiter(id));
            }
            return;
        }
        match self.pick(search, id, now) {
            Some((server, rationale)) if self.take_budget(group, cause, importance, now) => {
                search.retries += u32::from(cause == Cause::Retry);
                self.log(
                    Some(search.request.id),
                    cause.label(),
                    Some(server),
                    rationale,
                );
                self.start_attempt(search, id, server, cause, now);
            }
            Some((server, _)) => self.deny(search, id, server, cause),
            None => self.park(search, id, now),
        }
    }

    /// Chooses a server that was not tried for the part, or a tried one if there is no other.
    fn pick(
        &mut self,
        search: &Search<C>,
        id: PartId,
        now: Time,
    ) -> Option<(BackendServerId, LeastLoaded)> {
        let part = search.parts.get(&id)?;
        let mut candidates = self.candidates(part);
        if search.yields {
            candidates.retain(|server| self.fleet.has_free_slot(*server, now));
        }
        let version = search.pin;
        let fleet = &mut self.fleet;
        let untried = fleet.choose(&candidates, &part.tried, version, now, &mut self.rng);
        let choice = match untried {
            Some(choice) => Some(choice),
            None if part.tried.is_empty() || !part.live.is_empty() => None,
            None => fleet.choose(&candidates, &[], version, now, &mut self.rng),
        };
        choice.map(|choice| (choice.server, choice.rationale))
    }

    fn candidates(&self, part: &Part) -> SmallVec<[BackendServerId; 4]> {
        let group = self.route.groups.get(part.group);
        let servers = group.into_iter().flat_map(|group| &group.backend_servers);
        let capable = servers.filter(|server| {
            !part.excluded.contains(server) && !self.is_below_min_version(**server)
        });
        capable.copied().collect()
    }

    /// Charges an attempt to the budgets. Returns whether it is allowed.
    pub(super) fn take_budget(
        &mut self,
        group: usize,
        cause: Cause,
        importance: Importance,
        now: Time,
    ) -> bool {
        let budgets = self.budgets.for_group(group);
        match cause {
            Cause::First => {
                budgets.deposit(now);
                true
            }
            Cause::Remainder => true,
            Cause::Retry | Cause::Overdue => {
                let is_allowed = budgets.take_retry(importance, now);
                self.counts.retries_denied += u64::from(!is_allowed);
                is_allowed
            }
            Cause::Hedge => {
                let is_allowed = budgets.take_hedge(now);
                self.counts.hedges_denied += u64::from(!is_allowed);
                is_allowed
            }
            Cause::LateHedge => {
                let is_allowed = budgets.take_required_hedge(now);
                self.counts.hedges_denied += u64::from(!is_allowed);
                is_allowed
            }
        }
    }

    fn deny(&mut self, search: &mut Search<C>, id: PartId, server: BackendServerId, cause: Cause) {
        let Some(part) = search.parts.get_mut(&id) else {
            return;
        };
        if part.live.is_empty() {
            part.give_up();
        }
        let rationale = format!("{} budget is spent, part {id}", cause.label());
        self.log(Some(search.request.id), "deny", Some(server), rationale);
    }

    fn start_attempt(
        &mut self,
        search: &mut Search<C>,
        id: PartId,
        server: BackendServerId,
        cause: Cause,
        now: Time,
    ) {
        let Some(part) = search.parts.get_mut(&id) else {
            return;
        };
        let spec = AttemptSpec {
            owner: Owner::Part(search.request.id, id),
            request: &search.request,
            server,
            keys: part.wanted.clone(),
            version: search.pin,
            cause,
        };
        part.attempts += 1;
        part.tried.push(server);
        part.live.push(self.enqueue(spec, now));
    }

    /// Adds a part to the waiters of its group. If no server is expected to have a free slot before
    /// the deadline, the part counts as given up so that the answer doesn't wait for it; it is
    /// still assigned if a server becomes usable while other parts are in progress.
    fn park(&mut self, search: &mut Search<C>, id: PartId, now: Time) {
        let (version, deadline) = (search.pin, search.request.deadline);
        let waiter = search.waiter(id);
        let Some(part) = search.parts.get_mut(&id) else {
            return;
        };
        if !part.live.is_empty() {
            return;
        }
        let waiting = self.waiting.entry(part.group).or_default();
        waiting.insert(waiter);
        let candidates = self.candidates(part);
        let is_available =
            |server: &BackendServerId| self.is_available_before(*server, version, deadline, now);
        if candidates.iter().any(is_available) {
            return;
        }
        part.version_gone = self.has_lost_version(part.group, version);
        part.give_up();
        let group = part.group;
        let skip_reasons = self.skip_reasons(group, version, deadline, now);
        let rationale = format!("no server for part {id}, {skip_reasons}");
        self.log(Some(search.request.id), "give_up", None, rationale);
    }

    /// Sends a second attempt for a part whose only attempt is slow. Returns whether it was queued.
    pub(super) fn send_second(
        &mut self,
        request: RequestId,
        part: PartId,
        cause: Cause,
        now: Time,
    ) -> bool {
        let before = self.next_attempt;
        self.with_search(request, now, |home, search| {
            let fingerprint = search.request.fingerprint;
            let is_clear = home.suspects.status(fingerprint, now) == Status::Clear;
            let max_attempts = match cause {
                Cause::Overdue => home.route.retry.attempts,
                _ => u32::MAX,
            };
            let is_single = |part: &Part| part.live.len() == 1 && part.attempts < max_attempts;
            if is_clear && search.parts.get(&part).is_some_and(is_single) {
                home.assign(search, part, cause, now);
            }
        });
        self.next_attempt > before
    }

    /// Ends a search with the results so far, and cancels its attempts.
    pub(super) fn finish_search(&mut self, search: Search<C>, reason: Reason, now: Time) {
        for attempt in search.live() {
            self.cancel(attempt, now);
        }
        for at in self.soft_deadlines(&search) {
            self.timers
                .clear(at, Timer::SoftDeadline(search.request.id));
        }
        let waiters = search
            .parts
            .iter()
            .map(|(id, part)| (part.group, search.waiter(*id)));
        for (group, waiter) in waiters {
            self.remove_waiter(group, &waiter);
        }
        let request = search.request.clone();
        let started = search.started;
        let min_coverage = self.params(&request).min_coverage;
        let outcome = search.finish(&self.route, min_coverage, reason);
        let rationale = summary(&outcome, reason);
        self.log(Some(request.id), "finish", None, rationale);
        self.finish(&request, started, outcome, now);
    }

    /// Cancels the attempts whose keys another attempt answered first.
    pub(super) fn cancel_losers(&mut self, losers: Vec<AttemptId>, winner: AttemptId, now: Time) {
        for loser in losers {
            if loser != winner {
                let is_hedge = self
                    .flights
                    .get(loser)
                    .is_some_and(|flight| flight.cause.is_hedge());
                self.counts.hedges_lost += u64::from(is_hedge);
                self.cancel(loser, now);
            }
        }
    }
}

fn summary<V>(outcome: &Outcome<V>, reason: Reason) -> String {
    match outcome {
        Outcome::Answered(answer) if answer.missing.is_empty() => {
            format!("complete at version {}", answer.index_version)
        }
        Outcome::Answered(answer) => format!(
            "coverage {:.4} at version {}: {reason}",
            answer.coverage, answer.index_version
        ),
        Outcome::NotRun { .. } => format!("not run: {reason}"),
        _ => format!("failed: {reason}"),
    }
}
