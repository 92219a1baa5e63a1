//! Check that the ranges of a route's groups contain each key exactly once.
//!
//! With a hole, no group would answer for some of the data; with an overlap, two groups would. In both
//! cases the coverage reported with an answer would be wrong.

use super::Fault;
use super::node::Node;
use crate::Range;

/// The range of a group and its place in the document.
struct Tile<'a> {
    keys: Range,
    node: Node<'a>,
}

/// Finds empty ranges, ranges outside the route's keys, overlaps and holes.
///
/// Holes are only reported if every group's range can be read, because an unreadable one might fill
/// the hole.
pub(super) fn faults(route: &Node<'_>) -> Vec<Fault> {
    let groups = route.items("groups");
    let mut tiles: Vec<Tile<'_>> = groups.iter().filter_map(tile).collect();
    let all_readable = tiles.len() == groups.len();
    let mut faults: Vec<Fault> = tiles
        .iter()
        .filter(|tile| tile.keys.is_empty())
        .map(|tile| empty_fault(&tile.node, tile.keys))
        .collect();
    let keys_field = route.field("keys");
    let space = keys_field.as_ref().and_then(Node::read::<Range>);
    if let (Some(node), Some(keys)) = (&keys_field, space) {
        if keys.is_empty() {
            faults.push(empty_fault(node, keys));
            return faults;
        }
    }
    tiles.retain(|tile| !tile.keys.is_empty());
    tiles.sort_by_key(|tile| tile.keys);
    faults.extend(overlaps(&tiles));
    if let (Some(node), Some(space)) = (keys_field, space) {
        faults.extend(outside(&tiles, space));
        if all_readable && !tiles.is_empty() {
            faults.extend(holes(&tiles, space, &node));
        }
    }
    faults
}

fn tile<'a>(group: &Node<'a>) -> Option<Tile<'a>> {
    let node = group.field("keys")?;
    let keys = node.read()?;
    Some(Tile { keys, node })
}

fn empty_fault(node: &Node<'_>, keys: Range) -> Fault {
    Fault::new(
        node.path.field("end"),
        format!("the range {keys} holds no key"),
        format!("an end above the start, {}", keys.start),
    )
}

/// Finds overlaps by comparing each range with the one that ends last among those before it.
fn overlaps(tiles: &[Tile<'_>]) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut furthest: Option<&Tile<'_>> = None;
    for tile in tiles {
        if let Some(before) = furthest {
            faults.extend(overlap_fault(tile, before));
        }
        if furthest.is_none_or(|before| before.keys.end < tile.keys.end) {
            furthest = Some(tile);
        }
    }
    faults
}

fn overlap_fault(tile: &Tile<'_>, before: &Tile<'_>) -> Option<Fault> {
    let common = tile.keys.intersection(&before.keys)?;
    Some(tile.node.fault(
        format!(
            "the range {} overlaps {} ({}) in {common}",
            tile.keys, before.keys, before.node.path
        ),
        "ranges that don't overlap",
    ))
}

fn outside(tiles: &[Tile<'_>], space: Range) -> Vec<Fault> {
    tiles
        .iter()
        .filter(|tile| tile.keys.start < space.start || tile.keys.end > space.end)
        .map(|tile| {
            tile.node.fault(
                format!("the range {} is not within the route's keys", tile.keys),
                format!("a range within {space}"),
            )
        })
        .collect()
}

fn holes(tiles: &[Tile<'_>], space: Range, node: &Node<'_>) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut covered = space.start;
    let ends = tiles
        .iter()
        .map(|tile| tile.keys)
        .chain(std::iter::once(Range::new(space.end, space.end)));
    for keys in ends {
        let hole = Range::new(covered, keys.start.min(space.end));
        if !hole.is_empty() {
            faults.push(node.fault(
                format!("no group holds the keys {hole}"),
                "groups whose ranges together hold every key of the route",
            ));
        }
        covered = covered.max(keys.end);
    }
    faults
}
