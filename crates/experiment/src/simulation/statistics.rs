//! Statistics of a simulated day, as callers see it.

use super::site::Site;
use crate::report::Latencies;
use hdrhistogram::Histogram;
use monsoonring_decision::Time;
use std::time::Duration;

/// Length of a window of statistics.
pub const WINDOW: Duration = Duration::from_secs(2);

/// Number of windows in [`Statistics::worst_worth`].
const WORST_WINDOWS: usize = 2;

/// Largest recorded latency (one minute) in microseconds; longer ones are clamped.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
const LATENCY_DIGITS: u8 = 3;

/// Totals of a time span or a kind of request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Number of requests.
    pub requests: u64,
    /// Sum of the worth of the answers.
    pub actual_worth: f64,
    /// Sum of the worth that complete answers within the objective would have had.
    pub max_worth: f64,
    /// Number of answered requests.
    pub served: u64,
    /// Sum of the coverage of the answers.
    pub coverage: f64,
    /// Number of first attempts of a request at a shard.
    pub first_attempts: u64,
    /// Number of hedges and retries.
    pub extra_attempts: u64,
}

impl Totals {
    /// Returns the worth as a share of the maximum; 1 without requests.
    pub fn worth(&self) -> f64 {
        share(self.actual_worth, self.max_worth)
    }

    /// Returns the share of answered requests; 1 without requests.
    pub fn served(&self) -> f64 {
        share(self.served as f64, self.requests as f64)
    }

    /// Returns the mean coverage of the answers; 1 without answers.
    pub fn coverage(&self) -> f64 {
        share(self.coverage, self.served as f64)
    }

    /// Returns the ratio of extra to first attempts; 0 without attempts.
    pub fn repeats(&self) -> f64 {
        match self.first_attempts {
            0 => 0.0,
            first_attempts => self.extra_attempts as f64 / first_attempts as f64,
        }
    }

    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.actual_worth += other.actual_worth;
        self.max_worth += other.max_worth;
        self.served += other.served;
        self.coverage += other.coverage;
        self.first_attempts += other.first_attempts;
        self.extra_attempts += other.extra_attempts;
    }
}

fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}

/// Final result of a caller's request, including its retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Completion {
    /// Index of the kind of request.
    pub kind: usize,
    /// Time of the caller's first attempt.
    pub requested_at: Time,
    /// Arrival time and coverage of the answer; `None` if there was none.
    pub answer: Option<(Time, f64)>,
}

/// Statistics of one simulated day.
#[derive(Clone, Debug)]
pub struct Statistics {
    /// Totals by window, of the caller's first attempt.
    pub windows: Vec<Totals>,
    /// Totals by kind of request.
    pub kinds: Vec<Totals>,
    /// Latencies of the answers by kind of request, from the caller's first attempt.
    pub latencies: Vec<Latencies>,
    /// Number of refusals, and of those that refused a retry after a refusal.
    pub refused: (u64, u64),
    /// Connections that servers closed because of their connection limit.
    pub rejected_connections: u64,
}

impl Statistics {
    /// Returns empty statistics of a day.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histograms are valid constants.
    pub fn new(site: &Site, length: Duration) -> Self {
        let windows = length.as_secs_f64() / WINDOW.as_secs_f64();
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, LATENCY_DIGITS);
        let latencies = latencies.expect("histogram bounds are valid");
        Self {
            windows: vec![Totals::default(); windows.ceil() as usize],
            kinds: vec![Totals::default(); site.kinds.len()],
            latencies: vec![latencies; site.kinds.len()],
            refused: (0, 0),
            rejected_connections: 0,
        }
    }

    /// Records the result of a request. The worth of an answer is proportional to its squared coverage.
    pub fn record_completion(&mut self, site: &Site, completion: Completion) {
        let kind = &site.kinds[completion.kind];
        let mut sum = Totals {
            requests: 1,
            max_worth: kind.worth.0,
            ..Totals::default()
        };
        if let Some((at, coverage)) = completion.answer {
            let took = at.saturating_sub(completion.requested_at);
            let in_time = took <= kind.objective;
            let worth = if in_time { kind.worth.0 } else { kind.worth.1 };
            sum.served = 1;
            sum.coverage = coverage;
            sum.actual_worth = worth * coverage * coverage;
            let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
            self.latencies[completion.kind].saturating_record(micros);
        }
        self.kinds[completion.kind].add(&sum);
        self.window(completion.requested_at).add(&sum);
    }

    /// Records an attempt.
    pub fn record_attempt(&mut self, now: Time, is_first: bool) {
        let window = self.window(now);
        match is_first {
            true => window.first_attempts += 1,
            false => window.extra_attempts += 1,
        }
    }

    /// Returns the totals of the day.
    pub fn day(&self) -> Totals {
        let mut day = Totals::default();
        self.windows.iter().for_each(|window| day.add(window));
        day
    }

    /// Returns the mean worth of the two worst windows.
    pub fn worst_worth(&self) -> f64 {
        let active = self.windows.iter().filter(|window| window.requests > 0);
        let mut worths: Vec<f64> = active.map(Totals::worth).collect();
        worths.sort_by(f64::total_cmp);
        let worst = &worths[..WORST_WINDOWS.min(worths.len())];
        worst.iter().sum::<f64>() / worst.len().max(1) as f64
    }

    fn window(&mut self, at: Time) -> &mut Totals {
        let number = (at.as_secs_f64() / WINDOW.as_secs_f64()) as usize;
        let last = self.windows.len() - 1;
        &mut self.windows[number.min(last)]
    }
}
