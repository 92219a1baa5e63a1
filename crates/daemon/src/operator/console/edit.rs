//! What the buttons of the forms do to a draft.

use super::draft::Draft;
use super::form::Form;
use super::pointer;
use serde_json::{Value, json};

/// What an operator wants with a form.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Command {
    /// Check it and stay on the page.
    Check,
    /// Go to the page that edits a place.
    Open(String),
    /// Add an item to a list.
    Add(String),
    /// Add a copy of an item to its list.
    Copy(String),
    /// Take a place out of the document.
    Remove(String),
}

impl Command {
    /// Reads the value of a button; one that isn't known checks.
    fn read(text: &str) -> Self {
        let (verb, place) = text.split_once(':').unwrap_or((text, ""));
        let place = place.to_owned();
        match verb {
            "open" => Self::Open(place),
            "add" => Self::Add(place),
            "copy" => Self::Copy(place),
            "remove" => Self::Remove(place),
            _ => Self::Check,
        }
    }
}

/// Takes a form over into the draft, does what its button says, and returns the place whose page
/// comes next.
pub(super) fn run(draft: &mut Draft, form: &Form) -> String {
    let part = form.value("part").unwrap_or_default();
    let name = name_at(draft, part);
    draft.apply(part, form);
    follow_rename(draft, part, name);
    let command = Command::read(form.value("do").unwrap_or_default());
    let next = carry_out(draft, command).unwrap_or_else(|| part.to_owned());
    let next = pointer::page(&next);
    match draft.at(next) {
        Some(_) => next.to_owned(),
        None => String::new(),
    }
}

fn carry_out(draft: &mut Draft, command: Command) -> Option<String> {
    match command {
        Command::Check => None,
        Command::Open(place) => Some(place),
        Command::Add(list) => add(draft, &list),
        Command::Copy(place) => copy(draft, &place),
        Command::Remove(place) => remove(draft, &place),
    }
}

fn add(draft: &mut Draft, list: &str) -> Option<String> {
    let item = blank(draft, list)?;
    let value = draft.at_mut(list)?;
    if !value.is_array() {
        *value = json!([]);
    }
    let items = value.as_array_mut()?;
    items.push(item);
    Some(pointer::child(list, &(items.len() - 1).to_string()))
}

/// Returns a new item for a list, with the fields that the form is to show as missing.
fn blank(draft: &Draft, list: &str) -> Option<Value> {
    let (parent, name) = pointer::split(list)?;
    match (parent, &*name) {
        ("", "callers") => Some(json!({ "class": "normal" })),
        ("", "routes") => Some(json!({
            "kind": "search", "callers": [], "capacity": {}, "keys": {}, "groups": [group(None)],
        })),
        (route, "groups") if pointer::page(list) == route => Some(group(end(draft, route, list))),
        _ => None,
    }
}

fn group(start: Option<u64>) -> Value {
    match start {
        Some(start) => json!({ "keys": { "start": start }, "backend_servers": [] }),
        None => json!({ "keys": {}, "backend_servers": [] }),
    }
}

/// Returns the key at which the groups of a list end, the start of the next one.
fn end(draft: &Draft, route: &str, list: &str) -> Option<u64> {
    let groups = draft.items(list).iter();
    let ends = groups.filter_map(|group| group["keys"]["end"].as_u64());
    ends.max()
        .or_else(|| draft.at(route)?["keys"]["start"].as_u64())
}

fn copy(draft: &mut Draft, place: &str) -> Option<String> {
    let (list, _) = pointer::split(place)?;
    let mut item = draft.at(place)?.clone();
    item.as_object_mut()?.remove("name");
    let items = draft.at_mut(list)?.as_array_mut()?;
    items.push(item);
    Some(pointer::child(list, &(items.len() - 1).to_string()))
}

fn remove(draft: &mut Draft, place: &str) -> Option<String> {
    let (parent, name) = pointer::split(place)?;
    let gone = name_at(draft, place);
    match draft.at_mut(parent)? {
        Value::Array(items) => {
            let index = name.parse().ok().filter(|index| *index < items.len())?;
            items.remove(index);
        }
        Value::Object(fields) => drop(fields.remove(&name)),
        _ => return None,
    }
    if let (Some(gone), "/callers") = (gone, parent) {
        replace_caller(draft, &gone, None);
    }
    Some(parent.to_owned())
}

fn name_at(draft: &Draft, place: &str) -> Option<String> {
    let name = draft.at(place)?.get("name")?.as_str()?;
    Some(name.to_owned())
}

/// Gives a caller its new name in the routes too: else each of them would have a fault, and the
/// operator had to visit them all.
fn follow_rename(draft: &mut Draft, part: &str, before: Option<String>) {
    let is_caller = part.starts_with("/callers/");
    let after = name_at(draft, part);
    if let (true, Some(before), Some(after)) = (is_caller, before, after) {
        replace_caller(draft, &before, Some(&after));
    }
}

/// Replaces a caller in the lists of all routes, or takes it out, unless another caller has the
/// name too.
fn replace_caller(draft: &mut Draft, before: &str, after: Option<&str>) {
    if draft.names("/callers").contains(&before) {
        return;
    }
    let routes = draft.at_mut("/routes").and_then(Value::as_array_mut);
    for route in routes.into_iter().flatten() {
        let callers = route.get_mut("callers").and_then(Value::as_array_mut);
        let Some(callers) = callers else { continue };
        match after {
            Some(after) => callers
                .iter_mut()
                .filter(|caller| caller.as_str() == Some(before))
                .for_each(|caller| *caller = Value::from(after)),
            None => callers.retain(|caller| caller.as_str() != Some(before)),
        }
    }
}
