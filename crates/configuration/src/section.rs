//! The document cut into sections: the callers, and one section for each route.
//!
//! A change of one route shouldn't cost every daemon the transfer of a whole document, and a daemon
//! needs only the routes that it serves. So daemons tell each other an [`Index`], a digest for each
//! section, and fetch the sections that differ. One digest over the index stands for the whole
//! document; it is what goes with the revision in every exchange. How the sections travel is in
//! [`transfer`].
//!
//! Invariant: the digest of a [`Section`] is that of its body. It is computed here and never taken
//! over from a peer.

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

/// A part of a document in its canonical bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    name: Name,
    digest: Digest,
    body: Arc<[u8]>,
}

impl Section {
    /// Takes over bytes that came from elsewhere under this name.
    pub fn new(name: Name, body: impl Into<Arc<[u8]>>) -> Self {
        let body = body.into();
        let digest = Digest::of(&body);
        Self { name, digest, body }
    }

    /// Returns which part of the document this is.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// Returns the SHA-256 digest of the body.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the canonical JSON of the part.
    pub fn body(&self) -> &Arc<[u8]> {
        &self.body
    }

    fn write<T: Serialize>(name: Name, part: &T) -> Result<Self> {
        let body = serde_json::to_vec(part).context(EncodeSnafu { name: name.clone() })?;
        Ok(Self::new(name, body))
    }

    fn read<'a, T: Deserialize<'a>>(&'a self) -> Result<T> {
        serde_json::from_slice(&self.body).context(DecodeSnafu {
            name: self.name.clone(),
        })
    }
}

/// Cuts a document into sections, in the order of their names.
///
/// Documents with equal canonical forms give equal sections.
///
/// # Errors
///
/// Returns [`Error::Encode`] if a part can't be written as JSON.
pub fn split(document: &Document) -> Result<Vec<Section>> {
    let form = canonical::form(document);
    let callers = Section::write(Name::Callers, &form.callers);
    let routes = form
        .routes
        .iter()
        .map(|route| Section::write(Name::Route(route.name.clone()), route));
    std::iter::once(callers).chain(routes).collect()
}

/// Puts the document of an index together again.
///
/// The index may be a selection, see [`Index::select`]; the document then has only those routes.
/// The result is in canonical form and has passed [`check::document`].
/// Its identity is the digest of the index that came with it and not that of another [`split`]: the
/// sender's build may write canonical bytes that differ from this one's.
///
/// # Errors
///
/// Returns an error if a section of the index is missing, if one isn't in the index, if the bytes
/// of one don't have the digest of the index or aren't what the name says, and if the whole is not
/// a valid document.
pub fn assemble(index: &Index, sections: &[Section]) -> Result<Document> {
    let verified = verify(index, sections)?;
    let mut document = Document::default();
    for section in verified.values() {
        match section.name() {
            Name::Callers => document.callers = section.read::<Vec<Caller>>()?,
            Name::Route(name) => {
                let route: Route = section.read()?;
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

/// Holds sections against the digests of an index; a section that came twice counts once.
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
