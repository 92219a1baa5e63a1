//! Which configuration is in force.
//!
//! Versions of the configuration are totally ordered, by revision and then by digest, and a holder
//! only ever moves up. A service that is stale, restored from an older copy or down can therefore
//! neither revert what is in force nor hold it back once any daemon has it. Few daemons read the
//! service; the others learn the version from the messages of members and fetch it from them.

mod contact;
mod event;
mod holder;
mod reader;

pub use contact::Contact;
pub use event::{Action, Event, LogLine, Source, Version};
pub use holder::Holder;
pub use reader::{READERS_PER_DATA_CENTRE, is_reader, outranks};

/// Digest of a document, the same for the same document at every daemon.
pub type Digest = u128;
