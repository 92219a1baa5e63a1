//! Plots of latency distributions.
//!
//! The vertical axis is the share of answers that took longer than a latency, in powers of ten: the
//! tail, which is what people wait for, then has as much room as the middle.

use crate::report::Row;
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

/// Writes the latency distributions of the rows into an SVG file, a curve for each.
///
/// # Errors
///
/// [`Error`] where the file cannot be written.
pub fn latencies(rows: &[&Row], title: &str, path: &Path) -> Result<()> {
    draw(rows, title, path)
        .map_err(|error| error.to_string().into())
        .context(Snafu { path })
}

type Drawn = std::result::Result<(), Box<dyn std::error::Error>>;

fn draw(rows: &[&Row], title: &str, path: &Path) -> Drawn {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let longest = rows.iter().map(|row| row.summary.latencies.max()).max();
    let longest = longest.unwrap_or(1).max(1) as f64 / MICROS_PER_MILLI;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, FONT)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..longest, (LEAST_SHARE..1.0).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("latency from the intended send time, ms")
        .y_desc("share of answers that took longer")
        .draw()?;
    for (index, row) in rows.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color);
        chart
            .draw_series(LineSeries::new(curve(row), color.stroke_width(2)))?
            .label(row.policy.as_str())
            .legend(legend);
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Points of latency in milliseconds and share of answers above it.
fn curve(row: &Row) -> Vec<(f64, f64)> {
    let latencies = &row.summary.latencies;
    let quantiles = latencies.iter_quantiles(STEPS_PER_HALVING);
    quantiles
        .map(|step| {
            let above = 1.0 - step.quantile_iterated_to();
            let millis = step.value_iterated_to() as f64 / MICROS_PER_MILLI;
            (millis, above.max(LEAST_SHARE))
        })
        .collect()
}
