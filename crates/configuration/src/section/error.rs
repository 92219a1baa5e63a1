//! Errors of operations on sections.

use super::{Digest, Name};
use crate::check;
use crate::id::RouteId;
use snafu::Snafu;

/// Result of an operation on sections.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of splitting, transferring or assembling sections.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// A section can't be written as JSON.
    #[snafu(display("section {name} can't be encoded"))]
    Encode {
        /// Name of the section.
        name: Name,
        /// Error of the encoder.
        source: serde_json::Error,
    },
    /// A section of the index is missing.
    #[snafu(display("section {name} is missing"))]
    Missing {
        /// Name of the section.
        name: Name,
    },
    /// A section is not in the index.
    #[snafu(display("section {name} isn't part of the document"))]
    Unexpected {
        /// Name of the section.
        name: Name,
    },
    /// The body of a section doesn't match its digest in the index.
    #[snafu(display("section {name} has digest {found}, expected {expected}"))]
    Mismatch {
        /// Name of the section.
        name: Name,
        /// Digest in the index.
        expected: Digest,
        /// Digest of the body.
        found: Digest,
    },
    /// The body of a section isn't the JSON of its callers or route.
    #[snafu(display("section {name} can't be decoded"))]
    Decode {
        /// Name of the section.
        name: Name,
        /// Error of the decoder.
        source: serde_json::Error,
    },
    /// The body of a section is a route with another name.
    #[snafu(display("section {name} contains the route {found}"))]
    WrongRoute {
        /// Name of the section.
        name: Name,
        /// Name of the route in its body.
        found: RouteId,
    },
    /// A part refers to a position beyond the receiver's sections.
    #[snafu(display("there is no section at position {position}"))]
    UnknownPosition {
        /// Position in the receiver's sections.
        position: u32,
    },
    /// The document assembled from the sections is invalid.
    #[snafu(display("the sections don't form a valid document"))]
    Invalid {
        /// Faults of the document.
        source: check::Error,
    },
}
