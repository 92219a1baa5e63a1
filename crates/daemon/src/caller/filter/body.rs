//! Reads and parses the body.

use super::{Filter, Result};
use crate::body;
use crate::caller::exchange::{Exchange, Json, Operation, WithKey};
use crate::caller::problem::Problem;
use crate::server::Intake;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Replaces an empty body where one is allowed.
const NULL: &str = "null";

/// Reads the body within its time and size limits and parses it as JSON.
pub(crate) struct ReadBody {
    /// Longest time for the body, measured from the end of the head.
    pub(crate) timeout: Duration,
}

impl Filter<Exchange<WithKey>> for ReadBody {
    type After = Exchange<WithKey, Json>;

    async fn apply(&self, before: Exchange<WithKey>) -> Result<Self::After> {
        let limit = before.stage.with_deadline.routed.route.max_body_bytes;
        let deadline = before.stage.with_deadline.deadline;
        let body_deadline = before.head.arrived + self.timeout;
        let mint = before.stage.operation == Operation::Mint;
        let Exchange { head, stage, body } = before;
        let bytes = tokio::time::timeout_at(
            body_deadline.min(deadline).into(),
            read_limited(body, limit, &head.intake),
        )
        .await
        .map_err(|_| self.timeout_problem(deadline, body_deadline))??;
        let json = parse(&bytes, mint)?;
        let after = Exchange {
            head,
            stage,
            body: json,
        };
        Ok(after)
    }
}

impl ReadBody {
    fn timeout_problem(&self, deadline: Instant, body_deadline: Instant) -> Problem {
        if deadline < body_deadline {
            Problem::deadline_passed("the deadline passed before the whole body had arrived")
        } else {
            Problem::slow_body(self.timeout)
        }
    }
}

/// Reads a body of at most `limit` bytes. A larger announced length is refused before reading.
async fn read_limited(body: Incoming, limit: u64, intake: &Intake) -> Result<Bytes> {
    if body.size_hint().lower() > limit {
        return Err(Problem::too_large(limit));
    }
    let bytes = usize::try_from(limit).unwrap_or(usize::MAX);
    let read = intake.read(body, bytes).await;
    read.map_err(|error| match error {
        body::Error::TooLong { .. } => Problem::too_large(limit),
        body::Error::NoMemory => Problem::no_memory(),
        body::Error::Truncated => Problem::malformed("the body ended early"),
    })
}

fn parse(bytes: &[u8], empty_allowed: bool) -> Result<Json> {
    let text = std::str::from_utf8(bytes)
        .map_err(|error| Problem::malformed(format!("the body is not UTF-8: {error}")))?;
    let text = if empty_allowed && text.is_empty() {
        NULL
    } else {
        text
    };
    let value = serde_json::from_str(text)
        .map_err(|error| Problem::malformed(format!("the body is not JSON: {error}")))?;
    Ok(Json {
        text: Arc::from(text),
        value,
    })
}
