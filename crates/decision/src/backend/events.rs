//! Events of the attempts and servers of a fleet.

use super::choice;
use super::fleet::{Attempt, Fleet, MAX_WORK_KINDS};
use super::latency::Latency;
use super::ramp::Ramp;
use super::server::End;
use super::verdict::{StatusChange, Verdict};
use crate::attempt::{AttemptId, Failure, Refusal};
use crate::reply::Report;
use crate::{Time, WorkKind};
use monsoonring_configuration::id::{BackendServerId, Incarnation};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Back-off after a refusal without a `retry_after`; it doubles with each consecutive refusal.
const BASE_BACK_OFF: Duration = Duration::from_millis(50);
const MAX_BACK_OFF_DOUBLINGS: u32 = 5;

/// Upper bound on the back-off that a server may ask for, so that a wrong value doesn't exclude it
/// forever.
const MAX_BACK_OFF: Duration = Duration::from_secs(30);

/// Maximum jitter, as a share of the back-off, so that homes don't return to a server
/// simultaneously.
const MAX_JITTER: f64 = 0.5;

/// Time after which a cancelled attempt counts as ended although its end was never confirmed.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

impl Fleet {
    /// Records that an attempt was assigned to a server; it may still wait for a connection.
    pub fn sent(&mut self, server: BackendServerId, attempt: AttemptId, now: Time) {
        self.sent_for(WorkKind::default(), server, attempt, now);
    }

    /// Records that an attempt for this kind of work was assigned to a server.
    pub fn sent_for(
        &mut self,
        work: WorkKind,
        server: BackendServerId,
        attempt: AttemptId,
        now: Time,
    ) {
        let Some(state) = self.servers.get(&server) else {
            return;
        };
        let load = self.expected_load(state, now);
        let reported_others = state.last_report.map(|report| report.others);
        if let Some(state) = self.servers.get_mut(&server) {
            state.outstanding += 1;
            state.probe.sent();
            if let Some(warm_up) = &mut state.warm_up {
                warm_up.enqueue();
            }
            self.groups[state.group].record_sent(now);
        }
        let record = Attempt {
            server,
            sent: now,
            work,
            cancelled: None,
            overdue: false,
            is_transmitted: false,
            stale: false,
            reported_others,
            load,
        };
        self.attempts.insert(attempt, record);
    }

    /// Records that an attempt was written to a connection of its server.
    pub fn transmitted(&mut self, attempt: AttemptId, now: Time) {
        let Some(record) = self.attempts.get_mut(&attempt) else {
            return;
        };
        record.is_transmitted = true;
        let server = self.servers.get_mut(&record.server);
        if let Some(warm_up) = server.and_then(|server| server.warm_up.as_mut()) {
            warm_up.record_sent(now);
        }
    }

    /// Records that an attempt has exceeded the silence timeout of its server.
    ///
    /// The cause may be a dead connection to an idle server. Stuck attempts count as load, so the
    /// server would get no further attempt that could prove it healthy. The next attempt is
    /// therefore sent there as a probe, and the normal score applies again if that one gets stuck
    /// too.
    pub fn overdue(&mut self, attempt: AttemptId, now: Time) {
        let Some(record) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if std::mem::replace(&mut record.overdue, true) {
            return;
        }
        let server = record.server;
        let silence_timeout = self.silence_timeout(server, now);
        if let Some(state) = self.servers.get_mut(&server) {
            state.overdue += 1;
            state.probe.request(silence_timeout, now);
        }
    }

    /// Records that an attempt is being cancelled; it stays outstanding until it ends.
    ///
    /// The time elapsed so far is recorded as a lower bound of the attempt's latency. Otherwise a
    /// slow server whose attempts lose to their hedges would be measured only by the few attempts
    /// that win.
    pub fn cancelling(&mut self, attempt: AttemptId, now: Time) {
        let Some(record) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if record.cancelled.is_some() {
            return;
        }
        record.cancelled = Some(now);
        let (server, load, stale) = (record.server, record.load, record.stale);
        let work = record.work;
        let elapsed = now.saturating_sub(record.sent);
        if let Some(state) = self.servers.get_mut(&server) {
            state.cancelling += 1;
        }
        if !stale && elapsed > self.quantile(server, 0.5) {
            self.record_latency(server, work, End::Cancelled, elapsed, load, now);
        }
    }

