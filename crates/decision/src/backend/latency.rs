//! Decaying latency histogram.
//!
//! Buckets grow geometrically, with a relative error of about 9 % from 0.1 ms to 100 s. All counts
//! are halved when their sum reaches a limit. Old latencies thus decay with new samples and not
//! with time, and a rarely used server keeps its statistics.

use std::ops::Range;
use std::time::Duration;

const BUCKETS_PER_DOUBLING: f64 = 8.0;
const BUCKETS: usize = 160;
const SMALLEST: Duration = Duration::from_micros(100);

/// Sum of the counts at which all of them are halved.
const MAX_WEIGHT: f32 = 512.0;

/// Sum of the counts below which quantiles are unreliable.
const MIN_WEIGHT: f32 = 20.0;

/// Latencies of a server, a group, a kind of work or a route.
#[derive(Clone, Debug)]
pub(crate) struct Latency {
    counts: Box<[f32; BUCKETS]>,
    weight: f32,
    /// Range of the buckets with a count, so that quantiles scan only these.
    used: Range<usize>,
}

impl Latency {
    pub(crate) fn new() -> Self {
        Self {
            counts: Box::new([0.0; BUCKETS]),
            weight: 0.0,
            used: Range {
                start: BUCKETS,
                end: 0,
            },
        }
    }

    pub(crate) fn record(&mut self, latency: Duration) {
        if self.weight >= MAX_WEIGHT {
            let used = &mut self.counts[self.used.clone()];
            used.iter_mut().for_each(|count| *count /= 2.0);
            self.weight /= 2.0;
        }
        let bucket = bucket(latency);
        self.counts[bucket] += 1.0;
        self.used = self.used.start.min(bucket)..self.used.end.max(bucket + 1);
        self.weight += 1.0;
    }

    /// Returns whether there are enough samples for quantiles.
    pub(crate) fn has_enough_samples(&self) -> bool {
        self.weight >= MIN_WEIGHT
    }

    /// Returns a quantile, rounded up to the bound of its bucket, or `None` with too few samples.
    pub(crate) fn quantile(&self, quantile: f64) -> Option<Duration> {
        if !self.has_enough_samples() {
            return None;
        }
        let rank = self.weight * quantile as f32;
        let mut cumulative = 0.0;
        for (index, count) in self.used.clone().zip(&self.counts[self.used.clone()]) {
            cumulative += count;
            if cumulative >= rank && *count > 0.0 {
                return Some(upper_bound(index));
            }
        }
        Some(upper_bound(BUCKETS - 1))
    }
}

fn bucket(latency: Duration) -> usize {
    let ratio = latency.as_secs_f64() / SMALLEST.as_secs_f64();
    let index = (ratio.max(1.0).log2() * BUCKETS_PER_DOUBLING).floor();
    (index as usize).min(BUCKETS - 1)
}

fn upper_bound(index: usize) -> Duration {
    SMALLEST.mul_f64(((index + 1) as f64 / BUCKETS_PER_DOUBLING).exp2())
}
