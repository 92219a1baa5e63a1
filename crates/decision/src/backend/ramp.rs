//! Ramp-up of a cold server, or of one that has just shed load.
//!
//! A server that has just started has empty caches and would respond slowly, or refuse requests,
//! under its full load. The limit starts at one outstanding attempt and grows by one after as many
//! replies as it allows attempts.

/// Limit on outstanding attempts of this home that grows with replies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ramp {
    limit: f64,
}

impl Ramp {
    /// Starts at one attempt.
    pub(crate) fn cold() -> Self {
        Self { limit: 1.0 }
    }

    /// Starts at half of the outstanding attempts.
    pub(crate) fn halved(outstanding: usize) -> Self {
        Self {
            limit: (outstanding as f64 / 2.0).max(1.0),
        }
    }

    pub(crate) fn limit(self) -> usize {
        self.limit as usize
    }

    /// Records a reply. Returns `None` once the limit has reached `ceiling`.
    pub(crate) fn replied(self, ceiling: usize) -> Option<Self> {
        let limit = self.limit + 1.0 / self.limit;
        (limit < ceiling as f64).then_some(Self { limit })
    }
}
