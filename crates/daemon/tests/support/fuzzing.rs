//! Bytes of any kind against a daemon in this process.

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::sync::atomic::{AtomicUsize, Ordering};

static PANICS: AtomicUsize = AtomicUsize::new(0);

/// Counts the panics of all threads from now on; they are still written.
pub(crate) fn count_panics() {
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        previous_hook(info);
    }));
}

/// Returns the panics counted so far.
pub(crate) fn panics() -> usize {
    PANICS.load(Ordering::Relaxed)
}

/// Returns a runner of so many cases that draws the same ones each time.
pub(crate) fn runner(cases: u32, seed: u8) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(config, rng)
}
