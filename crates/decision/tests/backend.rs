//! Choice between replicas, and the statistics and state kept for each server.

mod support;

use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::Time;
use monsoonring_decision::attempt::{Failure, Refusal};
use monsoonring_decision::backend::{Choice, Fleet};
use monsoonring_decision::reply::Report;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;
use support::{loaded, ms, route, server, started};
use test_case::test_case;

const REPLICAS: u16 = 3;

fn fleet() -> Fleet {
    Fleet::new(&route(1, REPLICAS), 1, ms(0))
}

fn replicas() -> Vec<BackendServerId> {
    (0..REPLICAS).map(server).collect()
}

fn choose(fleet: &mut Fleet, now: Time) -> Option<BackendServerId> {
    let mut rng = ChaCha8Rng::seed_from_u64(now.as_nanos() as u64);
    let choice = fleet.choose(&replicas(), &[], None, now, &mut rng);
    choice.map(|choice: Choice| choice.server)
}

/// Returns how many of 300 choices at `now` fall on each replica.
fn shares(fleet: &mut Fleet, now: Time) -> [u32; 3] {
    let mut shares = [0; 3];
    for step in 0..300 {
        let chosen =
            choose(fleet, now + Duration::from_nanos(step)).expect("a server is available");
        shares[usize::from(chosen.port() - 1_000)] += 1;
    }
    shares
}

/// Makes a replica answer `count` attempts, one every 10 ms, with `latency`.
fn answer(fleet: &mut Fleet, number: u16, count: u64, latency: Duration, report: &Report) {
    for step in 0..count {
        let at = ms(step * 10);
        fleet.sent(server(number), step, at);
        fleet.replied(step, report, at + latency);
    }
}

fn refused(refusal: Refusal, retry_after: Option<Duration>, report: Report) -> Failure {
    Failure::Refused {
        refusal,
        retry_after,
        report,
    }
}

#[test]
fn choose_least_outstanding() {
    let mut fleet = fleet();
    fleet.sent(server(0), 1, ms(0));
    fleet.sent(server(2), 2, ms(0));
    assert_eq!(shares(&mut fleet, ms(1)), [0, 300, 0]);
}

#[test]
fn choose_among_equals_is_even() {
    let shares = shares(&mut fleet(), ms(1));
    assert!(
        shares.iter().all(|share| (70..=130).contains(share)),
        "{shares:?}"
    );
}

#[test_case(&[0, 1], None => Some(server(2)); "tried servers are skipped")]
#[test_case(&[0, 1, 2], None => None; "all servers were tried")]
#[test_case(&[], Some(7) => Some(server(1)); "only one server has the version")]
#[test_case(&[1], Some(7) => None; "the server with the version was tried")]
fn choose_out_of(tried: &[u16], version: Option<u64>) -> Option<BackendServerId> {
    let mut fleet = fleet();
    for number in 0..REPLICAS {
        let report = Report {
            index_versions: if number == 1 { vec![6, 7] } else { vec![6] },
            ..Report::default()
        };
        fleet.polled(server(number), Some(&report), ms(0));
    }
    let tried: Vec<_> = tried.iter().copied().map(server).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let choice = fleet.choose(&replicas(), &tried, version, ms(1), &mut rng);
    choice.map(|choice| choice.server)
}

// Guards against a server that attracts nearly all requests because its load reports are constant
// or wrong.
#[test_case(|_| 0; "stuck at zero")]
#[test_case(|step| step * 7919 % 10; "random")]
#[test_case(|step| 9 - step % 10; "inverted")]
fn choose_ignores_false_load_reports(false_load: fn(u64) -> u64) {
    let mut fleet = fleet();
    for step in 0..200 {
        for number in 0..REPLICAS {
            let attempt = step * 3 + u64::from(number);
            // Load from other hosts varies; honest servers report it and their latency follows it.
            let others = step % 10;
            let reported = if number == 0 {
                false_load(step)
            } else {
                others
            };
            let at = ms(step * 20);
            fleet.polled(server(number), Some(&loaded(reported as u32)), at);
            fleet.sent(server(number), attempt, at);
            fleet.replied(attempt, &Report::default(), at + ms(5 + others));
        }
    }
    let now = ms(200 * 20);
    // Of the honest servers, one reports less than its mean load of 4.5 and the other more.
    for (number, reported) in [(0, 0), (1, 4), (2, 5)] {
        fleet.polled(server(number), Some(&loaded(reported)), now);
    }
    let snapshot = fleet.snapshot(now);
    let trust: Vec<f64> = snapshot.iter().map(|server| server.trust).collect();
    assert!(
        trust[0] < 0.1 && trust[1] > 0.5 && trust[2] > 0.5,
        "{trust:?}"
    );
    assert_eq!(
        shares(&mut fleet, now),
        [0, 300, 0],
        "the false report attracts no work"
    );
}

