//! A JSON value together with its path in the document.
//!
//! The rules also read documents that don't match the schema. A value that is missing or has the wrong
//! type reads as `None`, and rules skip it because the schema check has reported it already.

use super::{Fault, Path};
use serde::Deserialize;
use serde_json::Value;

#[derive(Clone, Debug)]
pub(crate) struct Node<'a> {
    pub(crate) path: Path,
    pub(crate) value: &'a Value,
}

impl<'a> Node<'a> {
    pub(crate) fn root(value: &'a Value) -> Self {
        Self {
            path: Path::default(),
            value,
        }
    }

    pub(crate) fn field(&self, name: &'static str) -> Option<Self> {
        let value = self.value.get(name)?;
        let path = self.path.field(name);
        Some(Self { path, value })
    }

    /// Returns the items of the array in the field `name`; empty if there is no such array.
    pub(crate) fn items(&self, name: &'static str) -> Vec<Self> {
        let array = self.value.get(name).and_then(Value::as_array);
        let path = self.path.field(name);
        array
            .into_iter()
            .flatten()
            .enumerate()
            .map(|(index, value)| Self {
                path: path.index(index),
                value,
            })
            .collect()
    }

    pub(crate) fn read<T: Deserialize<'a>>(&self) -> Option<T> {
        T::deserialize(self.value).ok()
    }

    pub(crate) fn read_field<T: Deserialize<'a>>(&self, name: &str) -> Option<T> {
        T::deserialize(self.value.get(name)?).ok()
    }

    pub(crate) fn fault(&self, wrong: impl Into<String>, right: impl Into<String>) -> Fault {
        Fault::new(self.path.clone(), wrong, right)
    }
}
