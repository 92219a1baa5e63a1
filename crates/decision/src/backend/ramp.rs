//! Ramp of a cold server, or of one that has just shed load.
//!
//! A server that started a moment ago has empty caches: given its full share at once it answers
//! slowly or refuses, seen as a latency peak after each restart. The ramp allows one attempt at
//! first and one more after as many replies as are allowed at once, which doubles the limit per
//! round trip and is over in a few dozen replies.

/// Limit on own outstanding attempts that grows with replies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ramp {
    limit: f64,
}

impl Ramp {
    /// Starts at one attempt.
    pub(crate) fn cold() -> Self {
        Self { limit: 1.0 }
    }

    /// Starts at half of what was outstanding.
    pub(crate) fn halved(outstanding: usize) -> Self {
        Self {
            limit: (outstanding as f64 / 2.0).max(1.0),
        }
    }

    pub(crate) fn limit(self) -> usize {
        self.limit as usize
    }

    /// Records a reply. Returns `None` once the ramp has reached `ceiling`.
    pub(crate) fn replied(self, ceiling: usize) -> Option<Self> {
        let limit = self.limit + 1.0 / self.limit;
        (limit < ceiling as f64).then_some(Self { limit })
    }
}
