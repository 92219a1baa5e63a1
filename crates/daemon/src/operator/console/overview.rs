//! Renders the overview page: callers, routes, faults and the changes to the configuration in force.

use super::page::{MAX_ROWS, MAX_SHOWN, View, button, faults, hidden_rows, list};
use super::{DOCUMENT_PATH, pointer};
use maud::{Markup, html};
use monsoonring_configuration::check::Fault;
use monsoonring_configuration::{Document, difference};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Display;

/// Renders the overview of a draft.
pub(super) fn show(view: &View<'_>) -> Markup {
    html! {
        (verdict(view))
        (notices(view))
        h2 { "Callers" }
        (callers(view))
        h2 { "Routes" }
        (routes(view))
        @match &view.checked {
            Ok(document) => (changes(view, document)),
            Err(faults) => (all_faults(faults)),
        }
    }
}

fn verdict(view: &View<'_>) -> Markup {
    html! {
        @match &view.checked {
            Ok(_) => div.verdict {
                "The draft is valid. "
                button.main formaction=(DOCUMENT_PATH) { "Download the document" }
                p.help {
                    "Nothing is in force before you have published the file to the configuration \
                     service; what that does is shown below."
                }
            },
            Err(faults) => div.verdict.bad {
                "The draft has " (faults.len()) @if faults.len() == 1 { " fault" } @else { " faults" }
                ", listed below. It can be downloaded once they are fixed."
            },
        }
    }
}

fn notices(view: &View<'_>) -> Markup {
    let is_outdated = view.initial_revision != view.base.revision;
    html! {
        @if let (true, Some(now)) = (is_outdated, view.base.revision) {
            p.notice {
                "Revision " (now) " has come into force since this draft was begun"
                @if let Some(initial_revision) = view.initial_revision { " from revision " (initial_revision) }
                ". The comparison below is with revision " (now)
                "; if it reverts something that you did not change, somebody else has changed it."
            }
        }
        @if !view.dropped_faults.is_empty() {
            div.notice {
                "The pasted text had faults that the draft no longer has; of two fields with \
                 the same name it has kept the last."
                (list(&view.dropped_faults))
            }
        }
    }
}

fn callers(view: &View<'_>) -> Markup {
    let routes = routes_by_caller(view);
    html! {
        (faults(view.faults_at("/callers")))
        table {
            thead { tr { th { "name" } th { "class" } th { "token" } th { "routes" } th {} } }
            tbody {
                @for (index, caller) in view.draft.items("/callers").iter().enumerate().take(MAX_ROWS) {
                    @let at = pointer::child("/callers", &index.to_string());
                    tr {
                        td { (name(caller)) (badge(view, &at)) }
                        td { (text(&caller["class"])) }
                        td { @if caller["token_sha256"].is_string() { "yes" } @else { "no" } }
                        td { (routes_of(&routes, caller)) }
                        td { (button("open", &at, "edit")) (button("remove", &at, "remove")) }
                    }
                }
            }
        }
        (hidden_rows(view.draft.items("/callers").len()))
        p { (button("add", "/callers", "Add a caller")) }
    }
}

/// Returns the names of the routes that each caller may use, at most [`MAX_SHOWN`] of them.
fn routes_by_caller<'a>(view: &'a View<'_>) -> BTreeMap<&'a str, Vec<&'a str>> {
    let mut found: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for route in view.draft.items("/routes") {
        let name = route["name"].as_str().unwrap_or_default();
        let callers = route["callers"].as_array().into_iter().flatten();
        for caller in callers.filter_map(Value::as_str) {
            let routes = found.entry(caller).or_default();
            if routes.len() < MAX_SHOWN {
                routes.push(name);
            }
        }
    }
    found
}

fn routes_of(routes: &BTreeMap<&str, Vec<&str>>, caller: &Value) -> String {
    let name = caller["name"].as_str().unwrap_or_default();
    let names = routes.get(name).map_or(&[][..], Vec::as_slice);
    names.join(", ")
}

