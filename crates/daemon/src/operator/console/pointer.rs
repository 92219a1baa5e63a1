//! JSON pointers (RFC 6901), used as names of the form fields.

use monsoonring_configuration::check::{Path, Segment};
use monsoonring_configuration::schema;
use serde_json::Value;

/// Returns the pointer of a field or item below `parent`.
pub(super) fn child(parent: &str, name: &str) -> String {
    let name = name.replace('~', "~0").replace('/', "~1");
    format!("{parent}/{name}")
}

/// Converts a path to a pointer.
pub(super) fn from_path(path: &Path) -> String {
    path.segments()
        .iter()
        .fold(String::new(), |parent, segment| match segment {
            Segment::Index(index) => child(&parent, &index.to_string()),
            Segment::Field(name) => child(&parent, name),
        })
}

/// Splits off the last segment and decodes it; returns `None` for the whole document.
pub(super) fn split(pointer: &str) -> Option<(&str, String)> {
    let (parent, name) = pointer.rsplit_once('/')?;
    Some((parent, name.replace("~1", "/").replace("~0", "~")))
}

/// Returns the pointer of the caller or route whose page edits the value; empty for the overview.
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

/// Returns the subschema of the value at a pointer; `None` if the schema has no such value.
pub(super) fn schema(pointer: &str) -> Option<&'static Value> {
    let mut subschema = schema::value();
    for name in pointer.split('/').skip(1) {
        let resolved = schema::resolve(subschema);
        subschema = match resolved.get("items") {
            Some(items) => items,
            None => resolved.get("properties")?.get(name)?,
        };
    }
    Some(subschema)
}
