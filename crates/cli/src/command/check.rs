//! `monsoonring check`: whether a document may be published, and what it would change.
//!
//! The checks are those of the daemon and of the console; a document that passes here is in force
//! after its publication, and one that fails here would be rejected whole.

use crate::arguments::Check;
use crate::command::input;
use crate::exit::Code;
use crate::output::Output;
use monsoonring_configuration::Document;
use monsoonring_configuration::check::{self, Fault};
use serde::Serialize;
use std::fmt::{self, Formatter};

/// What a check found.
#[derive(Debug, Serialize)]
struct Report {
    document: String,
    valid: bool,
    faults: Vec<Fault>,
}

/// Checks the document and reports its faults.
pub(crate) fn run(check: &Check, output: Output) -> Code {
    match parse(&check.file) {
        Ok(Ok(_document)) => {
            output.report(&Report::new(&check.file, Vec::new()));
            Code::Success
        }
        Ok(Err(faults)) => {
            output.report(&Report::new(&check.file, faults));
            Code::Faults
        }
        Err(error) => {
            output.notice(&error.to_string());
            Code::Usage
        }
    }
}

/// Reads a document; the inner error has all its faults.
fn parse(name: &str) -> input::Result<Result<Document, Vec<Fault>>> {
    let bytes = input::file(name)?;
    Ok(check::parse(&bytes).map_err(|error| error.faults))
}

impl Report {
    fn new(document: &str, faults: Vec<Fault>) -> Self {
        Self {
            document: document.to_owned(),
            valid: faults.is_empty(),
            faults,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.valid {
            return writeln!(f, "{}: valid", self.document);
        }
        for fault in &self.faults {
            writeln!(f, "{}: {fault}", self.document)?;
        }
        Ok(())
    }
}