fn routes(view: &View<'_>) -> Markup {
    html! {
        (faults(view.faults_at("/routes")))
        table {
            thead { tr {
                th { "name" } th { "kind" } th { "callers" } th.number { "deadline" }
                th.number { "groups" } th.number { "backend servers" } th {}
            } }
            tbody {
                @for (index, route) in view.draft.items("/routes").iter().enumerate().take(MAX_ROWS) {
                    @let at = pointer::child("/routes", &index.to_string());
                    tr {
                        td { (name(route)) (badge(view, &at)) }
                        td { (text(&route["kind"])) }
                        td { (texts(&route["callers"])) }
                        td.number { (text(&route["deadline_ms"])) " ms" }
                        td.number { (length(&route["groups"])) }
                        td.number { (servers(route)) }
                        td {
                            (button("open", &at, "edit")) (button("copy", &at, "copy"))
                            (button("remove", &at, "remove"))
                        }
                    }
                }
            }
        }
        (hidden_rows(view.draft.items("/routes").len()))
        p { (button("add", "/routes", "Add a route")) }
    }
}

fn badge(view: &View<'_>, at: &str) -> Markup {
    let count = view.fault_count(at);
    html! {
        @if count > 0 {
            span.fault { (count) @if count == 1 { " fault" } @else { " faults" } }
        }
    }
}

fn name(value: &Value) -> Markup {
    html! { strong { (value["name"].as_str().unwrap_or("without a name")) } }
}

fn text(value: &Value) -> String {
    super::field::text_of(value)
}

fn texts(value: &Value) -> String {
    let items = value.as_array().into_iter().flatten();
    let items: Vec<String> = items.take(MAX_SHOWN).map(text).collect();
    items.join(", ")
}

fn length(value: &Value) -> usize {
    value.as_array().map_or(0, Vec::len)
}

fn servers(route: &Value) -> usize {
    let groups = route["groups"].as_array().into_iter().flatten();
    groups.map(|group| length(&group["backend_servers"])).sum()
}

fn all_faults(faults: &[Fault]) -> Markup {
    html! {
        h2 { "Faults" }
        table {
            tbody {
                @for fault in faults.iter().take(MAX_SHOWN) {
                    tr {
                        td { code { (fault.path) } }
                        td { (self::faults([fault])) }
                        td { (fix_button(fault)) }
                    }
                }
            }
        }
        @if faults.len() > MAX_SHOWN { p { "and " (faults.len() - MAX_SHOWN) " more" } }
    }
}

/// Renders the button that opens the page of a fault, or removes a field that the schema doesn't have.
fn fix_button(fault: &Fault) -> Markup {
    let at = pointer::from_path(&fault.path);
    let page = pointer::page(&at);
    html! {
        @if !page.is_empty() {
            (button("open", page, "mend"))
        } @else if pointer::schema(&at).is_none() {
            (button("remove", &at, "remove"))
        }
    }
}

fn changes(view: &View<'_>, document: &Document) -> Markup {
    let empty = Document::default();
    let old = view.base.document.as_ref().unwrap_or(&empty);
    let difference = difference::between(old, document);
    html! {
        h2 { "Changes against what is in force" }
        @if difference.is_empty() {
            p { "None: the draft means the same." }
        } @else {
            (lines(&difference.changes))
            h2 { "What the changes do" }
            @if difference.effects.is_empty() {
                p { "No caller, key or backend server is affected." }
            }
            (lines(&difference.effects))
        }
    }
}

fn lines(items: &[impl Display]) -> Markup {
    html! {
        ul {
            @for item in items.iter().take(MAX_SHOWN) { li { (item) } }
            @if items.len() > MAX_SHOWN { li { "and " (items.len() - MAX_SHOWN) " more" } }
        }
    }
}
