//! The JSON schema of the document, derived from the types of [`crate::document`].

use crate::Document;
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::sync::LazyLock;

static SCHEMA: LazyLock<Value> = LazyLock::new(|| schemars::schema_for!(Document).to_value());

/// Returns the JSON schema (draft 2020-12) of a [`Document`].
///
/// The keyword `x-unit` of a field is the unit of its value.
pub fn value() -> &'static Value {
    &SCHEMA
}

/// Resolves the `$ref` of a part of the schema; returns a part without one unchanged.
pub fn resolve(part: &'static Value) -> &'static Value {
    part.get("$ref")
        .and_then(Value::as_str)
        .and_then(|reference| SCHEMA.pointer(reference.trim_start_matches('#')))
        .unwrap_or(part)
}

/// Returns the values of an enumeration with their descriptions.
///
/// The schema has a `const` in `oneOf` for each variant with a description. The others share an
/// `enum`, either directly or within the `oneOf`.
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

/// Renders a value with the fields of objects sorted by name.
///
/// The order of fields in a [`Value`] depends on whether any crate of the build enables the feature
/// `preserve_order` of `serde_json`.
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

/// Returns the description of a part of the schema on one line. A reference without a description has
/// that of its target.
pub fn description(part: &'static Value) -> String {
    let own = part.get("description");
    let text = own.or_else(|| resolve(part).get("description"));
    text.and_then(Value::as_str)
        .unwrap_or_default()
        .replace('\n', " ")
}

/// Describes the bounds of a part of the schema in words; empty if it has none.
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
    let descriptions: Vec<String> = phrases
        .iter()
        .filter_map(|(keyword, phrase)| Some(format!("{phrase}{}", bound(fields, keyword)?)))
        .collect();
    descriptions.join(", ")
}

fn bound(fields: &Map<String, Value>, keyword: &str) -> Option<String> {
    let text = match fields.get(keyword)? {
        Value::String(pattern) => format!("`{pattern}`"),
        number => render(number),
    };
    Some(text)
}
