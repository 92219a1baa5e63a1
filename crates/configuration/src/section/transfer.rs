//! Delta encoding of a document that one daemon fetches from another.
//!
//! The receiver sends the first eight bytes of each of its sections' digests ([`Base`]). The sender
//! replies with the sections of its document, each either as a position in that list or in full, so
//! that a change of one route costs its body and a few bytes for each other section.
//!
//! The receiver does not trust the reply: it computes the index of the resulting sections and compares
//! its digest with the announced one. This detects colliding digest prefixes, wrong positions and
//! damaged bodies.

use super::error::{Result, UnknownPositionSnafu};
use super::{Name, Section};
use serde::{Deserialize, Serialize};
use snafu::OptionExt;
use std::collections::HashMap;
use std::sync::Arc;

/// Digest prefixes of the sections that the receiver holds, in its own order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Base(Vec<u64>);

impl Base {
    /// Creates the base of `sections`. Without sections, the whole document is sent.
    pub fn of(sections: &[Section]) -> Self {
        let prefixes = sections.iter().map(|section| section.digest().prefix());
        Self(prefixes.collect())
    }

    /// Returns whether the receiver holds no sections.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// One section of the requested document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    /// The section at this position in the receiver's [`Base`].
    Held(u32),
    /// A section that the receiver does not hold.
    Sent {
        /// Name of the section.
        name: Name,
        /// Its canonical JSON.
        body: Arc<[u8]>,
    },
}

/// Encodes `sections` for a receiver that holds `base`.
pub fn parts(sections: &[Section], base: &Base) -> Vec<Part> {
    let held: HashMap<u64, u32> = base.0.iter().copied().zip(0..).collect();
    let part = |section: &Section| match held.get(&section.digest().prefix()) {
        Some(position) => Part::Held(*position),
        None => Part::Sent {
            name: section.name().clone(),
            body: section.body().clone(),
        },
    };
    sections.iter().map(part).collect()
}

/// Decodes `parts` into sections, given those that the receiver holds. The caller must compare the
/// digest of their index with the announced one.
///
/// # Errors
///
/// Returns [`super::Error::UnknownPosition`] if a part refers to a position beyond `held`.
pub fn join(parts: Vec<Part>, held: &[Section]) -> Result<Vec<Section>> {
    let section = |part| match part {
        Part::Held(position) => usize::try_from(position)
            .ok()
            .and_then(|position| held.get(position))
            .cloned()
            .context(UnknownPositionSnafu { position }),
        Part::Sent { name, body } => Ok(Section::new(name, body)),
    };
    parts.into_iter().map(section).collect()
}
