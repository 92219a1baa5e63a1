//! What happens to the attempts and servers of a fleet.

use super::choice;
use super::fleet::{Attempt, Fleet, WORKS_AT_MOST};
use super::latency::Latency;
use super::ramp::Ramp;
use super::verdict::{StatusChange, Verdict};
use crate::attempt::{AttemptId, Failure, Refusal};
use crate::reply::Report;
use crate::{Time, WorkKind};
use monsoonring_configuration::id::{BackendServerId, Incarnation};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Back-off after a refusal that names no time; it doubles with each further one.
const BACK_OFF: Duration = Duration::from_millis(50);
const BACK_OFF_DOUBLINGS: u32 = 5;

/// Longest back-off that a server may ask for: a wrong number must not take it out for good.
const BACK_OFF_AT_MOST: Duration = Duration::from_secs(30);

/// Largest part by which a back-off is lengthened, so that homes don't come back all at once.
const JITTER: f64 = 0.5;

/// Time after which a cancelled attempt that was never confirmed is forgotten.
const CANCELLED_FORGOTTEN: Duration = Duration::from_secs(5);

impl Fleet {
    /// Records that an attempt was sent.
    pub fn sent(&mut self, server: BackendServerId, attempt: AttemptId, now: Time) {
        self.sent_for(WorkKind::default(), server, attempt, now);
    }

