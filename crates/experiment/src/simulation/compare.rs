//! Compares policies on the same simulated days with many seeds.

use super::{Day, Site, Statistics, world};
use monsoonring_decision::policy::Policy;
use std::num::NonZeroUsize;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Hedge delay of the policy with a fixed delay: half of the shortest objective.
const FIXED_HEDGE: Duration = Duration::from_millis(30);

/// A named policy.
#[derive(Clone, Copy, Debug)]
pub struct Variant {
    /// Name in reports.
    pub name: &'static str,
    /// Decisions that it replaces.
    pub policy: Policy,
}

impl Variant {
    /// Returns the production policy, and variants that replace one decision by a simpler one.
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

/// Simulated days of one policy.
#[derive(Clone, Debug)]
pub struct Series {
    /// Policy of all runs.
    pub variant: Variant,
    /// Statistics of each run, in seed order.
    pub runs: Vec<Statistics>,
}

impl Series {
    /// Returns the mean of a figure over all seeds, and its standard error.
    pub fn mean(&self, figure: impl Fn(&Statistics) -> f64) -> (f64, f64) {
        let figures: Vec<f64> = self.runs.iter().map(figure).collect();
        let count = figures.len().max(1) as f64;
        let mean = figures.iter().sum::<f64>() / count;
        let squares = figures.iter().map(|figure| (figure - mean).powi(2));
        let variance = squares.sum::<f64>() / (count - 1.0).max(1.0);
        (mean, (variance / count).sqrt())
    }
}

/// Simulates a day under each policy with seeds `1..=seeds`. Leaves one processor free.
pub fn compare(site: &Site, day: &Day, variants: &[Variant], seeds: u64) -> Vec<Series> {
    let jobs: Vec<(usize, u64)> = (0..variants.len())
        .flat_map(|variant| (1..=seeds).map(move |seed| (variant, seed)))
        .collect();
    let (next, results) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let workers = thread::available_parallelism().map_or(1, NonZeroUsize::get);
    thread::scope(|scope| {
        for _ in 0..workers.saturating_sub(1).max(1) {
            scope.spawn(|| {
                while let Some(&(variant, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let statistics = world::run(site, day, variants[variant].policy, seed);
                    let mut results = results
                        .lock()
                        .unwrap_or_else(std::sync::PoisonError::into_inner);
                    results.push((variant, seed, statistics));
                }
            });
        }
    });
    let mut results = results
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    results.sort_by_key(|(variant, seed, _)| (*variant, *seed));
    let runs_of = |index| {
        let matching = results
            .iter()
            .filter(move |(variant, _, _)| *variant == index);
        matching
            .map(|(_, _, statistics)| statistics.clone())
            .collect()
    };
    let variants = variants.iter().enumerate();
    variants
        .map(|(index, variant)| Series {
            variant: *variant,
            runs: runs_of(index),
        })
        .collect()
}