// Guards against a slow replica that keeps its full share while few attempts are outstanding.
#[test]
fn choose_slow_replica_is_avoided_then_probed() {
    let mut fleet = fleet();
    answer(&mut fleet, 1, 50, ms(5), &Report::default());
    answer(&mut fleet, 2, 50, ms(5), &Report::default());
    answer(&mut fleet, 0, 20, ms(50), &Report::default());
    assert_eq!(shares(&mut fleet, ms(300))[0], 0);
    // Much later, one outstanding attempt at each of the other replicas is enough to probe it.
    fleet.sent(server(1), 901, ms(9_000));
    fleet.sent(server(2), 902, ms(9_000));
    assert_eq!(shares(&mut fleet, ms(9_000))[0], 300);
}

// Guards against a slow replica that looks fast because its cancelled attempts are not counted in
// its latency.
#[test]
fn cancelling_counts_as_high_latency() {
    let mut fleet = fleet();
    (1..REPLICAS).for_each(|number| answer(&mut fleet, number, 50, ms(5), &Report::default()));
    for step in 0..50 {
        let at = ms(1_000 + step * 10);
        fleet.sent(server(0), step, at);
        if step % 10 == 0 {
            fleet.replied(step, &Report::default(), at + ms(5));
        } else {
            fleet.cancelling(step, at + ms(100));
            fleet.failed(
                step,
                &Failure::Cancelled {
                    report: Report::default(),
                },
                at + ms(101),
            );
        }
    }
    assert!(fleet.snapshot(ms(2_000))[0].median_ms > 10.0);
    assert_eq!(shares(&mut fleet, ms(1_600))[0], 0);
}

#[test]
fn hedge_delay_is_learned_and_bounded() {
    let mut fleet = fleet();
    assert_eq!(
        fleet.hedge_delay(server(0), 0.95, ms(0)),
        ms(250),
        "no history yet"
    );
    answer(&mut fleet, 0, 100, ms(10), &Report::default());
    let learned = fleet.hedge_delay(server(0), 0.95, ms(0));
    assert!((ms(10)..ms(12)).contains(&learned), "{learned:?}");
    let fallback = fleet.hedge_delay(server(1), 0.95, ms(0));
    assert_eq!(
        fallback, learned,
        "a server without history uses the group's delay"
    );
}

// Guards against a slow replica whose attempts are hedged late because the delay follows its own
// latency.
#[test]
fn hedge_delay_of_slow_replica_is_bounded_by_group() {
    let mut fleet = fleet();
    (1..REPLICAS).for_each(|number| answer(&mut fleet, number, 200, ms(5), &Report::default()));
    answer(&mut fleet, 0, 21, ms(100), &Report::default());
    let delay = fleet.hedge_delay(server(0), 0.9, ms(0));
    assert!(delay < ms(15), "{delay:?}");
}

// Guards against new work for a leaving server because a lagging source still says that it serves.
#[test_case(|fleet| { fleet.mark_leaving(server(0), Some(5), ms(1)); }; "announced with start number")]
#[test_case(|fleet| { fleet.mark_leaving(server(0), None, ms(1)); }; "announced without start number")]
#[test_case(|fleet| { fleet.polled(server(0), Some(&Report { draining: true, ..started(5) }), ms(1)); }; "health endpoint")]
#[test_case(|fleet| {
    fleet.sent(server(0), 1, ms(0));
    let failure = refused(Refusal::Draining, None, started(5));
    let verdict = fleet.failed(1, &failure, ms(1));
    assert!(verdict.status_change.leaving && verdict.not_run);
}; "refusal")]
fn leaving_ends_only_with_higher_start(report_leaving: fn(&mut Fleet)) {
    let mut fleet = fleet();
    fleet.polled(server(0), Some(&started(5)), ms(0));
    report_leaving(&mut fleet);
    fleet.polled(server(0), Some(&started(5)), ms(2));
    assert!(
        !fleet.mark_leaving(server(0), Some(5), ms(2)),
        "reported only once"
    );
    assert!(fleet.is_leaving(server(0)));
    assert_eq!(shares(&mut fleet, ms(3))[0], 0);
    assert!(fleet.polled(server(0), Some(&started(6)), ms(4)).restarted);
    assert!(!fleet.is_leaving(server(0)));
    assert!(
        !fleet.mark_leaving(server(0), Some(5), ms(5)),
        "a late announcement of the old process"
    );
    assert!(!fleet.is_leaving(server(0)));
}

