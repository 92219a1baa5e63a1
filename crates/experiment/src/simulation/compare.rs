//! The same days under several policies, on many seeds.

use super::{Day, Site, Tally, world};
use monsoonring_decision::policy::Policy;
use std::num::NonZeroUsize;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Fixed time before a second attempt, for the policy that has no learned one: half of the shortest
/// objective of the sheets.
const FIXED_HEDGE: Duration = Duration::from_millis(30);

/// A policy with its name.
#[derive(Clone, Copy, Debug)]
pub struct Variant {
    /// Its name.
    pub name: &'static str,
    /// What it replaces.
    pub policy: Policy,
}

impl Variant {
    /// What production uses, and each decision replaced by its simpler way.
    pub fn all() -> Vec<Self> {
        let production = Policy::default();
        let variant = |name, policy| Self { name, policy };
        vec![
            variant("production", production),
            variant(
                "random replica",
                Policy {
                    random_replica: true,
                    ..production
                },
            ),
            variant(
                "load ignored",
                Policy {
                    ignore_load: true,
                    ..production
                },
            ),
            variant(
                "fixed hedge",
                Policy {
                    hedge_after: Some(FIXED_HEDGE),
                    ..production
                },
            ),
            variant(
                "all admitted",
                Policy {
                    admit_all: true,
                    ..production
                },
            ),
        ]
    }
}

/// The days of one policy, in the order of the seeds.
#[derive(Clone, Debug)]
pub struct Played {
    /// The policy.
    pub variant: Variant,
    /// One for each seed.
    pub tallies: Vec<Tally>,
}

impl Played {
    /// Returns the mean over the seeds of a figure of a day, and the standard error of the mean.
    pub fn mean(&self, figure: impl Fn(&Tally) -> f64) -> (f64, f64) {
        let figures: Vec<f64> = self.tallies.iter().map(figure).collect();
        let count = figures.len().max(1) as f64;
        let mean = figures.iter().sum::<f64>() / count;
        let squares = figures.iter().map(|figure| (figure - mean).powi(2));
        let variance = squares.sum::<f64>() / (count - 1.0).max(1.0);
        (mean, (variance / count).sqrt())
    }
}

/// Plays a day at a site under each policy on seeds `1..=seeds`, on all processors but one.
pub fn compare(site: &Site, day: &Day, variants: &[Variant], seeds: u64) -> Vec<Played> {
    let plan: Vec<(usize, u64)> = (0..variants.len())
        .flat_map(|variant| (1..=seeds).map(move |seed| (variant, seed)))
        .collect();
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let workers = thread::available_parallelism().map_or(1, NonZeroUsize::get);
    thread::scope(|scope| {
        for _ in 0..workers.saturating_sub(1).max(1) {
            scope.spawn(|| {
                while let Some(&(variant, seed)) = plan.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let tally = world::run(site, day, variants[variant].policy, seed);
                    let mut done = done
                        .lock()
                        .unwrap_or_else(std::sync::PoisonError::into_inner);
                    done.push((variant, seed, tally));
                }
            });
        }
    });
    let mut done = done
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    done.sort_by_key(|(variant, seed, _)| (*variant, *seed));
    let of = |number| {
        let played = done
            .iter()
            .filter(move |(variant, _, _)| *variant == number);
        played.map(|(_, _, tally)| tally.clone()).collect()
    };
    let variants = variants.iter().enumerate();
    variants
        .map(|(number, variant)| Played {
            variant: *variant,
            tallies: of(number),
        })
        .collect()
}
