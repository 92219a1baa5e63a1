//! Divides the memory of a process.

/// Shares of the process's memory limit for requests, and for answers.
const REQUEST_SHARE: f64 = 0.125;
const ANSWER_SHARE: f64 = 0.25;

/// Memory for requests, and for answers, in bytes, if the process has no memory limit.
const DEFAULT_REQUEST_BYTES: usize = 128 * 1024 * 1024;
const DEFAULT_ANSWER_BYTES: usize = 256 * 1024 * 1024;

/// Limits on what all clients of a process together hold, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Heads and bodies of requests, until the request has ended.
    pub request_bytes: usize,
    /// Answers, from their first byte until the client has them.
    pub answer_bytes: usize,
}

impl Budget {
    /// Returns the budget of a process with this memory limit in bytes, if it has one.
    pub fn of(process_limit: Option<usize>) -> Self {
        let share = |share: f64, default| {
            process_limit.map_or(default, |limit| (limit as f64 * share) as usize)
        };
        Self {
            request_bytes: share(REQUEST_SHARE, DEFAULT_REQUEST_BYTES),
            answer_bytes: share(ANSWER_SHARE, DEFAULT_ANSWER_BYTES),
        }
    }
}
