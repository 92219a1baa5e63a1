//! The figures that people fill in.

use snafu::{OptionExt, Snafu};
use std::collections::BTreeMap;

/// Result of working with the page's figures.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What is wrong with the page.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// A figure that a formula needs is not on the page.
    #[snafu(display("work out the capacity: no figure {name}"))]
    Missing {
        /// Its name.
        name: String,
    },
    /// A figure is no number.
    #[snafu(display("read the capacity page: {name} is no number"))]
    Number {
        /// Its name.
        name: String,
    },
    /// A figure is there twice.
    #[snafu(display("read the capacity page: {name} is there twice"))]
    Twice {
        /// Its name.
        name: String,
    },
    /// A marker is missing.
    #[snafu(display("read the capacity page: no marker {marker}"))]
    Marker {
        /// The marker.
        marker: &'static str,
    },
}

/// Figures by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Values(BTreeMap<String, f64>);

impl Values {
    /// Returns a figure.
    ///
    /// # Errors
    ///
    /// [`Error::Missing`] where there is none of this name.
    pub fn get(&self, name: &str) -> Result<f64> {
        self.0.get(name).copied().context(MissingSnafu { name })
    }

    /// Returns a count.
    ///
    /// # Errors
    ///
    /// [`Error::Missing`] where there is none of this name.
    pub fn count(&self, name: &str) -> Result<usize> {
        Ok(self.get(name)? as usize)
    }

    /// Reads the rows of a Markdown table whose first two cells are a name in back quotes and a
    /// number; other lines are skipped.
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
            let number = number.context(NumberSnafu { name })?;
            if self.0.insert(name.to_owned(), number).is_some() {
                return TwiceSnafu { name }.fail();
            }
        }
        Ok(())
    }
}
