//! What one request came to.

use derive_more::Display;
use monsoonring_configuration::id::IndexVersion;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How a request ended, as its caller sees it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
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
    /// The non-idempotent request may have run.
    #[display("unknown")]
    Unknown,
    /// The daemon could not be reached.
    #[display("unreachable")]
    Unreachable,
    /// No answer arrived, although the deadline was long over.
    #[display("silent")]
    Silent,
}

impl Outcome {
    /// Tells whether the caller got what it asked for, if only in part.
    pub fn is_answer(self) -> bool {
        matches!(self, Self::Complete | Self::Partial | Self::Executed)
    }
}

/// One request of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Time from the start of the run at which it was to be sent.
    pub intended: Duration,
    /// Time by which it was really sent later than that; large values mean that the load generator,
    /// and not the system, was the bottleneck.
    pub lag: Duration,
    /// Time from the intended sending to the end of the answer.
    pub latency: Duration,
    /// How it ended.
    pub outcome: Outcome,
    /// Share of the data that the answer was taken from, as the answer says, and 0 without an answer;
    /// a non-idempotent request has none.
    pub coverage: Option<f64>,
    /// Snapshot that the answer was taken from.
    pub index_version: Option<IndexVersion>,
    /// Why there was no answer; empty where there was one.
    pub reason: String,
    /// Whether the answer contradicts itself or the data; see [`crate::verify`].
    pub untrue: bool,
}
