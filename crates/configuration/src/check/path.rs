//! Places in a JSON document.

use derive_more::Display;
use serde::{Serialize, Serializer};
use std::borrow::Cow;
use std::fmt;

/// One step down into a JSON value.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Segment {
    /// Into an item of an array.
    #[display("[{_0}]")]
    Index(usize),
    /// Into a field of an object.
    #[display("{_0}")]
    Field(Cow<'static, str>),
}

/// The way to a place in a JSON document, written `routes[2].groups[0].keys.end`.
///
/// The empty path is the document itself. Paths order as their places do in an array.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Path(Vec<Segment>);

impl Path {
    /// Returns the path of an item of the array at this path.
    pub fn index(&self, index: usize) -> Self {
        self.step(Segment::Index(index))
    }

    /// Returns the path of a field of the object at this path.
    pub fn field(&self, name: impl Into<Cow<'static, str>>) -> Self {
        self.step(Segment::Field(name.into()))
    }

    /// Returns the steps from the document down.
    pub fn segments(&self) -> &[Segment] {
        &self.0
    }

    pub(super) fn push(&mut self, step: Segment) {
        self.0.push(step);
    }

    pub(super) fn pop(&mut self) {
        self.0.pop();
    }

    fn step(&self, step: Segment) -> Self {
        let mut steps = Vec::with_capacity(self.0.len() + 1);
        steps.extend_from_slice(&self.0);
        steps.push(step);
        Self(steps)
    }
}

impl fmt::Display for Path {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return formatter.write_str("document");
        }
        for (position, step) in self.0.iter().enumerate() {
            match step {
                Segment::Field(name) if !is_plain(name) => write!(formatter, "[{name:?}]")?,
                Segment::Field(name) if position > 0 => write!(formatter, ".{name}")?,
                other => write!(formatter, "{other}")?,
            }
        }
        Ok(())
    }
}

impl Serialize for Path {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// Tells whether a field's name can stand in a path without quotes.
fn is_plain(name: &str) -> bool {
    !name.is_empty()
        && name
            .chars()
            .all(|character| character.is_ascii_alphanumeric() || character == '_')
}
