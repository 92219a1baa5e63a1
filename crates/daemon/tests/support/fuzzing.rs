//! Deterministic property tests, and a count of panics in any thread.

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::sync::atomic::{AtomicUsize, Ordering};

static PANICS: AtomicUsize = AtomicUsize::new(0);

/// Starts counting panics of all threads. They are still printed.
pub(crate) fn count_panics() {
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        previous_hook(info);
    }));
}

/// Returns the number of panics since [`count_panics`].
pub(crate) fn panics() -> usize {
    PANICS.load(Ordering::Relaxed)
}

/// Returns a runner that generates the same cases for a seed each time.
pub(crate) fn runner(cases: u32, seed: u8) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(config, rng)
}
