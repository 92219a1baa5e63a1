//! Why something was decided.
//!
//! Each attempt has a reason, and hardly any of them is ever read. So the numbers are kept, and text
//! is made of them where a line is written or somebody asks.

use derive_more::{Display, From};

/// Why something was decided, in a few words with the numbers that decided.
#[derive(Clone, Debug, PartialEq, Display, From)]
pub enum Rationale {
    /// A server had the least expected load.
    LeastLoaded(LeastLoaded),
    /// Words without numbers.
    Static(&'static str),
    /// Words written out at once; for what is decided rarely.
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
    /// Load that others are believed to have there beyond the usual.
    pub others: f64,
}
