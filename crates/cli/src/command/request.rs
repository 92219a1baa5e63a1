//! Outcome of a request that the command sent.
//!
//! The outcome follows from the daemon's answer, or from the step at which the exchange failed. If a
//! non-idempotent request may have been sent and there is no answer, or one that cannot be parsed, its
//! outcome is unknown, never "not run".

use crate::arguments::Caller;
use crate::exit::Code;
use crate::peer::{Answer, Error, Peer, Step};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::fmt::{self, Formatter};
use std::net::SocketAddr;

const PERCENT: f64 = 100.0;

/// Whether a request may safely run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Nature {
    /// A search.
    Idempotent,
    /// A request with side effects.
    NonIdempotent,
}

/// Outcome of a request, as its caller sees it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
    /// The search covered all of the data.
    #[display("complete")]
    Complete,
    /// The search covered part of the data.
    #[display("partial")]
    Partial,
    /// The non-idempotent request ran.
    #[display("executed")]
    Executed,
    /// No part of the request ran.
    #[display("not run")]
    NotRun,
    /// The request failed.
    #[display("failed")]
    Failed,
    /// It is unknown whether the request ran.
    #[display("unknown")]
    Unknown,
    /// The daemon could not be reached, or did not answer a search in time.
    #[display("unreachable")]
    Unreachable,
}

impl Outcome {
    /// Returns the exit code for the outcome.
    pub(crate) fn code(self) -> Code {
        match self {
            Self::Complete | Self::Executed => Code::Success,
            Self::Partial => Code::Partial,
            Self::NotRun => Code::NotRun,
            Self::Failed => Code::Failed,
            Self::Unknown => Code::Unknown,
            Self::Unreachable => Code::Unreachable,
        }
    }

    /// Returns the outcome of a request whose answer gives no outcome that can be trusted.
    fn indeterminate(nature: Nature) -> Self {
        match nature {
            Nature::Idempotent => Self::Failed,
            Nature::NonIdempotent => Self::Unknown,
        }
    }
}

/// Problem document in a daemon's error answer (RFC 9457).
#[derive(Debug, Default, Deserialize)]
struct Problem {
    #[serde(default)]
    title: String,
    #[serde(default)]
    detail: String,
    outcome: Option<Outcome>,
}

/// The fields of a successful answer that the command shows.
#[derive(Debug, Deserialize)]
struct Success {
    status: Outcome,
    #[serde(default)]
    coverage: f64,
    #[serde(default)]
    index_version: u64,
    #[serde(default)]
    missing: Vec<KeyRange>,
    #[serde(default)]
    items: Vec<Item>,
    value: Option<Box<RawValue>>,
}

#[derive(Debug, Deserialize)]
struct KeyRange {
    start: u64,
    end: u64,
}

#[derive(Debug, Deserialize)]
struct Item {
    key: u64,
    value: Box<RawValue>,
}

/// Report on a request that was sent.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    /// The daemon that the request was sent to.
    daemon: SocketAddr,
    /// Outcome of the request.
    pub(crate) outcome: Outcome,
    /// Idempotency key of a non-idempotent request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) idempotency_key: Option<String>,
    /// Delay before a retry, as suggested by the daemon.
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    /// The daemon's answer, unchanged, if it is JSON.
    #[serde(skip_serializing_if = "Option::is_none")]
    answer: Option<Box<RawValue>>,
    /// Why there is no answer, or none in JSON.
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
    #[serde(skip)]
    text: String,
}

impl Report {
    /// Creates the report of an exchange.
    pub(crate) fn new(daemon: SocketAddr, nature: Nature, exchange: Result<Answer, Error>) -> Self {
        match exchange {
            Ok(answer) => Self::from_answer(daemon, nature, &answer),
            Err(error) => Self::from_error(daemon, nature, &error),
        }
    }

    fn empty(daemon: SocketAddr, outcome: Outcome) -> Self {
        Self {
            daemon,
            outcome,
            idempotency_key: None,
            retry_after_ms: None,
            answer: None,
            error: None,
            text: String::new(),
        }
    }

