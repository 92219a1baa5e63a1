//! Gossip membership and failure detection, a protocol of the SWIM family.
//!
//! Each member probes one other member per period, in a shuffled round. A member that does not answer is
//! probed indirectly through helpers, then suspected, then declared dead unless it refutes. Changes are
//! piggybacked on probes and their answers, so the bandwidth per member does not grow with the number of
//! members.
//!
//! The states of one member are totally ordered ([`Change`]) and a table keeps the highest it has
//! received, so tables converge whatever the order, loss or repetition of messages. To recover from a
//! partition, a table keeps probing dead members that are still in the host list, and reports that it is
//! isolated.

mod detector;
pub mod event;
mod exchange;
pub mod record;
mod roster;
pub mod settings;
mod table;

pub use event::{
    Action, Attachment, BucketRange, Digest, Event, LogLine, Message, Page, ProbeId, Seed,
};
pub use record::{Change, Incarnation, State};
pub use settings::Settings;
pub use table::Table;

/// Identifies a member by its peer address.
pub type MemberId = std::net::SocketAddr;
