//! Canonical form of a document, from which digests and differences are computed.
//!
//! Documents with the same meaning have the same canonical form, so that sorting a file or writing
//! out a default is not a change and does not cause a roll-out. In the canonical form:
//!
//! - callers and routes are sorted by name, groups by their keys, and backend servers by address;
//! - hexadecimal digits are in lower case, and zeros are positive;
//! - every field is written, in the order of the types, defaults included;
//! - the JSON has no white space.

use crate::Document;
use crate::document::{Caller, Group, Route};

/// Returns the canonical form of a document.
pub fn form(document: &Document) -> Document {
    let mut form = document.clone();
    form.callers
        .sort_by(|left, right| left.name.cmp(&right.name));
    form.callers.iter_mut().for_each(normalize_caller);
    form.routes
        .sort_by(|left, right| left.name.cmp(&right.name));
    form.routes.iter_mut().for_each(normalize_route);
    form
}

fn normalize_caller(caller: &mut Caller) {
    if let Some(digest) = &mut caller.token_sha256 {
        digest.make_ascii_lowercase();
    }
}

fn normalize_route(route: &mut Route) {
    route.callers.sort();
    normalize_zero(&mut route.hedge.budget_percent);
    normalize_zero(&mut route.hedge.quantile);
    normalize_zero(&mut route.retry.budget_percent);
    if let Some(soft) = &mut route.soft_deadline {
        normalize_zero(&mut soft.coverage);
    }
    route
        .groups
        .sort_by(|left, right| (left.keys, &left.name).cmp(&(right.keys, &right.name)));
    route.groups.iter_mut().for_each(normalize_group);
}

fn normalize_group(group: &mut Group) {
    group.backend_servers.sort();
}

/// Replaces negative zero by zero: it compares equal, but `-0.0` would change the digest.
fn normalize_zero(number: &mut f64) {
    if *number == 0.0 {
        *number = 0.0;
    }
}
