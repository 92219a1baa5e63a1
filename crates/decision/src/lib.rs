//! The decisions of the query tier, as state machines without I/O.
//!
//! Each module takes typed events with the current time and returns typed actions. No module has a
//! clock, a socket, a task or a lock, and random number generators are passed in with a seed. The
//! daemon drives these state machines in production; golden sessions, property tests and benchmarks
//! drive the same code.

pub mod admission;
pub mod attempt;
pub mod backend;
mod broadcast;
pub mod budget;
pub mod client;
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

/// Monotonic time since the start of the process.
pub type Time = std::time::Duration;

/// Id of a caller's request, unique across all daemons.
pub type RequestId = u128;

/// Hash of a request's content, equal for all sends of the same request by any caller.
pub type Fingerprint = u64;

/// Kind of work: requests of the same kind cost a backend server about the same.
pub type WorkKind = u64;
