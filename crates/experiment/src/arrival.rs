//! Times at which requests are sent.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Poisson arrivals at a fixed mean rate, without end; the same for the same seed.
#[derive(Clone, Debug)]
pub struct Arrivals {
    random: ChaCha8Rng,
    mean_gap: f64,
    at: f64,
}

impl Arrivals {
    /// Starts arrivals at `rate` a second; a rate of nothing or less gives none.
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
        // Uniform over (0, 1], so that the logarithm is finite.
        let uniform = 1.0 - self.random.random::<f64>();
        self.at -= uniform.ln() * self.mean_gap;
        Duration::try_from_secs_f64(self.at).ok()
    }
}
