//! One thing that is wrong with a document.

use super::Path;
use derive_more::Display;
use serde::Serialize;

/// One thing that is wrong, where it is, and what would be right there.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[display("{path}: {wrong}; right would be: {right}")]
pub struct Fault {
    /// Where the fault is.
    pub path: Path,
    /// What is wrong.
    pub wrong: String,
    /// What would be right.
    pub right: String,
}

impl Fault {
    /// Makes a fault at a place: what is wrong there, and what would be right.
    pub fn new(path: Path, wrong: impl Into<String>, right: impl Into<String>) -> Self {
        Self {
            path,
            wrong: wrong.into(),
            right: right.into(),
        }
    }
}

/// Renders the number of faults and one line for each.
pub(super) fn list(faults: &[Fault]) -> String {
    let noun = if faults.len() == 1 { "fault" } else { "faults" };
    let lines: String = faults.iter().map(|fault| format!("\n  {fault}")).collect();
    format!("{} {noun}:{lines}", faults.len())
}
