//! Facts gossiped between daemons: leaving backend servers and suspect request fingerprints.
//!
//! A fact is a key, a stamp that orders the facts about the key, and a remaining life. Messages carry the
//! remaining life rather than an expiry time because the clocks of hosts differ. A table never extends
//! the life of a known stamp: otherwise message delays would add up as daemons repeat a fact to each
//! other, and it would never expire. Only direct evidence renews a fact, with a higher stamp.
//!
//! Index versions are not gossiped: each home learns them from the replies and load reports of its own
//! backend servers.

mod entry;
mod table;

pub use entry::{Entry, Key, Stamp};
pub use table::{CAPACITY, MAX_LIFE, TOMBSTONE_LIFE, Table};
