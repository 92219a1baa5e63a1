//! How far a server's load reports are believed.
//!
//! A report is worth what it has predicted. For each reply the load that was reported when the
//! attempt left is held against the latency that followed; the slope of the one over the other,
//! relative to what a slot's work time makes of one more request, is the weight that reports get.
//! Reports that are made up, inverted, late or constant show no slope and weigh nothing; inflated
//! ones show a flat slope and are scaled back. From the slope its own uncertainty is taken off:
//! numbers that are made up show some slope by chance, up and down, and only the positive part would
//! count. Only the deviation from the server's own mean is
//! used, so a constant bias can neither attract nor repel work.

use std::time::Duration;

/// Share of the sums that survives each further observation; about a hundred count.
const DECAY: f64 = 0.99;

/// Observations before reports are believed at all.
const MIN_SAMPLES: f64 = 15.0;

/// Standard errors of the slope that are taken off it.
const STANDARD_ERRORS: f64 = 2.0;

/// A server with free slots answers no slower for one more request, so even honest reports show
/// less than the full slope; a weight is reached at this fraction of it.
const FULL_WEIGHT_SLOPE: f64 = 0.5;

/// Decaying regression of latency over reported load.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadRegression {
    weight: f64,
    load: f64,
    latency: f64,
    load_squared: f64,
    latency_squared: f64,
    product: f64,
}

impl LoadRegression {
    /// Records the load that others had at the server by its last report before the attempt, and
    /// the latency of the attempt.
    pub(crate) fn observe(&mut self, load: f64, latency: Duration) {
        let latency = latency.as_secs_f64();
        self.weight = self.weight * DECAY + 1.0;
        self.load = self.load * DECAY + load;
        self.latency = self.latency * DECAY + latency;
        self.load_squared = self.load_squared * DECAY + load * load;
        self.latency_squared = self.latency_squared * DECAY + latency * latency;
        self.product = self.product * DECAY + load * latency;
    }

    /// Returns the mean of the loads reported.
    pub(crate) fn mean(&self) -> f64 {
        if self.weight > 0.0 {
            self.load / self.weight
        } else {
            0.0
        }
    }

    /// Returns the weight of a report, from 0 to 1, at a server where one more request is expected
    /// to cost `step`.
    pub(crate) fn weight(&self, expected_slope: Duration) -> f64 {
        if self.weight < MIN_SAMPLES || expected_slope.is_zero() {
            return 0.0;
        }
        let mean = self.mean();
        let load_variance = self.load_squared / self.weight - mean * mean;
        if load_variance < f64::EPSILON {
            return 0.0;
        }
        let mean_latency = self.latency / self.weight;
        let slope = (self.product / self.weight - mean * mean_latency) / load_variance;
        let latency_variance = self.latency_squared / self.weight - mean_latency * mean_latency;
        let unexplained = (latency_variance - slope * slope * load_variance).max(0.0);
        let error = (unexplained / (load_variance * self.weight)).sqrt();
        let lower_bound = slope - STANDARD_ERRORS * error;
        (lower_bound / (FULL_WEIGHT_SLOPE * expected_slope.as_secs_f64())).clamp(0.0, 1.0)
    }
}
