//! The configuration document that an operator is editing.
//!
//! A draft may be any JSON value. An invalid field keeps the text that was typed, so that the page can
//! show the fault beside it. [`Draft::check`] converts a valid draft to a document.

use super::form::Form;
use super::pointer;
use monsoonring_configuration::check::{self, Fault};
use monsoonring_configuration::{Document, limit, schema};
use serde_json::{Map, Number, Value, json};

/// Maximum size of a draft in bytes. A draft may exceed the size limit of a document, so that an
/// operator can open one that is too large and shorten it.
const MAX_BYTES: usize = 2 * limit::VALUE_BYTES;

/// A document that is being edited.
#[derive(Clone, Debug)]
pub(super) struct Draft {
    value: Value,
}

impl Draft {
    /// Creates a draft from a document, or an empty draft.
    pub(super) fn new(document: Option<&Document>) -> Self {
        let value = document.and_then(|document| serde_json::to_value(document).ok());
        Self {
            value: value.unwrap_or_else(|| json!({ "callers": [], "routes": [] })),
        }
    }

    /// Parses a draft from a form field, which holds the current draft or a pasted text.
    ///
    /// # Errors
    ///
    /// Returns the faults of a text that is not JSON or is too long.
    pub(super) fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let value = match text.len() <= MAX_BYTES {
            true => serde_json::from_str(text).ok(),
            false => None,
        };
        match value {
            Some(value) => Ok(Self { value }),
            None => Err(faults(text)),
        }
    }

    /// Returns the draft as JSON, for the hidden form field.
    pub(super) fn text(&self) -> String {
        self.value.to_string()
    }

    /// Validates the draft in the same way as a published document.
    ///
    /// # Errors
    ///
    /// Returns all faults.
    pub(super) fn check(&self) -> Result<Document, Vec<Fault>> {
        check::parse(self.text().as_bytes()).map_err(|error| error.faults)
    }

    /// Returns the value at a JSON pointer.
    pub(super) fn at(&self, pointer: &str) -> Option<&Value> {
        self.value.pointer(pointer)
    }

    pub(super) fn at_mut(&mut self, pointer: &str) -> Option<&mut Value> {
        self.value.pointer_mut(pointer)
    }

    /// Returns the items of a list, or an empty slice if the value is not a list.
    pub(super) fn items(&self, pointer: &str) -> &[Value] {
        let value = self.at(pointer).and_then(Value::as_array);
        value.map(Vec::as_slice).unwrap_or_default()
    }

    /// Returns the `name` fields of all items of a list.
    pub(super) fn names(&self, pointer: &str) -> Vec<&str> {
        let items = self.items(pointer).iter();
        items.filter_map(|item| item["name"].as_str()).collect()
    }

    /// Applies the form's fields at and below a pointer; fields that the form lacks are unchanged.
    pub(super) fn apply(&mut self, pointer: &str, form: &Form) {
        let subschema = pointer::schema(pointer);
        if let (Some(subschema), Some(value)) = (subschema, self.value.pointer_mut(pointer)) {
            fill(value, subschema, pointer, form);
        }
    }
}

/// Returns the faults of a text; empty if it is a valid document.
pub(super) fn faults(text: &str) -> Vec<Fault> {
    match check::parse(text.as_bytes()) {
        Ok(_) => Vec::new(),
        Err(error) => error.faults,
    }
}

/// Updates a value from the form, following the schema.
fn fill(value: &mut Value, subschema: &'static Value, pointer: &str, form: &Form) {
    let resolved = schema::resolve(subschema);
    if let Some(fields) = resolved.get("properties").and_then(Value::as_object) {
        return fill_object(value, resolved, fields, pointer, form);
    }
    match resolved.get("items") {
        Some(items) if schema::resolve(items).get("properties").is_some() => {
            let present = value.as_array_mut().into_iter().flatten().enumerate();
            for (index, item) in present {
                fill(
                    item,
                    items,
                    &pointer::child(pointer, &index.to_string()),
                    form,
                );
            }
        }
        Some(_) => {
            if let Some(lines) = form.lines(pointer) {
                *value = lines.into_iter().map(Value::from).collect();
            }
        }
        None => {
            if let Some(text) = form.value(pointer) {
                *value = scalar(resolved, text);
            }
        }
    }
}

fn fill_object(
    value: &mut Value,
    resolved: &'static Value,
    fields: &'static Map<String, Value>,
    pointer: &str,
    form: &Form,
) {
    let mut object = match value.take() {
        Value::Object(object) => object,
        _ => Map::new(),
    };
    for (name, subschema) in fields {
        let child = pointer::child(pointer, name);
        if !form.contains(&child) {
            continue;
        }
        let mut field = object.remove(name).unwrap_or_default();
        fill(&mut field, subschema, &child, form);
        if !is_absent(&field, is_required(resolved, name)) {
            object.insert(name.clone(), field);
        }
    }
    *value = Value::Object(object);
}

/// Returns whether an empty field is left out of the document. A required object is kept, so that
/// each of its fields is reported as missing.
fn is_absent(field: &Value, required: bool) -> bool {
    match field {
        Value::Null => true,
        Value::Object(fields) => fields.is_empty() && !required,
        _ => false,
    }
}

/// Returns whether the schema requires a field of an object.
pub(super) fn is_required(resolved: &Value, name: &str) -> bool {
    let names = resolved.get("required").and_then(Value::as_array);
    names.is_some_and(|names| names.iter().any(|found| found.as_str() == Some(name)))
}

/// Parses a number if the schema requires one. Any other text, or an invalid number, stays a string.
fn scalar(resolved: &Value, text: &str) -> Value {
    if text.is_empty() {
        return Value::Null;
    }
    let kind = resolved.get("type").and_then(Value::as_str);
    let number = match kind {
        Some("integer" | "number") => number(text),
        _ => None,
    };
    number.map_or_else(|| Value::from(text), Value::Number)
}

fn number(text: &str) -> Option<Number> {
    let integer = text.parse::<u64>().ok().map(Number::from);
    integer.or_else(|| Number::from_f64(text.parse().ok()?))
}
