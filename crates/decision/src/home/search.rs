//! Searches: who is asked for which keys, and when that ends.

use super::dispatch::Task;
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
use crate::{RequestId, Time};
use monsoonring_configuration::id::{BackendServerId, IndexVersion};
use smallvec::{SmallVec, smallvec};
use std::time::Duration;

/// Share of failing attempts above which no group is left out. What an answer can do without is then needed for
/// those that fail: where servers failed four of ten attempts, leaving out cost 0.03 of a day's worth.
const FAILING: f64 = 0.05;

/// Share of the time up to the soft deadline within which a group's answer has to be expected.
const IN_TIME: f64 = 0.7;

/// Time after the soft deadline that is still waited for what another home looks through. It leaves there a moment
/// before, and is half of the answer, where a late one is late by these milliseconds.
const ELSEWHERE_GRACE: Duration = Duration::from_millis(5);

/// Quantile of a server's latency that has to fit before the deadline for a search to begin again
/// at a newer version.
const RESTART_QUANTILE: f64 = 0.5;

impl<C: Content> Home<C> {
    /// Starts a search: every group is asked at once.
    pub(super) fn search(&mut self, request: Request<C>, now: Time) {
        let id = request.id;
        let run = Search::new(request, self.pin.version(), &self.route, now);
        for at in self.soft_times(&run) {
            self.timers.set(at, Timer::Soft(id));
        }
        self.runs.insert(id, run);
        self.with_run(id, now, |home, run| {
            home.leave_out(run, now);
            home.assign_all(run, Cause::First, now);
        });
    }

    /// Returns the times at which a partial answer becomes better than a later one: with what another home looks
    /// through, and without it.
    fn soft_times(&self, run: &Search<C>) -> SmallVec<[Time; 2]> {
        let Some(soft) = self.params(&run.request).soft_deadline else {
            return SmallVec::new();
        };
        let at = run.started + Duration::from_millis(soft.after_ms);
        match run.request.scope.delegated.is_empty() {
            true => smallvec![at],
            false => smallvec![at, at + ELSEWHERE_GRACE],
        }
    }

    /// Leaves the groups out whose answers would hardly come in time, as far as the answer can do without
    /// them. Asking them all the same would hold the caller until its time is nearly over, and keep their
    /// servers busy with what comes too late.
    ///
    /// Where several groups are short of servers and an answer can do without one, each search so asks those
    /// that are least behind, and all of them are answered. Asked for all, two groups that had one server of
    /// three left gave late answers to one search in four, and one in twenty was refused.
    fn leave_out(&mut self, run: &mut Search<C>, now: Time) {
        let Some(soft) = self.params(&run.request).soft_deadline else {
            return;
        };
        let dispensable = self.dispensable(&run.request);
        if dispensable == 0 || self.fleet.failure_rate(now) > FAILING {
            return;
        }
        let work = self.params(&run.request).work;
        let usual = self.fleet.median_latency(work).unwrap_or_default();
        let in_time = Duration::from_millis(soft.after_ms).mul_f64(IN_TIME);
        let in_time = in_time.saturating_sub(usual);
        let waits = self.fleet.expected_waits(now);
        let late = waits.into_iter().filter(|(_, wait)| *wait > in_time);
        for (group, wait) in late.take(dispensable) {
            let in_group = |(_, part): &(&PartId, &Part)| part.group == group;
            let Some(id) = run.parts.iter().find(in_group).map(|(id, _)| *id) else {
                continue;
            };
            let why = format!("part {id} would wait {wait:?}, in time is {in_time:?}");
            self.log(Some(run.request.id), "leave_out", None, why);
            run.give_up(id);
        }
    }

    /// Lets `act` change a run, and ends the run if that decided it.
    pub(super) fn with_run(
        &mut self,
        id: RequestId,
        now: Time,
        act: impl FnOnce(&mut Self, &mut Search<C>),
    ) {
        let Some(mut run) = self.runs.remove(&id) else {
            return;
        };
        act(self, &mut run);
        self.decide_deferred(&mut run, now);
        self.settle(run, now);
    }

    /// Ends a run as soon as nothing but the deadline would.
    fn settle(&mut self, mut run: Search<C>, now: Time) {
        if let Some(version) = self.restart_version(&run, now) {
            self.restart(&mut run, version, now);
        }
        if run.is_complete(&self.route) || !run.is_open() {
            let reason = run.reason();
            self.finish_search(run, reason, now);
            return;
        }
        if self.is_hopeless(&run) {
            let reason = run.reason();
            self.finish_search(run, reason, now);
            return;
        }
        if self.is_enough(&run, now) {
            self.finish_search(run, Reason::Deadline, now);
            return;
        }
        self.runs.insert(run.request.id, run);
    }

    /// Tells whether waiting on is no longer worth it.
    fn is_enough(&self, run: &Search<C>, now: Time) -> bool {
        let Some(soft) = self.params(&run.request).soft_deadline else {
            return false;
        };
        let times = self.soft_times(run);
        let at = match run.has_delegated() {
            true => times.last(),
            false => times.first(),
        };
        at.is_some_and(|at| now >= *at) && run.coverage(&self.route) >= soft.coverage
    }

