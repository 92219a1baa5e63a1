//! Renders fields of the document as form rows, following the schema.

use super::draft::is_required;
use super::page::{View, button, faults, prose};
use super::pointer;
use maud::{Markup, html};
use monsoonring_configuration::schema;
use serde_json::{Map, Value};

/// Display order of the fields; fields that are not listed follow in alphabetical order.
const FIELD_ORDER: [&str; 22] = [
    "name",
    "kind",
    "class",
    "token_sha256",
    "callers",
    "deadline_ms",
    "soft_deadline",
    "after_ms",
    "coverage",
    "hedge",
    "retry",
    "budget_percent",
    "quantile",
    "attempts",
    "capacity",
    "slots",
    "connections",
    "connect_ms",
    "max_body_bytes",
    "minimum_index_version",
    "start",
    "end",
];

/// Maximum number of characters shown of a value that has no input of its own.
const MAX_EXCERPT_LEN: usize = 80;

/// A field of the document and its schema.
pub(super) struct Field<'a> {
    pub(super) view: &'a View<'a>,
    pub(super) pointer: String,
    pub(super) name: &'a str,
    pub(super) subschema: &'static Value,
    pub(super) required: bool,
}

/// Renders all fields of an object, followed by those that the schema doesn't have.
pub(super) fn object(view: &View<'_>, at: &str, resolved: &'static Value) -> Markup {
    let resolved = schema::resolve(resolved);
    let fields = properties(resolved);
    html! {
        @for (name, subschema) in &fields {
            (field(&Field {
                view,
                pointer: pointer::child(at, name),
                name,
                subschema,
                required: is_required(resolved, name),
            }))
        }
        @for (name, value) in unknown(view, at, resolved) {
            @let pointer = pointer::child(at, name);
            div.field {
                span.label { (name) }
                code { (excerpt(value)) }
                (button("remove", &pointer, "remove"))
                (faults(view.faults_at(&pointer)))
            }
        }
    }
}

fn properties(resolved: &'static Value) -> Vec<(&'static String, &'static Value)> {
    let fields = resolved.get("properties").and_then(Value::as_object);
    let mut fields: Vec<_> = fields.into_iter().flatten().collect();
    let rank = |name: &str| FIELD_ORDER.iter().position(|known| *known == name);
    fields.sort_by_key(|(name, _)| (rank(name).unwrap_or(FIELD_ORDER.len()), *name));
    // The key range and the groups that divide it come last, next to each other.
    fields.sort_by_key(|(name, _)| ["keys", "groups"].contains(&name.as_str()));
    fields
}

/// Returns the fields of an object that the schema doesn't have.
pub(super) fn unknown<'a>(
    view: &'a View<'_>,
    at: &str,
    resolved: &'static Value,
) -> Vec<(&'a String, &'a Value)> {
    let known = resolved.get("properties").and_then(Value::as_object);
    let is_known = |name: &str| known.is_some_and(|known| known.contains_key(name));
    let found = view.draft.at(at).and_then(Value::as_object);
    let found = found.into_iter().flatten();
    found.filter(|(name, _)| !is_known(name)).collect()
}

fn field(field: &Field<'_>) -> Markup {
    let resolved = schema::resolve(field.subschema);
    if resolved.get("properties").is_some() {
        return inner_object(field, resolved);
    }
    if let Some(items) = resolved.get("items") {
        // The page of the route renders lists of objects as tables.
        let is_table = schema::resolve(items).get("properties").is_some();
        return if is_table {
            html! {}
        } else {
            row(field, &strings(field))
        };
    }
    row(field, &input(field, resolved))
}

fn inner_object(field: &Field<'_>, resolved: &'static Value) -> Markup {
    let view = field.view;
    html! {
        fieldset {
            legend { (field.name) }
            p.help {
                (prose(&schema::description(field.subschema)))
                @if !field.required { " Leave all of it empty for " (default(field.subschema)) "." }
            }
            (faults(view.faults_at(&field.pointer)))
            (object(view, &field.pointer, resolved))
        }
    }
}

fn default(subschema: &Value) -> String {
    match subschema.get("default") {
        Some(value) => format!("the default, {}", schema::render(value)),
        None => "none".to_owned(),
    }
}

