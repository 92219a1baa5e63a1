//! Service time distributions with a seeded generator.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::f64::consts::TAU;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Distribution of service times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Distribution {
    /// A constant time.
    Constant(Duration),
    /// Exponential distribution.
    Exponential {
        /// Mean of the distribution.
        mean: Duration,
    },
    /// Lognormal distribution.
    Lognormal {
        /// Median of the distribution.
        median: Duration,
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
    /// Two values: a usual one and a straggler.
    Bimodal {
        /// Usual time.
        fast: Duration,
        /// Time of a straggler.
        slow: Duration,
        /// Probability of a straggler, from 0 to 1.
        slow_share: f64,
    },
}

impl Distribution {
    /// Multiplies all times by a factor.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        match self {
            Self::Constant(value) => Self::Constant(value.mul_f64(factor)),
            Self::Exponential { mean } => Self::Exponential {
                mean: mean.mul_f64(factor),
            },
            Self::Lognormal { median, sigma } => Self::Lognormal {
                median: median.mul_f64(factor),
                sigma,
            },
            Self::Bimodal {
                fast,
                slow,
                slow_share,
            } => Self::Bimodal {
                fast: fast.mul_f64(factor),
                slow: slow.mul_f64(factor),
                slow_share,
            },
        }
    }

    fn sample(self, random: &mut ChaCha8Rng) -> Duration {
        match self {
            Self::Constant(value) => value,
            Self::Exponential { mean } => mean.mul_f64(-unit(random).ln()),
            Self::Lognormal { median, sigma } => median.mul_f64((sigma * normal(random)).exp()),
            Self::Bimodal {
                fast,
                slow,
                slow_share,
            } => {
                let is_slow = random.random_bool(slow_share.clamp(0.0, 1.0));
                if is_slow { slow } else { fast }
            }
        }
    }
}

/// Samples uniformly from `(0, 1]`; zero is excluded to keep the logarithm finite.
fn unit(random: &mut ChaCha8Rng) -> f64 {
    1.0 - random.random::<f64>()
}

/// Samples the standard normal distribution with the Box–Muller transform.
fn normal(random: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * unit(random).ln()).sqrt();
    radius * (TAU * unit(random)).cos()
}

/// Samples a server's service times and applies its slowdown factor.
pub(crate) struct Sampler {
    state: Mutex<State>,
}

struct State {
    random: ChaCha8Rng,
    distribution: Distribution,
    factor: f64,
}

impl Sampler {
    pub(crate) fn new(distribution: Distribution, seed: u64) -> Self {
        Self {
            state: Mutex::new(State {
                random: ChaCha8Rng::seed_from_u64(seed),
                distribution,
                factor: 1.0,
            }),
        }
    }

    pub(crate) fn set_factor(&self, factor: f64) {
        self.lock().factor = factor.max(0.0);
    }

    pub(crate) fn set_distribution(&self, distribution: Distribution) {
        self.lock().distribution = distribution;
    }

    pub(crate) fn next(&self) -> Duration {
        let mut state = self.lock();
        let distribution = state.distribution;
        let time = distribution.sample(&mut state.random);
        time.mul_f64(state.factor)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
