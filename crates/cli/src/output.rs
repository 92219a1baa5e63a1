//! Writing for people or for scripts.

use serde::Serialize;
use std::fmt::Display;
use std::io::Write;

/// Where the facts of a command go.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    json: bool,
}

impl Output {
    /// Writes JSON where `json` is set, else text.
    pub(crate) fn new(json: bool) -> Self {
        Self { json }
    }

    /// Writes a report to the standard output, as one JSON value or as its text.
    pub(crate) fn report<R: Serialize + Display>(self, report: &R) {
        let text = if self.json {
            serde_json::to_string_pretty(report)
                .unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"))
        } else {
            report.to_string()
        };
        // A reader such as `head` may close the pipe early; that is no fault of the command, and the
        // exit code still tells the outcome.
        let _ = writeln!(std::io::stdout().lock(), "{}", text.trim_end());
    }

    /// Writes a line to the standard error, for what must be known even if no report follows.
    pub(crate) fn notice(self, text: &str) {
        let _ = writeln!(std::io::stderr().lock(), "monsoonring: {text}");
    }
}
