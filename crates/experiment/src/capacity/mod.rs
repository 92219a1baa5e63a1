//! Capacity model: computes the cost of each role at design size from measurements.
//!
//! `docs/CAPACITY.md` has two manually maintained tables, of assumptions and of measurements. This
//! module computes the derived part of the page from them. The example `capacity` writes that part, and a
//! test fails if it is out of date. Formulas use functions and constants of `monsoonring-decision` where
//! possible.

mod backend_server;
mod entry;
mod home;
mod loss;
mod member;
mod page;
mod reader;
mod row;
mod size;
mod values;

pub use page::rewrite;
pub use row::{Row, Section};
pub use values::{Error, Result, Values};

/// Computes all sections from the figures of the page.
///
/// # Errors
///
/// Returns [`Error::Missing`] if a figure is not on the page.
pub fn derive(values: &Values) -> Result<Vec<Section>> {
    Ok(vec![
        entry::section(values)?,
        home::section(values)?,
        member::section(values)?,
        reader::section(values)?,
        backend_server::section(values)?,
        loss::section(values)?,
    ])
}
