//! Random service times and arrivals, and pauses of servers.

use monsoonring_decision::Time;
use rand::Rng;
use std::f64::consts::TAU;
use std::time::Duration;

/// Share of requests in the tail of service times, and the factor by which they take longer.
const TAIL_SHARE: f64 = 0.01;
const TAIL_FACTOR: f64 = 5.0;

/// Draws a service time: log-normal with mean `mean` and coefficient of variation `spread`, plus a tail
/// of much slower requests.
pub(super) fn duration(mean: Duration, spread: f64, rng: &mut impl Rng) -> Duration {
    let variance = (1.0 + spread * spread).ln();
    let factor = (variance.sqrt() * normal(rng) - variance / 2.0).exp();
    let tail = if rng.random_bool(TAIL_SHARE) {
        TAIL_FACTOR
    } else {
        1.0
    };
    mean.mul_f64(factor * tail)
}

/// Draws the interarrival time of a Poisson process.
pub(super) fn gap(per_second: f64, rng: &mut impl Rng) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / per_second)
}

fn normal(rng: &mut impl Rng) -> f64 {
    let radius: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let angle: f64 = rng.random_range(0.0..TAU);
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}

/// Periodic pauses of a server, such as garbage collection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pauses {
    /// Length of a pause.
    pub length: Duration,
    /// Time between the starts of two pauses.
    pub every: Duration,
}

impl Pauses {
    /// Returns when work that starts at `now` completes. `phase` is the offset of the server's pauses.
    pub(super) fn end(self, phase: Duration, now: Time, work: Duration) -> Time {
        let (mut at, mut remaining) = (now, work);
        loop {
            let since_pause = self.time_since_pause(phase, at);
            if since_pause < self.length {
                at += self.length - since_pause;
                continue;
            }
            let until_pause = self.every - since_pause;
            if remaining < until_pause {
                return at + remaining;
            }
            remaining -= until_pause;
            at += until_pause;
        }
    }

    /// Returns the time since the start of the last pause.
    fn time_since_pause(self, phase: Duration, at: Time) -> Duration {
        let nanos = (at + self.every - phase).as_nanos() % self.every.as_nanos();
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}
