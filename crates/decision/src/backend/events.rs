//! What happens to the attempts and servers of a fleet.

use super::choice;
use super::fleet::{Attempt, Fleet, MAX_WORK_KINDS};
use super::latency::Latency;
use super::ramp::Ramp;
use super::verdict::{StatusChange, Verdict};
use crate::attempt::{AttemptId, Failure, Refusal};
use crate::reply::Report;
use crate::{Time, Work};
use monsoonring_configuration::id::{BackendServerId, Incarnation};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Back-off after a refusal that names no time; it doubles with each further one.
const BASE_BACK_OFF: Duration = Duration::from_millis(50);
const MAX_BACK_OFF_DOUBLINGS: u32 = 5;

/// Longest back-off that a server may ask for: a wrong number must not take it out for good.
const MAX_BACK_OFF: Duration = Duration::from_secs(30);

/// Largest part by which a back-off is lengthened, so that homes don't come back all at once.
const MAX_JITTER: f64 = 0.5;

/// Time after which a cancelled attempt that was never confirmed is forgotten.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

impl Fleet {
    /// Records that an attempt was sent.
    pub fn sent(&mut self, server: BackendServerId, attempt: AttemptId, now: Time) {
        self.sent_for(Work::default(), server, attempt, now);
    }

    /// Records that an attempt was sent that asks for this kind of work.
    pub fn sent_for(&mut self, work: Work, server: BackendServerId, attempt: AttemptId, now: Time) {
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

    /// Records that an attempt has left for its server, for which it waited until now.
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

    /// Records that an attempt takes far longer than its server usually does.
    ///
    /// Its connection may be silent, and the server be idle. While attempts that never end count as
    /// load, the server would get no other one that could show it. So the next attempt goes there,
    /// and only if that one is stuck too does the server count as loaded again.
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
    /// The time that it took so far is a lower bound of its latency. Without it a straggler whose
    /// attempts always lose against their hedges would look as fast as the few that it wins.
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
            self.record_latency(server, work, elapsed, load, now);
        }
    }

    /// Records a reply.
    pub fn replied(&mut self, attempt: AttemptId, report: &Report, now: Time) -> StatusChange {
        let Some(record) = self.remove_attempt(attempt) else {
            return StatusChange::default();
        };
        if record.stale {
            return StatusChange::default();
        }
        if record.cancelled.is_none() {
            let elapsed = now.saturating_sub(record.sent);
            self.record_latency(record.server, record.work, elapsed, record.load, now);
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
                not_run: failure.is_unrun(),
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
            Failure::Ran { report } | Failure::Cancelled { report } => Verdict {
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

    /// Forgets an attempt whose connection was found silent; no blame falls on the server.
    pub fn forget(&mut self, attempt: AttemptId, _now: Time) {
        self.remove_attempt(attempt);
    }

    /// Takes in what the load endpoint says, `None` where it did not answer.
    ///
    /// An endpoint without an answer says nothing about the server: requests may still be served.
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

    /// Marks a server as leaving with the given start number. Returns whether that is new.
    pub fn mark_leaving(
        &mut self,
        server: BackendServerId,
        start: Option<Incarnation>,
        now: Time,
    ) -> bool {
        let known = self.start(server);
        self.leaving.add(server, start, known, now)
    }

    /// Ends what is over: back-offs, and cancellations that were never confirmed. Returns the
    /// servers that can take work again.
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
            if let Some(warm_up) = &mut server.warm_up {
                // One more may go there now, or any number.
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

    /// Returns the time at which [`Self::tick`] has something to do.
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
        work: Work,
        elapsed: Duration,
        load: f64,
        now: Time,
    ) {
        let group = self.servers.get(&server).map(|state| state.group);
        let baseline = group.map(|group| self.baseline(group));
        if let (Some(state), Some(baseline)) = (self.servers.get_mut(&server), baseline) {
            state.record_latency(elapsed, load, baseline, now);
            let group = &mut self.groups[state.group];
            group.latency.record(elapsed);
            group.baseline.set(None);
            self.latency.record(elapsed);
            self.record_work_latency(work, elapsed);
        }
    }

    fn record_work_latency(&mut self, work: Work, elapsed: Duration) {
        if self.latency_by_work.len() < MAX_WORK_KINDS || self.latency_by_work.contains_key(&work) {
            let latency = self
                .latency_by_work
                .entry(work)
                .or_insert_with(Latency::new);
            latency.record(elapsed);
        }
    }

    /// Holds the load that was reported when the attempt left against the latency that followed.
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

    /// Takes in what a server says of itself.
    fn apply_report(
        &mut self,
        server: BackendServerId,
        report: &Report,
        now: Time,
    ) -> StatusChange {
        let Some(state) = self.servers.get_mut(&server) else {
            return StatusChange::default();
        };
        // A report of an earlier start was overtaken on its way: it tells of a process that is gone.
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

    /// Leaves a server alone for a time, and halves what it gets after that. Homes that were all
    /// refused at the same time would otherwise all come back at the same time with all they had.
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

    /// Returns the load of all homes to expect at a server.
    pub(super) fn expected_load(&self, state: &super::server::Server, now: Time) -> f64 {
        let baseline = self.baseline(state.group);
        let report_weight = state
            .load_regression
            .weight(baseline.service_time.div_f64(baseline.slots));
        // Homes get alike shares of the requests: where nothing better is known, each of the others
        // has as much there as this one.
        let assumed_others = state.own_load() * (self.division.alike() - 1.0).max(0.0);
        let reported_others = state.load_regression.mean() * report_weight
            + choice::excess_load(state, baseline, now);
        (state.own_load() + reported_others + (1.0 - report_weight) * assumed_others)
            .max(state.own_load())
    }
}

/// Returns a number from 0 to 1 that differs between homes: their processes did not start at the
/// same nanosecond.
fn jitter(server: BackendServerId, now: Time) -> f64 {
    let hash = xxh3_64(format!("{server} {}", now.as_nanos()).as_bytes());
    hash as f64 / u64::MAX as f64
}
