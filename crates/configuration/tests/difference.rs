//! Tests of the differences that an operator reviews before publishing a document.

use monsoonring_configuration::difference::{self, Effect};
use monsoonring_configuration::document::{Class, Document, Group};
use monsoonring_configuration::{Range, check, example};
use test_case::test_case;

fn document(text: &str) -> Document {
    check::parse(text.as_bytes()).expect("examples are valid")
}

fn after(edit: impl Fn(&mut Document)) -> difference::Difference {
    let old = document(example::BEET);
    let mut new = old.clone();
    edit(&mut new);
    check::document(&new).expect("the edit keeps the document valid");
    difference::between(&old, &new)
}

#[test_case(example::HYDRANT; "hydrant")]
#[test_case(example::BEET; "beet")]
fn between_reordered_documents_is_empty(text: &str) {
    let old = document(text);
    let mut new = old.clone();
    new.callers.reverse();
    new.routes.reverse();
    for route in &mut new.routes {
        route.groups.reverse();
        for group in &mut route.groups {
            group.backend_servers.reverse();
        }
    }
    let difference = difference::between(&old, &new);
    assert!(difference.is_empty(), "{difference}");
    assert_eq!(difference.to_string(), "No change.\n");
}

fn retune(document: &mut Document) {
    document.callers[1].token_sha256 = Some("0123456789abcdef".repeat(4));
    document.routes[0].soft_deadline = None;
    document.routes[0].deadline_ms = 900;
    document.routes[0].capacity.slots = 3;
}

fn reassign_callers(document: &mut Document) {
    document.callers[1].class = Class::Background;
    document.callers[2].class = Class::Normal;
    document.routes[0].callers.push("agronomists".into());
    document.routes[2].callers.remove(0);
}

fn drop_caller_and_route(document: &mut Document) {
    document.callers.remove(1);
    document.routes[1].callers.remove(0);
    document.routes.remove(2);
}

/// Splits the first group of the route `gate-desk`: its third replica moves to the upper half, which
/// also gets a new one.
fn split_group(document: &mut Document) {
    let group = &mut document.routes[0].groups[0];
    let moved = group.backend_servers.remove(2);
    group.keys = Range::new(0, 500);
    group.weight = 0.5;
    let half = Group {
        name: "gate-desk-01b".into(),
        keys: Range::new(500, 1000),
        weight: 0.5,
        backend_servers: vec![moved, ([10, 30, 0, 99], 7100).into()],
    };
    document.routes[0].groups.push(half);
}

fn replace_servers(document: &mut Document) {
    let servers = &mut document.routes[3].groups[0].backend_servers;
    servers[0] = ([10, 33, 9, 1], 7100).into();
    document.routes[2].groups[0].backend_servers.pop();
}

fn grow_keys(document: &mut Document) {
    document.routes[3].keys.end = 1500;
    document.routes[3].groups[0].keys.end = 1500;
    document.routes[2].keys.start = 100;
    document.routes[2].groups[0].keys.start = 100;
}

#[test_case("retune", retune; "retune")]
#[test_case("reassign_callers", reassign_callers; "reassign_callers")]
#[test_case("drop_caller_and_route", drop_caller_and_route; "drop_caller_and_route")]
#[test_case("split_group", split_group; "split_group")]
#[test_case("replace_servers", replace_servers; "replace_servers")]
#[test_case("grow_keys", grow_keys; "grow_keys")]
fn between_lists_changes_and_effects(name: &str, edit: fn(&mut Document)) {
    insta::assert_snapshot!(name, after(edit));
}

#[test]
fn between_as_json_names_each_effect() {
    insta::assert_json_snapshot!("split_group_json", after(split_group));
}

fn keys_moved(difference: &difference::Difference) -> Vec<(&str, Range)> {
    let effects = difference.effects.iter();
    effects
        .filter_map(|effect| match effect {
            Effect::KeysMoved { route, keys, .. } => Some((&**route, *keys)),
            _ => None,
        })
        .collect()
}

/// Renaming a group moves no keys. Reporting a move would make an operator copy data needlessly.
#[test]
fn between_renamed_group_moves_nothing() {
    let difference = after(|document| document.routes[3].groups[0].name = "renamed".into());
    assert!(!difference.is_empty());
    assert_eq!(keys_moved(&difference), []);
}

/// Only the upper half of a group moves to another backend server.
#[test]
fn between_split_group_moves_one_half() {
    let difference = after(|document| {
        let route = &mut document.routes[0];
        let mut half = route.groups[1].clone();
        route.groups[1].keys = Range::new(1000, 1400);
        half.name = "other-half".into();
        half.keys = Range::new(1400, 2000);
        half.backend_servers = vec![([10, 30, 1, 77], 7100).into()];
        route.groups.push(half);
    });
    let upper = ("gate-desk", Range::new(1400, 2000));
    assert_eq!(keys_moved(&difference), [upper]);
}

/// Merging two groups on a new backend server is two moves, because the keys come from different
/// backend servers.
#[test]
fn between_merged_groups_moves_from_each() {
    let difference = after(|document| {
        let groups = &mut document.routes[0].groups;
        groups.remove(1);
        groups[0].keys = Range::new(0, 2000);
        groups[0].backend_servers = vec![([10, 30, 1, 77], 7100).into()];
    });
    let moved = [(0, 1000), (1000, 2000)].map(|(start, end)| ("gate-desk", Range::new(start, end)));
    assert_eq!(keys_moved(&difference), moved);
}

/// Splitting a group whose halves both replace the same replica is one move.
#[test]
fn between_split_group_with_replaced_server_is_one_move() {
    let old = document(example::BEET);
    let mut new = old.clone();
    let groups = &mut new.routes[3].groups;
    groups[0].backend_servers[0] = ([10, 33, 9, 1], 7100).into();
    let mut upper = groups[0].clone();
    groups[0].keys.end = 400;
    upper.name = "upper".into();
    upper.keys.start = 400;
    groups.push(upper);
    let difference = difference::between(&old, &new);
    let whole = ("payout-ledger", Range::new(0, 1000));
    assert_eq!(keys_moved(&difference), [whole]);
}
