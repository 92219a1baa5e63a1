//! What can be wrong with sections.

use super::{Digest, Name};
use crate::check;
use crate::id::RouteId;
use snafu::Snafu;

/// The outcome of an operation on sections.
pub type Result<T> = std::result::Result<T, Error>;

/// Sections that aren't the document that they should be.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// A part can't be written as JSON.
    #[snafu(display("the section {name} can't be written"))]
    Encode {
        /// The part.
        name: Name,
        /// Why it can't.
        source: serde_json::Error,
    },
    /// A section of the index isn't there.
    #[snafu(display("the section {name} is missing"))]
    Missing {
        /// The section.
        name: Name,
    },
    /// A section is there that the index doesn't name.
    #[snafu(display("the section {name} isn't part of the document"))]
    Unexpected {
        /// The section.
        name: Name,
    },
    /// The bytes of a section are not those that the index speaks of.
    #[snafu(display("the section {name} has the digest {found} and should have {expected}"))]
    Mismatch {
        /// The section.
        name: Name,
        /// The digest in the index.
        expected: Digest,
        /// The digest of the bytes.
        found: Digest,
    },
    /// The bytes of a section don't hold what they should.
    #[snafu(display("the section {name} can't be read"))]
    Decode {
        /// The section.
        name: Name,
        /// Why it can't.
        source: serde_json::Error,
    },
    /// A section holds another route than its name says.
    #[snafu(display("the section {name} holds the route {found}"))]
    WrongRoute {
        /// The section.
        name: Name,
        /// The route in it.
        found: RouteId,
    },
    /// A part stands for a section that isn't held.
    #[snafu(display("there is no section at position {position}"))]
    UnknownPosition {
        /// The position.
        position: u32,
    },
    /// Each section is whole, but together they aren't a valid document.
    #[snafu(display("the sections together are no valid document"))]
    Invalid {
        /// What is wrong.
        source: check::Error,
    },
}
