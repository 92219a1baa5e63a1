//! Generates the Markdown reference of the configuration document from its schema.
//!
//! `docs/configuration.md` is the output of [`markdown`]; a test compares the two.

use crate::schema::{self, bounds, description};
use serde_json::Value;
use std::collections::BTreeMap;

const HEAD: &str = "\
# The configuration document

<!-- Generated from the types in crates/configuration/src/document.rs: change it there and run
     `cargo run -p monsoonring-configuration --example reference`. -->

The document is a JSON object that lists the callers, the routes and their backend servers. It is
published as the value `monsoonring` of the configuration service and is at most 1,000,000 bytes
long. `monsoonring check FILE` and the console run the same checks as the daemons, and list all
faults at once. A document with a fault is rejected as a whole, and the previous one stays in force.

Example documents: `crates/configuration/examples/documents/hydrant.json` (favours coverage) and
`beet.json` (favours latency).
";

const RULES: &str = "
## Rules between fields

- Each field occurs at most once in its object, and unknown fields are rejected.
- The names of callers, of routes, and of the groups within a route are unique.
- Each entry of a route's `callers` is the name of a caller of the document and occurs only once.
- The ranges of a route's groups contain each key of the route's `keys` exactly once: no range is
  empty, no two overlap, all lie within `keys`, and together they leave no hole.
- A backend server is listed only once in a route, as an IP address and a port to which a connection
  can be made. Several routes may list it; each of them may then use its own `capacity` of it.
- `soft_deadline.after_ms` and `capacity.connect_ms` are less than `deadline_ms`.
- An `execute` route has exactly one group and no `soft_deadline`. It is never hedged: without
  `hedge` its budget is 0, and any other budget is a fault. It is retried only after a reply that
  proves that the request did not run.

The order of callers, routes, groups and backend servers is not significant.
";

/// The object types other than the document itself, each before those that it contains.
const OBJECTS: [&str; 8] = [
    "Caller",
    "Route",
    "SoftDeadline",
    "Hedge",
    "Retry",
    "Capacity",
    "Group",
    "Range",
];

/// The enumeration types.
const ENUMERATIONS: [&str; 2] = ["Class", "Kind"];

/// Returns the reference documentation as Markdown.
pub fn markdown() -> String {
    let mut text = HEAD.to_owned();
    text.push_str(&object("Document", schema::value()));
    for name in OBJECTS {
        text.push_str(&object(name, definition(name)));
    }
    for name in ENUMERATIONS {
        text.push_str(&enumeration(name, definition(name)));
    }
    text.push_str(RULES);
    text
}

fn definition(name: &str) -> &'static Value {
    &schema::value()["$defs"][name]
}

fn object(name: &str, definition: &'static Value) -> String {
    let required = definition.get("required").and_then(Value::as_array);
    let is_required = |field: &str| {
        required.is_some_and(|names| names.iter().any(|name| name.as_str() == Some(field)))
    };
    let mut text = format!(
        "\n## {name}\n\n{}\n\n| field | type | default | unit | bounds | meaning |\n\
         |---|---|---|---|---|---|\n",
        description(definition)
    );
    let fields: BTreeMap<_, _> = definition
        .get("properties")
        .and_then(Value::as_object)
        .into_iter()
        .flatten()
        .map(|(field, schema)| ((!is_required(field), field), schema))
        .collect();
    for ((is_optional, field), schema) in fields {
        text.push_str(&row(field, schema, !is_optional));
    }
    text
}

fn row(field: &str, schema: &'static Value, is_required: bool) -> String {
    let default = match schema.get("default") {
        Some(value) => format!("`{}`", schema::render(value)),
        None if is_required => "required".to_owned(),
        None => "none".to_owned(),
    };
    let unit = schema.get("x-unit").and_then(Value::as_str).unwrap_or("");
    format!(
        "| `{field}` | {} | {default} | {unit} | {} | {} |\n",
        kind(schema),
        bounds(schema),
        description(schema).replace('|', "\\|"),
    )
}

fn kind(schema: &Value) -> String {
    if let Some(reference) = schema.get("$ref").and_then(Value::as_str) {
        let name = reference.rsplit('/').next().unwrap_or_default();
        return format!("[{name}](#{})", name.to_lowercase());
    }
    match schema.get("type").and_then(Value::as_str) {
        Some("array") => format!("list of {}", kind(&schema["items"])),
        Some("integer") => "whole number".to_owned(),
        Some(name) => name.to_owned(),
        None => String::new(),
    }
}

fn enumeration(name: &str, definition: &'static Value) -> String {
    let mut text = format!(
        "\n## {name}\n\n{}\n\n| value | meaning |\n|---|---|\n",
        description(definition)
    );
    for (value, meaning) in schema::variants(definition) {
        text.push_str(&format!("| `{value}` | {} |\n", meaning.replace('\n', " ")));
    }
    text
}
