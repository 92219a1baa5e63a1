//! One request at its home: what it has, what it lacks, and how it may end.
//!
//! The parts are kept apart so that each of the promises of an answer has one place: [`coverage`]
//! counts data and not answers, [`merge`] lets nothing in twice, [`pin`] holds the snapshot,
//! [`attempt`] makes "not run" provable, [`search`] and [`execution`] are the two kinds of request in
//! progress. Nothing here knows connections or chooses backend servers; `home` does.

pub mod attempt;
pub mod coverage;
pub mod execution;
pub mod greatest;
pub mod merge;
pub mod pin;
pub mod search;
