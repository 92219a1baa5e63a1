//! Renders the page that edits a caller or a route.

use super::field::{Field, input, object, strings, unknown};
use super::page::{MAX_ROWS, View, button, faults, hidden_rows, prose};
use super::pointer;
use maud::{Markup, html};
use monsoonring_configuration::schema;
use serde_json::Value;

/// Renders the fields of a caller or a route.
pub(super) fn show(view: &View<'_>, at: &str) -> Markup {
    let Some(subschema) = pointer::schema(at) else {
        return html! { p { "There is nothing to edit here." } };
    };
    let is_route = at.starts_with("/routes/");
    let name = view.draft.at(at).and_then(|value| value["name"].as_str());
    let count = view.fault_count(at);
    html! {
        nav {
            // The enter key submits the form with the first button.
            button.main name="do" value="check" { "Check" }
            button name="do" value="open:" { "Back to the overview" }
        }
        h2 { @if is_route { "Route " } @else { "Caller " } (name.unwrap_or("without a name")) }
        p.help { (prose(&schema::description(subschema))) }
        @match count {
            0 => p.verdict { "No faults here." },
            1 => p.verdict.bad { "One fault, beside its field." },
            count => p.verdict.bad { (count) " faults, each beside its field." },
        }
        (faults(view.faults_at(at)))
        (object(view, at, subschema))
        @if is_route { (groups(view, &pointer::child(at, "groups"))) }
        nav {
            button.main name="do" value="check" { "Check" }
            button name="do" value="open:" { "Back to the overview" }
        }
    }
}

fn groups(view: &View<'_>, at: &str) -> Markup {
    let groups = view.draft.items(at).len();
    let subschema = pointer::schema(at).unwrap_or(&Value::Null);
    html! {
        h2 { "Groups" }
        p.help { (prose(&schema::description(subschema))) " One address on each line." }
        (faults(view.faults_at(at)))
        table {
            thead { tr {
                th { "name" } th { "first key" } th { "key after the last" } th { "weight" }
                th { "backend servers" } th {}
            } }
            tbody {
                @for index in 0..groups.min(MAX_ROWS) { (group(view, &pointer::child(at, &index.to_string()))) }
            }
        }
        (hidden_rows(groups))
        p { (button("add", at, "Add a group")) }
    }
}

fn group(view: &View<'_>, at: &str) -> Markup {
    let keys = pointer::child(at, "keys");
    let cell = |parent: &str, name: &'static str| {
        let target = pointer::child(parent, name);
        let subschema = pointer::schema(&target).unwrap_or(&Value::Null);
        let field = Field {
            view,
            pointer: target,
            name,
            subschema,
            required: true,
        };
        match subschema.get("items") {
            Some(_) => strings(&field),
            None => input(&field, schema::resolve(subschema)),
        }
    };
    let resolved = pointer::schema(at)
        .map(schema::resolve)
        .unwrap_or(&Value::Null);
    html! {
        tr {
            td { (cell(at, "name")) }
            td { (cell(&keys, "start")) }
            td { (cell(&keys, "end")) }
            td { (cell(at, "weight")) }
            td { (cell(at, "backend_servers")) }
            td { (button("remove", at, "remove")) }
        }
        @if view.fault_count(at) > 0 {
            tr {
                td colspan="6" {
                    (group_faults(view, at))
                    @for (name, _) in unknown(view, at, resolved) {
                        (button("remove", &pointer::child(at, name), &format!("remove {name}")))
                    }
                }
            }
        }
    }
}

/// Renders the faults of a group with their field names; the cells of its row are too narrow for them.
fn group_faults(view: &View<'_>, at: &str) -> Markup {
    let depth = at.split('/').count() - 1;
    html! {
        (faults(view.faults_at(at)))
        @for fault in view.faults_below(at).take(super::page::MAX_SHOWN) {
            @let segments = fault.path.segments().iter().skip(depth);
            @let path: Vec<String> = segments.map(ToString::to_string).collect();
            p.fault {
                code { (path.join(".").replace(".[", "[")) } ": "
                (fault.wrong) "; right would be: " (fault.right)
            }
        }
    }
}
