//! Counters of a home's decisions on hedges and retries.

/// Counters since the start of the home.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Hedges whose reply contributed to the answer.
    pub hedges_won: u64,
    /// Hedges cancelled because another attempt answered first.
    pub hedges_lost: u64,
    /// Hedges denied by the budget.
    pub hedges_denied: u64,
    /// Retries denied by the budget.
    pub retries_denied: u64,
}
