//! State of one backend server at one home.

use super::cold::Warming;
use super::latency::Latency;
use super::probe::Probe;
use super::ramp::Ramp;
use super::trust::Trust;
use super::usual::Usual;
use crate::Time;
use crate::reply::{Load, Report};
use monsoonring_configuration::id::{Incarnation, IndexVersion};
use std::time::Duration;

/// Weight of a new work time in the mean.
const SERVICE_TIME_GAIN: f64 = 0.05;

/// Weight of a new latency in the recent mean.
const RECENT_GAIN: f64 = 0.2;

/// Multiple of what is usual in its group from which a latency is out of the ordinary, and the weight of such a one
/// that follows another: a server that has turned slow by ten shows after two attempts in place of four,
/// and one attempt that met a pause moves nothing.
const SURPRISING: f64 = 2.5;
const SURPRISING_GAIN: f64 = 0.6;

/// Weight of a new attempt in the share of those that failed.
const FAILING_GAIN: f64 = 0.2;

/// Time after which a share of failed attempts has halved. A server that is avoided for it is tried
/// again by a real request about once a second, and one that has recovered is in use again as soon
/// as a few of these succeed.
const FAILING_HALF_LIFE: Duration = Duration::from_secs(2);

/// Time after which what a server reported of others' load has halved.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(200);

/// Age up to which a report tells how a server stands.
const REPORT_RECENT: Duration = Duration::from_millis(500);

/// Cap on a reported queueing delay, as a multiple of the recent latency. Reports run ahead of latencies while a queue builds up.
const REPORT_CAP: f64 = 3.0;

/// Share of an attempt that still counts as load while it is being cancelled: most servers drop a
/// queued attempt at once and end a running one soon.
const CANCELLING_LOAD: f64 = 0.5;

/// Load that others have at a server, by its last report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reported {
    pub(crate) others: f64,
    pub(crate) at: Time,
}

/// State of one backend server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) group: usize,
    /// Whether the configuration names it; otherwise it only finishes its attempts.
    pub(crate) configured: bool,
    pub(crate) reachable: bool,
    /// Whether it is in another data centre than this home.
    pub(crate) far: bool,
    pub(crate) outstanding: usize,
    pub(crate) cancelling: usize,
    /// Own attempts that take far longer than is usual here.
    pub(crate) overdue: usize,
    pub(crate) latency: Latency,
    pub(crate) trust: Trust,
    pub(crate) reported: Option<Reported>,
    pub(crate) ramp: Option<Ramp>,
    /// Where it is cold, or was: what is sent to it in a second is bounded.
    pub(crate) warming: Option<Warming>,
    pub(crate) probe: Probe,
    pub(crate) back_off: Option<Time>,
    /// Refusals for load since the last reply.
    pub(crate) sheds: u32,
    pub(crate) start: Option<Incarnation>,
    pub(crate) versions: Vec<IndexVersion>,
    /// A connection was lost under an attempt, and no sign of the process was seen since.
    pub(crate) lost: bool,
    /// Share of the recent attempts that failed, and when that was last added to.
    failing: Option<(f64, Time)>,
    /// Recent mean latency, in seconds, and when it was last added to.
    pub(crate) recent: Option<(f64, Time)>,
    /// Whether the last latency was out of the ordinary.
    surprised: bool,
    /// Mean work time without waiting, in seconds.
    service_time: Option<f64>,
}

impl Server {
    pub(crate) fn new(group: usize, ramp: Option<Ramp>) -> Self {
        Self {
            group,
            configured: true,
            reachable: true,
            far: false,
            outstanding: 0,
            cancelling: 0,
            overdue: 0,
            latency: Latency::new(),
            trust: Trust::default(),
            reported: None,
            ramp,
            warming: None,
            probe: Probe::default(),
            back_off: None,
            sheds: 0,
            start: None,
            versions: Vec::new(),
            lost: false,
            failing: None,
            recent: None,
            surprised: false,
            service_time: None,
        }
    }

    /// Makes a server that may be cold.
    pub(crate) fn warmed_by(self, warming: Option<Warming>) -> Self {
        Self { warming, ..self }
    }

    /// Returns the state of a new start at the same address: what is outstanding stays so.
    pub(crate) fn replaced(&self) -> Self {
        Self {
            configured: self.configured,
            far: self.far,
            outstanding: self.outstanding,
            cancelling: self.cancelling,
            overdue: self.overdue,
            ..Self::new(self.group, Some(Ramp::cold()))
        }
    }

