//! Adoption of the configuration.
//!
//! Versions of the configuration are totally ordered, by revision and then by digest, and a daemon only
//! adopts higher versions. A configuration service that is stale, restored from a backup or down can
//! therefore neither revert the configuration nor prevent a version from spreading once any daemon has
//! it. Only a few daemons read the service; the others learn of a version from gossip and fetch it from
//! a peer.

mod contact;
mod event;
mod holder;
mod reader;

pub use contact::Contact;
pub use event::{Action, Event, LogLine, Source, Version};
pub use holder::Holder;
pub use reader::{READERS_PER_DATA_CENTRE, is_reader, outranks};

/// Digest of a document; identical documents have the same digest at every daemon.
pub type Digest = u128;
