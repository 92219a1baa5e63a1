//! What became of a caller's request.
//!
//! The outcome is derived once, here, from the step at which an exchange failed or from the answer.
//! An answer that cannot be understood, or none at all after the request had left, proves nothing:
//! a non-idempotent request is then reported as unknown and never as not run.

use crate::arguments::Caller;
use crate::exit::Code;
use crate::peer::{Answer, Error, Peer, Step};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::fmt::{self, Formatter};
use std::net::SocketAddr;

const COVERAGE_PERCENT: f64 = 100.0;

/// Whether a request may run twice without harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Nature {
    /// A search.
    Idempotent,
    /// A request that changes something.
    NonIdempotent,
}

/// The end of a request as its caller sees it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
    /// A search was answered from all of the data.
    #[display("complete")]
    Complete,
    /// A search was answered from a part of the data.
    #[display("partial")]
    Partial,
    /// A non-idempotent request ran.
    #[display("executed")]
    Executed,
    /// Nothing of the request ran.
    #[display("not run")]
    NotRun,
    /// The request failed.
    #[display("failed")]
    Failed,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
    /// The daemon could not be reached, or did not answer a search.
    #[display("unreachable")]
    Unreachable,
}

impl Outcome {
    /// Returns the exit code that stands for the outcome.
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

    fn unclear(nature: Nature) -> Self {
        match nature {
            Nature::Idempotent => Self::Failed,
            Nature::NonIdempotent => Self::Unknown,
        }
    }
}

/// A problem document of a daemon (RFC 9457).
#[derive(Debug, Default, Deserialize)]
struct Problem {
    #[serde(default)]
    title: String,
    #[serde(default)]
    detail: String,
    outcome: Option<Outcome>,
}

/// An answer with status 200, as far as the command looks into it.
#[derive(Debug, Deserialize)]
struct Success {
    status: Outcome,
    #[serde(default)]
    coverage: f64,
    #[serde(default)]
    index_version: u64,
    #[serde(default)]
    missing: Vec<Span>,
    #[serde(default)]
    items: Vec<Found>,
    value: Option<Box<RawValue>>,
}

#[derive(Debug, Deserialize)]
struct Span {
    start: u64,
    end: u64,
}

#[derive(Debug, Deserialize)]
struct Found {
    key: u64,
    value: Box<RawValue>,
}

/// What became of a request.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    /// The daemon that was asked.
    daemon: SocketAddr,
    /// How the request ended.
    pub(crate) outcome: Outcome,
    /// Key of a non-idempotent request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) idempotency_key: Option<String>,
    /// Time after which the daemon suggests to come back.
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    /// The daemon's answer as it came, where it is JSON.
    #[serde(skip_serializing_if = "Option::is_none")]
    answer: Option<Box<RawValue>>,
    /// Why there is no usable answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
    #[serde(skip)]
    text: String,
}

impl Report {
    /// Makes the report of an exchange.
    pub(crate) fn new(daemon: SocketAddr, nature: Nature, exchange: Result<Answer, Error>) -> Self {
        match exchange {
            Ok(answer) => Self::answered(daemon, nature, &answer),
            Err(error) => Self::unanswered(daemon, nature, &error),
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

    /// A request that had left may be running although nobody answers. Reported as unreachable, a
    /// script would send it again with a new key, and it would run twice; hence unknown.
    fn unanswered(daemon: SocketAddr, nature: Nature, error: &Error) -> Self {
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

    fn answered(daemon: SocketAddr, nature: Nature, answer: &Answer) -> Self {
        let (outcome, text) = if answer.status.is_success() {
            succeeded(nature, answer)
        } else {
            refused(nature, answer)
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
            writeln!(f, "come back after {after} ms")?;
        }
        if let Some(key) = &self.idempotency_key {
            writeln!(f, "idempotency-key: {key}")?;
        }
        Ok(())
    }
}

/// Returns the headers that name the caller, its token and its deadline.
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

/// Returns the daemon as the peer of an exchange.
pub(crate) fn peer(caller: &Caller) -> Peer {
    Peer {
        address: caller.daemon,
        timeout: caller.timeout(),
    }
}

fn succeeded(nature: Nature, answer: &Answer) -> (Outcome, String) {
    let success: Success = match serde_json::from_slice(&answer.body) {
        Ok(success) => success,
        Err(error) => {
            return (
                Outcome::unclear(nature),
                format!("read the answer: {error}"),
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
        Outcome::Complete | Outcome::Partial => (success.status, search(&success)),
        other => (Outcome::unclear(nature), format!("status 200, but {other}")),
    }
}

fn search(success: &Success) -> String {
    let mut text = format!(
        "coverage {:.2} %, index version {}, {} items\n",
        success.coverage * COVERAGE_PERCENT,
        success.index_version,
        success.items.len()
    );
    for span in &success.missing {
        text.push_str(&format!("missing keys {}..{}\n", span.start, span.end));
    }
    for item in &success.items {
        text.push_str(&format!("{}\t{}\n", item.key, item.value.get()));
    }
    text
}

fn refused(nature: Nature, answer: &Answer) -> (Outcome, String) {
    let problem: Problem = serde_json::from_slice(&answer.body).unwrap_or_default();
    let outcome = match problem.outcome {
        Some(known @ (Outcome::NotRun | Outcome::Failed | Outcome::Unknown)) => known,
        _ => Outcome::unclear(nature),
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