    /// Returns own load: attempts outstanding, those being cancelled counted in part.
    pub(crate) fn own(&self) -> f64 {
        let gone = (1.0 - CANCELLING_LOAD) * self.cancelling as f64;
        self.outstanding as f64 - gone
    }

    /// Returns how many own attempts may be outstanding, out of `share` connections.
    pub(crate) fn limit(&self, share: usize) -> usize {
        self.ramp.map_or(share, |ramp| ramp.limit().min(share))
    }

    /// Tells whether it can take an attempt now, as far as it is itself concerned.
    pub(crate) fn is_open(&self, share: usize, now: Time) -> bool {
        self.configured
            && self.reachable
            && self.back_off.is_none_or(|until| until <= now)
            && self.outstanding < self.limit(share)
    }

    /// Tells whether it may serve `version`; a server that never named its versions may.
    pub(crate) fn serves(&self, version: Option<IndexVersion>) -> bool {
        version.is_none_or(|version| self.versions.is_empty() || self.versions.contains(&version))
    }

    /// Returns the mean work time, where it is known.
    pub(crate) fn service_time(&self) -> Option<Duration> {
        self.service_time.map(Duration::from_secs_f64)
    }

    /// Records the latency of an attempt that left when `load` attempts of all homes were at the
    /// server's slots, where this is `usual` in its group.
    pub(crate) fn measured(&mut self, latency: Duration, load: f64, usual: Usual, now: Time) {
        self.latency.record(latency);
        let slots = usual.slots;
        let seconds = latency.as_secs_f64();
        // Behind `load` others each slot works off `load / slots` attempts before this one ends.
        let service_time = seconds / ((load + 1.0) / slots).max(1.0);
        self.service_time = Some(blend(self.service_time, service_time, SERVICE_TIME_GAIN));
        let recent = self.recent.map(|(recent, _)| recent);
        let is_surprising = seconds > SURPRISING * usual.median.as_secs_f64();
        let gain = match is_surprising && self.surprised {
            true => SURPRISING_GAIN,
            false => RECENT_GAIN,
        };
        self.surprised = is_surprising;
        self.recent = Some((blend(recent, seconds, gain), now));
    }

    /// Records whether an attempt failed by the server's doing.
    pub(crate) fn ended(&mut self, failed: bool, now: Time) {
        let value = if failed { 1.0 } else { 0.0 };
        let share = blend(Some(self.failing(now)), value, FAILING_GAIN);
        self.failing = Some((share, now));
    }

    /// Returns the share of the recent attempts that failed, less the longer ago they were.
    pub(crate) fn failing(&self, now: Time) -> f64 {
        let Some((share, at)) = self.failing else {
            return 0.0;
        };
        let age = now.saturating_sub(at).as_secs_f64();
        share * (-age / FAILING_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Returns the queueing delay of a new attempt here, by the last report and this home's own attempts. It is capped by a multiple of
    /// the recent latency: a server that reports a long queue and answers quickly reports wrongly.
    pub(crate) fn reported_wait(&self, usual: Usual, now: Time) -> Duration {
        let own = usual.wait(self.own());
        let said = usual.wait(self.reported_load(now));
        let recent = self.recent.map_or(0.0, |(recent, _)| recent);
        said.min(own.max(Duration::from_secs_f64(recent * REPORT_CAP)))
    }

    /// Tells whether it has reported its load recently.
    pub(crate) fn is_reported(&self, now: Time) -> bool {
        self.reported
            .is_some_and(|reported| now.saturating_sub(reported.at) < REPORT_RECENT)
    }

    /// Returns the attempts of all homes here, by its last report and what this home has here.
    pub(crate) fn reported_load(&self, now: Time) -> f64 {
        let Some(reported) = self.reported else {
            return self.own();
        };
        let age = now.saturating_sub(reported.at).as_secs_f64();
        let fading = (-age / REPORT_HALF_LIFE.as_secs_f64()).exp2();
        self.own() + reported.others * fading
    }

    /// Takes in the load that the server reports.
    pub(crate) fn take_load(&mut self, load: Load, now: Time) {
        let all = f64::from(load.busy) + f64::from(load.queued);
        let others = (all - self.own()).max(0.0);
        self.reported = Some(Reported { others, at: now });
    }

    /// Takes in the index versions that the server reports.
    pub(crate) fn take_versions(&mut self, report: &Report) {
        if !report.index_versions.is_empty() {
            self.versions.clone_from(&report.index_versions);
            self.versions.sort_unstable();
        }
    }
}

fn blend(mean: Option<f64>, value: f64, gain: f64) -> f64 {
    mean.map_or(value, |mean| mean + gain * (value - mean))
}
