//! Connections to backend servers.
//!
//! Each connection is a task that owns one HTTP/1.1 connection and carries out one attempt at a
//! time. [`monsoonring_decision::home`] decides which attempt goes where. The tasks report exactly
//! how far a request got, because an outcome of "not run" relies on that report.
//!
//! A [`Codec`] encodes requests and decodes responses: `Json` for the product's own interface; an
//! interface that forwards requests brings its own.

pub mod codec;
mod connection;
mod endpoint;
mod header;

pub(crate) use codec::Json;
pub use codec::{Answer, Codec, EncodeResult};
pub(crate) use connection::{Connection, EventSender, spawn};
pub(crate) use endpoint::Endpoint;