// Guards against a latency peak or refusals when a restarted, new or returning server gets its full
// share before its caches are warm.
#[test_case(|fleet| {
    fleet.polled(server(0), Some(&started(1)), ms(0));
    fleet.polled(server(0), Some(&started(2)), ms(1));
}; "higher start number")]
#[test_case(|fleet| {
    fleet.sent(server(0), 1, ms(0));
    fleet.failed(1, &refused(Refusal::Starting, Some(ms(1)), Report::default()), ms(0));
}; "refused as starting")]
#[test_case(|fleet| {
    fleet.reconfigure(&route(1, 0), ms(0));
    fleet.reconfigure(&route(1, REPLICAS), ms(1));
}; "new in the configuration")]
#[test_case(|fleet| {
    fleet.set_reachable(server(0), false, ms(0));
    fleet.set_reachable(server(0), true, ms(1));
}; "reachable again")]
fn replied_ramps_cold_server(make_cold: fn(&mut Fleet)) {
    let mut fleet = fleet();
    make_cold(&mut fleet);
    let limit = |fleet: &Fleet| fleet.snapshot(ms(10))[0].limit;
    assert_eq!(limit(&fleet), 1);
    answer(&mut fleet, 0, 3, ms(5), &Report::default());
    assert_eq!(limit(&fleet), 2);
    answer(&mut fleet, 0, 800, ms(5), &Report::default());
    assert_eq!(
        limit(&fleet),
        31,
        "half of 64 connections, less one for control"
    );
}

#[test]
fn new_fleet_needs_no_ramp() {
    assert_eq!(fleet().snapshot(ms(0))[0].limit, 31);
}

// Guards against a server that sheds load and gets retries from all homes at the same moment.
#[test]
fn failed_shedding_backs_off_with_jitter() {
    let mut delays = Vec::new();
    for start in 0..5 {
        let mut fleet = fleet();
        fleet.sent(server(0), 1, ms(start));
        let verdict = fleet.failed(
            1,
            &refused(Refusal::Shedding, Some(ms(200)), Report::default()),
            ms(start),
        );
        let until = verdict.back_off.expect("the server backs off");
        assert!(verdict.not_run && (ms(200)..=ms(300)).contains(&(until - ms(start))));
        assert_eq!(shares(&mut fleet, ms(start + 199))[0], 0);
        assert_eq!(fleet.next_wake(), Some(until));
        assert_eq!(fleet.tick(until), [server(0)]);
        assert!(shares(&mut fleet, until)[0] > 0);
        delays.push(until - ms(start));
    }
    delays.dedup();
    assert!(delays.len() > 1, "{delays:?}");
}

#[test_case(&Failure::NotSent, true, true, false; "not sent")]
#[test_case(&Failure::Lost, true, false, true; "lost")]
#[test_case(&Failure::Mismatched, true, false, false; "mismatched")]
#[test_case(&Failure::ServerError { report: Report::default() }, false, false, false; "server error")]
#[test_case(&refused(Refusal::Deadline, None, Report::default()), false, true, false; "deadline")]
#[test_case(&refused(Refusal::Connections, None, Report::default()), true, true, false; "connections")]
fn failed_verdict(failure: &Failure, discard: bool, not_run: bool, crash: bool) {
    let mut fleet = fleet();
    fleet.sent(server(0), 1, ms(0));
    let verdict = fleet.failed(1, failure, ms(1));
    assert_eq!(verdict.server, Some(server(0)));
    assert_eq!(verdict.discard_connection, discard);
    assert_eq!(verdict.not_run, not_run);
    assert_eq!(verdict.crash_evidence, crash);
    assert_eq!(fleet.outstanding(), 0);
}

#[test_case(5, true, false; "same process")]
#[test_case(6, false, true; "next process")]
fn polled_after_loss_detects_survival_or_restart(start: u64, survived: bool, restarted: bool) {
    let mut fleet = fleet();
    fleet.polled(server(0), Some(&started(5)), ms(0));
    fleet.sent(server(0), 1, ms(0));
    fleet.failed(1, &Failure::Lost, ms(1));
    let change = fleet.polled(server(0), Some(&started(start)), ms(2));
    assert_eq!((change.survived, change.restarted), (survived, restarted));
}

