//! Chooses when refused requests should be retried.
//!
//! If all refused callers were given the same delay they would return together and most would be
//! refused again. Each refusal therefore gets its own slot: slots are spaced by the measured interval
//! between completions.

use crate::Time;
use std::time::Duration;

/// Weight of a new interval in the moving average.
const EWMA_WEIGHT: f64 = 0.05;

/// Minimum delay returned to callers.
const MIN_DELAY: Duration = Duration::from_millis(20);
/// Maximum delay returned to callers.
const MAX_DELAY: Duration = Duration::from_secs(10);

/// Interval between completions assumed until two requests have ended.
const DEFAULT_INTERVAL: Duration = Duration::from_millis(20);

/// Pace of completions, and the last retry slot assigned.
#[derive(Clone, Debug, Default)]
pub(super) struct Pace {
    /// Mean interval between completions, in seconds.
    interval: Option<f64>,
    last_completion: Option<Time>,
    last_slot: Time,
}

impl Pace {
    pub(super) fn record_completion(&mut self, now: Time) {
        if let Some(last) = self.last_completion {
            // Bounded, because a pause without requests is not a slow completion.
            let interval = now.saturating_sub(last).min(MAX_DELAY).as_secs_f64();
            let mean = self.interval.unwrap_or(interval);
            self.interval = Some(mean + EWMA_WEIGHT * (interval - mean));
        }
        self.last_completion = Some(now);
    }

    /// Assigns the next slot to a refused request, at least `excess` completions from now, and returns
    /// the delay until then.
    pub(super) fn next_slot(&mut self, excess: f64, now: Time) -> Duration {
        let interval = self
            .interval
            .map_or(DEFAULT_INTERVAL, Duration::from_secs_f64);
        let earliest = now + interval.mul_f64(excess);
        self.last_slot = (self.last_slot + interval)
            .max(earliest)
            .min(now + MAX_DELAY);
        self.last_slot
            .saturating_sub(now)
            .clamp(MIN_DELAY, MAX_DELAY)
    }
}
