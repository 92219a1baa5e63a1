//! Determines the deadline.

use super::{Filter, Result};
use crate::caller::exchange::{Exchange, Routed, WithDeadline};
use crate::caller::problem::Problem;
use crate::caller::{header, read};
use std::time::Duration;

/// Longest remaining time that a caller can ask for.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Converts the remaining time, or the route's default, into a deadline on this process's clock.
pub(crate) struct ReadDeadline;

impl Filter<Exchange<Routed>> for ReadDeadline {
    type After = Exchange<WithDeadline>;

    async fn apply(&self, before: Exchange<Routed>) -> Result<Self::After> {
        let sent = read::single(&before.head.headers, header::DEADLINE_MS)?;
        let milliseconds = match sent {
            Some(text) => text.trim().parse().map_err(|_| not_a_number())?,
            None => before.stage.route.deadline_ms,
        };
        if milliseconds == 0 {
            return Err(Problem::deadline_passed(
                "no time remained when the request arrived",
            ));
        }
        let remaining = Duration::from_millis(milliseconds).min(MAX_DEADLINE);
        let deadline = before.head.arrived + remaining;
        Ok(before.advance(|routed| WithDeadline { routed, deadline }))
    }
}

fn not_a_number() -> Problem {
    Problem::bad_header(header::DEADLINE_MS, "is not a whole number of milliseconds")
}
