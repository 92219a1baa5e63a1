//! Explanations of decisions, for logs and operators.
//!
//! Every attempt has an explanation but few are read, so only the numbers are stored. The text is
//! formatted when a log line is written or an operator requests it.

use derive_more::{Display, From};

/// Explanation of a decision, with the numbers that it is based on.
#[derive(Clone, Debug, PartialEq, Display, From)]
pub enum Rationale {
    /// A server had the least expected load.
    LeastLoaded(LeastLoaded),
    /// A fixed text.
    Static(&'static str),
    /// A preformatted text, for infrequent decisions.
    Text(String),
}

/// The least expected load among servers.
#[derive(Clone, Copy, Debug, PartialEq, Display)]
#[display("score {score:.2} of {open} open; own {own}, others {others:+.2}")]
pub struct LeastLoaded {
    /// The load, in attempts.
    pub score: f64,
    /// Servers that could have been chosen.
    pub open: usize,
    /// Own attempts at the server.
    pub own: usize,
    /// Estimated load of other homes at the server, relative to the usual one, in attempts.
    pub others: f64,
}