    /// Tells whether so much was given up that no answer can come of the rest. Waiting on would hold
    /// the caller, and the servers with it, for nothing.
    pub(super) fn is_hopeless(&self, run: &Search<C>) -> bool {
        let least = self.params(&run.request).min_coverage;
        let is_whole = || run.parts.values().all(|part| part.given_up.is_none());
        least > 0.0 && !is_whole() && run.reachable(&self.route, None) < least
    }

    /// Returns what rests on another attempt for a part.
    fn need(&self, run: &Search<C>, id: PartId, cause: Cause) -> Importance {
        let least = self.params(&run.request).min_coverage;
        let is_retry = matches!(cause, Cause::Retry | Cause::Overdue);
        if !is_retry || least <= 0.0 || run.reachable(&self.route, Some(id)) < least {
            return Importance::Required(run.retries);
        }
        Importance::Optional
    }

    /// Returns the version at which a run begins again: once, if its own has vanished and there is
    /// time for a reply at a newer one.
    fn restart_version(&self, run: &Search<C>, now: Time) -> Option<IndexVersion> {
        let pinned = run.pin?;
        let newer = self.pin.version().filter(|version| *version > pinned)?;
        let is_low = pinned < self.route.minimum_index_version;
        let gone = |part: &&Part| part.vanished || is_low;
        let part = run.parts.values().find(gone)?;
        let server = self.route.groups.get(part.group)?.backend_servers.first()?;
        let needed = self.fleet.hedge_delay(*server, RESTART_QUANTILE, now);
        let in_time = now + needed < run.request.deadline;
        (!run.restarted && in_time).then_some(newer)
    }

    fn restart(&mut self, run: &mut Search<C>, version: IndexVersion, now: Time) {
        let why = format!(
            "version {} vanished, again at {version}",
            run.pin.unwrap_or(0)
        );
        self.log(Some(run.request.id), "restart", None, why);
        for attempt in run.restart(version, &self.route) {
            self.cancel(attempt, now);
        }
        self.assign_all(run, Cause::First, now);
    }

