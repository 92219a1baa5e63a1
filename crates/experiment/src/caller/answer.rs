//! What a daemon answered, and what that proves.

use super::{Error, Failure};
use crate::sample::Outcome;
use monsoonring_configuration::Range;
use monsoonring_configuration::id::{IndexVersion, Key};
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// An answer of a daemon, decoded.
#[derive(Clone, Debug)]
pub struct Answer {
    /// How the request ended.
    pub outcome: Outcome,
    /// Id of the request.
    pub request: String,
    /// Share of the data that the items were taken from, from 0 to 1.
    pub coverage: f64,
    /// Snapshot that the items were taken from.
    pub index_version: Option<IndexVersion>,
    /// Key ranges that are not covered.
    pub missing: Vec<Range>,
    /// Items of a search.
    pub items: Vec<Item>,
    /// Result of a non-idempotent request.
    pub value: Value,
    /// Why there is no answer.
    pub why: String,
}

/// One item of a search.
#[derive(Clone, Debug, Deserialize)]
pub struct Item {
    /// Position in the key space.
    pub key: Key,
    /// What was found there.
    pub value: Value,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Document {
    request: String,
    #[serde(deserialize_with = "lenient")]
    status: Option<Outcome>,
    outcome: Option<Outcome>,
    coverage: f64,
    index_version: Option<IndexVersion>,
    missing: Vec<Range>,
    items: Vec<Item>,
    value: Value,
    title: String,
}

/// Reads the member `status`, which is a word on success and a number in a problem document.
fn lenient<'a, D: Deserializer<'a>>(from: D) -> Result<Option<Outcome>, D::Error> {
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
        let possible = |outcome: &Outcome| outcome.is_answer() == success;
        Self {
            outcome: stated.filter(possible).unwrap_or(unclear(executes)),
            request: document.request,
            coverage: document.coverage,
            index_version: document.index_version,
            missing: document.missing,
            items: document.items,
            value: document.value,
            why: document.title,
        }
    }

    pub(super) fn unanswered(failure: &Failure, executes: bool) -> Self {
        let outcome = match failure {
            Failure::Silence => Outcome::Silent,
            Failure::Send { source } if source.is_connect() => Outcome::Unreachable,
            Failure::Compose { .. } => Outcome::Unreachable,
            Failure::Send { .. } | Failure::Read { .. } => unclear(executes),
        };
        Self::without(outcome, failure.to_string())
    }

    /// Makes the answer to a request that was not sent for want of a key.
    pub fn not_run(error: &Error) -> Self {
        Self::without(Outcome::NotRun, error.to_string())
    }

    fn without(outcome: Outcome, why: String) -> Self {
        Self {
            outcome,
            request: String::new(),
            coverage: 0.0,
            index_version: None,
            missing: Vec::new(),
            items: Vec::new(),
            value: Value::Null,
            why,
        }
    }
}

/// An answer that can't be understood proves nothing about a non-idempotent request.
fn unclear(executes: bool) -> Outcome {
    if executes {
        Outcome::Unknown
    } else {
        Outcome::Failed
    }
}
