//! State of a single request at its home.
//!
//! Each module enforces one property of an outcome: [`coverage`] measures the data searched,
//! [`merge`] prevents duplicates, [`pin`] selects the index version, and [`attempt`] proves "not
//! run". [`search`] and [`execution`] hold the two kinds of request in progress. Connections and
//! the choice of backend servers belong to [`crate::home`].

pub mod attempt;
pub mod coverage;
pub mod execution;
pub mod greatest;
pub mod merge;
pub mod pin;
pub mod search;