    pub(super) fn assign_all(&mut self, run: &mut Search<C>, cause: Cause, now: Time) {
        run.yields = self.yields(&run.request, now);
        let wanted = run.parts.iter().filter(|(_, part)| part.given_up.is_none());
        for part in wanted.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.assign(run, part, cause, now);
        }
    }

    /// Tries again for a part that waited, or for which no server was in sight.
    pub(super) fn resume_part(&mut self, request: RequestId, id: PartId, now: Time) {
        self.with_run(request, now, |home, run| {
            run.yields = home.yields(&run.request, now);
            let Some(part) = run.parts.get_mut(&id) else {
                return;
            };
            if part.live.is_empty() {
                part.given_up = None;
                part.vanished = false;
                let cause = part.cause;
                home.assign(run, id, cause, now);
            }
        });
    }

    /// Finds a server for a part. Without one the part waits if one is expected to have room before
    /// the deadline, and is given up otherwise.
    pub(super) fn assign(&mut self, run: &mut Search<C>, id: PartId, cause: Cause, now: Time) {
        if cause != Cause::Retry || !self.defers(run, id, now) {
            let need = self.need(run, id, cause);
            self.assign_with(run, id, cause, need, now);
        }
    }

    /// Does so for an attempt on which so much rests.
    pub(super) fn assign_with(
        &mut self,
        run: &mut Search<C>,
        id: PartId,
        cause: Cause,
        need: Importance,
        now: Time,
    ) {
        let params = self.params(&run.request);
        let Some(part) = run.parts.get_mut(&id) else {
            return;
        };
        if !cause.is_second() {
            part.cause = cause;
        }
        let many = cause == Cause::Retry && part.attempts >= self.route.retry.attempts;
        if many || part.may_have_run() >= params.max_runs {
            if part.live.is_empty() {
                part.give_up();
            }
            return;
        }
        let group = part.group;
        if !self.suspects.may_send(run.request.fingerprint, now) {
            if part.live.is_empty() {
                let held = self.held.entry(run.request.fingerprint).or_default();
                held.insert(run.waiter(id));
            }
            return;
        }
        match self.pick(run, id, now) {
            Some((server, why)) if self.afford(group, cause, need, now) => {
                run.retries += u32::from(cause == Cause::Retry);
                self.log(Some(run.request.id), cause.label(), Some(server), why);
                self.ask(run, id, server, cause, now);
            }
            Some((server, _)) => self.deny(run, id, server, cause),
            None => self.park(run, id, now),
        }
    }

    /// Chooses a server that was not tried for the part; if there is none, one that was.
    fn pick(
        &mut self,
        run: &Search<C>,
        id: PartId,
        now: Time,
    ) -> Option<(BackendServerId, LeastLoaded)> {
        let part = run.parts.get(&id)?;
        let mut candidates = self.candidates(part);
        if run.yields {
            candidates.retain(|server| self.fleet.has_free_slot(*server, now));
        }
        let version = run.pin;
        let fleet = &mut self.fleet;
        let fresh = fleet.choose(&candidates, &part.tried, version, now, &mut self.rng);
        let choice = match fresh {
            Some(choice) => Some(choice),
            None if part.tried.is_empty() || !part.live.is_empty() => None,
            None => fleet.choose(&candidates, &[], version, now, &mut self.rng),
        };
        choice.map(|choice| (choice.server, choice.why))
    }

    fn candidates(&self, part: &Part) -> SmallVec<[BackendServerId; 4]> {
        let group = self.route.groups.get(part.group);
        let servers = group.into_iter().flat_map(|group| &group.backend_servers);
        let able =
            servers.filter(|server| !part.excluded.contains(server) && !self.is_old(**server));
        able.copied().collect()
    }

    /// Takes what an attempt costs out of the budgets. Returns whether it may be made.
    pub(super) fn afford(
        &mut self,
        group: usize,
        cause: Cause,
        need: Importance,
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
                let may = budgets.take_retry(need, now);
                self.counts.retries_denied += u64::from(!may);
                may
            }
            Cause::Hedge => {
                let may = budgets.take_hedge(now);
                self.counts.hedges_denied += u64::from(!may);
                may
            }
            Cause::LateHedge => {
                let may = budgets.take_required_hedge(now);
                self.counts.hedges_denied += u64::from(!may);
                may
            }
        }
    }

    fn deny(&mut self, run: &mut Search<C>, id: PartId, server: BackendServerId, cause: Cause) {
        let Some(part) = run.parts.get_mut(&id) else {
            return;
        };
        if part.live.is_empty() {
            part.give_up();
        }
        let why = format!("budget of {} spent, part {id}", cause.label());
        self.log(Some(run.request.id), "deny", Some(server), why);
    }

    fn ask(
        &mut self,
        run: &mut Search<C>,
        id: PartId,
        server: BackendServerId,
        cause: Cause,
        now: Time,
    ) {
        let Some(part) = run.parts.get_mut(&id) else {
            return;
        };
        let task = Task {
            owner: Owner::Part(run.request.id, id),
            request: &run.request,
            server,
            asked: part.wanted.clone(),
            version: run.pin,
            cause,
        };
        part.attempts += 1;
        part.tried.push(server);
        part.live.push(self.enqueue(task, now));
    }

    /// Lets a part wait for room. Where none is to be expected in time it counts as given up, so
    /// that the answer waits for nothing; but as long as other parts are in progress, a server that
    /// comes back is asked.
    fn park(&mut self, run: &mut Search<C>, id: PartId, now: Time) {
        let (version, deadline) = (run.pin, run.request.deadline);
        let waiter = run.waiter(id);
        let Some(part) = run.parts.get_mut(&id) else {
            return;
        };
        if !part.live.is_empty() {
            return;
        }
        let waiting = self.waiting.entry(part.group).or_default();
        waiting.insert(waiter);
        let candidates = self.candidates(part);
        let hopeful = |server: &BackendServerId| self.is_hopeful(*server, version, deadline, now);
        if candidates.iter().any(hopeful) {
            return;
        }
        part.vanished = self.has_vanished(part.group, version);
        part.give_up();
        let group = part.group;
        let skip_reasons = self.skip_reasons(group, version, deadline, now);
        let why = format!("no server for part {id}, {skip_reasons}");
        self.log(Some(run.request.id), "give_up", None, why);
    }

    /// Sends a second attempt for a part whose only one is slow. Returns whether it did.
    pub(super) fn double(
        &mut self,
        request: RequestId,
        part: PartId,
        cause: Cause,
        now: Time,
    ) -> bool {
        let queued = self.next_attempt;
        self.with_run(request, now, |home, run| {
            let fingerprint = run.request.fingerprint;
            let clear = home.suspects.status(fingerprint, now) == Status::Clear;
            let most = match cause {
                Cause::Overdue => home.route.retry.attempts,
                _ => u32::MAX,
            };
            let single = |part: &Part| part.live.len() == 1 && part.attempts < most;
            if clear && run.parts.get(&part).is_some_and(single) {
                home.assign(run, part, cause, now);
            }
        });
        self.next_attempt > queued
    }

    /// Ends a search with what it has, and cancels what is still being asked for.
    pub(super) fn finish_search(&mut self, run: Search<C>, reason: Reason, now: Time) {
        for attempt in run.live() {
            self.cancel(attempt, now);
        }
        for at in self.soft_times(&run) {
            self.timers.clear(at, Timer::Soft(run.request.id));
        }
        let waits = run
            .parts
            .iter()
            .map(|(id, part)| (part.group, run.waiter(*id)));
        for (group, waiter) in waits {
            self.forget(group, &waiter);
        }
        let request = run.request.clone();
        let began = run.started;
        let least = self.params(&request).min_coverage;
        let outcome = run.finish(&self.route, least, reason);
        let why = summary(&outcome, reason);
        self.log(Some(request.id), "finish", None, why);
        self.finish(&request, began, outcome, now);
    }

    /// Cancels attempts that lost against another.
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
