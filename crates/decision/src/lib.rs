//! Every decision of the query tier, without input or output.
//!
//! Each module is a state machine: typed events and the time go in, typed actions come out. No
//! module holds a clock, a socket, a task or a lock, and randomness is passed in as a seeded
//! generator. The daemon is a driver around this crate; golden sessions, property tests and a bench
//! drive exactly the code that runs in production.

pub mod admission;
pub mod attempt;
pub mod backend;
mod broadcast;
pub mod budget;
pub mod configuration;
pub mod content;
pub mod fact;
pub mod gateway;
pub mod home;
pub mod idempotency;
pub mod member;
pub mod outcome;
pub mod placement;
pub mod policy;
pub mod query;
pub mod rationale;
pub mod reply;

/// Monotonic time since the start of the process that decides.
pub type Time = std::time::Duration;

/// Id of a caller's request, unique over all daemons.
pub type RequestId = u128;

/// Hash of what a request asks, the same whoever sends it and however often.
pub type Fingerprint = u64;

/// Kind of work: requests with the same number ask about as much of a backend server.
pub type WorkKind = u64;
