//! Paths in a JSON document.

use derive_more::Display;
use serde::{Serialize, Serializer};
use std::borrow::Cow;
use std::fmt;

/// A segment of a [`Path`].
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Segment {
    /// Index in an array.
    #[display("[{_0}]")]
    Index(usize),
    /// Field of an object.
    #[display("{_0}")]
    Field(Cow<'static, str>),
}

/// Path of a value in a JSON document, written `routes[2].groups[0].keys.end`.
///
/// The empty path is the document itself. Array indices sort in numerical order.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Path(Vec<Segment>);

impl Path {
    /// Returns the path of an item of the array at this path.
    pub fn index(&self, index: usize) -> Self {
        self.join(Segment::Index(index))
    }

    /// Returns the path of a field of the object at this path.
    pub fn field(&self, name: impl Into<Cow<'static, str>>) -> Self {
        self.join(Segment::Field(name.into()))
    }

    /// Returns the segments, starting at the document.
    pub fn segments(&self) -> &[Segment] {
        &self.0
    }

    pub(super) fn push(&mut self, segment: Segment) {
        self.0.push(segment);
    }

    pub(super) fn pop(&mut self) {
        self.0.pop();
    }

    fn join(&self, segment: Segment) -> Self {
        let mut segments = Vec::with_capacity(self.0.len() + 1);
        segments.extend_from_slice(&self.0);
        segments.push(segment);
        Self(segments)
    }
}

impl fmt::Display for Path {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return formatter.write_str("document");
        }
        for (position, segment) in self.0.iter().enumerate() {
            match segment {
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

/// Returns whether a field name needs no quotes in a path.
fn is_plain(name: &str) -> bool {
    !name.is_empty()
        && name
            .chars()
            .all(|character| character.is_ascii_alphanumeric() || character == '_')
}
