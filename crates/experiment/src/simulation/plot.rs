//! Plots of simulated days.

use super::compare::Series;
use super::statistics::{Totals, WINDOW};
use crate::report::plot::{self, Axis, Curve};
use std::path::Path;

/// Returns a figure of each window of the day, averaged over the seeds.
fn over_time(series: &Series, figure: impl Fn(&Totals) -> f64) -> Vec<(f64, f64)> {
    let windows = series
        .runs
        .first()
        .map_or(0, |statistics| statistics.windows.len());
    let at = |window: usize| window as f64 * WINDOW.as_secs_f64();
    let mean = |window: usize| {
        series
            .mean(|statistics| figure(&statistics.windows[window]))
            .0
    };
    (0..windows)
        .map(|window| (at(window), mean(window)))
        .collect()
}

/// Plots a figure over the windows of the day, with one curve per policy.
pub(super) fn windows(
    series: &[Series],
    title: &str,
    label: &'static str,
    figure: impl Fn(&Totals) -> f64,
    path: &Path,
) -> plot::Result<()> {
    let curves = series.iter().map(|series| Curve {
        name: series.variant.name,
        points: over_time(series, &figure),
    });
    let curves: Vec<Curve> = curves.collect();
    let axes = (Axis::linear("second of the day"), Axis::linear(label));
    plot::curves(&curves, title, axes, path)
}

/// Plots the latency distribution of one kind of request, with one curve per policy.
pub(super) fn latencies(
    series: &[Series],
    kind: usize,
    title: &str,
    path: &Path,
) -> plot::Result<()> {
    let curves = series.iter().filter_map(|series| {
        let mut all = series.runs.first()?.latencies[kind].clone();
        for statistics in &series.runs[1..] {
            // The histograms have the same bounds.
            let _ = all.add(&statistics.latencies[kind]);
        }
        Some(Curve {
            name: series.variant.name,
            points: plot::tail(&all),
        })
    });
    let curves: Vec<Curve> = curves.collect();
    plot::curves(&curves, title, plot::TAIL_AXES, path)
}
