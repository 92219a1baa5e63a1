//! Example documents that operators can start from.

/// Example that favours coverage: its routes have no soft deadline and wait for the last straggler
/// until the deadline.
pub const HYDRANT: &str = include_str!("../examples/documents/hydrant.json");

/// Example that favours latency: its searches have a soft deadline.
pub const BEET: &str = include_str!("../examples/documents/beet.json");
