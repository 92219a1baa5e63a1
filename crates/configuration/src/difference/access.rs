//! Changes of the callers' routes and classes.

use super::effect::Effect;
use crate::Document;
use crate::document::Class;
use crate::id::{CallerId, RouteId};
use std::collections::{BTreeMap, BTreeSet};

/// Class of a caller and the routes that it may use.
#[derive(Default)]
struct Access<'a> {
    class: Option<Class>,
    routes: BTreeSet<&'a RouteId>,
}

pub(super) fn effects(old: &Document, new: &Document) -> Vec<Effect> {
    let old = accesses(old);
    let new = accesses(new);
    let callers: BTreeSet<&CallerId> = old.keys().chain(new.keys()).copied().collect();
    let no_access = Access::default();
    callers
        .into_iter()
        .flat_map(|caller| {
            let before = old.get(caller).unwrap_or(&no_access);
            let after = new.get(caller).unwrap_or(&no_access);
            compare(caller, before, after)
        })
        .collect()
}

fn accesses(document: &Document) -> BTreeMap<&CallerId, Access<'_>> {
    let mut accesses: BTreeMap<&CallerId, Access<'_>> = BTreeMap::new();
    for caller in &document.callers {
        accesses.entry(&caller.name).or_default().class = Some(caller.class);
    }
    for route in &document.routes {
        for caller in &route.callers {
            accesses
                .entry(caller)
                .or_default()
                .routes
                .insert(&route.name);
        }
    }
    accesses
}

fn compare(caller: &CallerId, before: &Access<'_>, after: &Access<'_>) -> Vec<Effect> {
    let mut effects = Vec::new();
    let lost = subtract(&before.routes, &after.routes);
    if !lost.is_empty() {
        effects.push(Effect::CallerLoses {
            caller: caller.clone(),
            routes: lost,
        });
    }
    let gained = subtract(&after.routes, &before.routes);
    if !gained.is_empty() {
        effects.push(Effect::CallerGains {
            caller: caller.clone(),
            routes: gained,
        });
    }
    if let (Some(from), Some(to)) = (before.class, after.class) {
        if from != to {
            effects.push(Effect::CallerReclassed {
                caller: caller.clone(),
                from,
                to,
                routes: after.routes.iter().map(|&route| route.clone()).collect(),
            });
        }
    }
    effects
}

fn subtract(left: &BTreeSet<&RouteId>, right: &BTreeSet<&RouteId>) -> Vec<RouteId> {
    left.difference(right).map(|&route| route.clone()).collect()
}