    /// Records a reply and the server's report in it.
    pub fn replied(&mut self, attempt: AttemptId, report: &Report, now: Time) -> StatusChange {
        let Some(record) = self.remove_attempt(attempt) else {
            return StatusChange::default();
        };
        if record.stale {
            return StatusChange::default();
        }
        if record.cancelled.is_none() {
            let elapsed = now.saturating_sub(record.sent);
            let Attempt {
                server, work, load, ..
            } = record;
            self.record_latency(server, work, End::Answered, elapsed, load, now);
            self.record_prediction(&record, elapsed);
        }
        self.advance_ramp(record.server);
        if let Some(state) = self.servers.get_mut(&record.server) {
            state.record_outcome(false, now);
        }
        self.apply_report(record.server, report, now)
    }

    /// Records that an attempt ended without a usable reply.
    pub fn failed(&mut self, attempt: AttemptId, failure: &Failure, now: Time) -> Verdict {
        let Some(record) = self.remove_attempt(attempt) else {
            return Verdict::default();
        };
        let server = record.server;
        if record.stale {
            return Verdict {
                discard_connection: true,
                not_run: failure.is_not_run(),
                server: Some(server),
                ..Verdict::default()
            };
        }
        if let Some(state) = self.servers.get_mut(&server) {
            let is_server_fault = !matches!(failure, Failure::NotSent | Failure::Dropped);
            if is_server_fault && record.cancelled.is_none() {
                state.record_outcome(true, now);
            }
        }
        let mut verdict = match failure {
            Failure::Refused {
                refusal,
                retry_after,
                report,
            } => self.handle_refusal(server, refusal, *retry_after, report, now),
            Failure::ServerError { report } | Failure::Cancelled { report } => Verdict {
                status_change: self.apply_report(server, report, now),
                ..Verdict::default()
            },
            Failure::NotSent => Verdict {
                discard_connection: true,
                not_run: true,
                ..Verdict::default()
            },
            Failure::Lost => self.handle_loss(server),
            Failure::Dropped | Failure::Mismatched => Verdict {
                discard_connection: true,
                ..Verdict::default()
            },
        };
        verdict.server = Some(server);
        verdict
    }

    /// Removes an attempt whose connection was found silent, without counting it as a failure of
    /// the server.
    pub fn forget(&mut self, attempt: AttemptId, _now: Time) {
        self.remove_attempt(attempt);
    }

    /// Records a poll of the load endpoint; `report` is `None` if the poll failed.
    ///
    /// A failed poll has no effect, because the server may still serve requests.
    pub fn polled(
        &mut self,
        server: BackendServerId,
        report: Option<&Report>,
        now: Time,
    ) -> StatusChange {
        report.map_or_else(StatusChange::default, |report| {
            self.apply_report(server, report, now)
        })
    }

    /// Marks the process with this incarnation as leaving. Returns whether the server was not
    /// marked before.
    pub fn mark_leaving(
        &mut self,
        server: BackendServerId,
        start: Option<Incarnation>,
        now: Time,
    ) -> bool {
        let known = self.start(server);
        self.leaving.add(server, start, known, now)
    }

