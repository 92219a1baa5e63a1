//! Edits of a document, field by field.
//!
//! Fields are compared as JSON, so that fields added to the types are covered automatically.

use crate::Document;
use crate::document::{Caller, Group, Route};
use crate::id::{CallerId, GroupId, RouteId};
use derive_more::Display;
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// An edit of one part of a document.
#[derive(Clone, Debug, Display, PartialEq, Serialize)]
#[display("{subject}: {action}")]
pub struct Change {
    /// Part that was edited.
    pub subject: Subject,
    /// Kind of edit.
    pub action: Action,
}

/// A named part of a document.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// A caller.
    #[display("caller {_0}")]
    Caller(CallerId),
    /// A route.
    #[display("route {_0}")]
    Route(RouteId),
    /// A group of a route.
    #[display("route {route}, group {group}")]
    Group {
        /// Route of the group.
        route: RouteId,
        /// Name of the group.
        group: GroupId,
    },
}

/// Kind of an edit.
#[derive(Clone, Debug, Display, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// The subject is new.
    #[display("added")]
    Added,
    /// The subject no longer exists.
    #[display("removed")]
    Removed,
    /// A field has another value.
    #[display("{field} from {} to {}", render(field, from), render(field, to))]
    Set {
        /// Name of the field.
        field: String,
        /// Value in the old document; null if absent.
        from: Value,
        /// Value in the new document; null if absent.
        to: Value,
    },
    /// An item was added to a list.
    #[display("{field} gains {}", item.as_str().unwrap_or_default())]
    Gained {
        /// Name of the list's field.
        field: String,
        /// Added item.
        item: Value,
    },
    /// An item was removed from a list.
    #[display("{field} loses {}", item.as_str().unwrap_or_default())]
    Lost {
        /// Name of the list's field.
        field: String,
        /// Removed item.
        item: Value,
    },
}

/// Digits of a token's digest in the text: enough to tell two digests apart, but too few to guess a
/// weak token from.
const DIGEST_DIGITS: usize = 8;

fn render(field: &str, value: &Value) -> String {
    match value {
        Value::Null => "none".to_owned(),
        Value::String(digest) if field.ends_with("sha256") => {
            format!("{}…", digest.get(..DIGEST_DIGITS).unwrap_or_default())
        }
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Lists all edits between two canonical documents.
pub(super) fn collect(old: &Document, new: &Document) -> Vec<Change> {
    let mut changes = compare(&callers(old), &callers(new), |caller| {
        Subject::Caller(caller.name.clone())
    });
    changes.extend(compare(&routes(old), &routes(new), |route| {
        Subject::Route(route.name.clone())
    }));
    for route in &new.routes {
        if let Some(before) = old.routes.iter().find(|before| before.name == route.name) {
            changes.extend(compare(&groups(before), &groups(route), |group| {
                Subject::Group {
                    route: route.name.clone(),
                    group: group.name.clone(),
                }
            }));
        }
    }
    changes
}

type Named<'a, T> = BTreeMap<&'a str, &'a T>;

fn callers(document: &Document) -> Named<'_, Caller> {
    let callers = document.callers.iter();
    callers.map(|caller| (&*caller.name, caller)).collect()
}

fn routes(document: &Document) -> Named<'_, Route> {
    let routes = document.routes.iter();
    routes.map(|route| (&*route.name, route)).collect()
}

fn groups(route: &Route) -> Named<'_, Group> {
    let groups = route.groups.iter();
    groups.map(|group| (&*group.name, group)).collect()
}

fn compare<T: Serialize>(
    old: &Named<'_, T>,
    new: &Named<'_, T>,
    subject: impl Fn(&T) -> Subject,
) -> Vec<Change> {
    let names: BTreeSet<&str> = old.keys().chain(new.keys()).copied().collect();
    let mut changes = Vec::new();
    for name in names {
        let (part, actions) = match (old.get(name), new.get(name)) {
            (Some(before), Some(after)) => (after, edits(before, after)),
            (Some(before), None) => (before, vec![Action::Removed]),
            (None, Some(after)) => (after, vec![Action::Added]),
            (None, None) => continue,
        };
        changes.extend(actions.into_iter().map(|action| Change {
            subject: subject(part),
            action,
        }));
    }
    changes
}

fn edits<T: Serialize>(old: &T, new: &T) -> Vec<Action> {
    let old = leaves(old);
    let new = leaves(new);
    let fields: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    fields
        .into_iter()
        .flat_map(|field| {
            let from = old.get(field).cloned().unwrap_or_default();
            let to = new.get(field).cloned().unwrap_or_default();
            edit(field, from, to)
        })
        .collect()
}

fn edit(field: &str, from: Value, to: Value) -> Vec<Action> {
    let field = field.to_owned();
    match (from, to) {
        (from, to) if from == to => Vec::new(),
        (Value::Array(from), Value::Array(to)) => list_edits(&field, &from, &to),
        (from, to) => vec![Action::Set { field, from, to }],
    }
}

fn list_edits(field: &str, from: &[Value], to: &[Value]) -> Vec<Action> {
    let lost = from.iter().filter(|item| !to.contains(item));
    let gained = to.iter().filter(|item| !from.contains(item));
    let lost = lost.map(|item| Action::Lost {
        field: field.to_owned(),
        item: item.clone(),
    });
    let gained = gained.map(|item| Action::Gained {
        field: field.to_owned(),
        item: item.clone(),
    });
    lost.chain(gained).collect()
}

/// Returns the fields of a part without `groups`, which are compared separately. Fields of nested
/// objects are named `outer.inner`.
fn leaves<T: Serialize>(part: &T) -> BTreeMap<String, Value> {
    let mut leaves = BTreeMap::new();
    let value = serde_json::to_value(part).unwrap_or_default();
    collect_leaves("", value, &mut leaves);
    leaves.remove("groups");
    leaves
}

fn collect_leaves(prefix: &str, value: Value, leaves: &mut BTreeMap<String, Value>) {
    let Value::Object(fields) = value else {
        leaves.insert(prefix.to_owned(), value);
        return;
    };
    for (name, value) in fields {
        let field = if prefix.is_empty() {
            name
        } else {
            format!("{prefix}.{name}")
        };
        collect_leaves(&field, value, leaves);
    }
}
