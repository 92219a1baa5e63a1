//! Keys that move between backend servers or that are added to or removed from a route.

use super::effect::Effect;
use crate::document::{Document, Group, Route};
use crate::id::{BackendServerId, RouteId};
use crate::range::Range;

pub(super) fn effects(old: &Document, new: &Document) -> Vec<Effect> {
    new.routes
        .iter()
        .filter_map(|after| {
            let before = old.routes.iter().find(|before| before.name == after.name)?;
            Some((before, after))
        })
        .flat_map(|(before, after)| {
            let mut effects = boundaries(before, after);
            effects.extend(
                moves(before, after)
                    .into_iter()
                    .map(|change| change.effect(after)),
            );
            effects
        })
        .collect()
}

/// Keys whose backend servers change.
struct Move {
    keys: Range,
    weight: f64,
    from: Vec<BackendServerId>,
    to: Vec<BackendServerId>,
}

impl Move {
    fn effect(self, route: &Route) -> Effect {
        let total: f64 = route.groups.iter().map(|group| group.weight).sum();
        Effect::KeysMoved {
            route: route.name.clone(),
            keys: self.keys,
            share_percent: self.weight / total * 100.0,
            from: self.from,
            to: self.to,
        }
    }
}

/// Compares each new group with each old group that shares keys with it.
///
/// Adjacent ranges that move between the same backend servers are merged, so that splitting a group
/// doesn't produce two effects.
fn moves(before: &Route, after: &Route) -> Vec<Move> {
    let mut moves: Vec<Move> = Vec::new();
    for new in &after.groups {
        for old in &before.groups {
            let Some(change) = compare_groups(old, new) else {
                continue;
            };
            match moves.last_mut() {
                Some(last) if continues(last, &change) => {
                    last.keys.end = change.keys.end;
                    last.weight += change.weight;
                }
                _ => moves.push(change),
            }
        }
    }
    moves
}

fn compare_groups(old: &Group, new: &Group) -> Option<Move> {
    let keys = old.keys.intersection(&new.keys)?;
    let from = subtract(&old.backend_servers, &new.backend_servers);
    let to = subtract(&new.backend_servers, &old.backend_servers);
    if from.is_empty() && to.is_empty() {
        return None;
    }
    let share = keys.len() as f64 / new.keys.len() as f64;
    Some(Move {
        keys,
        weight: new.weight * share,
        from,
        to,
    })
}

fn continues(last: &Move, next: &Move) -> bool {
    last.keys.end == next.keys.start && last.from == next.from && last.to == next.to
}

fn subtract(left: &[BackendServerId], right: &[BackendServerId]) -> Vec<BackendServerId> {
    left.iter()
        .filter(|server| !right.contains(server))
        .copied()
        .collect()
}

/// Returns the keys added and removed at the ends of the key space.
fn boundaries(before: &Route, after: &Route) -> Vec<Effect> {
    let route: &RouteId = &after.name;
    let removed = outside(before.keys, after.keys)
        .into_iter()
        .map(|keys| Effect::KeysRemoved {
            route: route.clone(),
            keys,
        });
    let added = outside(after.keys, before.keys)
        .into_iter()
        .map(|keys| Effect::KeysAdded {
            route: route.clone(),
            keys,
        });
    removed.chain(added).collect()
}

/// Returns the parts of `whole` that are outside `part`.
fn outside(whole: Range, part: Range) -> Vec<Range> {
    let below = Range::new(whole.start, part.start.min(whole.end));
    let above = Range::new(part.end.max(whole.start), whole.end);
    let mut ranges = vec![below, above];
    ranges.retain(|range| !range.is_empty());
    ranges
}
