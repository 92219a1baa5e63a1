//! `monsoonring check`: checks a configuration document and shows what it would change.
//!
//! The checks are those of the daemon and the console: a document that passes here comes into force
//! once it is published, and one that fails would be rejected as a whole.

use crate::arguments::Check;
use crate::command::input;
use crate::exit::Code;
use crate::output::Output;
use monsoonring_configuration::Document;
use monsoonring_configuration::check::{self, Fault};
use monsoonring_configuration::difference::{self, Difference};
use serde::Serialize;
use std::fmt::{self, Formatter};

/// Result of a check.
#[derive(Debug, Serialize)]
struct Report {
    document: String,
    valid: bool,
    faults: Vec<Fault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    against: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    difference: Option<Difference>,
}

/// Checks the document and reports its faults, or its difference from the `--against` document.
pub(crate) fn run(check: &Check, output: Output) -> Code {
    match compare(check) {
        Ok(report) => {
            output.report(&report);
            report.code()
        }
        Err(error) => {
            output.notice(&error.to_string());
            Code::Usage
        }
    }
}

fn compare(check: &Check) -> input::Result<Report> {
    if check.platform {
        return check_platform(check);
    }
    let new = parse(&check.file)?;
    let old = check.against.as_deref().map(parse).transpose()?;
    let difference = match (&old, &new) {
        (Some(Ok(old)), Ok(new)) => Some(difference::between(old, new)),
        _ => None,
    };
    // The document in force passed these checks when it was published. If OTHER has faults, it is not
    // that document, and a difference from it would mislead: report its faults instead.
    let (document, faults) = match (new, old) {
        (Err(faults), _) => (&check.file, faults),
        (Ok(_), Some(Err(faults))) => (check.against.as_ref().unwrap_or(&check.file), faults),
        (Ok(_), _) => (&check.file, Vec::new()),
    };
    Ok(Report {
        document: document.clone(),
        valid: faults.is_empty(),
        faults,
        against: check.against.clone(),
        difference,
    })
}

/// Checks a configuration in the format of the platform's store.
fn check_platform(check: &Check) -> input::Result<Report> {
    let faults = monsoonring_platform::document::faults(&input::file(&check.file)?);
    Ok(Report {
        document: check.file.clone(),
        valid: faults.is_empty(),
        faults,
        against: None,
        difference: None,
    })
}

/// Reads and parses a document. The inner error holds all its faults.
fn parse(name: &str) -> input::Result<Result<Document, Vec<Fault>>> {
    let bytes = input::file(name)?;
    Ok(check::parse(&bytes).map_err(|error| error.faults))
}

impl Report {
    fn code(&self) -> Code {
        if self.valid {
            Code::Success
        } else {
            Code::Faults
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for fault in &self.faults {
            writeln!(f, "{}: {fault}", self.document)?;
        }
        if self.valid {
            writeln!(f, "{}: valid", self.document)?;
        }
        match &self.difference {
            Some(difference) => write!(f, "{difference}"),
            None => Ok(()),
        }
    }
}
