//! Index of the sections of a document.

use super::{Digest, Name, Section};
use crate::id::RouteId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Digest of each section of a document, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Index(BTreeMap<Name, Digest>);

/// Names of the sections that differ between two indexes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Sections that are only in the newer index.
    pub added: Vec<Name>,
    /// Sections that are only in the older index.
    pub removed: Vec<Name>,
    /// Sections whose digests differ.
    pub changed: Vec<Name>,
}

impl Difference {
    /// Returns whether the indexes are equal.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }
}

impl Index {
    /// Creates the index of `sections`.
    pub fn of(sections: &[Section]) -> Self {
        sections
            .iter()
            .map(|section| (section.name().clone(), section.digest()))
            .collect()
    }

    /// Returns the digest of the whole document.
    ///
    /// It is the SHA-256 digest of a text with a line `NAME DIGEST` for each section, sorted by name, so
    /// that an operator can compute it with standard tools. The format is unambiguous because names
    /// have no white space in a valid document.
    pub fn digest(&self) -> Digest {
        let lines: String = self
            .iter()
            .map(|(name, digest)| format!("{name} {digest}\n"))
            .collect();
        Digest::of(lines.as_bytes())
    }

    /// Returns the digest of a section, or `None` if it is not in the index.
    pub fn get(&self, name: &Name) -> Option<Digest> {
        self.0.get(name).copied()
    }

    /// Returns the names and digests of all sections, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, Digest)> {
        self.0.iter().map(|(name, digest)| (name, *digest))
    }

    /// Returns the number of sections.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no sections.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the index of the callers and of the routes for which `is_selected` returns true.
    pub fn select(&self, is_selected: impl Fn(&RouteId) -> bool) -> Self {
        self.iter()
            .filter(|(name, _)| match name {
                Name::Callers => true,
                Name::Route(route) => is_selected(route),
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
