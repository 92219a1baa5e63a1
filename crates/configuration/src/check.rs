//! Validation of documents.
//!
//! Every check collects its faults and continues, so that an operator sees all of them at once. There
//! are three stages:
//!
//! 1. `reader` parses the JSON and finds duplicate keys.
//! 2. `structure` validates the value against the JSON schema: types, missing and unknown fields,
//!    bounds of single fields.
//! 3. `rule` checks what the schema can't express: references, uniqueness, order and tiling. It
//!    reads the JSON value rather than the typed document and skips what it can't read, so that a
//!    misspelt field in one group doesn't hide an overlap between two others.
//!
//! Only a value without faults becomes a [`Document`].

mod fault;
mod node;
mod path;
mod reader;
mod rule;
mod structure;
mod tiling;

pub use fault::Fault;
pub use path::{Path, Segment};

use crate::Document;
use crate::document::Kind;
use crate::limit;
use node::Node;
use serde::Deserialize;
use serde_json::Value;
use snafu::{Snafu, ensure};

/// Result of a check.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of an invalid document.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("the document has {}", fault::list(faults)))]
pub struct Error {
    /// Faults of the document, ordered by path; never empty.
    pub faults: Vec<Fault>,
}

/// Parses and validates a document.
///
/// # Errors
///
/// Returns all faults of the document. Bytes that aren't JSON have a single fault, the first syntax
/// error.
pub fn parse(bytes: &[u8]) -> Result<Document> {
    ensure!(
        bytes.len() <= limit::VALUE_BYTES,
        Snafu {
            faults: vec![size_fault(bytes.len())]
        }
    );
    parse_unbounded(bytes)
}

/// Validates a document that was built in memory or assembled from sections.
///
/// The size limit of [`parse`] doesn't apply, because sections may be published as separate values.
///
/// # Errors
///
/// Returns all faults of the document.
pub fn document(document: &Document) -> Result<()> {
    let text = serde_json::to_vec(document).map_err(|error| Error {
        faults: vec![serde_fault(&error)],
    })?;
    parse_unbounded(&text).map(|_| ())
}

fn parse_unbounded(bytes: &[u8]) -> Result<Document> {
    let parsed = reader::parse(bytes).map_err(|fault| Error {
        faults: vec![fault],
    })?;
    validate(&parsed.value, parsed.faults)
}

fn validate(value: &Value, mut faults: Vec<Fault>) -> Result<Document> {
    faults.extend(structure::faults(value));
    if faults.len() <= limit::FAULTS {
        faults.extend(rule::faults(&Node::root(value)));
    }
    faults.sort();
    faults.dedup();
    truncate_faults(&mut faults);
    ensure!(faults.is_empty(), Snafu { faults });
    let document = Document::deserialize(value).map_err(|error| Error {
        faults: vec![serde_fault(&error)],
    })?;
    Ok(without_execute_hedges(document, value))
}

/// Truncates a list of faults to [`limit::FAULTS`], with a first entry that says so.
fn truncate_faults(faults: &mut Vec<Fault>) {
    if faults.len() > limit::FAULTS {
        faults.truncate(limit::FAULTS);
        let wrong = format!("it has more faults than the {} listed", limit::FAULTS);
        faults.insert(
            0,
            Fault::new(Path::default(), wrong, "a document without them"),
        );
    }
}

/// Disables hedging on execute routes without a `hedge` field.
///
/// The default of `hedge` is meant for searches. On an execute route it would allow a non-idempotent
/// request to run at two backend servers.
fn without_execute_hedges(mut document: Document, value: &Value) -> Document {
    for (index, route) in document.routes.iter_mut().enumerate() {
        let absent = value["routes"][index].get("hedge").is_none();
        if route.kind == Kind::Execute && absent {
            route.hedge.budget_percent = 0.0;
        }
    }
    document
}

fn size_fault(bytes: usize) -> Fault {
    Fault::new(
        Path::default(),
        format!("{bytes} bytes are more than the configuration service accepts"),
        format!("at most {} bytes", limit::VALUE_BYTES),
    )
}

/// Reports a document that `serde` rejects although the schema and the rules accept it. No such
/// document is known.
fn serde_fault(error: &serde_json::Error) -> Fault {
    Fault::new(
        Path::default(),
        format!("it can't be read: {error}"),
        "a document as described in docs/configuration.md",
    )
}
