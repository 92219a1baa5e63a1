//! Partial answers that reach their callers in time.

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

/// Shards of a search, of which one may be missing.
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

/// Plays a search of which one shard never answers. Returns when its caller has the answer, counted from the caller's
/// first step, where the way takes `path` and the host `work` at the answer's ends.
fn answered(objective: Duration, on_the_way: Duration, path: Duration, work: Duration) -> Duration {
    let mut without_hedges = route(SHARDS, 1);
    without_hedges.hedge.budget_percent = 0.0;
    let mut session = Session::everyone(without_hedges, 9);
    // Two round trips less the last way, and half of the host's work.
    let arrived = path * 3 + work / 2;
    session.pass(arrived);
    let asked = request(1, session.now);
    let asked = Request {
        params: Some(search(objective).terms(on_the_way)),
        ..asked
    };
    session.on(Event::Request(asked));
    let sends = session.sends.clone();
    for send in sends.iter().skip(1) {
        session.answer(send);
    }
    while !session.is_finished(1) {
        session.pass(Time::from_millis(1));
    }
    session.now + work / 2 + path
}

// Symptom: the median of a window of searches is 120.0 ms at an objective of 120, and more than half are late.
// Events:  servers turn away or are slow, so that a part is missing; the answer leaves without it when its time is
//          nearly over.
// Cause:   6 ms were left for two round trips and the work of a host of an eighth of a core. Before, the answers of
//          the first three cases came 14, 6 and 2 ms late; after, within their objective.
#[test_case(12, 120, 3, 8; "eighth_of_a_core_three_milliseconds_away")]
#[test_case(12, 80, 1, 8; "eighth_of_a_core_one_millisecond_away")]
#[test_case(25, 120, 1, 4; "quarter_of_a_core")]
#[test_case(0, 40, 3, 8; "host_that_does_not_say")]
fn answer_without_a_part_reaches_its_caller_in_time(
    strength: Centicores,
    objective: u64,
    path: u64,
    work: u64,
) {
    let (objective, path, work) = (ms(objective), ms(path), ms(work));
    let took = answered(objective, delivery::margin(strength), path, work);
    assert!(took <= objective, "{took:?} of {objective:?}");
    let before = answered(objective, ms(6), path, work);
    assert!(before > objective, "{before:?} with 6 ms");
}

// Most of an objective is the servers', whoever asks.
#[test_case(12, 40; "weak_host_short_objective")]
#[test_case(100, 40; "whole_core")]
#[test_case(1, 1_000; "hundredth_of_a_core")]
fn leaves_after_leaves_half_at_least(strength: Centicores, objective: u64) {
    let objective = ms(objective);
    let left = delivery::cutoff(objective, delivery::margin(strength));
    assert!(left >= objective / 2, "{left:?}");
    assert!(left < objective);
}

#[test]
fn time_of_stronger_hosts_is_shorter() {
    let times = [12, 25, 50, 100].map(delivery::margin);
    assert!(times.is_sorted_by(|one, other| one > other), "{times:?}");
    assert!(times[0] <= ms(21) && times[3] >= ms(6), "{times:?}");
}
