//! State of one backend server as seen by one home.

use super::baseline::Baseline;
use super::cold::WarmUp;
use super::latency::Latency;
use super::load_regression::LoadRegression;
use super::probe::Probe;
use super::ramp::Ramp;
use crate::Time;
use crate::reply::{Load, Report};
use monsoonring_configuration::id::{Incarnation, IndexVersion};
use std::time::Duration;

/// Weight of a new sample in the mean service time.
const SERVICE_TIME_GAIN: f64 = 0.05;

/// Weight of a new sample in the recent latency.
const RECENT_LATENCY_GAIN: f64 = 0.2;

/// Ratio to the group's median above which a latency is an outlier, and the weight of an outlier
/// that follows another one. A single outlier has the usual weight, while a server that has become
/// slow is detected after two attempts.
const OUTLIER_RATIO: f64 = 2.5;
const REPEATED_OUTLIER_GAIN: f64 = 0.6;

/// Weight of a new attempt in the failure rate.
const FAILURE_RATE_GAIN: f64 = 0.2;

/// Half-life of the failure rate. An avoided server is tried again as its rate decays, about once a
/// second, and a few successes bring it back into use.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Half-life of the reported load of other homes.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(200);

/// Age up to which a load report counts as recent.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);

/// Cap on a reported queueing delay, as a multiple of the recent latency. Reports rise before
/// latencies do while a queue builds up.
const MAX_REPORTED_WAIT_RATIO: f64 = 3.0;

/// Load that an attempt being cancelled still counts for: most servers drop a queued attempt
/// immediately and stop a running one soon.
const CANCELLING_WEIGHT: f64 = 0.5;

/// Load from other homes, by the last report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedLoad {
    pub(crate) others: f64,
    pub(crate) at: Time,
}

/// How an attempt ended whose latency is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Answered,
    Cancelled,
}

/// State of one backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) group: usize,
    /// Whether the server is in the configuration. One that was removed only finishes its attempts.
    pub(crate) configured: bool,
    pub(crate) reachable: bool,
    /// Whether the server is in another data centre than this home.
    pub(crate) remote: bool,
    pub(crate) outstanding: usize,
    pub(crate) cancelling: usize,
    /// Outstanding attempts that have exceeded the silence timeout.
    pub(crate) overdue: usize,
    pub(crate) latency: Latency,
    pub(crate) load_regression: LoadRegression,
    pub(crate) last_report: Option<ReportedLoad>,
    pub(crate) ramp: Option<Ramp>,
    /// Rate limit while the server is cold.
    pub(crate) warm_up: Option<WarmUp>,
    pub(crate) probe: Probe,
    pub(crate) back_off: Option<Time>,
    /// Consecutive refusals because of load.
    pub(crate) sheds: u32,
    pub(crate) start: Option<Incarnation>,
    pub(crate) versions: Vec<IndexVersion>,
    /// Whether a connection was lost during an attempt and no report has arrived since.
    pub(crate) connection_lost: bool,
    /// Failure rate of recent attempts, and when it was last updated.
    failure_rate: Option<(f64, Time)>,
    /// Moving average of latency in seconds, and when it was last updated.
    pub(crate) recent_latency: Option<(f64, Time)>,
    /// Whether the last latency was an outlier.
    last_was_outlier: bool,
    /// Mean service time in seconds, without queueing.
    service_time: Option<f64>,
}

impl Server {
    pub(crate) fn new(group: usize, ramp: Option<Ramp>) -> Self {
        Self {
            group,
            configured: true,
            reachable: true,
            remote: false,
            outstanding: 0,
            cancelling: 0,
            overdue: 0,
            latency: Latency::new(),
            load_regression: LoadRegression::default(),
            last_report: None,
            ramp,
            warm_up: None,
            probe: Probe::default(),
            back_off: None,
            sheds: 0,
            start: None,
            versions: Vec::new(),
            connection_lost: false,
            failure_rate: None,
            recent_latency: None,
            last_was_outlier: false,
            service_time: None,
        }
    }

    /// Sets the rate limit of a cold server.
    pub(crate) fn with_warm_up(self, warm_up: Option<WarmUp>) -> Self {
        Self { warm_up, ..self }
    }

    /// Returns the state after a restart of the server's process; outstanding attempts are kept.
    pub(crate) fn restarted(&self) -> Self {
        Self {
            configured: self.configured,
            remote: self.remote,
            outstanding: self.outstanding,
            cancelling: self.cancelling,
            overdue: self.overdue,
            ..Self::new(self.group, Some(Ramp::cold()))
        }
    }

    /// Returns the load of this home: outstanding attempts, with those being cancelled counted in
    /// part.
    pub(crate) fn own_load(&self) -> f64 {
        let discount = (1.0 - CANCELLING_WEIGHT) * self.cancelling as f64;
        self.outstanding as f64 - discount
    }

