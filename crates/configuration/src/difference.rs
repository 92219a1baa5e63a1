//! Differences between two documents, for review before a document is published.
//!
//! A difference lists the edited fields ([`Change`]) and their consequences ([`Effect`]), such as
//! callers that lose a route, keys that move to other backend servers, or a change of capacity. Both
//! are computed from the canonical forms, so that sorting a file or writing out a default is not a
//! change.

mod access;
mod change;
mod effect;
mod load;
mod movement;
mod timing;

pub use change::{Action, Change, Subject};
pub use effect::{Amount, Effect};

use crate::{Document, canonical};
use serde::Serialize;
use std::fmt;

/// All differences between two documents.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Difference {
    /// Edits, field by field.
    pub changes: Vec<Change>,
    /// Effects of the edits on callers, data and backend servers.
    pub effects: Vec<Effect>,
}

impl Difference {
    /// Returns whether both documents have the same meaning.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty() && self.effects.is_empty()
    }
}

/// Compares two valid documents.
pub fn between(old: &Document, new: &Document) -> Difference {
    let old = canonical::form(old);
    let new = canonical::form(new);
    let mut effects = access::effects(&old, &new);
    effects.extend(timing::effects(&old, &new));
    effects.extend(movement::effects(&old, &new));
    effects.extend(load::effects(&old, &new));
    Difference {
        changes: change::collect(&old, &new),
        effects,
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return writeln!(formatter, "No change.");
        }
        writeln!(formatter, "Changes:")?;
        for change in &self.changes {
            writeln!(formatter, "  {change}")?;
        }
        if !self.effects.is_empty() {
            writeln!(formatter, "Effects:")?;
        }
        for effect in &self.effects {
            writeln!(formatter, "  {effect}")?;
        }
        Ok(())
    }
}
