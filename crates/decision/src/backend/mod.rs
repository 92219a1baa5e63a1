//! Backend servers as seen by a home: load tracking, replica choice, connections and crash
//! detection.
//!
//! - [`Fleet`] tracks the load and the latency of each server and chooses between replicas.
//! - [`pool::Pool`] keeps connections open within the home's share of each server's connection
//!   limit.
//! - [`suspect::Detector`] finds requests that crash the servers that run them.
//!
//! The three are independent state machines. The home connects them: it reports unreachable servers
//! from the pool to the fleet, and consults the detector before it sends an attempt.

mod baseline;
mod choice;
mod cold;
mod events;
mod fleet;
mod group_load;
mod latency;
mod leaving;
mod load_regression;
pub mod pool;
mod probe;
mod ramp;
mod server;
mod service_time;
mod snapshot;
pub mod suspect;
mod verdict;

pub use choice::{Choice, Repeat};
pub use cold::{ColdLimit, Ledger};
pub use fleet::Fleet;
pub use group_load::{GroupLoad, Wait, Waits};
pub use snapshot::Snapshot;
pub use verdict::{StatusChange, Verdict};
