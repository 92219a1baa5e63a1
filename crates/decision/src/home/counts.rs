//! Numbers of what a home does, where a line of the log for each would say nothing more.

/// What a home has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Hedges whose reply was taken.
    pub hedges_won: u64,
    /// Hedges whose keys another attempt answered first.
    pub hedges_lost: u64,
    /// Hedges that the budget did not allow.
    pub hedges_denied: u64,
    /// Retries that the budget did not allow.
    pub retries_denied: u64,
}
