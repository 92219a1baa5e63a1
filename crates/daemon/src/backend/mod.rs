//! Connections to backend servers.
//!
//! A connection is one task that owns one HTTP/1.1 connection and takes one attempt at a time. Which
//! attempt goes where is decided in [`monsoonring_decision::home`]; the tasks here only carry it out
//! and report truthfully how far the request got, because "not run" rests on that report.
//!
//! What is written and read on a connection is a [`Codec`]: `Json` is the product's own, and
//! an interface that forwards requests brings another one.

pub mod codec;
mod connection;
mod endpoint;
mod header;

pub(crate) use codec::Json;
pub use codec::{Answer, Codec, EncodeResult};
pub(crate) use connection::{Connection, EventSender, spawn};
pub(crate) use endpoint::Endpoint;
