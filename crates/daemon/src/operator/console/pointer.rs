//! JSON pointers (RFC 6901), which name the fields of the forms.

use monsoonring_configuration::check::{Path, Segment};
use monsoonring_configuration::schema;
use serde_json::Value;

/// Returns the pointer of a field or item below `parent`.
pub(super) fn child(parent: &str, name: &str) -> String {
    let name = name.replace('~', "~0").replace('/', "~1");
    format!("{parent}/{name}")
}

/// Returns the pointer to the place that a path names.
pub(super) fn of(path: &Path) -> String {
    path.segments()
        .iter()
        .fold(String::new(), |parent, step| match step {
            Segment::Index(index) => child(&parent, &index.to_string()),
            Segment::Field(name) => child(&parent, name),
        })
}

/// Cuts the last segment off, and returns both parts; `None` for the whole document.
pub(super) fn split(pointer: &str) -> Option<(&str, String)> {
    let (parent, name) = pointer.rsplit_once('/')?;
    Some((parent, name.replace("~1", "/").replace("~0", "~")))
}

/// Returns the pointer of the page that edits the place: a caller, a route, or the overview.
pub(super) fn page(pointer: &str) -> &str {
    let mut slashes = pointer.match_indices('/').map(|(at, _)| at);
    let is_list = ["/callers/", "/routes/"]
        .iter()
        .any(|list| pointer.starts_with(list));
    match (is_list, slashes.nth(2)) {
        (false, _) => "",
        (true, Some(end)) => pointer.get(..end).unwrap_or_default(),
        (true, None) => pointer,
    }
}

/// Returns the part of the schema for a place of the document; `None` where there can't be one.
pub(super) fn schema(pointer: &str) -> Option<&'static Value> {
    let mut part = schema::value();
    for name in pointer.split('/').skip(1) {
        let whole = schema::resolve(part);
        part = match whole.get("items") {
            Some(items) => items,
            None => whole.get("properties")?.get(name)?,
        };
    }
    Some(part)
}
