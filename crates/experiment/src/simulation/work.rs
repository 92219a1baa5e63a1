//! How long work takes, and arrivals.

use monsoonring_decision::Time;
use rand::Rng;
use std::f64::consts::TAU;
use std::time::Duration;

/// Share of requests that take much longer than the others, and how much longer, as the users'
/// sheets have it for searches.
const TAIL_SHARE: f64 = 0.01;
const TAIL_FACTOR: f64 = 5.0;

/// Draws the time that a request takes at a server: log-normal around `mean` with the spread as its
/// coefficient of variation, and a few that take far longer.
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

/// Draws the gap to the next arrival of a Poisson process.
pub(super) fn gap(per_second: f64, rng: &mut impl Rng) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / per_second)
}

fn normal(rng: &mut impl Rng) -> f64 {
    let radius: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let angle: f64 = rng.random_range(0.0..TAU);
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}

/// Short stops of a server, at even distances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pauses {
    /// Length of one.
    pub length: Duration,
    /// Time from the beginning of one to the next.
    pub every: Duration,
}

impl Pauses {
    /// Returns when work that begins at `now` is done, at a server that began its pauses at `phase`.
    pub(super) fn end(self, phase: Duration, now: Time, work: Duration) -> Time {
        let (mut at, mut left) = (now, work);
        loop {
            let into = self.into(phase, at);
            if into < self.length {
                at += self.length - into;
                continue;
            }
            let free = self.every - into;
            if left < free {
                return at + left;
            }
            left -= free;
            at += free;
        }
    }

    /// Returns the time since the last pause began.
    fn into(self, phase: Duration, at: Time) -> Duration {
        let nanos = (at + self.every - phase).as_nanos() % self.every.as_nanos();
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}
