//! Whole documents to start from, at the sizes of the two offices.

/// A hydrant registry: coverage weighs most, so its routes have no soft deadline and wait for the
/// last straggler until the deadline.
pub const HYDRANT: &str = include_str!("../examples/documents/hydrant.json");

/// A beet intake: latency weighs most, so its searches have a soft deadline.
pub const BEET: &str = include_str!("../examples/documents/beet.json");
