//! Pictures of days.

use super::compare::Played;
use super::tally::{Sum, WINDOW};
use crate::report::plot::{self, Axis, Curve};
use std::path::Path;

/// Returns a figure of the windows of a day, as a mean over the seeds.
fn over_time(played: &Played, figure: impl Fn(&Sum) -> f64) -> Vec<(f64, f64)> {
    let windows = played
        .tallies
        .first()
        .map_or(0, |tally| tally.windows.len());
    let at = |window: usize| window as f64 * WINDOW.as_secs_f64();
    let mean = |window: usize| played.mean(|tally| figure(&tally.windows[window])).0;
    (0..windows)
        .map(|window| (at(window), mean(window)))
        .collect()
}

/// Draws a figure of the windows over the day, a curve for each policy.
pub(super) fn windows(
    played: &[Played],
    title: &str,
    what: &'static str,
    figure: impl Fn(&Sum) -> f64,
    path: &Path,
) -> plot::Result<()> {
    let curves = played.iter().map(|played| Curve {
        name: played.variant.name,
        points: over_time(played, &figure),
    });
    let curves: Vec<Curve> = curves.collect();
    let axes = (Axis::linear("second of the day"), Axis::linear(what));
    plot::curves(&curves, title, axes, path)
}

/// Draws the latencies of one kind of request, a curve for each policy.
pub(super) fn latencies(
    played: &[Played],
    kind: usize,
    title: &str,
    path: &Path,
) -> plot::Result<()> {
    let curves = played.iter().filter_map(|played| {
        let mut all = played.tallies.first()?.latencies[kind].clone();
        for tally in &played.tallies[1..] {
            // The histograms have the same bounds.
            let _ = all.add(&tally.latencies[kind]);
        }
        Some(Curve {
            name: played.variant.name,
            points: plot::tail(&all),
        })
    });
    let curves: Vec<Curve> = curves.collect();
    plot::curves(&curves, title, plot::TAIL_AXES, path)
}
