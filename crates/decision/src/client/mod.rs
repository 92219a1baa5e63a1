//! Which connections of clients a host keeps when descriptors or memory are short.
//!
//! Clients are not trusted: many of them may hold connections, begun requests or unread answers for as long as they
//! like. [`Shares`] divides the sockets of a process among its listeners, and [`Budget`] its memory. [`Table`] knows what
//! each connection holds and how long it has made no progress. When a limit is reached, it names the connections to
//! close, the worst ones first, so that others are served.

mod budget;
mod shares;
mod table;

pub use budget::Budget;
pub use shares::{Connections, Shares};
pub use table::{Admission, ConnectionId, ListenerId, Receipt, SLOW_AFTER, Shed, Table};
