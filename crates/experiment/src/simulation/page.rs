//! Writes the report of a comparison: tables and plots in one folder.

use super::compare::{Series, Variant, compare};
use super::plot;
use super::statistics::Totals;
use super::{Day, Site};
use snafu::{ResultExt, Snafu};
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Error of writing a report.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file could not be written.
    #[snafu(display("write {}: {source}", path.display()))]
    Write {
        /// Path of the file or folder.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A plot could not be written.
    #[snafu(display("{source}"))]
    Draw {
        /// The error of the plot.
        source: crate::report::plot::Error,
    },
}

/// Result of writing a report.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Simulates all days at each site with `seeds` seeds, and writes `report.md` and its plots into `folder`.
/// Returns the text of the report.
///
/// # Errors
///
/// Returns [`Error`] if a file can't be written.
pub fn write(sites: &[Site], seeds: u64, folder: &Path) -> Result<String> {
    std::fs::create_dir_all(folder).context(WriteSnafu { path: folder })?;
    let variants = Variant::all();
    let mut text = format!("# Decisions compared on {seeds} simulated days each\n\n");
    for site in sites {
        for day in Day::all() {
            let series = compare(site, &day, &variants, seeds);
            let name = format!("{}-{}", site.name, day.name);
            text.push_str(&section(site, &name, &series));
            plots(site, &name, &series, folder)?;
        }
    }
    let path = folder.join("report.md");
    std::fs::write(&path, &text).context(WriteSnafu { path })?;
    Ok(text)
}

fn section(site: &Site, name: &str, series: &[Series]) -> String {
    let mut text = format!("## {name}\n\n{}", table(series));
    for picture in ["worth", "coverage", "repeats"] {
        let _ = write!(text, "\n![{picture}]({name}-{picture}.svg)");
    }
    for kind in &site.kinds {
        let _ = write!(text, "\n![{0}]({name}-{0}.svg)", kind.name);
    }
    text.push_str("\n\n");
    text
}

/// Returns the Markdown table of a comparison. The worth of the day and of its two worst windows have
/// standard errors.
pub fn table(series: &[Series]) -> String {
    let mut text = String::from(
        "| policy | worth of the day | worst windows | served | coverage | repeats | refused again |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for of_variant in series {
        let (worth, worth_error) = of_variant.mean(|statistics| statistics.day().worth());
        let (worst, worst_error) = of_variant.mean(super::Statistics::worst_worth);
        let (served, _) = of_variant.mean(|statistics| statistics.day().served());
        let (coverage, _) = of_variant.mean(|statistics| statistics.day().coverage());
        let (repeats, _) = of_variant.mean(|statistics| statistics.day().repeats());
        let (again, _) = of_variant.mean(|statistics| statistics.refused.1 as f64);
        let _ = writeln!(
            text,
            "| {} | {worth:.3} ± {worth_error:.3} | {worst:.3} ± {worst_error:.3} | {served:.3} | \
             {coverage:.3} | {repeats:.3} | {again:.0} |",
            of_variant.variant.name
        );
    }
    text
}

fn plots(site: &Site, name: &str, series: &[Series], folder: &Path) -> Result<()> {
    type Figure = fn(&Totals) -> f64;
    let figures: [(&'static str, Figure); 3] = [
        ("worth", Totals::worth),
        ("coverage", Totals::coverage),
        ("repeats", Totals::repeats),
    ];
    for (what, figure) in figures {
        let path = folder.join(format!("{name}-{what}.svg"));
        plot::windows(series, name, what, figure, &path).context(DrawSnafu)?;
    }
    for (number, kind) in site.kinds.iter().enumerate() {
        let path = folder.join(format!("{name}-{}.svg", kind.name));
        let title = format!("{name}: {}", kind.name);
        plot::latencies(series, number, &title, &path).context(DrawSnafu)?;
    }
    Ok(())
}
