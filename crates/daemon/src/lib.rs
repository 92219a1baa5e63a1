//! The daemon.

mod backend;
pub mod clock;