#[test]
fn reconfigure_keeps_remaining_servers_and_drops_removed() {
    let mut fleet = fleet();
    answer(&mut fleet, 0, 100, ms(10), &Report::default());
    fleet.sent(server(2), 1_000, ms(1));
    fleet.reconfigure(&route(1, 2), ms(2));
    assert!(fleet.snapshot(ms(2))[0].median_ms < 12.0);
    assert_eq!(shares(&mut fleet, ms(2))[2], 0);
    assert_eq!(fleet.outstanding(), 1);
    fleet.replied(1_000, &Report::default(), ms(3));
    assert_eq!(fleet.snapshot(ms(3)).len(), 2);
}

#[test]
fn busiest_group_reports_its_load() {
    let mut fleet = Fleet::new(&route(2, 3), 1, ms(0));
    assert_eq!(
        (
            fleet.busiest_group(ms(0)).slots,
            fleet.busiest_group(ms(0)).wait
        ),
        (9.0, ms(0))
    );
    for attempt in 0..18 {
        fleet.sent(server(3 + (attempt % 3) as u16), attempt, ms(0));
    }
    let load = fleet.busiest_group(ms(0));
    assert_eq!(load.busy, 18.0);
    // Ten of the 18 attempts must end before the next starts: nine slots, 250 ms each by default.
    assert_eq!(load.wait.as_millis(), 277);
}

// Guards against refused searches because one slow group, which an answer can do without,
// determines the expected wait.
#[test]
fn busiest_group_without_skips_the_busiest() {
    let mut fleet = Fleet::new(&route(3, 3), 1, ms(0));
    for attempt in 0..18 {
        fleet.sent(server(3 + (attempt % 3) as u16), attempt, ms(0));
    }
    fleet.sent(server(6), 18, ms(0));
    let load = fleet.busiest_group_without(1, ms(0));
    assert_eq!((load.busy, load.wait), (1.0, ms(0)));
    assert_eq!(
        fleet.busiest_group_without(9, ms(0)).busy,
        0.0,
        "a group always remains"
    );
    assert_eq!(
        fleet.busiest_group_without(0, ms(0)),
        fleet.busiest_group(ms(0))
    );
}

/// Returns whether a choice that excludes `tried` and requires `version` is valid.
fn is_allowed(
    fleet: &Fleet,
    chosen: BackendServerId,
    tried: &[BackendServerId],
    version: Option<u64>,
) -> bool {
    let versions = fleet.versions(chosen);
    let serves = version.is_none_or(|required| versions.is_empty() || versions.contains(&required));
    serves && !tried.contains(&chosen) && !fleet.is_leaving(chosen)
}

proptest! {
    /// Each step is a kind of event, and a number that selects its attempt or server.
    #[test]
    fn choose_after_any_events_is_allowed(
        steps in prop::collection::vec((0..16_u8, any::<usize>()), 0..300),
    ) {
        let mut fleet = fleet();
        let mut rng = ChaCha8Rng::seed_from_u64(3);
        let mut sent = BTreeSet::<u64>::new();
        for (step, (kind, index)) in steps.into_iter().enumerate() {
            let now = ms(step as u64);
            let attempt = sent.iter().nth(index % sent.len().max(1)).copied().unwrap_or_default();
            let target = server((index % 3) as u16);
            let versions = Report { index_versions: vec![index as u64 % 3 + 5], ..loaded(2) };
            match kind {
                0..8 => {
                    let tried: Vec<_> = (0..REPLICAS).filter(|bit| index & 1 << bit != 0).map(server).collect();
                    let version = (index % 5 == 0).then_some(6);
                    if let Some(choice) = fleet.choose(&replicas(), &tried, version, now, &mut rng) {
                        prop_assert!(is_allowed(&fleet, choice.server, &tried, version));
                        fleet.sent(choice.server, step as u64, now);
                        sent.insert(step as u64);
                        let snapshot = fleet.snapshot(now);
                        let state = snapshot.iter().find(|state| state.server == choice.server);
                        prop_assert!(state.is_some_and(|state| state.outstanding <= state.limit));
                    }
                }
                8..11 => { fleet.replied(attempt, &versions, now); }
                11 => { fleet.failed(attempt, &Failure::Lost, now); }
                12 => { fleet.failed(attempt, &refused(Refusal::Shedding, None, Report::default()), now); }
                13 => { fleet.mark_leaving(target, None, now); }
                14 => { fleet.polled(target, Some(&started(index as u64 % 9)), now); }
                _ => {
                    fleet.set_homes(index % 9, now);
                    fleet.reconfigure(&route(1, (index % 4) as u16), now);
                }
            }
            if (8..13).contains(&kind) {
                sent.remove(&attempt);
            }
            prop_assert_eq!(fleet.outstanding(), sent.len());
        }
    }
}
