//! The document that an operator is working on.
//!
//! It travels in the form and may be anything that is JSON: a field that was filled in wrongly is
//! kept as it was typed, so that its fault can be shown beside it. Only the check makes a document
//! of it.

use super::form::Form;
use super::pointer;
use monsoonring_configuration::check::{self, Fault};
use monsoonring_configuration::{Document, limit, schema};
use serde_json::{Map, Number, Value, json};

/// Largest draft taken, in bytes. A draft may be larger than a document may be, as long as it is
/// shown as a fault and can be made smaller.
const MAX_BYTES: usize = 2 * limit::VALUE_BYTES;

/// A document in the making.
#[derive(Clone, Debug)]
pub(super) struct Draft {
    value: Value,
}

impl Draft {
    /// Starts from a document, or from an empty one.
    pub(super) fn of(document: Option<&Document>) -> Self {
        let value = document.and_then(|document| serde_json::to_value(document).ok());
        Self {
            value: value.unwrap_or_else(|| json!({ "callers": [], "routes": [] })),
        }
    }

    /// Reads a draft from a form or from a text that an operator pasted.
    ///
    /// # Errors
    ///
    /// Returns the faults of a text that is no JSON, or too long.
    pub(super) fn read(text: &str) -> Result<Self, Vec<Fault>> {
        let value = match text.len() <= MAX_BYTES {
            true => serde_json::from_str(text).ok(),
            false => None,
        };
        match value {
            Some(value) => Ok(Self { value }),
            None => Err(faults(text)),
        }
    }

    /// Returns the text that travels in the form.
    pub(super) fn text(&self) -> String {
        self.value.to_string()
    }

    /// Checks the draft as a published document is checked.
    ///
    /// # Errors
    ///
    /// Returns all faults.
    pub(super) fn check(&self) -> Result<Document, Vec<Fault>> {
        check::parse(self.text().as_bytes()).map_err(|error| error.faults)
    }

    /// Returns the value at a place.
    pub(super) fn at(&self, pointer: &str) -> Option<&Value> {
        self.value.pointer(pointer)
    }

    pub(super) fn at_mut(&mut self, pointer: &str) -> Option<&mut Value> {
        self.value.pointer_mut(pointer)
    }

    /// Returns the items of a list; none where there is something else.
    pub(super) fn items(&self, pointer: &str) -> &[Value] {
        let value = self.at(pointer).and_then(Value::as_array);
        value.map(Vec::as_slice).unwrap_or_default()
    }

    /// Returns the texts of the field `name` in all items of a list.
    pub(super) fn names(&self, pointer: &str) -> Vec<&str> {
        let items = self.items(pointer).iter();
        items.filter_map(|item| item["name"].as_str()).collect()
    }

    /// Takes over what a form says of the place, and leaves alone what it doesn't mention.
    pub(super) fn apply(&mut self, pointer: &str, form: &Form) {
        let part = pointer::schema(pointer);
        if let (Some(part), Some(value)) = (part, self.value.pointer_mut(pointer)) {
            fill(value, part, pointer, form);
        }
    }
}

/// Returns the faults of a text that wasn't taken; never none.
pub(super) fn faults(text: &str) -> Vec<Fault> {
    match check::parse(text.as_bytes()) {
        Ok(_) => Vec::new(),
        Err(error) => error.faults,
    }
}

/// Fills a place in from a form.
fn fill(value: &mut Value, part: &'static Value, pointer: &str, form: &Form) {
    let whole = schema::resolve(part);
    if let Some(fields) = whole.get("properties").and_then(Value::as_object) {
        return fill_object(value, whole, fields, pointer, form);
    }
    match whole.get("items") {
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
                *value = scalar(whole, text);
            }
        }
    }
}

fn fill_object(
    value: &mut Value,
    whole: &'static Value,
    fields: &'static Map<String, Value>,
    pointer: &str,
    form: &Form,
) {
    let mut object = match value.take() {
        Value::Object(object) => object,
        _ => Map::new(),
    };
    for (name, part) in fields {
        let place = pointer::child(pointer, name);
        if !form.concerns(&place) {
            continue;
        }
        let mut field = object.remove(name).unwrap_or_default();
        fill(&mut field, part, &place, form);
        if !is_absent(&field, is_required(whole, name)) {
            object.insert(name.clone(), field);
        }
    }
    *value = Value::Object(object);
}

/// Tells whether a field that was left empty is absent from the document. A required object stays, so
/// that each of its fields is shown as missing.
fn is_absent(field: &Value, required: bool) -> bool {
    match field {
        Value::Null => true,
        Value::Object(fields) => fields.is_empty() && !required,
        _ => false,
    }
}

/// Tells whether an object must have a field.
pub(super) fn is_required(whole: &Value, name: &str) -> bool {
    let names = whole.get("required").and_then(Value::as_array);
    names.is_some_and(|names| names.iter().any(|found| found.as_str() == Some(name)))
}

/// Reads a number where the schema wants one; what can't be read stays as it was typed.
fn scalar(whole: &Value, text: &str) -> Value {
    if text.is_empty() {
        return Value::Null;
    }
    let kind = whole.get("type").and_then(Value::as_str);
    let number = match kind {
        Some("integer" | "number") => number(text),
        _ => None,
    };
    number.map_or_else(|| Value::from(text), Value::Number)
}

fn number(text: &str) -> Option<Number> {
    let whole = text.parse::<u64>().ok().map(Number::from);
    whole.or_else(|| Number::from_f64(text.parse().ok()?))
}
