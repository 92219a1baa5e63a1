//! What requests ask and what replies hold.
//!
//! No decision here looks into either: the core counts, places, repeats and merges by keys and
//! attempts. The product's own interface carries JSON text; an interface that forwards requests as
//! they are brings types of its own. A type parameter was chosen over one type for all, so that
//! neither interface has to encode what the other one needs.

use std::fmt::Debug;
use std::sync::Arc;

/// The types that one interface of the daemon puts through the core.
pub trait Content: Clone + Debug + PartialEq + Send + Sync + 'static {
    /// What a request asks; it is copied to each attempt.
    type Query: Clone + Debug + PartialEq + Send + Sync;
    /// What one reply, or one item of a reply, holds.
    type Value: Clone + Debug + PartialEq + Send + Sync;
}

/// JSON text in both directions: the product's own interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Json;

impl Content for Json {
    type Query = Arc<str>;
    type Value = Box<str>;
}
