//! Every decision of the query tier, without input or output.
//!
//! Each module is a state machine: typed events and the time go in, typed actions come out. No
//! module holds a clock, a socket, a task or a lock, and randomness is passed in as a seeded
//! generator. The daemon is a driver around this crate; golden sessions, property tests and a bench
//! drive exactly the code that runs in production.

/// Monotonic time since the start of the process that decides.
pub type Time = std::time::Duration;
