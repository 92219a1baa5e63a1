//! Tests that partial answers reach their callers within the objective.

mod session;

use monsoonring_configuration::document::Kind;
use monsoonring_decision::Time;
use monsoonring_decision::gateway::delivery;
use monsoonring_decision::gateway::helper::Centicores;
use monsoonring_decision::gateway::table::{FanOut, Route, Target};
use monsoonring_decision::home::Event;
use monsoonring_decision::home::event::Request;
use session::{Session, ms, request, route};
use std::time::Duration;
use test_case::test_case;

/// Shards of the search. The minimum coverage allows one to be missing.
const SHARDS: usize = 10;

fn search(objective: Duration) -> Route {
    let shards: Vec<_> = (0..SHARDS)
        .map(|shard| format!("s{shard}").into())
        .collect();
    Route {
        name: "map".into(),
        host: "maps.example".into(),
        prefix: "/map/".into(),
        kind: Kind::Search,
        timeout: Duration::from_secs(2),
        objective,
        attempts: 2,
        priority: 1,
        target: Target::FanOut(FanOut {
            shards: shards.into(),
            max_records: 5,
            min_coverage: 0.85,
        }),
    }
}

/// Simulates a search in which one shard never answers. Returns the caller's latency, including the connection setup.
///
/// `path` is the one-way network delay, `work` the processing time of the host, and `margin` the delivery margin.
fn caller_latency(
    objective: Duration,
    margin: Duration,
    path: Duration,
    work: Duration,
) -> Duration {
    let mut without_hedges = route(SHARDS, 1);
    without_hedges.hedge.budget_percent = 0.0;
    let mut session = Session::with_hosts(without_hedges, 9);
    // Connection setup and request take two round trips without the final reply, and half of the host's work.
    let arrived = path * 3 + work / 2;
    session.advance(arrived);
    let search_request = request(1, session.now);
    let search_request = Request {
        params: Some(search(objective).params(margin)),
        ..search_request
    };
    session.handle(Event::Request(search_request));
    let sends = session.sends.clone();
    for send in sends.iter().skip(1) {
        session.answer(send);
    }
    while !session.is_finished(1) {
        session.advance(Time::from_millis(1));
    }
    session.now + work / 2 + path
}

// Guards against partial answers that leave too late: weak hosts need more than 6 ms for the round trips and their own
// work.
#[test_case(12, 120, 3, 8; "eighth_of_a_core_three_milliseconds_away")]
#[test_case(12, 80, 1, 8; "eighth_of_a_core_one_millisecond_away")]
#[test_case(25, 120, 1, 4; "quarter_of_a_core")]
#[test_case(0, 40, 3, 8; "host_of_unknown_strength")]
fn answer_without_a_shard_arrives_within_the_objective(
    strength: Centicores,
    objective: u64,
    path: u64,
    work: u64,
) {
    let (objective, path, work) = (ms(objective), ms(path), ms(work));
    let latency = caller_latency(objective, delivery::margin(strength), path, work);
    assert!(latency <= objective, "{latency:?} of {objective:?}");
    let with_6_ms = caller_latency(objective, ms(6), path, work);
    assert!(with_6_ms > objective, "{with_6_ms:?} with a margin of 6 ms");
}

// Servers get at least half of the objective.
#[test_case(12, 40; "weak_host_short_objective")]
#[test_case(100, 40; "whole_core")]
#[test_case(1, 1_000; "hundredth_of_a_core")]
fn cutoff_is_at_least_half_of_the_objective(strength: Centicores, objective: u64) {
    let objective = ms(objective);
    let cutoff = delivery::cutoff(objective, delivery::margin(strength));
    assert!(cutoff >= objective / 2, "{cutoff:?}");
    assert!(cutoff < objective);
}

#[test]
fn margin_of_stronger_hosts_is_shorter() {
    let margins = [12, 25, 50, 100].map(delivery::margin);
    assert!(
        margins.is_sorted_by(|left, right| left > right),
        "{margins:?}"
    );
    assert!(margins[0] <= ms(21) && margins[3] >= ms(6), "{margins:?}");
}
