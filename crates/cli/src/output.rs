//! Output of reports, as text or as JSON.

use serde::Serialize;
use std::fmt::Display;
use std::io::Write;

/// Format in which a command writes its report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    json: bool,
}

impl Output {
    /// Creates an output that writes JSON if `json` is set, and text otherwise.
    pub(crate) fn new(json: bool) -> Self {
        Self { json }
    }

    /// Writes a report to standard output, as one JSON value or as its text.
    pub(crate) fn report<R: Serialize + Display>(self, report: &R) {
        let text = if self.json {
            serde_json::to_string_pretty(report)
                .unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"))
        } else {
            report.to_string()
        };
        // A reader such as `head` may close the pipe early. This is not an error: the exit code still
        // reports the outcome.
        let _ = writeln!(std::io::stdout().lock(), "{}", text.trim_end());
    }

    /// Writes a line to standard error, also if no report follows.
    pub(crate) fn notice(self, text: &str) {
        let _ = writeln!(std::io::stderr().lock(), "monsoonring: {text}");
    }
}
