//! Sections of a document: one with the callers and one for each route.
//!
//! Daemons fetch only the sections that differ, so that a change of one route doesn't transfer the
//! whole document. An [`Index`] holds the digest of each section, and the digest of the index
//! identifies the document, together with its revision. [`transfer`] encodes sections for a peer.
//!
//! Invariant: the digest of a [`Section`] is computed from its body and never received from a peer.

mod digest;
mod error;
mod index;
mod name;
pub mod transfer;

pub use digest::Digest;
pub use error::{Error, Result};
pub use index::{Difference, Index};
pub use name::Name;

use crate::document::{Caller, Route};
use crate::{Document, canonical, check};
use error::{
    DecodeSnafu, EncodeSnafu, InvalidSnafu, MismatchSnafu, MissingSnafu, UnexpectedSnafu,
    WrongRouteSnafu,
};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, ensure};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A part of a document as canonical JSON, with its digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    name: Name,
    digest: Digest,
    body: Arc<[u8]>,
}

impl Section {
    /// Creates a section from a body, which may come from a peer and be invalid.
    pub fn new(name: Name, body: impl Into<Arc<[u8]>>) -> Self {
        let body = body.into();
        let digest = Digest::of(&body);
        Self { name, digest, body }
    }

    /// Returns the name of the section.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// Returns the SHA-256 digest of the body.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the canonical JSON of the section.
    pub fn body(&self) -> &Arc<[u8]> {
        &self.body
    }

    fn encode<T: Serialize>(name: Name, part: &T) -> Result<Self> {
        let body = serde_json::to_vec(part).context(EncodeSnafu { name: name.clone() })?;
        Ok(Self::new(name, body))
    }

    fn decode<'a, T: Deserialize<'a>>(&'a self) -> Result<T> {
        serde_json::from_slice(&self.body).context(DecodeSnafu {
            name: self.name.clone(),
        })
    }
}

/// Splits a document into sections, sorted by name.
///
/// Documents with equal canonical forms have equal sections.
///
/// # Errors
///
/// Returns [`Error::Encode`] if a section can't be encoded as JSON.
pub fn split(document: &Document) -> Result<Vec<Section>> {
    let form = canonical::form(document);
    let callers = Section::encode(Name::Callers, &form.callers);
    let routes = form
        .routes
        .iter()
        .map(|route| Section::encode(Name::Route(route.name.clone()), route));
    std::iter::once(callers).chain(routes).collect()
}

/// Assembles the document of an index from its sections.
///
/// The document is in canonical form and has passed [`check::document`]. If the index is a
/// selection (see [`Index::select`]), the document has only the selected routes.
///
/// Identify the document by the digest of `index`. Don't split the document again to compute it:
/// the sender may run another version, which encodes the same document differently.
///
/// # Errors
///
/// Returns an error if a section is missing from `sections` or not in the index, if its body
/// doesn't match its digest or its name, or if the assembled document is invalid.
pub fn assemble(index: &Index, sections: &[Section]) -> Result<Document> {
    let verified = verify(index, sections)?;
    let mut document = Document::default();
    for section in verified.values() {
        match section.name() {
            Name::Callers => document.callers = section.decode::<Vec<Caller>>()?,
            Name::Route(name) => {
                let route: Route = section.decode()?;
                ensure!(
                    route.name == *name,
                    WrongRouteSnafu {
                        name: section.name.clone(),
                        found: route.name
                    }
                );
                document.routes.push(route);
            }
        }
    }
    check::document(&document).context(InvalidSnafu)?;
    Ok(canonical::form(&document))
}

/// Checks that the sections are those of the index, with the same digests. Duplicates are ignored.
fn verify<'a>(index: &Index, sections: &'a [Section]) -> Result<BTreeMap<&'a Name, &'a Section>> {
    let mut verified = BTreeMap::new();
    for section in sections {
        let name = section.name();
        let expected = index
            .get(name)
            .context(UnexpectedSnafu { name: name.clone() })?;
        let found = section.digest();
        ensure!(
            expected == found,
            MismatchSnafu {
                name: name.clone(),
                expected,
                found
            }
        );
        verified.insert(name, section);
    }
    for (name, _) in index.iter() {
        ensure!(
            verified.contains_key(name),
            MissingSnafu { name: name.clone() }
        );
    }
    Ok(verified)
}
