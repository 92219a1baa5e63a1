//! The digests of all sections of a document.

use super::{Digest, Name, Section};
use crate::id::RouteId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The digest of each section of a document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Index(BTreeMap<Name, Digest>);

/// What a newer index has that an older one hasn't.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Sections that are new.
    pub added: Vec<Name>,
    /// Sections that are gone.
    pub removed: Vec<Name>,
    /// Sections with another digest.
    pub changed: Vec<Name>,
}

impl Difference {
    /// Tells whether both indexes are of the same document.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }
}

impl Index {
    /// Makes the index of some sections.
    pub fn of(sections: &[Section]) -> Self {
        sections
            .iter()
            .map(|section| (section.name().clone(), section.digest()))
            .collect()
    }

    /// Returns the digest of the whole document.
    ///
    /// It is the SHA-256 digest of one line `NAME DIGEST` for each section, in the order of the
    /// names, so that an operator can compute it with the usual tools. A name has no white space
    /// in a valid document; its length is not written.
    pub fn digest(&self) -> Digest {
        let lines: String = self
            .iter()
            .map(|(name, digest)| format!("{name} {digest}\n"))
            .collect();
        Digest::of(lines.as_bytes())
    }

    /// Returns the digest of a section.
    pub fn get(&self, name: &Name) -> Option<Digest> {
        self.0.get(name).copied()
    }

    /// Returns all sections in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, Digest)> {
        self.0.iter().map(|(name, digest)| (name, *digest))
    }

    /// Returns the number of sections.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Tells whether there is no section.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the part of the index that a daemon needs for some routes: those and the callers.
    pub fn select(&self, wanted: impl Fn(&RouteId) -> bool) -> Self {
        self.iter()
            .filter(|(name, _)| match name {
                Name::Callers => true,
                Name::Route(route) => wanted(route),
            })
            .map(|(name, digest)| (name.clone(), digest))
            .collect()
    }

    /// Compares this index with a newer one.
    pub fn difference(&self, newer: &Self) -> Difference {
        let mut difference = Difference::default();
        for (name, digest) in newer.iter() {
            match self.get(name) {
                None => difference.added.push(name.clone()),
                Some(old) if old != digest => difference.changed.push(name.clone()),
                Some(_) => {}
            }
        }
        difference.removed = self
            .iter()
            .filter(|(name, _)| newer.get(name).is_none())
            .map(|(name, _)| name.clone())
            .collect();
        difference
    }
}

impl FromIterator<(Name, Digest)> for Index {
    fn from_iter<T: IntoIterator<Item = (Name, Digest)>>(sections: T) -> Self {
        Self(sections.into_iter().collect())
    }
}
