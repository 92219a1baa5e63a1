//! Input figures of the capacity page.

use snafu::{OptionExt, Snafu};
use std::collections::BTreeMap;

/// Result of computing the capacity page.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error in the capacity page.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// A figure that a formula needs is not on the page.
    #[snafu(display("compute the capacity: figure {name} is missing"))]
    Missing {
        /// Name of the figure.
        name: String,
    },
    /// The value of a figure is not a number.
    #[snafu(display("read the capacity page: {name} is not a number"))]
    NotANumber {
        /// Name of the figure.
        name: String,
    },
    /// A figure is defined twice.
    #[snafu(display("read the capacity page: {name} is defined twice"))]
    Duplicate {
        /// Name of the figure.
        name: String,
    },
    /// A marker is missing.
    #[snafu(display("read the capacity page: marker {marker} is missing"))]
    Marker {
        /// Text of the missing marker.
        marker: &'static str,
    },
}

/// Figures by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Values(BTreeMap<String, f64>);

impl Values {
    /// Returns the figure `name`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] if there is no such figure.
    pub fn get(&self, name: &str) -> Result<f64> {
        self.0.get(name).copied().context(MissingSnafu { name })
    }

    /// Returns the figure `name`, truncated to an integer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] if there is no such figure.
    pub fn count(&self, name: &str) -> Result<usize> {
        Ok(self.get(name)? as usize)
    }

    /// Reads figures from a Markdown table. Rows start with a name in backquotes and a number; other lines
    /// are skipped.
    pub(super) fn read(&mut self, table: &str) -> Result<()> {
        for line in table.lines() {
            let cells: Vec<&str> = line.split('|').map(str::trim).collect();
            let [_, name, number, ..] = cells[..] else {
                continue;
            };
            let Some(name) = name.strip_prefix('`').and_then(|n| n.strip_suffix('`')) else {
                continue;
            };
            let number = number.replace(',', "").parse().ok();
            let number = number.context(NotANumberSnafu { name })?;
            if self.0.insert(name.to_owned(), number).is_some() {
                return DuplicateSnafu { name }.fail();
            }
        }
        Ok(())
    }
}
