//! Tests the route table, the shards and the registry of backend servers of a gateway.

mod registered;

use monsoonring_configuration::Range;
use monsoonring_configuration::document::Kind;
use monsoonring_decision::Time;
use monsoonring_decision::gateway::registry::{Entry, Event, Order, Registry, State};
use monsoonring_decision::gateway::split::Split;
use monsoonring_decision::gateway::table::{FanOut, Limits, Route, Table, Target, WeightedTarget};
use monsoonring_decision::gateway::{Shards, shards};
use monsoonring_decision::query::coverage::KeySet;
use monsoonring_decision::query::greatest::greatest;
use proptest::prelude::*;
use registered::{listed, usable};
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;

fn ms(time: u64) -> Time {
    Time::from_millis(time)
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 8080))
}

fn entry(instance: &str, service: &str, number: u8, revision: u64) -> Entry {
    Entry {
        instance: instance.into(),
        service: service.into(),
        address: address(number),
        data_centre: "lac".into(),
        slots: 3,
        state: State::Ready,
        cold_for: Duration::ZERO,
        order: Order::default(),
        revision,
    }
}

// Guards against refusing all requests after a store outage: entries lapse while the store is down, and servers need
// a few seconds to write them again.
#[test]
fn listed_after_an_outage_keeps_missing_servers_for_a_grace_period() {
    let mut registry = listed(&[entry("a", "map", 1, 1), entry("b", "map", 2, 2)]);
    registry.handle(Event::StoreLost, ms(1_000));
    registry.handle(Event::StoreRegained, ms(9_000));
    registry.handle(Event::Listed(Vec::new()), ms(9_010));
    assert_eq!(usable(&registry), ["a", "b"]);
    registry.handle(Event::Written(entry("a", "map", 1, 9)), ms(10_000));
    let wake = registry
        .next_wake()
        .expect("the missing entry has a deadline");
    assert!(wake <= ms(11_500), "{wake:?}");
    assert!(registry.handle(Event::Tick, wake));
    assert_eq!(usable(&registry), ["a"]);
}

#[test]
fn deleted_without_outage_removes_immediately() {
    let mut registry = listed(&[entry("a", "map", 1, 1)]);
    assert!(registry.handle(Event::Deleted("a".into()), ms(5_000)));
    assert!(usable(&registry).is_empty());
}

#[test]
fn deleted_just_after_an_outage_removes_after_the_grace_period() {
    let mut registry = listed(&[entry("a", "map", 1, 1)]);
    registry.handle(Event::StoreLost, ms(1_000));
    registry.handle(Event::StoreRegained, ms(2_000));
    assert!(!registry.handle(Event::Deleted("a".into()), ms(2_100)));
    assert_eq!(usable(&registry), ["a"]);
    registry.handle(Event::Tick, ms(4_300));
    assert!(usable(&registry).is_empty());
}

// Guards against sending requests to a leaving server because an older page arrives after the change itself.
#[test]
fn written_with_older_revision_is_ignored() {
    let mut registry = listed(&[entry("a", "map", 1, 5)]);
    let leaving = Entry {
        state: State::Draining,
        ..entry("a", "map", 1, 7)
    };
    assert!(registry.handle(Event::Written(leaving), ms(10)));
    assert!(!registry.handle(Event::Listed(vec![entry("a", "map", 1, 5)]), ms(20)));
    assert!(usable(&registry).is_empty());
}

// Guards against sending requests to a server of another service, where an address was reused before the old entry
// lapsed.
#[test]
fn usable_of_two_entries_with_one_address_is_the_newer() {
    let registry = listed(&[entry("old", "map", 1, 1), entry("new", "desk", 1, 9)]);
    assert_eq!(usable(&registry), ["new"]);
}

fn route(name: &str, prefix: &str, target: Target) -> Route {
    Route {
        name: name.into(),
        host: "maps.example".into(),
        prefix: prefix.into(),
        kind: Kind::Search,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(120),
        attempts: 2,
        priority: 1,
        target,
    }
}

fn fan_out(services: &[&str], min_coverage: f64) -> Target {
    Target::FanOut(FanOut {
        shards: set(services),
        max_records: 5,
        min_coverage,
    })
}

fn set(services: &[&str]) -> Shards {
    services.iter().map(|name| (*name).into()).collect()
}

fn table(routes: Vec<Route>) -> Table {
    let limits = Limits { body_bytes: 1_000 };
    let connections = [("s0".into(), 31), ("s1".into(), 31)].into_iter().collect();
    Table::new(7, limits, connections, routes)
}

#[test_case("maps.example", "/a/b/x", Some("long"); "longest_prefix")]
#[test_case("maps.example", "/a/x", Some("short"); "shorter_prefix")]
#[test_case("MAPS.example:80", "/a/x", Some("short"); "host_with_case_and_port")]
#[test_case("maps.example", "/ab/", None; "prefix_ends_with_its_slash")]
#[test_case("other.example", "/a/x", None; "other_host")]
fn find_route(host: &str, path: &str, expected: Option<&str>) {
    let routes = vec![
        route("short", "/a/", fan_out(&["s0"], 1.0)),
        route("long", "/a/b/", fan_out(&["s0"], 1.0)),
    ];
    let table = table(routes);
    let name = table.find(host, path).map(|route| &*route.name);
    assert_eq!(name, expected);
}

