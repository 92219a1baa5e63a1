//! What of the decisions differs: by what an interface can know, and by something simpler that
//! replaces a decision, to measure what it is worth.
//!
//! A claim such as "the choice between replicas keeps the tail short" means little without the run
//! that chooses at random. The simple ways live here and not beside a measurement, so that both run
//! through the same daemon. In production nothing is replaced.

use crate::backend::suspect::CrashSignal;
use std::time::Duration;

/// The decisions of a home that differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    /// Chooses among the replicas that are open at random.
    pub random_replica: bool,
    /// Ignores what servers report of their load.
    pub ignore_load: bool,
    /// Hedges after this time in place of a learned one.
    pub hedge_after: Option<Duration>,
    /// Admits every request that has time left.
    pub admit_all: bool,
    /// What proves that a request crashed a backend server.
    pub proof: CrashSignal,
}