    /// Ends expired back-offs, cold periods and unconfirmed cancellations. Returns the servers that
    /// may be able to take work again.
    pub fn tick(&mut self, now: Time) -> Vec<BackendServerId> {
        let is_expired = |record: &Attempt| {
            record
                .cancelled
                .is_some_and(|at| at + CANCEL_TIMEOUT <= now)
        };
        let expired: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, record)| is_expired(record))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in expired {
            self.remove_attempt(attempt);
        }
        let mut open = Vec::new();
        for (id, server) in &mut self.servers {
            if let Some(warm_up) = &server.warm_up {
                // The quota may allow another attempt, or the cold period may have ended.
                open.push(*id);
                warm_up.tick(now);
                server.warm_up.take_if(|warm_up| warm_up.is_over(now));
            }
            if server.back_off.is_some_and(|until| until <= now) {
                server.back_off = None;
                open.push(*id);
            }
        }
        open
    }

    /// Returns the next time at which [`Self::tick`] has work to do.
    pub fn next_wake(&self) -> Option<Time> {
        let back_offs = self.servers.values().filter_map(|server| server.back_off);
        let cancelled = self.attempts.values().filter_map(|record| record.cancelled);
        let warm_up = self
            .servers
            .values()
            .filter_map(|server| server.warm_up.as_ref());
        back_offs
            .chain(warm_up.map(|warm_up| warm_up.next_open()))
            .chain(cancelled.map(|at| at + CANCEL_TIMEOUT))
            .min()
    }

    fn remove_attempt(&mut self, attempt: AttemptId) -> Option<Attempt> {
        let record = self.attempts.remove(&attempt)?;
        if let Some(server) = self.servers.get_mut(&record.server) {
            server.outstanding = server.outstanding.saturating_sub(1);
            server.overdue = server.overdue.saturating_sub(usize::from(record.overdue));
            let cancelled = usize::from(record.cancelled.is_some());
            server.cancelling = server.cancelling.saturating_sub(cancelled);
            if let Some(warm_up) = server.warm_up.as_mut().filter(|_| !record.is_transmitted) {
                warm_up.dequeue();
            }
            if !server.configured && server.outstanding == 0 {
                self.servers.remove(&record.server);
            }
        }
        Some(record)
    }

    fn record_latency(
        &mut self,
        server: BackendServerId,
        work: WorkKind,
        end: End,
        elapsed: Duration,
        load: f64,
        now: Time,
    ) {
        let group = self.servers.get(&server).map(|state| state.group);
        let baseline = group.map(|group| self.baseline(group));
        if let (Some(state), Some(baseline)) = (self.servers.get_mut(&server), baseline) {
            let service_time = baseline.service_time_of(elapsed, load);
            state.record_latency(end, elapsed, service_time, baseline, now);
            match end {
                End::Answered => self.service_times.record_answer(work, service_time),
                End::Cancelled => self.service_times.record_cancellation(work, service_time),
            }
            let group = &mut self.groups[state.group];
            group.latency.record(elapsed);
            group.baseline.set(None);
            self.latency.record(elapsed);
            self.record_work_latency(work, elapsed);
        }
    }

    fn record_work_latency(&mut self, work: WorkKind, elapsed: Duration) {
        if self.latency_by_work.len() < MAX_WORK_KINDS || self.latency_by_work.contains_key(&work) {
            let latency = self
                .latency_by_work
                .entry(work)
                .or_insert_with(Latency::new);
            latency.record(elapsed);
        }
    }

    /// Records the load that was reported when the attempt was sent, together with the latency that
    /// followed.
    fn record_prediction(&mut self, record: &Attempt, elapsed: Duration) {
        if let (Some(others), Some(state)) =
            (record.reported_others, self.servers.get_mut(&record.server))
        {
            state.load_regression.observe(others, elapsed);
        }
    }

    fn advance_ramp(&mut self, server: BackendServerId) {
        let share = self.share();
        if let Some(state) = self.servers.get_mut(&server) {
            state.ramp = state.ramp.and_then(|ramp| ramp.replied(share));
            state.probe.answered();
            state.sheds = 0;
        }
    }

    /// Updates the state of a server from its own report.
    fn apply_report(
        &mut self,
        server: BackendServerId,
        report: &Report,
        now: Time,
    ) -> StatusChange {
        let Some(state) = self.servers.get_mut(&server) else {
            return StatusChange::default();
        };
        // A delayed report from an earlier process.
        if report.start.is_some() && report.start < state.start {
            return StatusChange::default();
        }
        let restarted = state.start.is_some() && report.start > state.start;
        let survived =
            state.connection_lost && report.start.is_some() && report.start == state.start;
        if report.start.is_some() {
            state.connection_lost = false;
        }
        state.start = state.start.max(report.start);
        if restarted {
            state.ramp = Some(Ramp::cold());
            state.back_off = None;
        }
        if let Some(load) = report.load.filter(|_| !self.policy.ignore_load) {
            state.record_load(load, now);
        }
        state.record_versions(report);
        if let Some(start) = report.start {
            self.leaving.observe_start(server, start);
        }
        let leaving = report.draining && self.mark_leaving(server, report.start, now);
        StatusChange {
            leaving,
            restarted,
            survived,
        }
    }

    fn handle_refusal(
        &mut self,
        server: BackendServerId,
        refusal: &Refusal,
        retry_after: Option<Duration>,
        report: &Report,
        now: Time,
    ) -> Verdict {
        let mut status_change = self.apply_report(server, report, now);
        let mut back_off = None;
        match refusal {
            Refusal::Shedding => back_off = self.shed(server, retry_after, now),
            Refusal::Starting => {
                back_off = self.shed(server, retry_after, now);
                if let Some(state) = self.servers.get_mut(&server) {
                    state.ramp = Some(Ramp::cold());
                }
            }
            Refusal::Draining => {
                status_change.leaving |= self.mark_leaving(server, report.start, now)
            }
            Refusal::IndexVersion { served } => {
                if let Some(state) = self.servers.get_mut(&server) {
                    state.versions.clone_from(served);
                    state.versions.sort_unstable();
                }
            }
            Refusal::Connections | Refusal::Deadline | Refusal::Malformed => {}
        }
        Verdict {
            discard_connection: *refusal == Refusal::Connections,
            not_run: true,
            back_off,
            status_change,
            ..Verdict::default()
        }
    }

    /// Starts a back-off and halves the limit on outstanding attempts. Together with jitter, this
    /// keeps homes that were refused simultaneously from overloading the server again when the
    /// back-off ends.
    fn shed(
        &mut self,
        server: BackendServerId,
        retry_after: Option<Duration>,
        now: Time,
    ) -> Option<Time> {
        let state = self.servers.get_mut(&server)?;
        let pause = BASE_BACK_OFF * 2_u32.pow(state.sheds.min(MAX_BACK_OFF_DOUBLINGS));
        state.sheds = state.sheds.saturating_add(1);
        state.ramp = Some(Ramp::halved(state.outstanding));
        let time = retry_after.unwrap_or(pause).min(MAX_BACK_OFF);
        let until = now + time.mul_f64(1.0 + MAX_JITTER * jitter(server, now));
        state.back_off = state.back_off.max(Some(until));
        state.back_off
    }

    fn handle_loss(&mut self, server: BackendServerId) -> Verdict {
        if let Some(state) = self.servers.get_mut(&server) {
            state.connection_lost = true;
        }
        Verdict {
            discard_connection: true,
            crash_evidence: true,
            ..Verdict::default()
        }
    }

    /// Returns the estimated load at a server from all homes, in attempts.
    pub(super) fn expected_load(&self, state: &super::server::Server, now: Time) -> f64 {
        let baseline = self.baseline(state.group);
        let report_weight = state
            .load_regression
            .weight(baseline.service_time.div_f64(baseline.slots));
        // Requests are spread evenly over homes: without trusted reports, assume that each other
        // home has the same load there as this one.
        let assumed_others = state.own_load() * (self.division.similar_homes() - 1.0).max(0.0);
        let reported_others = state.load_regression.mean() * report_weight
            + choice::excess_load(state, baseline, now);
        (state.own_load() + reported_others + (1.0 - report_weight) * assumed_others)
            .max(state.own_load())
    }
}

/// Returns a jitter factor from 0 to 1. It differs between homes, because their clocks start at
/// different times.
fn jitter(server: BackendServerId, now: Time) -> f64 {
    let hash = xxh3_64(format!("{server} {}", now.as_nanos()).as_bytes());
    hash as f64 / u64::MAX as f64
}