#[test]
fn route_of_shards_has_one_key_per_shard() {
    let table = table(vec![route("map", "/a/", fan_out(&["s0", "s1"], 0.89))]);
    let leaving = Entry {
        state: State::Draining,
        ..entry("d", "s1", 4, 4)
    };
    let entries = [
        entry("a", "s0", 1, 1),
        entry("b", "s0", 2, 2),
        entry("c", "s1", 3, 3),
        leaving,
        entry("e", "other", 5, 5),
    ];
    let route = shards::route(&set(&["s0", "s1"]), &table, &listed(&entries).usable(), 0.2);
    assert_eq!(route.keys, Range::new(0, 2));
    let servers = route
        .groups
        .iter()
        .map(|group| group.backend_servers.clone());
    let servers: Vec<Vec<SocketAddr>> = servers.collect();
    assert_eq!(servers, [vec![address(1), address(2)], vec![address(3)]]);
    assert_eq!((route.capacity.slots, route.capacity.connections), (3, 31));
    assert_eq!(route.deadline_ms, 240, "twice the objective");
}

#[test]
fn next_follows_the_weights_exactly() {
    let part = |name: &str, weight| WeightedTarget {
        shards: set(&[name]),
        weight,
    };
    let parts = [
        part("a", 7.0),
        part("b", 2.0),
        part("none", 0.0),
        part("c", 1.0),
    ];
    let mut split = Split::default();
    let mut counts = [0; 4];
    for _ in 0..1_000 {
        counts[split.next(&parts).expect("a target has a weight")] += 1;
    }
    assert_eq!(counts, [700, 200, 0, 100]);
    assert_eq!(split.next(&[]), None);
}

proptest! {
    #[test]
    fn greatest_any_parts_equals_sorting(
        parts in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..70), 0..6),
        count in 0_usize..12,
    ) {
        let size = 4;
        let mut all: Vec<&[u8]> = parts.iter().flat_map(|part| part.chunks_exact(size)).collect();
        all.sort_by(|a, b| b.cmp(a));
        let expected: Vec<u8> = all.into_iter().take(count).flatten().copied().collect();
        let found = greatest(parts.iter().map(Vec::as_slice), size, count);
        prop_assert_eq!(found, expected);
    }

    #[test]
    fn usable_any_events_has_one_instance_per_address(
        events in proptest::collection::vec((0_u8..4, 0_u8..3, 1_u64..50, any::<bool>()), 1..60),
    ) {
        let mut registry = Registry::default();
        for (step, (instance, number, revision, written)) in events.into_iter().enumerate() {
            let entry = entry(&instance.to_string(), "map", number, revision);
            let event = match written {
                true => Event::Written(entry),
                false => Event::Deleted(entry.instance),
            };
            registry.handle(event, ms(step as u64));
            let starts = registry.usable();
            prop_assert!(starts.iter().all(|(address, entry)| entry.address == *address));
        }
    }
}

fn entry_in(service: &str, number: u8, data_centre: &str) -> Entry {
    Entry {
        data_centre: data_centre.into(),
        ..entry(&number.to_string(), service, number, 1)
    }
}

/// Returns a registry of six data centres where each shard has servers in three consecutive ones.
fn in_three_of_six(shards: u8) -> Registry {
    let mut entries = Vec::new();
    for shard in 0..shards {
        for replica in 0..3 {
            let data_centre = format!("dc{}", (shard + replica) % 6);
            let number = shard * 3 + replica;
            entries.push(entry_in(&format!("s{shard}"), number, &data_centre));
        }
    }
    listed(&entries)
}

fn numbered(shards: u8) -> Shards {
    (0..shards)
        .map(|shard| format!("s{shard}").into())
        .collect()
}

// Guards against delegating shards to a data centre that does not hold them.
#[test]
fn remote_shards_are_those_without_a_local_server() {
    let registry = in_three_of_six(42);
    let remote = shards::remote_shards(&numbered(42), &registry.usable(), &"dc0".into());
    let count = |data_centre: &str| remote.get(data_centre).map_or(0, KeySet::len);
    let counts = ["dc0", "dc1", "dc2", "dc3", "dc4", "dc5"].map(count);
    assert_eq!(counts, [0, 7, 14, 21, 14, 7]);
    assert!(remote["dc3"].contains(1) && !remote["dc3"].contains(0));
}

#[test]
fn remote_shards_of_a_few_are_not_delegated() {
    let registry = in_three_of_six(6);
    let remote = shards::remote_shards(&numbered(6), &registry.usable(), &"dc0".into());
    assert!(remote.is_empty(), "{remote:?}");
}

#[test]
fn remote_shards_of_a_data_centre_without_servers_are_all() {
    let registry = in_three_of_six(12);
    let remote = shards::remote_shards(&numbered(12), &registry.usable(), &"bare".into());
    assert!(remote.values().all(|keys| keys.len() == 6), "{remote:?}");
    assert_eq!(remote.len(), 6);
}
