//! The report of a comparison: tables and pictures in one folder.

use super::compare::{Played, Variant, compare};
use super::plot;
use super::tally::Sum;
use super::{Day, Site};
use snafu::{ResultExt, Snafu};
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// A report that could not be written.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file could not be written.
    #[snafu(display("write {}: {source}", path.display()))]
    Write {
        /// The file.
        path: PathBuf,
        /// What the operating system says.
        source: std::io::Error,
    },
    /// A picture could not be drawn.
    #[snafu(display("{source}"))]
    Draw {
        /// Why.
        source: crate::report::plot::Error,
    },
}

/// Result of writing a report.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Plays all days at the sites on as many seeds and writes `report.md` and its pictures.
///
/// # Errors
///
/// A file can't be written.
pub fn write(sites: &[Site], seeds: u64, folder: &Path) -> Result<String> {
    std::fs::create_dir_all(folder).context(WriteSnafu { path: folder })?;
    let variants = Variant::all();
    let mut text = format!("# Decisions compared on {seeds} simulated days each\n\n");
    for site in sites {
        for day in Day::all() {
            let played = compare(site, &day, &variants, seeds);
            let name = format!("{}-{}", site.name, day.name);
            text.push_str(&section(site, &name, &played));
            pictures(site, &name, &played, folder)?;
        }
    }
    let path = folder.join("report.md");
    std::fs::write(&path, &text).context(WriteSnafu { path })?;
    Ok(text)
}

fn section(site: &Site, name: &str, played: &[Played]) -> String {
    let mut text = format!("## {name}\n\n{}", table(played));
    for picture in ["worth", "coverage", "repeats"] {
        let _ = write!(text, "\n![{picture}]({name}-{picture}.svg)");
    }
    for kind in &site.kinds {
        let _ = write!(text, "\n![{0}]({name}-{0}.svg)", kind.name);
    }
    text.push_str("\n\n");
    text
}

/// Returns the table of a comparison: worth of the day and of its two worst windows, each with the
/// standard error of its mean.
pub fn table(played: &[Played]) -> String {
    let mut text = String::from(
        "| policy | worth of the day | worst windows | served | coverage | repeats | refused again |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for of in played {
        let (worth, worth_error) = of.mean(|tally| tally.day().worth());
        let (worst, worst_error) = of.mean(super::Tally::worst);
        let (served, _) = of.mean(|tally| tally.day().served());
        let (coverage, _) = of.mean(|tally| tally.day().coverage());
        let (repeats, _) = of.mean(|tally| tally.day().repeats());
        let (again, _) = of.mean(|tally| tally.refused.1 as f64);
        let _ = writeln!(
            text,
            "| {} | {worth:.3} ± {worth_error:.3} | {worst:.3} ± {worst_error:.3} | {served:.3} | \
             {coverage:.3} | {repeats:.3} | {again:.0} |",
            of.variant.name
        );
    }
    text
}

fn pictures(site: &Site, name: &str, played: &[Played], folder: &Path) -> Result<()> {
    type Figure = fn(&Sum) -> f64;
    let figures: [(&'static str, Figure); 3] = [
        ("worth", Sum::worth),
        ("coverage", Sum::coverage),
        ("repeats", Sum::repeats),
    ];
    for (what, figure) in figures {
        let path = folder.join(format!("{name}-{what}.svg"));
        plot::windows(played, name, what, figure, &path).context(DrawSnafu)?;
    }
    for (number, kind) in site.kinds.iter().enumerate() {
        let path = folder.join(format!("{name}-{}.svg", kind.name));
        let title = format!("{name}: {}", kind.name);
        plot::latencies(played, number, &title, &path).context(DrawSnafu)?;
    }
    Ok(())
}
