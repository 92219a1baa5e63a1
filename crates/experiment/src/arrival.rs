//! Send times of requests.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Endless Poisson arrivals at a fixed mean rate, determined by the seed.
#[derive(Clone, Debug)]
pub struct Arrivals {
    random: ChaCha8Rng,
    mean_gap: f64,
    at: f64,
}

impl Arrivals {
    /// Returns arrivals at `rate` per second; none if `rate` is zero or negative.
    pub fn new(rate: f64, seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            mean_gap: 1.0 / rate.max(0.0),
            at: 0.0,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        // Uniform over (0, 1] to keep the logarithm finite.
        let uniform = 1.0 - self.random.random::<f64>();
        self.at -= uniform.ln() * self.mean_gap;
        Duration::try_from_secs_f64(self.at).ok()
    }
}
