//! Errors of the settings, which name the flag and the environment variable.

use super::Settings;
use clap::CommandFactory;
use clap::error::{ContextKind, ContextValue, ErrorKind};
use derive_more::Display;
use snafu::Snafu;
use std::error::Error as _;

/// Why the settings could not be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// Some settings are missing or invalid.
    #[snafu(display("wrong settings: {}", join(problems)))]
    Invalid {
        /// All problems found, at least one.
        problems: Vec<Problem>,
    },
    /// `--help` or `--version` was given; the text goes to standard output.
    #[snafu(display("{text}"))]
    Help {
        /// The help text or the version.
        text: String,
    },
}

/// Result of reading settings.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A setting that is missing or invalid.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{flag}{}: {detail}", variable.as_ref().map(|name| format!(" ({name})")).unwrap_or_default())]
pub struct Problem {
    /// The flag, such as `--listen`.
    pub flag: String,
    /// The environment variable, such as `MONSOONRING_LISTEN`; `None` if the flag is unknown or has
    /// no variable.
    pub variable: Option<String>,
    /// Description of the problem, such as `is required`.
    pub detail: String,
}

impl Problem {
    /// Creates a problem and looks up the environment variable of its flag.
    pub(crate) fn new(flag: &str, detail: impl Into<String>) -> Self {
        Self {
            flag: flag.to_owned(),
            variable: variable(flag),
            detail: detail.into(),
        }
    }
}

fn join(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("; ")
}

fn variable(flag: &str) -> Option<String> {
    let command = Settings::command();
    let name = flag.trim_start_matches('-');
    let argument = command
        .get_arguments()
        .find(|argument| argument.get_long() == Some(name));
    argument
        .and_then(clap::Arg::get_env)
        .map(|variable| variable.to_string_lossy().into_owned())
}

/// Converts an error of clap.
pub(super) fn from_clap(source: &clap::Error) -> Error {
    if matches!(
        source.kind(),
        ErrorKind::DisplayHelp | ErrorKind::DisplayVersion
    ) {
        let text = source.to_string();
        return Error::Help { text };
    }
    let detail = detail(source);
    let problems = match source.get(ContextKind::InvalidArg) {
        Some(ContextValue::String(argument)) => vec![Problem::new(flag(argument), detail)],
        Some(ContextValue::Strings(arguments)) => arguments
            .iter()
            .map(|argument| Problem::new(flag(argument), detail.clone()))
            .collect(),
        _ => vec![Problem::new("", detail)],
    };
    Error::Invalid { problems }
}

/// Returns the flag of an argument such as `--listen <IP:PORT>`.
fn flag(argument: &str) -> &str {
    argument.split([' ', '=']).next().unwrap_or(argument)
}

fn detail(source: &clap::Error) -> String {
    match source.kind() {
        ErrorKind::MissingRequiredArgument => "is required".to_owned(),
        ErrorKind::UnknownArgument => "there is no such setting".to_owned(),
        ErrorKind::ArgumentConflict => "is given more than once".to_owned(),
        ErrorKind::InvalidValue | ErrorKind::ValueValidation => invalid_value(source),
        kind => kind.to_string(),
    }
}

/// Describes an invalid value. Omits the value of a key, because the message is logged.
fn invalid_value(source: &clap::Error) -> String {
    let cause = match (source.source(), source.get(ContextKind::ValidValue)) {
        (Some(cause), _) => cause.to_string(),
        (None, Some(valid)) => format!("must be one of {valid}"),
        (None, None) => "is invalid".to_owned(),
    };
    let secret = matches!(
        source.get(ContextKind::InvalidArg),
        Some(ContextValue::String(argument)) if flag(argument).ends_with("key")
    );
    match source.get(ContextKind::InvalidValue) {
        Some(value) if !secret => format!("{cause}, not `{value}`"),
        _ => cause,
    }
}
