//! Content types of requests and replies, opaque to this crate.
//!
//! Decisions depend on keys and attempts only. The native interface carries JSON text; an interface
//! that forwards requests unchanged defines its own types, so that neither has to encode the
//! content of the other.

use std::fmt::Debug;
use std::sync::Arc;

/// The content types of one interface of the daemon.
pub trait Content: Clone + Debug + PartialEq + Send + Sync + 'static {
    /// Content of a request; cloned for each attempt.
    type Query: Clone + Debug + PartialEq + Send + Sync;
    /// Content of a reply or of an item of a reply.
    type Value: Clone + Debug + PartialEq + Send + Sync;
}

/// JSON text in both directions: the native interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Json;

impl Content for Json {
    type Query = Arc<str>;
    type Value = Box<str>;
}
