//! One field of the document as a row of a form, as the schema describes it.

use super::draft::is_required;
use super::page::{View, button, faults, prose};
use super::pointer;
use maud::{Markup, html};
use monsoonring_configuration::schema;
use serde_json::{Map, Value};

/// Fields in the order in which an operator thinks of them; others follow.
const ORDER: [&str; 22] = [
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

/// Most characters of a value of no known kind that are repeated.
const EXCERPT: usize = 80;

/// One place of the document, with its part of the schema.
pub(super) struct Place<'a> {
    pub(super) view: &'a View<'a>,
    pub(super) pointer: String,
    pub(super) name: &'a str,
    pub(super) part: &'static Value,
    pub(super) required: bool,
}

/// Shows all fields of an object, and below them the fields that it should not have.
pub(super) fn object(view: &View<'_>, at: &str, whole: &'static Value) -> Markup {
    let whole = schema::resolve(whole);
    let fields = properties(whole);
    html! {
        @for (name, part) in &fields {
            (show(&Place {
                view,
                pointer: pointer::child(at, name),
                name,
                part,
                required: is_required(whole, name),
            }))
        }
        @for (name, value) in unknown(view, at, whole) {
            @let place = pointer::child(at, name);
            div.field {
                span.label { (name) }
                code { (excerpt(value)) }
                (button("remove", &place, "remove"))
                (faults(view.at(&place)))
            }
        }
    }
}

fn properties(whole: &'static Value) -> Vec<(&'static String, &'static Value)> {
    let fields = whole.get("properties").and_then(Value::as_object);
    let mut fields: Vec<_> = fields.into_iter().flatten().collect();
    let rank = |name: &str| ORDER.iter().position(|known| *known == name);
    fields.sort_by_key(|(name, _)| (rank(name).unwrap_or(ORDER.len()), *name));
    // The keys and the groups that tile them belong together, at the end.
    fields.sort_by_key(|(name, _)| ["keys", "groups"].contains(&name.as_str()));
    fields
}

/// Returns the fields of an object that the schema doesn't have.
pub(super) fn unknown<'a>(
    view: &'a View<'_>,
    at: &str,
    whole: &'static Value,
) -> Vec<(&'a String, &'a Value)> {
    let known = whole.get("properties").and_then(Value::as_object);
    let is_known = |name: &str| known.is_some_and(|known| known.contains_key(name));
    let found = view.draft.at(at).and_then(Value::as_object);
    let found = found.into_iter().flatten();
    found.filter(|(name, _)| !is_known(name)).collect()
}

fn show(place: &Place<'_>) -> Markup {
    let whole = schema::resolve(place.part);
    if whole.get("properties").is_some() {
        return inner_object(place, whole);
    }
    if let Some(items) = whole.get("items") {
        // Lists of objects have a table of their own.
        let is_table = schema::resolve(items).get("properties").is_some();
        return if is_table {
            html! {}
        } else {
            row(place, &strings(place))
        };
    }
    row(place, &input(place, whole))
}

fn inner_object(place: &Place<'_>, whole: &'static Value) -> Markup {
    let view = place.view;
    html! {
        fieldset {
            legend { (place.name) }
            p.help {
                (prose(&schema::description(place.part)))
                @if !place.required { " Leave all of it empty for " (default(place.part)) "." }
            }
            (faults(view.at(&place.pointer)))
            (object(view, &place.pointer, whole))
        }
    }
}

fn default(part: &Value) -> String {
    match part.get("default") {
        Some(value) => format!("the default, {}", schema::render(value)),
        None => "none".to_owned(),
    }
}

fn row(place: &Place<'_>, input: &Markup) -> Markup {
    let unit = place.part.get("x-unit").and_then(Value::as_str);
    let bounds = schema::bounds(place.part);
    html! {
        div.field {
            label for=(place.pointer) { (place.name) @if !place.required { " (optional)" } }
            div { (input) @if let Some(unit) = unit { " " span.unit { (unit) } } }
            span.help {
                (prose(&schema::description(place.part)))
                @if !bounds.is_empty() { " " (prose(&capital(&bounds))) "." }
            }
            (faults(place.view.at(&place.pointer)))
            (faults(place.view.below(&place.pointer)))
        }
    }
}

fn capital(text: &str) -> String {
    let mut characters = text.chars();
    let first = characters.next().map(|first| first.to_ascii_uppercase());
    first.into_iter().chain(characters).collect()
}

/// Shows what a single value is typed into.
pub(super) fn input(place: &Place<'_>, whole: &'static Value) -> Markup {
    let value = place.view.draft.at(&place.pointer);
    let text = value.map(text_of).unwrap_or_default();
    let variants: Vec<_> = schema::variants(whole).collect();
    let wrong = !place.view.at(&place.pointer).is_empty();
    let class = wrong.then_some("wrong");
    if !variants.is_empty() {
        return choice(place, &text, &variants, class);
    }
    let default = place.part.get("default").map(schema::render);
    html! {
        input type="text" id=(place.pointer) name=(place.pointer) value=(text) class=[class]
            placeholder=[default] spellcheck="false" autocomplete="off"
            aria-label=(place.name);
    }
}

fn choice(
    place: &Place<'_>,
    chosen: &str,
    variants: &[(&'static Value, &'static str)],
    class: Option<&str>,
) -> Markup {
    let known = variants
        .iter()
        .any(|(value, _)| value.as_str() == Some(chosen));
    html! {
        select id=(place.pointer) name=(place.pointer) class=[class] {
            @if !known { option value=(chosen) selected { (chosen) } }
            @for (value, meaning) in variants {
                @let name = value.as_str().unwrap_or_default();
                option value=(name) selected[name == chosen] { (name) ": " (meaning) }
            }
        }
    }
}

/// Shows a list of texts: names of callers as choices among those that there are, others as lines.
pub(super) fn strings(place: &Place<'_>) -> Markup {
    let items = place.view.draft.items(&place.pointer).iter();
    let items: Vec<String> = items.map(text_of).collect();
    if place.name == "callers" {
        return callers(place, &items);
    }
    let rows = items.len().clamp(3, 12);
    let wrong = place.view.count(&place.pointer) > 0;
    html! {
        textarea id=(place.pointer) name=(place.pointer) rows=(rows) spellcheck="false"
            class=[wrong.then_some("wrong")] aria-label=(place.name) {
            "\n" (items.join("\n"))
        }
    }
}

fn callers(place: &Place<'_>, chosen: &[String]) -> Markup {
    let known = place.view.draft.names("/callers");
    let strange = chosen.iter().filter(|name| !known.contains(&name.as_str()));
    let strange: Vec<&str> = strange.map(String::as_str).collect();
    html! {
        // Sent also where no box is ticked: the list is then empty, and not left as it was.
        input type="hidden" name=(place.pointer) value="";
        span.choices id=(place.pointer) {
            @for name in known.iter().chain(&strange) {
                label {
                    input type="checkbox" name=(place.pointer) value=(name)
                        checked[chosen.iter().any(|chosen| chosen == name)];
                    " " (name)
                }
            }
            @if known.is_empty() && strange.is_empty() { "There are no callers yet." }
        }
    }
}

/// Returns a value as it is typed.
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
    text.chars().take(EXCERPT).collect()
}
