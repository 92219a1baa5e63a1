//! What a new document changes, and what that does to whom.
//!
//! An operator who publishes a document wants two answers before: have I changed what I meant to
//! ([`Change`], field by field), and who will feel it ([`Effect`]: callers who lose a route, data
//! that moves, backend servers left without work, capacity). Both are computed from the canonical
//! forms, so that sorting a file or writing out a default is no change.

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
    /// What was edited.
    pub changes: Vec<Change>,
    /// What the edits do.
    pub effects: Vec<Effect>,
}

impl Difference {
    /// Tells whether both documents mean the same.
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
