//! Decodes the answers of daemons.

use super::{Error, Failure};
use crate::sample::Outcome;
use monsoonring_configuration::Range;
use monsoonring_configuration::id::{IndexVersion, Key};
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// A decoded answer of a daemon.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Id of the request.
    pub request: String,
    /// Share of the data that the answer covers, from 0 to 1.
    pub coverage: f64,
    /// Index version of the items.
    pub index_version: Option<IndexVersion>,
    /// Key ranges that the answer does not cover.
    pub missing: Vec<Range>,
    /// Items of a search.
    pub items: Vec<Item>,
    /// Result of a non-idempotent request.
    pub value: Value,
    /// Title of the problem document, or the error of the exchange; empty if there is an answer.
    pub reason: String,
}

/// An item found by a search.
#[derive(Clone, Debug, Deserialize)]
pub struct Item {
    /// Position in the key space.
    pub key: Key,
    /// Value of the item.
    pub value: Value,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Document {
    request: String,
    #[serde(deserialize_with = "status_or_none")]
    status: Option<Outcome>,
    outcome: Option<Outcome>,
    coverage: f64,
    index_version: Option<IndexVersion>,
    missing: Vec<Range>,
    items: Vec<Item>,
    value: Value,
    title: String,
}

/// Deserializes `status`, which is an outcome on success but a number in a problem document.
fn status_or_none<'a, D: Deserializer<'a>>(from: D) -> Result<Option<Outcome>, D::Error> {
    let value = Value::deserialize(from)?;
    Ok(serde_json::from_value(value).ok())
}

impl Answer {
    pub(super) fn decode(success: bool, body: &[u8], executes: bool) -> Self {
        let document: Document = serde_json::from_slice(body).unwrap_or_default();
        let stated = if success {
            document.status
        } else {
            document.outcome
        };
        let is_consistent = |outcome: &Outcome| outcome.is_answer() == success;
        Self {
            outcome: stated
                .filter(is_consistent)
                .unwrap_or(undecodable(executes)),
            request: document.request,
            coverage: document.coverage,
            index_version: document.index_version,
            missing: document.missing,
            items: document.items,
            value: document.value,
            reason: document.title,
        }
    }

    pub(super) fn from_failure(failure: &Failure, executes: bool) -> Self {
        let outcome = match failure {
            Failure::TimedOut => Outcome::Silent,
            Failure::Send { source } if source.is_connect() => Outcome::Unreachable,
            Failure::Compose { .. } => Outcome::Unreachable,
            Failure::Send { .. } | Failure::Read { .. } => undecodable(executes),
        };
        Self::without(outcome, failure.to_string())
    }

    /// Returns the answer to a request that was not sent because no idempotency key was issued.
    pub fn not_run(error: &Error) -> Self {
        Self::without(Outcome::NotRun, error.to_string())
    }

    fn without(outcome: Outcome, reason: String) -> Self {
        Self {
            outcome,
            request: String::new(),
            coverage: 0.0,
            index_version: None,
            missing: Vec::new(),
            items: Vec::new(),
            value: Value::Null,
            reason,
        }
    }
}

/// Returns the outcome of an answer that can't be decoded. A non-idempotent request may have been
/// executed.
fn undecodable(executes: bool) -> Outcome {
    if executes {
        Outcome::Unknown
    } else {
        Outcome::Failed
    }
}
