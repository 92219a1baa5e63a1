//! One form for all documents that mean the same.
//!
//! The order of callers, routes, groups and backend servers says nothing, nor do a field that
//! repeats its default, the case of hexadecimal digits or the sign of a zero. Two daemons that
//! compare digests must not take such a difference for a change, and an operator who sorts a file
//! must not cause a roll-out. So digests and differences are taken from the canonical form:
//!
//! - callers and routes by name, groups by their keys, backend servers by address;
//! - every field written out in the order of the types, defaults too;
//! - JSON without white space.

use crate::Document;
use crate::document::{Caller, Group, Route};

/// Returns the canonical form of a document.
///
/// Two documents that mean the same have equal canonical forms.
pub fn form(document: &Document) -> Document {
    let mut form = document.clone();
    form.callers
        .sort_by(|left, right| left.name.cmp(&right.name));
    form.callers.iter_mut().for_each(order_caller);
    form.routes
        .sort_by(|left, right| left.name.cmp(&right.name));
    form.routes.iter_mut().for_each(order_route);
    form
}

fn order_caller(caller: &mut Caller) {
    if let Some(digest) = &mut caller.token_sha256 {
        digest.make_ascii_lowercase();
    }
}

fn order_route(route: &mut Route) {
    route.callers.sort();
    unsign_zero(&mut route.hedge.budget_percent);
    unsign_zero(&mut route.hedge.quantile);
    unsign_zero(&mut route.retry.budget_percent);
    if let Some(soft) = &mut route.soft_deadline {
        unsign_zero(&mut soft.coverage);
    }
    route
        .groups
        .sort_by(|left, right| (left.keys, &left.name).cmp(&(right.keys, &right.name)));
    route.groups.iter_mut().for_each(order_group);
}

fn order_group(group: &mut Group) {
    group.backend_servers.sort();
}

/// Minus zero equals zero, but is written `-0.0` and would get another digest.
fn unsign_zero(number: &mut f64) {
    if *number == 0.0 {
        *number = 0.0;
    }
}