    /// Returns the limit on outstanding attempts of this home, given its share of connections.
    pub(crate) fn limit(&self, share: usize) -> usize {
        self.ramp.map_or(share, |ramp| ramp.limit().min(share))
    }

    /// Returns whether the server can take an attempt, apart from leaving and cold-server limits.
    pub(crate) fn is_open(&self, share: usize, now: Time) -> bool {
        self.configured
            && self.reachable
            && self.back_off.is_none_or(|until| until <= now)
            && self.outstanding < self.limit(share)
    }

    /// Returns whether the server may serve `version`; true if its versions are unknown.
    pub(crate) fn serves(&self, version: Option<IndexVersion>) -> bool {
        version.is_none_or(|version| self.versions.is_empty() || self.versions.contains(&version))
    }

    /// Returns the mean service time, if known.
    pub(crate) fn service_time(&self) -> Option<Duration> {
        self.service_time.map(Duration::from_secs_f64)
    }

    /// Records the latency of an attempt, and its service time without queueing.
    pub(crate) fn record_latency(
        &mut self,
        end: End,
        latency: Duration,
        service_time: Duration,
        baseline: Baseline,
        now: Time,
    ) {
        self.latency.record(latency);
        let seconds = latency.as_secs_f64();
        // The time until a cancellation is only a lower bound. It can raise a mean but not replace one.
        if end == End::Answered || self.service_time.is_some() {
            let sample = service_time.as_secs_f64();
            self.service_time = Some(ewma(self.service_time, sample, SERVICE_TIME_GAIN));
        }
        let recent = self.recent_latency.map(|(recent, _)| recent);
        let is_outlier = seconds > OUTLIER_RATIO * baseline.median.as_secs_f64();
        let gain = match is_outlier && self.last_was_outlier {
            true => REPEATED_OUTLIER_GAIN,
            false => RECENT_LATENCY_GAIN,
        };
        self.last_was_outlier = is_outlier;
        self.recent_latency = Some((ewma(recent, seconds, gain), now));
    }

    /// Updates the failure rate with an attempt that failed because of the server or succeeded.
    pub(crate) fn record_outcome(&mut self, failed: bool, now: Time) {
        let value = if failed { 1.0 } else { 0.0 };
        let rate = ewma(Some(self.failure_rate(now)), value, FAILURE_RATE_GAIN);
        self.failure_rate = Some((rate, now));
    }

    /// Returns the failure rate of recent attempts, decayed since the last one.
    pub(crate) fn failure_rate(&self, now: Time) -> f64 {
        let Some((rate, at)) = self.failure_rate else {
            return 0.0;
        };
        let age = now.saturating_sub(at).as_secs_f64();
        rate * (-age / FAILURE_RATE_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Returns the queueing delay of a new attempt by the last load report. It is capped by a
    /// multiple of the recent latency, since a server that replies quickly can't have a long queue.
    pub(crate) fn reported_wait(&self, baseline: Baseline, now: Time) -> Duration {
        let own = baseline.wait(self.own_load());
        let reported = baseline.wait(self.reported_load(now));
        let recent = self.recent_latency.map_or(0.0, |(recent, _)| recent);
        reported.min(own.max(Duration::from_secs_f64(recent * MAX_REPORTED_WAIT_RATIO)))
    }

    /// Returns whether the server has reported its load recently.
    pub(crate) fn has_recent_report(&self, now: Time) -> bool {
        self.last_report
            .is_some_and(|report| now.saturating_sub(report.at) < MAX_REPORT_AGE)
    }

    /// Returns the load from all homes: this home's own, plus the decayed report about the others.
    pub(crate) fn reported_load(&self, now: Time) -> f64 {
        let Some(report) = self.last_report else {
            return self.own_load();
        };
        let age = now.saturating_sub(report.at).as_secs_f64();
        let decay = (-age / REPORT_HALF_LIFE.as_secs_f64()).exp2();
        self.own_load() + report.others * decay
    }

    /// Records the load in a report. The load beyond this home's own is attributed to other homes.
    pub(crate) fn record_load(&mut self, load: Load, now: Time) {
        let all = f64::from(load.busy) + f64::from(load.queued);
        let others = (all - self.own_load()).max(0.0);
        self.last_report = Some(ReportedLoad { others, at: now });
    }

    /// Records the index versions in a report, if it has any.
    pub(crate) fn record_versions(&mut self, report: &Report) {
        if !report.index_versions.is_empty() {
            self.versions.clone_from(&report.index_versions);
            self.versions.sort_unstable();
        }
    }
}

fn ewma(mean: Option<f64>, value: f64, gain: f64) -> f64 {
    mean.map_or(value, |mean| mean + gain * (value - mean))
}
