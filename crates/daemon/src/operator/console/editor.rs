//! The page that edits one caller or one route.

use super::field::{Place, input, object, strings, unknown};
use super::page::{MAX_ROWS, View, button, faults, hidden_rows, prose};
use super::pointer;
use maud::{Markup, html};
use monsoonring_configuration::schema;
use serde_json::Value;

/// Shows the fields of a caller or a route.
pub(super) fn show(view: &View<'_>, at: &str) -> Markup {
    let Some(part) = pointer::schema(at) else {
        return html! { p { "There is nothing to edit at this place." } };
    };
    let is_route = at.starts_with("/routes/");
    let name = view.draft.at(at).and_then(|value| value["name"].as_str());
    let count = view.count(at);
    html! {
        nav {
            // The first button is the one that the enter key presses.
            button.main name="do" value="check" { "Check" }
            button name="do" value="open:" { "Back to the overview" }
        }
        h2 { @if is_route { "Route " } @else { "Caller " } (name.unwrap_or("without a name")) }
        p.help { (prose(&schema::description(part))) }
        @match count {
            0 => p.verdict { "No faults here." },
            1 => p.verdict.bad { "One fault, beside its field." },
            count => p.verdict.bad { (count) " faults, each beside its field." },
        }
        (faults(view.at(at)))
        (object(view, at, part))
        @if is_route { (groups(view, &pointer::child(at, "groups"))) }
        nav {
            button.main name="do" value="check" { "Check" }
            button name="do" value="open:" { "Back to the overview" }
        }
    }
}

fn groups(view: &View<'_>, at: &str) -> Markup {
    let groups = view.draft.items(at).len();
    let part = pointer::schema(at).unwrap_or(&Value::Null);
    html! {
        h2 { "Groups" }
        p.help { (prose(&schema::description(part))) " One address on each line." }
        (faults(view.at(at)))
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
        let place = pointer::child(parent, name);
        let part = pointer::schema(&place).unwrap_or(&Value::Null);
        let place = Place {
            view,
            pointer: place,
            name,
            part,
            required: true,
        };
        match part.get("items") {
            Some(_) => strings(&place),
            None => input(&place, schema::resolve(part)),
        }
    };
    let whole = pointer::schema(at)
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
        @if view.count(at) > 0 {
            tr {
                td colspan="6" {
                    (group_faults(view, at))
                    @for (name, _) in unknown(view, at, whole) {
                        (button("remove", &pointer::child(at, name), &format!("remove {name}")))
                    }
                }
            }
        }
    }
}

/// The faults of a group with the fields that they are of: its cells are too narrow for them.
fn group_faults(view: &View<'_>, at: &str) -> Markup {
    let depth = at.split('/').count() - 1;
    html! {
        (faults(view.at(at)))
        @for fault in view.below(at).take(super::page::MAX_SHOWN) {
            @let steps = fault.path.segments().iter().skip(depth);
            @let field: Vec<String> = steps.map(ToString::to_string).collect();
            p.fault {
                code { (field.join(".").replace(".[", "[")) } ": "
                (fault.wrong) "; right would be: " (fault.right)
            }
        }
    }
}
