//! Reads JSON and reports keys that stand twice in an object.
//!
//! The usual reader keeps the last of two equal keys. An operator who edits a copied block then
//! sees one value in the file and another in force, and nothing complains. Here both are a fault.

use super::{Fault, Path, Segment};
use serde::de::{DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};
use std::fmt;

/// A JSON value and the keys that stand twice in it.
pub(super) struct Read {
    pub(super) value: Value,
    pub(super) faults: Vec<Fault>,
}

/// Reads the whole of `bytes` as one JSON value.
pub(super) fn read(bytes: &[u8]) -> Result<Read, Fault> {
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
    Ok(Read { value, faults })
}

fn syntax_fault(error: &serde_json::Error) -> Fault {
    Fault::new(
        Path::default(),
        format!("it isn't JSON: {error}"),
        "one JSON object with the fields `callers` and `routes`",
    )
}

/// Reads the value at `path`.
///
/// Invariant: each step down is taken back, so that `path` is the same before and after. After an
/// error it isn't, but then nothing is read any more.
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
        "the field stands more than once in its object",
        "the field once",
    )
}

/// A whole number written as a fraction, such as `3.0`, is the same JSON number as `3`; the types
/// of the document only read the latter.
fn number(value: f64) -> Value {
    let whole = value.fract() == 0.0 && (0.0..U64_RANGE).contains(&value);
    if whole {
        (value as u64).into()
    } else {
        value.into()
    }
}

/// The first number that no `u64` holds: 2 to the 64th.
const U64_RANGE: f64 = 18_446_744_073_709_551_616.0;