    /// Records that an attempt was sent that asks for this kind of work.
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
        let reported = state.reported.map(|reported| reported.others);
        if let Some(state) = self.servers.get_mut(&server) {
            state.outstanding += 1;
            state.probe.sent();
            if let Some(warming) = &mut state.warming {
                warming.queue();
            }
            self.groups[state.group].note_sent(now);
        }
        let record = Attempt {
            server,
            sent: now,
            work,
            cancelled: None,
            overdue: false,
            has_left: false,
            earlier: false,
            reported,
            load,
        };
        self.attempts.insert(attempt, record);
    }

    /// Records that an attempt has left for its server, for which it waited until now.
    pub fn transmitted(&mut self, attempt: AttemptId, now: Time) {
        let Some(record) = self.attempts.get_mut(&attempt) else {
            return;
        };
        record.has_left = true;
        let server = self.servers.get_mut(&record.server);
        if let Some(warming) = server.and_then(|server| server.warming.as_mut()) {
            warming.send(now);
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
            state.probe.want(silence_timeout, now);
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
        let (server, load, earlier) = (record.server, record.load, record.earlier);
        let work = record.work;
        let took = now.saturating_sub(record.sent);
        if let Some(state) = self.servers.get_mut(&server) {
            state.cancelling += 1;
        }
        if !earlier && took > self.quantile(server, 0.5) {
            self.measured(server, work, took, load, now);
        }
    }

    /// Records a reply.
    pub fn replied(&mut self, attempt: AttemptId, report: &Report, now: Time) -> StatusChange {
        let Some(record) = self.end(attempt) else {
            return StatusChange::default();
        };
        if record.earlier {
            return StatusChange::default();
        }
        if record.cancelled.is_none() {
            let took = now.saturating_sub(record.sent);
            self.measured(record.server, record.work, took, record.load, now);
            self.predicted(&record, took);
        }
        self.grow(record.server);
        if let Some(state) = self.servers.get_mut(&record.server) {
            state.ended(false, now);
        }
        self.heard(record.server, report, now)
    }

    /// Records that an attempt ended without a usable reply.
    pub fn failed(&mut self, attempt: AttemptId, failure: &Failure, now: Time) -> Verdict {
        let Some(record) = self.end(attempt) else {
            return Verdict::default();
        };
        let server = record.server;
        if record.earlier {
            return Verdict {
                discard_connection: true,
                not_run: failure.is_not_run(),
                server: Some(server),
                ..Verdict::default()
            };
        }
        if let Some(state) = self.servers.get_mut(&server) {
            let is_own = !matches!(failure, Failure::NotSent | Failure::Dropped);
            if is_own && record.cancelled.is_none() {
                state.ended(true, now);
            }
        }
        let mut verdict = match failure {
            Failure::Refused {
                refusal,
                retry_after,
                report,
            } => self.refused(server, refusal, *retry_after, report, now),
            Failure::ServerError { report } | Failure::Cancelled { report } => Verdict {
                status_change: self.heard(server, report, now),
                ..Verdict::default()
            },
            Failure::NotSent => Verdict {
                discard_connection: true,
                not_run: true,
                ..Verdict::default()
            },
            Failure::Lost => self.lost(server),
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
        self.end(attempt);
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
            self.heard(server, report, now)
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
        self.marks.add(server, start, known, now)
    }

    /// Ends what is over: back-offs, and cancellations that were never confirmed. Returns the
    /// servers that can take work again.
    pub fn tick(&mut self, now: Time) -> Vec<BackendServerId> {
        let forgotten = |record: &Attempt| {
            record
                .cancelled
                .is_some_and(|at| at + CANCELLED_FORGOTTEN <= now)
        };
        let over: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, record)| forgotten(record))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in over {
            self.end(attempt);
        }
        let mut open = Vec::new();
        for (id, server) in &mut self.servers {
            if let Some(warming) = &mut server.warming {
                // One more may go there now, or any number.
                open.push(*id);
                warming.tick(now);
                server.warming.take_if(|warming| warming.is_over(now));
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
        let warming = self
            .servers
            .values()
            .filter_map(|server| server.warming.as_ref());
        back_offs
            .chain(warming.map(|warming| warming.next_open()))
            .chain(cancelled.map(|at| at + CANCELLED_FORGOTTEN))
            .min()
    }

    fn end(&mut self, attempt: AttemptId) -> Option<Attempt> {
        let record = self.attempts.remove(&attempt)?;
        if let Some(server) = self.servers.get_mut(&record.server) {
            server.outstanding = server.outstanding.saturating_sub(1);
            server.overdue = server.overdue.saturating_sub(usize::from(record.overdue));
            let cancelled = usize::from(record.cancelled.is_some());
            server.cancelling = server.cancelling.saturating_sub(cancelled);
            if let Some(warming) = server.warming.as_mut().filter(|_| !record.has_left) {
                warming.withdraw();
            }
            if !server.configured && server.outstanding == 0 {
                self.servers.remove(&record.server);
            }
        }
        Some(record)
    }

    fn measured(
        &mut self,
        server: BackendServerId,
        work: WorkKind,
        took: Duration,
        load: f64,
        now: Time,
    ) {
        let group = self.servers.get(&server).map(|state| state.group);
        let usual = group.map(|group| self.usual(group));
        if let (Some(state), Some(usual)) = (self.servers.get_mut(&server), usual) {
            state.measured(took, load, usual, now);
            let group = &mut self.groups[state.group];
            group.latency.record(took);
            group.usual.set(None);
            self.latency.record(took);
            self.note_work(work, took);
        }
    }

    fn note_work(&mut self, work: WorkKind, took: Duration) {
        if self.works.len() < WORKS_AT_MOST || self.works.contains_key(&work) {
            let latency = self.works.entry(work).or_insert_with(Latency::new);
            latency.record(took);
        }
    }

    /// Holds the load that was reported when the attempt left against the latency that followed.
    fn predicted(&mut self, record: &Attempt, took: Duration) {
        if let (Some(others), Some(state)) = (record.reported, self.servers.get_mut(&record.server))
        {
            state.trust.observe(others, took);
        }
    }

    fn grow(&mut self, server: BackendServerId) {
        let share = self.share();
        if let Some(state) = self.servers.get_mut(&server) {
            state.ramp = state.ramp.and_then(|ramp| ramp.replied(share));
            state.probe.answered();
            state.sheds = 0;
        }
    }

    /// Takes in what a server says of itself.
    fn heard(&mut self, server: BackendServerId, report: &Report, now: Time) -> StatusChange {
        let Some(state) = self.servers.get_mut(&server) else {
            return StatusChange::default();
        };
        // A report of an earlier start was overtaken on its way: it tells of a process that is gone.
        if report.start.is_some() && report.start < state.start {
            return StatusChange::default();
        }
        let restarted = state.start.is_some() && report.start > state.start;
        let survived = state.lost && report.start.is_some() && report.start == state.start;
        if report.start.is_some() {
            state.lost = false;
        }
        state.start = state.start.max(report.start);
        if restarted {
            state.ramp = Some(Ramp::cold());
            state.back_off = None;
        }
        if let Some(load) = report.load.filter(|_| !self.policy.ignore_load) {
            state.take_load(load, now);
        }
        state.take_versions(report);
        if let Some(start) = report.start {
            self.marks.heard(server, start);
        }
        let leaving = report.draining && self.mark_leaving(server, report.start, now);
        StatusChange {
            leaving,
            restarted,
            survived,
        }
    }

    fn refused(
        &mut self,
        server: BackendServerId,
        refusal: &Refusal,
        retry_after: Option<Duration>,
        report: &Report,
        now: Time,
    ) -> Verdict {
        let mut status_change = self.heard(server, report, now);
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
        let own = BACK_OFF * 2_u32.pow(state.sheds.min(BACK_OFF_DOUBLINGS));
        state.sheds = state.sheds.saturating_add(1);
        state.ramp = Some(Ramp::halved(state.outstanding));
        let time = retry_after.unwrap_or(own).min(BACK_OFF_AT_MOST);
        let until = now + time.mul_f64(1.0 + JITTER * spread(server, now));
        state.back_off = state.back_off.max(Some(until));
        state.back_off
    }

    fn lost(&mut self, server: BackendServerId) -> Verdict {
        if let Some(state) = self.servers.get_mut(&server) {
            state.lost = true;
        }
        Verdict {
            discard_connection: true,
            crash_evidence: true,
            ..Verdict::default()
        }
    }

    /// Returns the load of all homes to expect at a server.
    pub(super) fn expected_load(&self, state: &super::server::Server, now: Time) -> f64 {
        let usual = self.usual(state.group);
        let believed = state.trust.weight(usual.service_time.div_f64(usual.slots));
        // Homes get alike shares of the requests: where nothing better is known, each of the others
        // has as much there as this one.
        let alike = state.own() * (self.division.similar_homes() - 1.0).max(0.0);
        let reported = state.trust.mean() * believed + choice::others(state, usual, now);
        (state.own() + reported + (1.0 - believed) * alike).max(state.own())
    }
}

/// Returns a number from 0 to 1 that differs between homes: their processes did not start at the
/// same nanosecond.
fn spread(server: BackendServerId, now: Time) -> f64 {
    let hash = xxh3_64(format!("{server} {}", now.as_nanos()).as_bytes());
    hash as f64 / u64::MAX as f64
}
