//! Maps outcomes of the service to problems.
//!
//! The status serves clients that don't know the member `outcome`, such as load balancers and HTTP
//! libraries. `503` with `retry-after` invites a retry, so it is used only where that is harmless.
//! A request that may have run gets `502` or `504` without `retry-after`, which they don't retry
//! for a `POST`. A request that crashes backend servers gets `422`, so that it is not sent to
//! another daemon.

use super::problem::{DEFAULT_RETRY_AFTER, Problem, RunStatus};
use crate::metrics::label;
use hyper::StatusCode;
use monsoonring_decision::outcome::Reason;
use std::time::Duration;

/// Non-standard status for a request whose caller has disconnected.
const CLIENT_CLOSED: u16 = 499;

/// Returns the problem for a request that did not run.
pub(crate) fn not_run(reason: Reason, retry_after: Option<Duration>) -> Problem {
    problem(reason, RunStatus::NotRun, retry_after)
}

/// Returns the problem for a request that ran and failed.
pub(crate) fn failed(reason: Reason, retry_after: Option<Duration>) -> Problem {
    problem(reason, RunStatus::Failed, retry_after)
}

/// Returns the problem for a request that may have run.
pub(crate) fn unknown(reason: Reason) -> Problem {
    problem(reason, RunStatus::Unknown, None)
}

/// Returns the problem for a key that was used for another request.
pub(crate) fn conflict() -> Problem {
    Problem::not_run(
        StatusCode::UNPROCESSABLE_ENTITY,
        "key_conflict",
        "Key used for another request",
        "the key was used before with another body or route",
    )
}

fn problem(reason: Reason, run_status: RunStatus, retry_after: Option<Duration>) -> Problem {
    let status = status(reason, run_status);
    let unavailable = status == StatusCode::SERVICE_UNAVAILABLE;
    let default = unavailable.then_some(DEFAULT_RETRY_AFTER);
    Problem {
        status,
        kind: label::reason(reason),
        title: title(reason),
        detail: detail(run_status).to_owned(),
        run_status,
        retry_after: retry_after.or(default),
        header: None,
    }
}

fn status(reason: Reason, run_status: RunStatus) -> StatusCode {
    match (reason, run_status) {
        (Reason::Deadline, _) => StatusCode::GATEWAY_TIMEOUT,
        (_, RunStatus::Unknown) => StatusCode::BAD_GATEWAY,
        (Reason::Suspect, _) => StatusCode::UNPROCESSABLE_ENTITY,
        (Reason::Overload | Reason::Unavailable | Reason::Stopping, _) => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        (Reason::Fence, _) => StatusCode::CONFLICT,
        (Reason::BackendServer | Reason::Lost, _) => StatusCode::BAD_GATEWAY,
        (Reason::Abandoned, _) => {
            StatusCode::from_u16(CLIENT_CLOSED).unwrap_or(StatusCode::BAD_REQUEST)
        }
    }
}

fn title(reason: Reason) -> &'static str {
    match reason {
        Reason::Deadline => "Deadline passed",
        Reason::Overload => "No room in time",
        Reason::Unavailable => "No backend server reachable",
        Reason::Suspect => "Requests like this crash backend servers",
        Reason::Stopping => "Daemon is stopping",
        Reason::Abandoned => "Caller went away",
        Reason::BackendServer => "Backend server failed",
        Reason::Lost => "Connection to the backend server lost",
        Reason::Fence => "Key is not valid any more",
    }
}

fn detail(run_status: RunStatus) -> &'static str {
    match run_status {
        RunStatus::NotRun => "the request did not run",
        RunStatus::Failed => "the request failed, or was given up on, after it had begun",
        RunStatus::Unknown => "the request may have run; it will not be run again under this key",
    }
}
