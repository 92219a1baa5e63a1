//! The cases.

mod cold_backend;
mod failing_backend;
mod long_requests;
mod silent_store;

use crate::record::Record;

/// Result of a case.
pub struct Verdict {
    pub is_broken: bool,
    pub text: String,
}

/// Runs a case by its name.
pub fn run(name: &str, has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    match name {
        "cold-backend" => cold_backend::run(has_trouble, record),
        "failing-backend" => failing_backend::run(has_trouble, record),
        "long-requests" => long_requests::run(has_trouble, record),
        "silent-store" => silent_store::run(has_trouble, record),
        _ => Err(format!("there is no case {name}")),
    }
}
