//! Plots latency distributions and time series as SVG.
//!
//! The vertical axis of a distribution is the share of answers that took longer than a latency, on a
//! logarithmic scale, so that the tail is as visible as the median.

use crate::report::{Latencies, Row};
use plotters::coord::ranged1d::ValueFormatter;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use snafu::{ResultExt, Snafu};
use std::path::{Path, PathBuf};

const SIZE: (u32, u32) = (900, 540);
const MARGIN: u32 = 16;
const LABEL_AREA: u32 = 56;
const FONT: (&str, u32) = ("sans-serif", 16);
const MICROS_PER_MILLI: f64 = 1_000.0;
/// Smallest share on a logarithmic axis.
const MIN_SHARE: f64 = 1e-4;
/// Factor by which a linear axis extends beyond the highest point.
const HEADROOM_FACTOR: f64 = 1.05;
/// Points of a curve for each halving of the share.
const STEPS_PER_HALVING: u32 = 8;

/// Result of drawing.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of writing a plot.
#[derive(Debug, Snafu)]
#[snafu(display("write the plot {}: {source}", path.display()))]
pub struct Error {
    /// Path of the SVG file.
    path: PathBuf,
    /// The drawing or I/O error.
    source: Box<dyn std::error::Error + Send + Sync>,
}

/// Label and scale of an axis.
#[derive(Clone, Copy, Debug)]
pub struct Axis {
    label: &'static str,
    is_logarithmic: bool,
}

impl Axis {
    /// Returns an axis with a linear scale.
    pub const fn linear(label: &'static str) -> Self {
        Self {
            label,
            is_logarithmic: false,
        }
    }

    /// Returns an axis with a logarithmic scale, for shares from 0.0001 to 1.
    pub const fn logarithmic(label: &'static str) -> Self {
        Self {
            label,
            is_logarithmic: true,
        }
    }
}

/// Axes of a latency distribution.
pub const TAIL_AXES: (Axis, Axis) = (
    Axis::linear("latency from the intended send time, ms"),
    Axis::logarithmic("share of answers that took longer"),
);

/// A curve of a plot.
#[derive(Clone, Debug)]
pub struct Curve<'a> {
    /// Name in the legend.
    pub name: &'a str,
    /// Points as (x, y).
    pub points: Vec<(f64, f64)>,
}

/// Writes an SVG file with one curve per row: its latency distribution.
///
/// # Errors
///
/// Returns [`Error`] if the file cannot be written.
pub fn latencies(rows: &[&Row], title: &str, path: &Path) -> Result<()> {
    let curves = rows.iter().map(|row| Curve {
        name: row.policy.as_str(),
        points: tail(&row.summary.latencies),
    });
    let curves: Vec<Curve> = curves.collect();
    self::curves(&curves, title, TAIL_AXES, path)
}

/// Writes an SVG file with the curves.
///
/// # Errors
///
/// Returns [`Error`] if the file cannot be written.
pub fn curves(curves: &[Curve], title: &str, axes: (Axis, Axis), path: &Path) -> Result<()> {
    draw(curves, title, axes, path)
        .map_err(|error| error.to_string().into())
        .context(Snafu { path })
}

type DrawResult = std::result::Result<(), Box<dyn std::error::Error>>;

fn draw(curves: &[Curve], title: &str, (x, y): (Axis, Axis), path: &Path) -> DrawResult {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let points = || curves.iter().flat_map(|curve| &curve.points);
    let right = points().map(|point| point.0).fold(0.0, f64::max);
    let top = points().map(|point| point.1).fold(0.0, f64::max);
    let mut chart = ChartBuilder::on(&area);
    chart
        .caption(title, FONT)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA);
    // Linear and logarithmic axes have different types.
    if y.is_logarithmic {
        let range = (MIN_SHARE..1.0).log_scale();
        draw_lines(chart.build_cartesian_2d(0.0..right, range)?, curves, x, y)?;
    } else {
        let range = 0.0..top * HEADROOM_FACTOR;
        draw_lines(chart.build_cartesian_2d(0.0..right, range)?, curves, x, y)?;
    }
    area.present()?;
    Ok(())
}

type Chart<'a, Y> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, Y>>;

fn draw_lines<'a, Y>(mut chart: Chart<'a, Y>, curves: &[Curve], x: Axis, y: Axis) -> DrawResult
where
    Y: Ranged<ValueType = f64> + ValueFormatter<f64> + 'a,
{
    let mut mesh = chart.configure_mesh();
    mesh.x_desc(x.label).y_desc(y.label).draw()?;
    for (index, curve) in curves.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color);
        let points = curve.points.iter().copied();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(curve.name)
            .legend(legend);
    }
    let mut labels = chart.configure_series_labels();
    labels.background_style(WHITE).border_style(BLACK).draw()?;
    Ok(())
}

/// Returns points of a latency in milliseconds and the share of answers that took longer.
pub fn tail(latencies: &Latencies) -> Vec<(f64, f64)> {
    let quantiles = latencies.iter_quantiles(STEPS_PER_HALVING);
    quantiles
        .map(|step| {
            let above = 1.0 - step.quantile_iterated_to();
            let millis = step.value_iterated_to() as f64 / MICROS_PER_MILLI;
            (millis, above.max(MIN_SHARE))
        })
        .collect()
}
