//! Exit codes, which scripts rely on.

use std::process::ExitCode;

/// Help text on the exit codes; `docs/command.md` describes them in more detail.
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

/// Exit code of the command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Code {
    /// The document is valid, the request succeeded, or all daemons agree.
    Success = 0,
    /// The document fails one or more checks.
    Faults = 1,
    /// The arguments are invalid, or something could not be read or parsed.
    Usage = 2,
    /// The search's answer covers only part of the data.
    Partial = 3,
    /// The request did not run.
    NotRun = 4,
    /// The request failed.
    Failed = 5,
    /// It is unknown whether the request ran.
    Unknown = 6,
    /// A daemon could not be reached or did not answer.
    Unreachable = 7,
    /// The daemons disagree on the revision in force.
    Disagreement = 8,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}
