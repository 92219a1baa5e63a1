//! What is wrong with the settings, in words that name flag and variable.

use super::Settings;
use clap::CommandFactory;
use clap::error::{ContextKind, ContextValue, ErrorKind};
use derive_more::Display;
use snafu::Snafu;
use std::error::Error as _;

/// Why there are no settings.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// Settings are missing or wrong.
    #[snafu(display("wrong settings: {}", list(problems)))]
    Invalid {
        /// What is wrong, at least one.
        problems: Vec<Problem>,
    },
    /// Help or the version was asked for; the text belongs to standard output.
    #[snafu(display("{text}"))]
    Help {
        /// The text asked for.
        text: String,
    },
}

/// Result of reading settings.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// One setting that is missing or wrong.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{flag}{}: {detail}", variable.as_ref().map(|name| format!(" ({name})")).unwrap_or_default())]
pub struct Problem {
    /// The flag, such as `--listen`.
    pub flag: String,
    /// The environment variable, such as `MONSOONRING_LISTEN`; `None` for a flag that the daemon
    /// does not have.
    pub variable: Option<String>,
    /// What is wrong with it.
    pub detail: String,
}

impl Problem {
    /// Describes what is wrong with the setting of this flag.
    pub(crate) fn new(flag: &str, detail: impl Into<String>) -> Self {
        Self {
            flag: flag.to_owned(),
            variable: variable(flag),
            detail: detail.into(),
        }
    }
}

fn list(problems: &[Problem]) -> String {
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

/// Puts what the command line library found into the daemon's own words.
pub(super) fn parsed(source: &clap::Error) -> Error {
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

/// The flag in an argument such as `--listen <IP:PORT>`.
fn flag(argument: &str) -> &str {
    argument.split([' ', '=']).next().unwrap_or(argument)
}

fn detail(source: &clap::Error) -> String {
    match source.kind() {
        ErrorKind::MissingRequiredArgument => "is required".to_owned(),
        ErrorKind::UnknownArgument => "there is no such setting".to_owned(),
        ErrorKind::ArgumentConflict => "is given more than once".to_owned(),
        ErrorKind::InvalidValue | ErrorKind::ValueValidation => invalid(source),
        kind => kind.to_string(),
    }
}

/// What is wrong with a value. The value of a key is left out, as the message goes to the log.
fn invalid(source: &clap::Error) -> String {
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
