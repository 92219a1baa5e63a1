//! Summarizes the samples of a run.

pub mod plot;
mod table;

pub use table::{csv, markdown};

use crate::sample::{Outcome, Sample};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::ops::AddAssign;
use std::time::Duration;

/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;
/// Largest recorded latency in microseconds (ten minutes); longer ones are clamped.
const MAX_LATENCY_MICROS: u64 = 600_000_000;
const PERCENT: f64 = 100.0;

/// Attempts counted at the backend servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// First attempts of a request at a group.
    pub first: u64,
    /// All attempts.
    pub all: u64,
    /// Crashes of backend servers.
    pub crashes: u64,
    /// Duplicate executions of non-idempotent requests; must be 0.
    pub doubled: u64,
}

impl AddAssign for Attempts {
    fn add_assign(&mut self, other: Self) {
        self.first += other.first;
        self.all += other.all;
        self.crashes += other.crashes;
        self.doubled += other.doubled;
    }
}

impl Attempts {
    /// Returns the additional attempts in percent of the first attempts.
    pub fn extra_percent(&self) -> f64 {
        let extra = self.all.saturating_sub(self.first);
        PERCENT * extra as f64 / self.first.max(1) as f64
    }
}

/// Histogram of latencies in microseconds.
pub type Latencies = Histogram<u64>;

/// Coverage of the searches of a run, as shares from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Coverage {
    /// Mean over all searches; searches without an answer count as 0.
    pub mean: f64,
    /// Minimum over all answers; 1 without answers.
    pub min: f64,
}

impl Coverage {
    fn new(samples: &[Sample]) -> Option<Self> {
        let all: Vec<f64> = samples
            .iter()
            .filter_map(|sample| sample.coverage)
            .collect();
        let answers = samples.iter().filter(|sample| sample.outcome.is_answer());
        let answered = answers.filter_map(|sample| sample.coverage);
        (!all.is_empty()).then(|| Self {
            mean: all.iter().sum::<f64>() / all.len() as f64,
            min: answered.fold(1.0, f64::min),
        })
    }
}

/// One row of a report.
#[derive(Clone, Debug)]
pub struct Row {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// Measurements under this policy.
    pub summary: Summary,
}

/// Measurements of one or more runs.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Requests sent.
    pub requests: usize,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<Outcome, usize>,
    /// Requests without an answer, by reason.
    pub reasons: BTreeMap<String, usize>,
    /// Latencies of the answered requests.
    pub latencies: Latencies,
    /// Answers within the deadline, per second.
    pub goodput: f64,
    /// Coverage of searches; `None` for non-idempotent requests.
    pub coverage: Option<Coverage>,
    /// Number of answers that contradict themselves or the data.
    pub untrue: usize,
    /// Attempts at the backend servers.
    pub attempts: Attempts,
    /// Maximum lag of the load generator.
    pub lag_max: Duration,
}

impl Summary {
    /// Summarizes the samples of runs with the given total duration.
    pub fn new(
        samples: &[Sample],
        duration: Duration,
        deadline: Duration,
        attempts: Attempts,
    ) -> Self {
        let answers = || samples.iter().filter(|sample| sample.outcome.is_answer());
        let unanswered = samples.iter().filter(|sample| !sample.outcome.is_answer());
        let in_time = answers()
            .filter(|sample| sample.latency <= deadline)
            .count();
        Self {
            requests: samples.len(),
            outcomes: count(samples.iter().map(|sample| sample.outcome)),
            reasons: count(unanswered.map(|sample| sample.reason.clone())),
            latencies: latencies(answers()),
            goodput: in_time as f64 / duration.as_secs_f64(),
            coverage: Coverage::new(samples),
            untrue: samples.iter().filter(|sample| sample.untrue).count(),
            attempts,
            lag_max: samples.iter().map(|s| s.lag).max().unwrap_or_default(),
        }
    }

    /// Returns the latency at a quantile, from 0 to 1, of the answers.
    pub fn latency(&self, share: f64) -> Duration {
        Duration::from_micros(self.latencies.value_at_quantile(share))
    }

    /// Returns the number of requests with this outcome.
    pub fn outcome(&self, outcome: Outcome) -> usize {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }
}

fn count<T: Ord>(items: impl Iterator<Item = T>) -> BTreeMap<T, usize> {
    let mut counts = BTreeMap::new();
    for item in items {
        *counts.entry(item).or_default() += 1;
    }
    counts
}

fn latencies<'a>(samples: impl Iterator<Item = &'a Sample>) -> Latencies {
    let mut latencies = empty_histogram();
    for sample in samples {
        let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
        latencies.saturating_record(micros);
    }
    latencies
}

/// Returns a histogram with a fixed maximum. In an auto-resizing histogram, `saturating_record` would
/// clamp latencies to the current size.
fn empty_histogram() -> Latencies {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, LATENCY_DIGITS)
        .expect("histogram bounds are valid")
}
