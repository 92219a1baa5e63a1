//! The configuration document, with its schema, validation and differences.
//!
//! The daemon, the command line and the console all use this crate, so that they run the same checks.
//! It also defines the ids and the key range that all other crates share. It performs no I/O.

pub mod canonical;
pub mod check;
pub mod difference;
pub mod document;
pub mod example;
pub mod id;
pub mod limit;
pub mod range;
pub mod reference;
pub mod schema;
pub mod section;

pub use document::Document;
pub use range::Range;
