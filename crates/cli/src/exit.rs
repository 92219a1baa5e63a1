//! The exit codes, the part of the output that scripts rely on.

use std::process::ExitCode;

/// Text on the codes for `--help`; `docs/command.md` says the same at greater length.
pub(crate) const HELP: &str = "\
Exit codes:
  0  valid, complete, executed, or all daemons agree
  1  the document has faults
  2  wrong usage, or something could not be read or understood
  3  the answer is partial
  4  the request did not run
  5  the request failed
  6  it is unknown whether the request ran; it will not run again under its key
  7  a daemon could not be reached or did not answer
  8  the daemons disagree on the revision in force";

/// What a run of the command came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Code {
    /// All is well.
    Success = 0,
    /// The document has faults.
    Faults = 1,
    /// The command was used wrongly, or its input could not be read.
    Usage = 2,
    /// A search was answered in part.
    Partial = 3,
    /// The request did not run.
    NotRun = 4,
    /// The request failed.
    Failed = 5,
    /// The request may have run.
    Unknown = 6,
    /// A daemon could not be reached or gave no answer.
    Unreachable = 7,
    /// The daemons disagree on the revision in force.
    Disagreement = 8,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}
