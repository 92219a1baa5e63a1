//! Reads and rewrites the marked parts of the capacity page.

use super::row::Section;
use super::values::{Error, MarkerSnafu, Result, Values};
use snafu::OptionExt;

const ASSUMPTIONS: (&str, &str) = ("<!-- assumed -->", "<!-- end of assumed -->");
const MEASUREMENTS: (&str, &str) = ("<!-- measured -->", "<!-- end of measured -->");
const DERIVED: (&str, &str) = ("<!-- derived -->", "<!-- end of derived -->");

/// Returns the page with its derived part recomputed.
///
/// # Errors
///
/// Returns [`Error`] if a marker is missing, or a figure is missing, invalid or duplicated.
pub fn rewrite(page: &str) -> Result<String> {
    let mut values = Values::default();
    values.read(part(page, ASSUMPTIONS)?)?;
    values.read(part(page, MEASUREMENTS)?)?;
    let sections = super::derive(&values)?;
    let text: String = sections.iter().map(Section::markdown).collect();
    let old = part(page, DERIVED)?;
    let start = old.as_ptr() as usize - page.as_ptr() as usize;
    let (before, after) = (&page[..start], &page[start + old.len()..]);
    Ok(format!("{before}\n\n{text}{after}"))
}

/// Returns the text between two markers.
fn part<'a>(page: &'a str, markers: (&'static str, &'static str)) -> Result<&'a str, Error> {
    let marker = markers.0;
    let (_, rest) = page.split_once(marker).context(MarkerSnafu { marker })?;
    let marker = markers.1;
    let (part, _) = rest.split_once(marker).context(MarkerSnafu { marker })?;
    Ok(part)
}
