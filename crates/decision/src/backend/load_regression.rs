//! Weight of a server's load reports, learned from how well they predict latency.
//!
//! A linear regression of latency over reported load yields a slope. Relative to the slope expected
//! from the service time, it is the weight of the reports. Random, inverted, outdated or constant
//! reports have no positive slope and get no weight; inflated ones have a flat slope and a low
//! weight. A multiple of the standard error is subtracted, since random reports show a positive
//! slope by chance. Users of a report consider only its deviation from the server's mean, so that a
//! constant bias has no effect.

use std::time::Duration;

/// Factor by which all sums decay with each observation, so that about a hundred of them count.
const DECAY: f64 = 0.99;

/// Effective number of observations below which reports have no weight.
const MIN_SAMPLES: f64 = 15.0;

/// Standard errors that are subtracted from the slope.
const STANDARD_ERRORS: f64 = 2.0;

/// Share of the expected slope that gives full weight. Attempts don't queue while slots are free,
/// so that even accurate reports show less than the full slope.
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
    /// to increase the latency by `expected_slope`.
    pub(crate) fn weight(&self, expected_slope: Duration) -> f64 {
        if self.weight < MIN_SAMPLES || expected_slope.is_zero() {
            return 0.0;
        }
        let mean = self.mean();
        let variance = self.load_squared / self.weight - mean * mean;
        if variance < f64::EPSILON {
            return 0.0;
        }
        let mean_latency = self.latency / self.weight;
        let slope = (self.product / self.weight - mean * mean_latency) / variance;
        let latency_variance = self.latency_squared / self.weight - mean_latency * mean_latency;
        let unexplained = (latency_variance - slope * slope * variance).max(0.0);
        let error = (unexplained / (variance * self.weight)).sqrt();
        let lower_bound = slope - STANDARD_ERRORS * error;
        (lower_bound / (FULL_WEIGHT_SLOPE * expected_slope.as_secs_f64())).clamp(0.0, 1.0)
    }
}
