//! The control exchange over Cap'n Proto.
//!
//! Its schema can grow without breaking daemons of an earlier version, which run beside later ones
//! during every roll-out.

mod codec;

#[allow(
    clippy::all,
    clippy::pedantic,
    missing_docs,
    unreachable_pub,
    reason = "generated from schema/control.capnp"
)]
#[rustfmt::skip]
pub mod control_capnp;

pub use codec::{Error, Result, read, write};
