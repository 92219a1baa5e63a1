//! Tests of the example documents.

use monsoonring_configuration::document::{Kind, Route};
use monsoonring_configuration::{check, example};
use test_case::test_case;

/// Route name, groups, backend servers, slots, connections and connect time.
type Size = (&'static str, usize, usize, u32, u32, u64);

const HYDRANT: [Size; 4] = [
    ("dispatch-map", 10, 30, 3, 30, 6),
    ("inspector-app", 15, 45, 3, 30, 6),
    ("planner-desk", 1, 20, 2, 110, 1),
    ("repair-tickets", 1, 10, 2, 110, 1),
];

const BEET: [Size; 4] = [
    ("gate-desk", 10, 30, 2, 25, 6),
    ("agronomist-service", 15, 45, 2, 25, 6),
    ("contracts", 1, 7, 3, 40, 1),
    ("payout-ledger", 1, 3, 3, 40, 1),
];

fn size(route: &Route) -> (&str, usize, usize, u32, u32, u64) {
    let servers = route.groups.iter().map(|group| group.backend_servers.len());
    let capacity = route.capacity;
    (
        &route.name,
        route.groups.len(),
        servers.sum(),
        capacity.slots,
        capacity.connections,
        capacity.connect_ms,
    )
}

#[test_case(example::HYDRANT, &HYDRANT; "hydrant")]
#[test_case(example::BEET, &BEET; "beet")]
fn parse_example_has_the_sizes(text: &str, sizes: &[Size]) {
    let document = check::parse(text.as_bytes()).expect("examples are valid");
    let actual: Vec<_> = document.routes.iter().map(size).collect();
    assert_eq!(actual, sizes);
}

#[test_case(example::HYDRANT, false; "hydrant_waits_for_the_last_shard")]
#[test_case(example::BEET, true; "beet_answers_early")]
fn parse_example_soft_deadline(text: &str, soft: bool) {
    let document = check::parse(text.as_bytes()).expect("examples are valid");
    let searches = document
        .routes
        .iter()
        .filter(|route| route.kind == Kind::Search);
    for route in searches {
        assert_eq!(route.soft_deadline.is_some(), soft, "{}", route.name);
    }
}
