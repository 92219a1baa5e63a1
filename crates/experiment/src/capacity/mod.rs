//! The capacity page: what each role costs at design size, worked out from measured slopes.
//!
//! `docs/CAPACITY.md` holds two tables that people fill in, one of assumptions and one of measured
//! figures with the commands that gave them. Everything between the markers of the derived part is
//! computed here from those two, so that a figure that is measured anew can't leave an old
//! conclusion standing: the example `capacity` writes the part, and a test fails where the page has
//! another. Formulas use the decisions' own functions and constants where there are any.

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

/// Works out all sections from the page's figures.
///
/// # Errors
///
/// [`Error::Missing`] where a figure is not on the page.
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