    /// Creates the report of a failed exchange. A non-idempotent request that may have been sent is
    /// reported as unknown: if it were reported as unreachable, a script might send it again with a new
    /// key, and it would run twice.
    fn from_error(daemon: SocketAddr, nature: Nature, error: &Error) -> Self {
        let may_have_run = nature == Nature::NonIdempotent && error.step() >= Step::Send;
        let outcome = if may_have_run {
            Outcome::Unknown
        } else {
            Outcome::Unreachable
        };
        Self {
            error: Some(error.to_string()),
            text: error.to_string(),
            ..Self::empty(daemon, outcome)
        }
    }

    fn from_answer(daemon: SocketAddr, nature: Nature, answer: &Answer) -> Self {
        let (outcome, text) = if answer.status.is_success() {
            parse_success(nature, answer)
        } else {
            parse_problem(nature, answer)
        };
        let raw = serde_json::from_slice::<Box<RawValue>>(&answer.body).ok();
        Self {
            retry_after_ms: retry_after_ms(answer),
            error: raw.is_none().then(|| text.clone()),
            answer: raw,
            text,
            ..Self::empty(daemon, outcome)
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: {}", self.outcome, self.text.trim_end())?;
        if let Some(after) = self.retry_after_ms {
            writeln!(f, "retry after {after} ms")?;
        }
        if let Some(key) = &self.idempotency_key {
            writeln!(f, "idempotency-key: {key}")?;
        }
        Ok(())
    }
}

/// Returns the request headers for the caller's name, token and deadline.
pub(crate) fn headers(caller: &Caller) -> Vec<(&'static str, String)> {
    let mut headers = vec![("monsoonring-caller", caller.name.clone())];
    if let Some(token) = &caller.token {
        headers.push(("authorization", format!("Bearer {token}")));
    }
    if let Some(deadline) = caller.deadline_ms {
        headers.push(("monsoonring-deadline-ms", deadline.to_string()));
    }
    headers
}

/// Returns the daemon to send the caller's request to, with the timeout.
pub(crate) fn peer(caller: &Caller) -> Peer {
    Peer {
        address: caller.daemon,
        timeout: caller.timeout(),
    }
}

fn parse_success(nature: Nature, answer: &Answer) -> (Outcome, String) {
    let success: Success = match serde_json::from_slice(&answer.body) {
        Ok(success) => success,
        Err(error) => {
            return (
                Outcome::indeterminate(nature),
                format!("parse the answer: {error}"),
            );
        }
    };
    match success.status {
        Outcome::Executed => {
            let value = success
                .value
                .map_or_else(String::new, |value| value.get().to_owned());
            (success.status, value)
        }
        Outcome::Complete | Outcome::Partial => (success.status, render_search(&success)),
        other => (
            Outcome::indeterminate(nature),
            format!("status 200 with outcome {other}"),
        ),
    }
}

fn render_search(success: &Success) -> String {
    let mut text = format!(
        "coverage {:.2} %, index version {}, {} items\n",
        success.coverage * PERCENT,
        success.index_version,
        success.items.len()
    );
    for range in &success.missing {
        text.push_str(&format!("missing keys {}..{}\n", range.start, range.end));
    }
    for item in &success.items {
        text.push_str(&format!("{}\t{}\n", item.key, item.value.get()));
    }
    text
}

fn parse_problem(nature: Nature, answer: &Answer) -> (Outcome, String) {
    let problem: Problem = serde_json::from_slice(&answer.body).unwrap_or_default();
    let outcome = match problem.outcome {
        Some(outcome @ (Outcome::NotRun | Outcome::Failed | Outcome::Unknown)) => outcome,
        _ => Outcome::indeterminate(nature),
    };
    let mut text = format!("status {}", answer.status.as_u16());
    for part in [&problem.title, &problem.detail] {
        if !part.is_empty() {
            text.push_str(&format!(", {part}"));
        }
    }
    (outcome, text)
}

fn retry_after_ms(answer: &Answer) -> Option<u64> {
    let text = answer.headers.get("monsoonring-retry-after-ms")?;
    text.to_str().ok()?.parse().ok()
}
