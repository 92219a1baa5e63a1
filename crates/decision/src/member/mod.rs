//! Who is a member, and in which state.
//!
//! A small protocol of the SWIM family. Each member probes one other a period, in a shuffled round;
//! who does not answer is asked through helpers, then suspected, then dead, unless it refutes. What
//! changed rides on the probes and their answers, so the bytes a second are the same for 8 members
//! and for 3,800.
//!
//! The states of one member form a total order ([`Change`]), and a table keeps the highest it has
//! heard of. Order, loss and repetition of messages therefore never matter for where the tables end
//! up, only for how soon. A table never takes a partition for the death of the rest: it keeps
//! probing the dead that are still listed, and says that it is isolated.

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

/// A member is known by its peer address.
pub type MemberId = std::net::SocketAddr;
