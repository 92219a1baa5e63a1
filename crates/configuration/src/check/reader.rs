//! JSON parser that reports duplicate keys in an object.
//!
//! `serde_json` silently keeps the last of two equal keys, so an operator who edits the first copy
//! would see no effect.

use super::{Fault, Path, Segment};
use serde::de::{DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};
use std::fmt;

/// A JSON value and the faults of its duplicate keys.
pub(super) struct Parsed {
    pub(super) value: Value,
    pub(super) faults: Vec<Fault>,
}

/// Parses all of `bytes` as one JSON value.
pub(super) fn parse(bytes: &[u8]) -> Result<Parsed, Fault> {
    let mut faults = Vec::new();
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let mut path = Path::default();
    let seed = Seed {
        path: &mut path,
        faults: &mut faults,
    };
    let value = seed
        .deserialize(&mut deserializer)
        .and_then(|value| deserializer.end().map(|()| value))
        .map_err(|error| syntax_fault(&error))?;
    Ok(Parsed { value, faults })
}

fn syntax_fault(error: &serde_json::Error) -> Fault {
    Fault::new(
        Path::default(),
        format!("it isn't JSON: {error}"),
        "one JSON object with the fields `callers` and `routes`",
    )
}

/// Deserializes the value at `path`.
///
/// Invariant: `path` is the same before and after, except after an error, which ends parsing.
struct Seed<'a> {
    path: &'a mut Path,
    faults: &'a mut Vec<Fault>,
}

impl<'de> DeserializeSeed<'de> for Seed<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Seed<'_> {
    type Value = Value;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(number(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        loop {
            self.path.push(Segment::Index(items.len()));
            let item = access.next_element_seed(Seed {
                path: &mut *self.path,
                faults: &mut *self.faults,
            })?;
            self.path.pop();
            match item {
                Some(item) => items.push(item),
                None => return Ok(items.into()),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut fields = Map::new();
        while let Some(name) = access.next_key::<String>()? {
            self.path.push(Segment::Field(name.clone().into()));
            if fields.contains_key(&name) {
                self.faults.push(duplicate_fault(self.path.clone()));
            }
            let value = access.next_value_seed(Seed {
                path: &mut *self.path,
                faults: &mut *self.faults,
            })?;
            self.path.pop();
            fields.insert(name, value);
        }
        Ok(fields.into())
    }
}

fn duplicate_fault(path: Path) -> Fault {
    Fault::new(
        path,
        "the field occurs more than once in its object",
        "the field only once",
    )
}

/// Converts a whole number such as `3.0` to an integer: it is the same JSON number as `3`, but the
/// integer fields of the document only accept the latter.
fn number(value: f64) -> Value {
    let whole = value.fract() == 0.0 && (0.0..U64_RANGE).contains(&value);
    if whole {
        (value as u64).into()
    } else {
        value.into()
    }
}

/// Smallest number that is too large for a `u64`: 2 to the power of 64.
const U64_RANGE: f64 = 18_446_744_073_709_551_616.0;
