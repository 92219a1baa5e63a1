//! The JSON schema of the document, derived from the types of [`crate::document`].
//!
//! It is built once: deriving it is cheap, compiling it into a validator is not.

use crate::Document;
use serde_json::{Map, Value};
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
pub fn resolve(part: &'static Value) -> &'static Value {
    part.get("$ref")
        .and_then(Value::as_str)
        .and_then(|reference| SCHEMA.pointer(reference.trim_start_matches('#')))
        .unwrap_or(part)
}

/// The values of an enumeration with their descriptions.
///
/// A variant with a description stands as a `const` of its own in `oneOf`, the others together in
/// an `enum`, either directly or in the `oneOf`.
pub fn variants(part: &'static Value) -> impl Iterator<Item = (&'static Value, &'static str)> {
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
pub fn render(value: &Value) -> String {
    match value {
        Value::Object(fields) => {
            let sorted: BTreeMap<_, _> = fields.iter().collect();
            let fields: Vec<String> = sorted
                .into_iter()
                .map(|(name, value)| format!("\"{name}\": {}", render(value)))
                .collect();
            format!("{{{}}}", fields.join(", "))
        }
        Value::Number(number) => number.to_string().trim_end_matches(".0").to_owned(),
        other => other.to_string(),
    }
}

/// Describes a part of the schema on one line; a reference without a text of its own as that which it
/// refers to.
pub fn description(part: &'static Value) -> String {
    let own = part.get("description");
    let text = own.or_else(|| resolve(part).get("description"));
    text.and_then(Value::as_str)
        .unwrap_or_default()
        .replace('\n', " ")
}

/// Lists the bounds of a part of the schema in words; empty where it has none.
pub fn bounds(part: &Value) -> String {
    let Some(fields) = part.as_object() else {
        return String::new();
    };
    let phrases = [
        ("minimum", "at least "),
        ("exclusiveMinimum", "more than "),
        ("maximum", "at most "),
        ("minItems", "at least "),
        ("maxItems", "at most "),
        ("pattern", "form "),
    ];
    let found: Vec<String> = phrases
        .iter()
        .filter_map(|(keyword, phrase)| Some(format!("{phrase}{}", bound(fields, keyword)?)))
        .collect();
    found.join(", ")
}

fn bound(fields: &Map<String, Value>, keyword: &str) -> Option<String> {
    let text = match fields.get(keyword)? {
        Value::String(pattern) => format!("`{pattern}`"),
        number => render(number),
    };
    Some(text)
}
