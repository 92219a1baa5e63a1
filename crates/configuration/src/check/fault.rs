//! Faults of a document.

use super::Path;
use derive_more::Display;
use serde::Serialize;

/// A fault of a document: where it is, what is wrong, and what is expected instead.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[display("{path}: {wrong}; right would be: {right}")]
pub struct Fault {
    /// Path of the faulty value.
    pub path: Path,
    /// What is wrong with the value.
    pub wrong: String,
    /// What is expected instead.
    pub right: String,
}

impl Fault {
    /// Creates a fault at `path`.
    pub fn new(path: Path, wrong: impl Into<String>, right: impl Into<String>) -> Self {
        Self {
            path,
            wrong: wrong.into(),
            right: right.into(),
        }
    }
}

/// Renders the number of faults and then one line for each.
pub(super) fn list(faults: &[Fault]) -> String {
    let noun = if faults.len() == 1 { "fault" } else { "faults" };
    let lines: String = faults.iter().map(|fault| format!("\n  {fault}")).collect();
    format!("{} {noun}:{lines}", faults.len())
}