fn row(field: &Field<'_>, input: &Markup) -> Markup {
    let unit = field.subschema.get("x-unit").and_then(Value::as_str);
    let bounds = schema::bounds(field.subschema);
    html! {
        div.field {
            label for=(field.pointer) { (field.name) @if !field.required { " (optional)" } }
            div { (input) @if let Some(unit) = unit { " " span.unit { (unit) } } }
            span.help {
                (prose(&schema::description(field.subschema)))
                @if !bounds.is_empty() { " " (prose(&capitalize(&bounds))) "." }
            }
            (faults(field.view.faults_at(&field.pointer)))
            (faults(field.view.faults_below(&field.pointer)))
        }
    }
}

fn capitalize(text: &str) -> String {
    let mut characters = text.chars();
    let first = characters.next().map(|first| first.to_ascii_uppercase());
    first.into_iter().chain(characters).collect()
}

/// Renders the input of a single value.
pub(super) fn input(field: &Field<'_>, resolved: &'static Value) -> Markup {
    let value = field.view.draft.at(&field.pointer);
    let text = value.map(text_of).unwrap_or_default();
    let variants: Vec<_> = schema::variants(resolved).collect();
    let is_invalid = !field.view.faults_at(&field.pointer).is_empty();
    let class = is_invalid.then_some("wrong");
    if !variants.is_empty() {
        return select(field, &text, &variants, class);
    }
    let default = field.subschema.get("default").map(schema::render);
    html! {
        input type="text" id=(field.pointer) name=(field.pointer) value=(text) class=[class]
            placeholder=[default] spellcheck="false" autocomplete="off"
            aria-label=(field.name);
    }
}

fn select(
    field: &Field<'_>,
    chosen: &str,
    variants: &[(&'static Value, &'static str)],
    class: Option<&str>,
) -> Markup {
    let known = variants
        .iter()
        .any(|(value, _)| value.as_str() == Some(chosen));
    html! {
        select id=(field.pointer) name=(field.pointer) class=[class] {
            @if !known { option value=(chosen) selected { (chosen) } }
            @for (value, meaning) in variants {
                @let name = value.as_str().unwrap_or_default();
                option value=(name) selected[name == chosen] { (name) ": " (meaning) }
            }
        }
    }
}

/// Renders a list of strings: callers as check boxes, other lists as one string per line.
pub(super) fn strings(field: &Field<'_>) -> Markup {
    let items = field.view.draft.items(&field.pointer).iter();
    let items: Vec<String> = items.map(text_of).collect();
    if field.name == "callers" {
        return callers(field, &items);
    }
    let rows = items.len().clamp(3, 12);
    let is_invalid = field.view.fault_count(&field.pointer) > 0;
    html! {
        textarea id=(field.pointer) name=(field.pointer) rows=(rows) spellcheck="false"
            class=[is_invalid.then_some("wrong")] aria-label=(field.name) {
            "\n" (items.join("\n"))
        }
    }
}

fn callers(field: &Field<'_>, chosen: &[String]) -> Markup {
    let known = field.view.draft.names("/callers");
    let undeclared = chosen.iter().filter(|name| !known.contains(&name.as_str()));
    let undeclared: Vec<&str> = undeclared.map(String::as_str).collect();
    html! {
        // Ensures that the form has the field if no box is ticked, so that the list becomes empty
        // rather than unchanged.
        input type="hidden" name=(field.pointer) value="";
        span.choices id=(field.pointer) {
            @for name in known.iter().chain(&undeclared) {
                label {
                    input type="checkbox" name=(field.pointer) value=(name)
                        checked[chosen.iter().any(|chosen| chosen == name)];
                    " " (name)
                }
            }
            @if known.is_empty() && undeclared.is_empty() { "There are no callers yet." }
        }
    }
}

/// Returns the text of a value in an input.
pub(super) fn text_of(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Object(_) | Value::Array(_) => excerpt(value),
        other => schema::render(other),
    }
}

fn excerpt(value: &Value) -> String {
    let empty = Map::new();
    let text = match value {
        Value::Object(fields) if *fields == empty => "{}".to_owned(),
        other => other.to_string(),
    };
    text.chars().take(MAX_EXCERPT_LEN).collect()
}
