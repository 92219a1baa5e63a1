//! Intended send times.

use monsoonring_experiment::arrival::Arrivals;
use std::time::Duration;
use test_case::test_case;

const SECONDS: u64 = 200;

#[test_case(10.0 ; "slow")]
#[test_case(450.0 ; "fast")]
fn arrivals_keep_their_mean_rate(rate: f64) {
    let times = Arrivals::new(rate, 7).take_while(|at| *at < Duration::from_secs(SECONDS));
    let expected = rate * SECONDS as f64;
    // Five standard deviations of a Poisson count; the seed is fixed, so this never flakes.
    let tolerance = 5.0 * expected.sqrt();
    assert!((times.count() as f64 - expected).abs() < tolerance);
}

#[test]
fn arrivals_repeat_for_a_seed() {
    let times = |seed| Arrivals::new(100.0, seed).take(50).collect::<Vec<_>>();
    assert_eq!(times(3), times(3));
    assert_ne!(times(3), times(4));
    assert!(times(3).is_sorted());
}

#[test_case(0.0 ; "no rate")]
#[test_case(-1.0 ; "negative rate")]
fn arrivals_without_a_rate_never_come(rate: f64) {
    assert_eq!(Arrivals::new(rate, 1).next(), None);
}
