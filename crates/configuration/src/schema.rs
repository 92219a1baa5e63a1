//! The JSON schema of the document, derived from the types of [`crate::document`].
//!
//! It is built once: deriving it is cheap, compiling it into a validator is not.

use crate::Document;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::LazyLock;

static SCHEMA: LazyLock<Value> = LazyLock::new(|| schemars::schema_for!(Document).to_value());

/// Returns the JSON schema (draft 2020-12) of a [`Document`].
///
/// The keyword `x-unit` of a field names the unit of its value.
pub fn value() -> &'static Value {
    &SCHEMA
}

/// Follows the `$ref` of a part of the schema, if it has one.
pub(crate) fn resolve(part: &'static Value) -> &'static Value {
    part.get("$ref")
        .and_then(Value::as_str)
        .and_then(|reference| SCHEMA.pointer(reference.trim_start_matches('#')))
        .unwrap_or(part)
}

/// The values of an enumeration with their descriptions.
///
/// A variant with a description stands as a `const` of its own in `oneOf`, the others together in
/// an `enum`, either directly or in the `oneOf`.
pub(crate) fn variants(
    part: &'static Value,
) -> impl Iterator<Item = (&'static Value, &'static str)> {
    let alternatives = part.get("oneOf").and_then(Value::as_array);
    alternatives
        .into_iter()
        .flatten()
        .chain(std::iter::once(part))
        .flat_map(|alternative| {
            let listed = alternative.get("enum").and_then(Value::as_array);
            let description = alternative.get("description").and_then(Value::as_str);
            alternative
                .get("const")
                .into_iter()
                .chain(listed.into_iter().flatten())
                .map(move |value| (value, description.unwrap_or_default()))
        })
}

/// Renders a value alike in every build: the order of an object's fields depends on a feature of
/// `serde_json` that any crate of the workspace can switch on.
pub(crate) fn shown(value: &Value) -> String {
    match value {
        Value::Object(fields) => {
            let sorted: BTreeMap<_, _> = fields.iter().collect();
            let fields: Vec<String> = sorted
                .into_iter()
                .map(|(name, value)| format!("\"{name}\": {}", shown(value)))
                .collect();
            format!("{{{}}}", fields.join(", "))
        }
        Value::Number(number) => number.to_string().trim_end_matches(".0").to_owned(),
        other => other.to_string(),
    }
}
