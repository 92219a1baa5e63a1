//! Applies submitted forms and their button commands to a draft.

use super::draft::Draft;
use super::form::Form;
use super::pointer;
use serde_json::{Value, json};

/// Command of the button that submitted a form.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Command {
    /// Check the draft and stay on the page.
    Check,
    /// Open the page that edits the value at a pointer.
    Open(String),
    /// Add an item to a list.
    Add(String),
    /// Add a copy of an item to its list.
    Copy(String),
    /// Remove the value at a pointer.
    Remove(String),
}

impl Command {
    /// Parses the value of a button; an unknown command is [`Command::Check`].
    fn parse(text: &str) -> Self {
        let (verb, pointer) = text.split_once(':').unwrap_or((text, ""));
        let pointer = pointer.to_owned();
        match verb {
            "open" => Self::Open(pointer),
            "add" => Self::Add(pointer),
            "copy" => Self::Copy(pointer),
            "remove" => Self::Remove(pointer),
            _ => Self::Check,
        }
    }
}

/// Applies a form to the draft, executes its command and returns the pointer of the page to show next.
pub(super) fn run(draft: &mut Draft, form: &Form) -> String {
    let current = form.value("part").unwrap_or_default();
    let name = name_at(draft, current);
    draft.apply(current, form);
    propagate_rename(draft, current, name);
    let command = Command::parse(form.value("do").unwrap_or_default());
    let next = execute(draft, command).unwrap_or_else(|| current.to_owned());
    let next = pointer::page(&next);
    match draft.at(next) {
        Some(_) => next.to_owned(),
        None => String::new(),
    }
}

fn execute(draft: &mut Draft, command: Command) -> Option<String> {
    match command {
        Command::Check => None,
        Command::Open(pointer) => Some(pointer),
        Command::Add(list) => add(draft, &list),
        Command::Copy(pointer) => copy(draft, &pointer),
        Command::Remove(pointer) => remove(draft, &pointer),
    }
}

fn add(draft: &mut Draft, list: &str) -> Option<String> {
    let item = new_item(draft, list)?;
    let value = draft.at_mut(list)?;
    if !value.is_array() {
        *value = json!([]);
    }
    let items = value.as_array_mut()?;
    items.push(item);
    Some(pointer::child(list, &(items.len() - 1).to_string()))
}

/// Returns a new item for a list; its empty objects make the check report their required fields.
fn new_item(draft: &Draft, list: &str) -> Option<Value> {
    let (parent, name) = pointer::split(list)?;
    match (parent, &*name) {
        ("", "callers") => Some(json!({ "class": "normal" })),
        ("", "routes") => Some(json!({
            "kind": "search", "callers": [], "capacity": {}, "keys": {}, "groups": [new_group(None)],
        })),
        (route, "groups") if pointer::page(list) == route => {
            Some(new_group(next_start(draft, route, list)))
        }
        _ => None,
    }
}

fn new_group(start: Option<u64>) -> Value {
    match start {
        Some(start) => json!({ "keys": { "start": start }, "backend_servers": [] }),
        None => json!({ "keys": {}, "backend_servers": [] }),
    }
}

/// Returns the first key of a new group: the end of the last group, or the start of the route's keys.
fn next_start(draft: &Draft, route: &str, list: &str) -> Option<u64> {
    let groups = draft.items(list).iter();
    let ends = groups.filter_map(|group| group["keys"]["end"].as_u64());
    ends.max()
        .or_else(|| draft.at(route)?["keys"]["start"].as_u64())
}

fn copy(draft: &mut Draft, pointer: &str) -> Option<String> {
    let (list, _) = pointer::split(pointer)?;
    let mut item = draft.at(pointer)?.clone();
    item.as_object_mut()?.remove("name");
    let items = draft.at_mut(list)?.as_array_mut()?;
    items.push(item);
    Some(pointer::child(list, &(items.len() - 1).to_string()))
}

fn remove(draft: &mut Draft, pointer: &str) -> Option<String> {
    let (parent, name) = pointer::split(pointer)?;
    let removed = name_at(draft, pointer);
    match draft.at_mut(parent)? {
        Value::Array(items) => {
            let index = name.parse().ok().filter(|index| *index < items.len())?;
            items.remove(index);
        }
        Value::Object(fields) => drop(fields.remove(&name)),
        _ => return None,
    }
    if let (Some(removed), "/callers") = (removed, parent) {
        replace_caller(draft, &removed, None);
    }
    Some(parent.to_owned())
}

fn name_at(draft: &Draft, pointer: &str) -> Option<String> {
    let name = draft.at(pointer)?.get("name")?.as_str()?;
    Some(name.to_owned())
}

/// Renames a caller in the routes that list it, which would otherwise refer to an unknown caller.
fn propagate_rename(draft: &mut Draft, current: &str, old_name: Option<String>) {
    let is_caller = current.starts_with("/callers/");
    let new_name = name_at(draft, current);
    if let (true, Some(old_name), Some(new_name)) = (is_caller, old_name, new_name) {
        replace_caller(draft, &old_name, Some(&new_name));
    }
}

/// Replaces or removes a caller in the lists of all routes, unless another caller has the same name.
fn replace_caller(draft: &mut Draft, old_name: &str, new_name: Option<&str>) {
    if draft.names("/callers").contains(&old_name) {
        return;
    }
    let routes = draft.at_mut("/routes").and_then(Value::as_array_mut);
    for route in routes.into_iter().flatten() {
        let callers = route.get_mut("callers").and_then(Value::as_array_mut);
        let Some(callers) = callers else { continue };
        match new_name {
            Some(new_name) => callers
                .iter_mut()
                .filter(|caller| caller.as_str() == Some(old_name))
                .for_each(|caller| *caller = Value::from(new_name)),
            None => callers.retain(|caller| caller.as_str() != Some(old_name)),
        }
    }
}
