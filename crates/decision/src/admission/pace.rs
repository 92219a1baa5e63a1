//! When a refused request is worth sending again.
//!
//! Callers that are all told the same time come back all at once, and all but a few are refused
//! again. Each refusal is therefore given its own turn: as many completions later as there are
//! refusals before it, at the measured pace of completions.

use crate::Time;
use std::time::Duration;

/// Weight of a new interval between completions in the mean.
const GAIN: f64 = 0.05;

/// Bounds of what callers are told.
const AT_LEAST: Duration = Duration::from_millis(20);
const AT_MOST: Duration = Duration::from_secs(10);

/// Pace to go by before two requests have ended.
const UNKNOWN: Duration = Duration::from_millis(20);

/// Pace of completions, and the turns given out.
#[derive(Clone, Debug, Default)]
pub(super) struct Pace {
    /// Mean interval between completions, in seconds.
    interval: Option<f64>,
    last: Option<Time>,
    /// Turn that was given out last.
    turn: Time,
}

impl Pace {
    pub(super) fn finished(&mut self, now: Time) {
        if let Some(last) = self.last {
            // A long pause in which nobody asked is no slow completion.
            let interval = now.saturating_sub(last).min(AT_MOST).as_secs_f64();
            let mean = self.interval.unwrap_or(interval);
            self.interval = Some(mean + GAIN * (interval - mean));
        }
        self.last = Some(now);
    }

    /// Gives out the next turn to a refused request that `excess` completions have to come before.
    pub(super) fn refused(&mut self, excess: f64, now: Time) -> Duration {
        let interval = self.interval.map_or(UNKNOWN, Duration::from_secs_f64);
        let first = now + interval.mul_f64(excess);
        self.turn = (self.turn + interval).max(first).min(now + AT_MOST);
        self.turn.saturating_sub(now).clamp(AT_LEAST, AT_MOST)
    }
}
