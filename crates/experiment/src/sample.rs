//! Result of one request of the load generator.

use derive_more::Display;
use monsoonring_configuration::id::IndexVersion;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Outcome of a request, as its caller sees it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A search was answered from all of the data.
    #[display("complete")]
    Complete,
    /// A search was answered from part of the data.
    #[display("partial")]
    Partial,
    /// A non-idempotent request was executed.
    #[display("executed")]
    Executed,
    /// The request was not executed at all.
    #[display("not run")]
    NotRun,
    /// The request failed.
    #[display("failed")]
    Failed,
    /// The non-idempotent request may have been executed.
    #[display("unknown")]
    Unknown,
    /// The daemon could not be reached.
    #[display("unreachable")]
    Unreachable,
    /// No answer arrived within the deadline and the caller's grace period.
    #[display("silent")]
    Silent,
}

impl Outcome {
    /// Returns whether the caller got a complete or partial result.
    pub fn is_answer(self) -> bool {
        matches!(self, Self::Complete | Self::Partial | Self::Executed)
    }
}

/// One request of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Intended send time, from the start of the run.
    pub intended: Duration,
    /// Delay of the actual send time; large values mean that the load generator was the bottleneck.
    pub lag: Duration,
    /// Time from the intended send time to the end of the answer.
    pub latency: Duration,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Share of the data that the answer reports as covered; 0 without an answer, `None` for
    /// non-idempotent requests.
    pub coverage: Option<f64>,
    /// Index version of the answer.
    pub index_version: Option<IndexVersion>,
    /// Why there was no answer; empty if there was one.
    pub reason: String,
    /// Whether the answer contradicts itself or the data; see [`crate::verify`].
    pub untrue: bool,
}
