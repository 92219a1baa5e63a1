//! What goes over the wire when one daemon fetches a document from another.
//!
//! The asker tells what it holds in eight bytes a section ([`Base`]); the answer names the sections
//! of the newer document one after the other, by a position in that list where the asker holds it
//! already and with its body where not. So a change of one route costs its body and some bytes for
//! each other route.
//!
//! Nothing in an answer is believed. The asker makes the index of what it then has and holds the
//! digest of that against the one which was announced: two sections that share eight bytes of their
//! digests, a position that means another section, a body cut short, all of them give another digest.

use super::error::{Result, UnknownPositionSnafu};
use super::{Name, Section};
use serde::{Deserialize, Serialize};
use snafu::OptionExt;
use std::collections::HashMap;
use std::sync::Arc;

/// First bytes of the digest of each section that an asker holds, in its own order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Base(Vec<u64>);

impl Base {
    /// Describes the sections that are held; none where the whole document is wanted.
    pub fn of(sections: &[Section]) -> Self {
        let prefixes = sections.iter().map(|section| section.digest().prefix());
        Self(prefixes.collect())
    }

    /// Tells whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// One section of the document asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    /// The section at this position of the asker's base.
    Held(u32),
    /// A section that the asker does not hold.
    Sent {
        /// Which part of the document it is.
        name: Name,
        /// Its canonical JSON.
        body: Arc<[u8]>,
    },
}

/// Returns the parts that make these sections out of what an asker holds.
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

/// Makes sections of the parts that came and of those that are held. The digest of their index is
/// still to be held against the one that was announced.
///
/// # Errors
///
/// Returns [`super::Error::UnknownPosition`] if a part stands for a section that is not held.
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
