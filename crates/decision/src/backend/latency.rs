//! Decaying histogram of latencies.
//!
//! Buckets grow geometrically, so that a quantile is right to about nine per cent over the whole
//! scale from a tenth of a millisecond to a minute and a half, in a fixed 640 bytes a server. All
//! counts are halved when they reach a limit: old latencies fade by use and not by time, and a
//! server that is rarely asked keeps what is known of it.

use std::ops::Range;
use std::time::Duration;

const BUCKETS_PER_DOUBLING: f64 = 8.0;
const BUCKETS: usize = 160;
const SMALLEST: Duration = Duration::from_micros(100);

/// Weight at which all counts are halved.
const MAX_WEIGHT: f32 = 512.0;

/// Weight below which a quantile says too little.
const MIN_WEIGHT: f32 = 20.0;

/// Latencies of one server, one group or one route.
#[derive(Clone, Debug)]
pub(crate) struct Latency {
    counts: Box<[f32; BUCKETS]>,
    weight: f32,
    /// The first bucket with a count, and the one after the last: quantiles are asked for several
    /// times an attempt, and look only at these.
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

    /// Tells whether enough was seen for quantiles.
    pub(crate) fn has_enough_samples(&self) -> bool {
        self.weight >= MIN_WEIGHT
    }

    /// Returns the latency that a share `quantile` of the attempts stays within, or `None` where
    /// too few were seen.
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
