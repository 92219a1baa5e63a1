//! What a home knows of its backend servers and decides about them.
//!
//! Three machines share the work, because they change for different reasons. [`Fleet`] knows how
//! loaded and how fast each server is and chooses between replicas. [`pool::Pool`] keeps the
//! connections inside the home's share of each server's limit. [`suspect::Detector`] finds requests
//! that crash the servers that run them. The home wires them together: it tells the fleet when the
//! pool finds a server unreachable, and asks the table before it sends.

mod choice;
mod cold;
mod events;
mod fleet;
mod group_load;
mod latency;
mod leaving;
pub mod pool;
mod probe;
mod ramp;
mod server;
mod snapshot;
pub mod suspect;
mod trust;
mod usual;
mod verdict;

pub use choice::{Choice, Repeat};
pub use cold::ColdLimit;
pub use fleet::Fleet;
pub use group_load::{GroupLoad, Wait, Waits};
pub use snapshot::Snapshot;
pub use verdict::{StatusChange, Verdict};
