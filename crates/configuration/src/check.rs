//! The checks that a document passes before it is in force.
//!
//! An operator who mends one fault only to be told of the next loses a round trip each time, so
//! every check collects its faults and goes on. Three steps follow one another:
//!
//! 1. [`reader`] reads the bytes as JSON and finds keys that stand twice.
//! 2. [`structure`] holds the value against the JSON schema: types, missing and unknown fields,
//!    bounds of single fields.
//! 3. [`rule`] checks what no schema can say: references, uniqueness, order and tiling. It reads
//!    the JSON value and not the typed document, and passes over whatever it can't read, so that a
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

/// The outcome of a check.
pub type Result<T> = std::result::Result<T, Error>;

/// A document that can't be in force.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("the document has {}", fault::list(faults)))]
pub struct Error {
    /// All that is wrong with it, in the order of the paths; never empty.
    pub faults: Vec<Fault>,
}

/// Reads a document and checks it.
///
/// # Errors
///
/// Returns every fault of the document at once. Bytes that aren't JSON at all have one: the first
/// place that can't be read.
pub fn parse(bytes: &[u8]) -> Result<Document> {
    ensure!(
        bytes.len() <= limit::VALUE_BYTES,
        Snafu {
            faults: vec![size_fault(bytes.len())]
        }
    );
    read(bytes)
}

/// Checks a document that was built in memory or put together from sections.
///
/// The bound on the size of a value isn't checked: sections may be published as values of their own.
///
/// # Errors
///
/// Returns every fault of the document at once.
pub fn document(document: &Document) -> Result<()> {
    let text = serde_json::to_vec(document).map_err(|error| Error {
        faults: vec![unreadable(&error)],
    })?;
    read(&text).map(|_| ())
}

fn read(bytes: &[u8]) -> Result<Document> {
    let read = reader::read(bytes).map_err(|fault| Error {
        faults: vec![fault],
    })?;
    finish(&read.value, read.faults)
}

fn finish(value: &Value, mut faults: Vec<Fault>) -> Result<Document> {
    faults.extend(structure::faults(value));
    if faults.len() <= limit::FAULTS {
        faults.extend(rule::faults(&Node::root(value)));
    }
    faults.sort();
    faults.dedup();
    shorten(&mut faults);
    ensure!(faults.is_empty(), Snafu { faults });
    let document = Document::deserialize(value).map_err(|error| Error {
        faults: vec![unreadable(&error)],
    })?;
    Ok(without_execute_hedges(document, value))
}

/// Cuts a list of faults that nobody would read to its end.
fn shorten(faults: &mut Vec<Fault>) {
    if faults.len() > limit::FAULTS {
        faults.truncate(limit::FAULTS);
        let more = format!("it has more faults than the {} listed", limit::FAULTS);
        faults.insert(
            0,
            Fault::new(Path::default(), more, "a document without them"),
        );
    }
}

/// Turns hedging off on the execute routes that don't mention it.
///
/// The default of `hedge` is made for searches. Taken over by a non-idempotent route it would ask
/// for what the rules forbid: the same request at two backend servers.
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
        format!("{bytes} bytes are more than the configuration service holds"),
        format!("at most {} bytes", limit::VALUE_BYTES),
    )
}

/// A fault that the schema and the rules passed over. None is known; the error is kept rather than
/// the document accepted half-read.
fn unreadable(error: &serde_json::Error) -> Fault {
    Fault::new(
        Path::default(),
        format!("it can't be read: {error}"),
        "a document as docs/configuration.md describes it",
    )
}
