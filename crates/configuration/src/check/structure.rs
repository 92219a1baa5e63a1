//! Validation against the JSON schema, with faults in words.

use super::{Fault, Path};
use crate::limit;
use crate::schema;
use jsonschema::Validator;
use jsonschema::error::{TypeKind, ValidationError, ValidationErrorKind};
use serde_json::Value;
use std::sync::LazyLock;

/// The compiled schema, or `None` if it can't be compiled, which the tests rule out.
static VALIDATOR: LazyLock<Option<Validator>> =
    LazyLock::new(|| jsonschema::validator_for(schema::value()).ok());

/// Maximum number of characters of a wrong value in the text of a fault.
const MAX_EXCERPT: usize = 60;

/// Returns the faults against the schema, at most one more than [`limit::FAULTS`].
pub(super) fn faults(document: &Value) -> Vec<Fault> {
    match VALIDATOR.as_ref() {
        Some(validator) => validator
            .iter_errors(document)
            .flat_map(|error| translate(document, &error))
            .take(limit::FAULTS + 1)
            .collect(),
        // A document that can't be validated must not be accepted.
        None => vec![Fault::new(
            Path::default(),
            "the schema of this build can't be compiled",
            "another build",
        )],
    }
}

fn translate(document: &Value, error: &ValidationError<'_>) -> Vec<Fault> {
    let path = locate(document, error.instance_path.as_str());
    match &error.kind {
        ValidationErrorKind::AdditionalProperties { unexpected } => unexpected
            .iter()
            .map(|name| unknown_field(&path, name, error))
            .collect(),
        ValidationErrorKind::Required { property } => {
            let name = property.as_str().unwrap_or_default();
            vec![missing_field(&path, name, error)]
        }
        kind => vec![Fault::new(
            path,
            format!("{} {}", excerpt(&error.instance), problem(kind)),
            expected(kind, error),
        )],
    }
}

fn unknown_field(path: &Path, name: &str, error: &ValidationError<'_>) -> Fault {
    let mut known: Vec<String> = schema_part(error)
        .and_then(|part| part.get("properties")?.as_object())
        .map(|fields| fields.keys().map(|name| format!("`{name}`")).collect())
        .unwrap_or_default();
    known.sort();
    Fault::new(
        path.field(name.to_owned()),
        "there is no field of this name",
        format!("one of {}", known.join(", ")),
    )
}

fn missing_field(path: &Path, name: &str, error: &ValidationError<'_>) -> Fault {
    let field = schema_part(error).and_then(|part| part.get("properties")?.get(name));
    let meaning = field
        .and_then(|field| {
            field
                .get("description")
                .or_else(|| schema::resolve(field).get("description"))
        })
        .and_then(Value::as_str)
        .unwrap_or("a value");
    Fault::new(
        path.field(name.to_owned()),
        "the field is missing",
        one_line(meaning),
    )
}

/// Describes what is wrong with a value, as the predicate of a sentence that begins with the value.
fn problem(kind: &ValidationErrorKind) -> &'static str {
    match kind {
        ValidationErrorKind::Type { .. } => "has the wrong type",
        ValidationErrorKind::Pattern { .. } => "has the wrong form",
        ValidationErrorKind::Minimum { .. } | ValidationErrorKind::ExclusiveMinimum { .. } => {
            "is too low"
        }
        ValidationErrorKind::Maximum { .. } | ValidationErrorKind::ExclusiveMaximum { .. } => {
            "is too high"
        }
        ValidationErrorKind::MinItems { .. } => "has too few items",
        ValidationErrorKind::MaxItems { .. } => "has too many items",
        _ => "isn't one of the known values",
    }
}

/// Describes the values that are accepted.
fn expected(kind: &ValidationErrorKind, error: &ValidationError<'_>) -> String {
    match kind {
        ValidationErrorKind::Type { kind } => match kind {
            TypeKind::Single(kind) => format!("a value of type {kind}"),
            TypeKind::Multiple(_) => "a value of another type".to_owned(),
        },
        ValidationErrorKind::Pattern { pattern } => format!("a string of the form {pattern}"),
        ValidationErrorKind::Minimum { limit } => format!("{} or more", schema::render(limit)),
        ValidationErrorKind::ExclusiveMinimum { limit } => {
            format!("more than {}", schema::render(limit))
        }
        ValidationErrorKind::Maximum { limit } => format!("{} or less", schema::render(limit)),
        ValidationErrorKind::ExclusiveMaximum { limit } => {
            format!("less than {}", schema::render(limit))
        }
        ValidationErrorKind::MinItems { limit } => format!("{limit} or more items"),
        ValidationErrorKind::MaxItems { limit } => format!("{limit} or fewer items"),
        _ => known_values(error),
    }
}

/// Lists the values of an enumeration, which the schema gives as `enum` or, with descriptions, as
/// `oneOf`.
fn known_values(error: &ValidationError<'_>) -> String {
    let Some(part) = schema_part(error) else {
        return error.to_string();
    };
    let values: Vec<String> = schema::variants(part)
        .map(|(value, _)| value.to_string())
        .collect();
    if values.is_empty() {
        return error.to_string();
    }
    format!("one of {}", values.join(", "))
}

/// Returns the part of the schema with the keyword that failed.
fn schema_part(error: &ValidationError<'_>) -> Option<&'static Value> {
    let (parent, _) = error.schema_path.as_str().rsplit_once('/')?;
    let mut part = schema::value();
    for segment in parent.split('/').skip(1) {
        let name = unescape(segment);
        part = match name.as_str() {
            "$ref" => schema::resolve(part),
            name => part.get(name).or_else(|| schema::resolve(part).get(name))?,
        };
    }
    Some(schema::resolve(part))
}

/// Converts a JSON pointer to a path. The document tells an array index from a field named `0`.
fn locate(document: &Value, pointer: &str) -> Path {
    let mut path = Path::default();
    let mut value = document;
    for segment in pointer.split('/').skip(1) {
        let name = unescape(segment);
        let index = value.is_array().then(|| name.parse().ok()).flatten();
        (path, value) = match index {
            Some(index) => (path.index(index), &value[index]),
            None => (path.field(name.clone()), &value[name.as_str()]),
        };
    }
    path
}

fn unescape(segment: &str) -> String {
    segment.replace("~1", "/").replace("~0", "~")
}

fn excerpt(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_EXCERPT) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text,
    }
}

fn one_line(text: &str) -> String {
    text.replace('\n', " ")
}
