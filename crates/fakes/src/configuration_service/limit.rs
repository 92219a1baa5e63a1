//! Rate limit over all readers.

use std::time::Duration;
use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(1);

/// Fixed-window limit of calls per second.
#[derive(Default)]
pub(crate) struct Limit {
    pub(crate) calls_per_second: Option<u64>,
    window: Option<Instant>,
    calls: u64,
}

impl Limit {
    /// Counts a call; `false` if the limit of the current window is reached.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let is_over = self.window.is_none_or(|start| now >= start + WINDOW);
        if is_over {
            self.window = Some(now);
            self.calls = 0;
        }
        let is_allowed = self.calls_per_second.is_none_or(|limit| self.calls < limit);
        self.calls += u64::from(is_allowed);
        is_allowed
    }
}
