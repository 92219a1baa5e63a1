//! The configuration document: one schema and one validator for the daemon, the command and the
//! console of forms.
//!
//! This crate is the base of the workspace. It holds what an operator writes down (callers, query
//! routes, backend servers) and the few ids and shapes that every other crate shares. It does no
//! input or output, so that the same checks run wherever a document turns up.

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
