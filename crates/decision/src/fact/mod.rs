//! Facts that spread between daemons: leaving backend servers and suspect fingerprints.
//!
//! Index versions are no facts: each home reads them off every reply and report of its own backend
//! servers, and pins by what those serve. Word from another home would change nothing.
//!
//! A fact is a key with a stamp that orders what is said about the key, and a life time. Clocks of
//! hosts differ, so messages carry the time that remains. A table never lengthens the life of a
//! stamp that it knows: otherwise two daemons would add their message delays to each other's life
//! times for ever, and no fact would die. Only direct evidence renews a fact, under a higher stamp.

mod entry;
mod table;

pub use entry::{Entry, Key, Stamp};
pub use table::{CAPACITY, MAX_LIFE, TOMBSTONE_LIFE, Table};
