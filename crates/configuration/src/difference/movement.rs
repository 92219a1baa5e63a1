//! Which keys go from which backend servers to which.

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
                    .map(|step| step.effect(after)),
            );
            effects
        })
        .collect()
}

/// Keys that other backend servers hold than before.
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

/// Compares each old group with each new one that it shares keys with.
///
/// Neighbouring ranges that go the same way become one: a split of a group whose halves stay where
/// they were, or go together, isn't worth two lines.
fn moves(before: &Route, after: &Route) -> Vec<Move> {
    let mut moves: Vec<Move> = Vec::new();
    for new in &after.groups {
        for old in &before.groups {
            let Some(step) = step(old, new) else {
                continue;
            };
            match moves.last_mut() {
                Some(last) if continues(last, &step) => {
                    last.keys.end = step.keys.end;
                    last.weight += step.weight;
                }
                _ => moves.push(step),
            }
        }
    }
    moves
}

fn step(old: &Group, new: &Group) -> Option<Move> {
    let keys = old.keys.intersection(&new.keys)?;
    let from = subtract(&old.backend_servers, &new.backend_servers);
    let to = subtract(&new.backend_servers, &old.backend_servers);
    if from.is_empty() && to.is_empty() {
        return None;
    }
    let part = keys.len() as f64 / new.keys.len() as f64;
    Some(Move {
        keys,
        weight: new.weight * part,
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

/// Keys at the borders of the key space that have come or gone.
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

/// The parts of `whole` that `part` doesn't hold.
fn outside(whole: Range, part: Range) -> Vec<Range> {
    let below = Range::new(whole.start, part.start.min(whole.end));
    let above = Range::new(part.end.max(whole.start), whole.end);
    let mut ranges = vec![below, above];
    ranges.retain(|range| !range.is_empty());
    ranges
}
