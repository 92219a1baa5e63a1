//! Plots: of latency distributions, and of figures over time.
//!
//! The vertical axis of a distribution is the share of answers that took longer than a latency, in powers of ten: the
//! tail, which is what people wait for, then has as much room as the middle.

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
/// Least share that is drawn; fewer answers than its inverse make a shorter curve.
const LEAST_SHARE: f64 = 1e-4;
/// Part by which an axis is longer than its highest point.
const HEADROOM: f64 = 1.05;
/// Points of a curve for each halving of the share.
const STEPS_PER_HALVING: u32 = 8;

/// Result of drawing.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A plot that could not be written.
#[derive(Debug, Snafu)]
#[snafu(display("write the plot {}: {source}", path.display()))]
pub struct Error {
    /// The file.
    path: PathBuf,
    /// What went wrong.
    source: Box<dyn std::error::Error + Send + Sync>,
}

/// What an axis shows, and how.
#[derive(Clone, Copy, Debug)]
pub struct Axis {
    what: &'static str,
    is_logarithmic: bool,
}

impl Axis {
    /// Makes an axis with even steps.
    pub const fn linear(what: &'static str) -> Self {
        Self {
            what,
            is_logarithmic: false,
        }
    }

    /// Makes an axis in powers of ten, which shows shares down to a ten-thousandth.
    pub const fn logarithmic(what: &'static str) -> Self {
        Self {
            what,
            is_logarithmic: true,
        }
    }
}

/// Axes of a distribution of latencies.
pub const TAIL_AXES: (Axis, Axis) = (
    Axis::linear("latency from the intended send time, ms"),
    Axis::logarithmic("share of answers that took longer"),
);

/// A line of a picture.
#[derive(Clone, Debug)]
pub struct Curve<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its points.
    pub points: Vec<(f64, f64)>,
}

/// Writes the latency distributions of the rows into an SVG file, a curve for each.
///
/// # Errors
///
/// [`Error`] where the file cannot be written.
pub fn latencies(rows: &[&Row], title: &str, path: &Path) -> Result<()> {
    let curves = rows.iter().map(|row| Curve {
        name: row.policy.as_str(),
        points: tail(&row.summary.latencies),
    });
    let curves: Vec<Curve> = curves.collect();
    self::curves(&curves, title, TAIL_AXES, path)
}

/// Writes curves into an SVG file.
///
/// # Errors
///
/// [`Error`] where the file cannot be written.
pub fn curves(curves: &[Curve], title: &str, axes: (Axis, Axis), path: &Path) -> Result<()> {
    draw(curves, title, axes, path)
        .map_err(|error| error.to_string().into())
        .context(Snafu { path })
}

type Drawn = std::result::Result<(), Box<dyn std::error::Error>>;

fn draw(curves: &[Curve], title: &str, (x, y): (Axis, Axis), path: &Path) -> Drawn {
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
    // The two kinds of axis are two types.
    if y.is_logarithmic {
        let range = (LEAST_SHARE..1.0).log_scale();
        lines(chart.build_cartesian_2d(0.0..right, range)?, curves, x, y)?;
    } else {
        let range = 0.0..top * HEADROOM;
        lines(chart.build_cartesian_2d(0.0..right, range)?, curves, x, y)?;
    }
    area.present()?;
    Ok(())
}

type Chart<'a, Y> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, Y>>;

fn lines<'a, Y>(mut chart: Chart<'a, Y>, curves: &[Curve], x: Axis, y: Axis) -> Drawn
where
    Y: Ranged<ValueType = f64> + ValueFormatter<f64> + 'a,
{
    let mut mesh = chart.configure_mesh();
    mesh.x_desc(x.what).y_desc(y.what).draw()?;
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

/// Points of latency in milliseconds and share of answers above it.
pub fn tail(latencies: &Latencies) -> Vec<(f64, f64)> {
    let quantiles = latencies.iter_quantiles(STEPS_PER_HALVING);
    quantiles
        .map(|step| {
            let above = 1.0 - step.quantile_iterated_to();
            let millis = step.value_iterated_to() as f64 / MICROS_PER_MILLI;
            (millis, above.max(LEAST_SHARE))
        })
        .collect()
}
