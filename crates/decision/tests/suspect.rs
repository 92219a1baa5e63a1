//! Detection of requests that crash backend servers.

mod support;

use monsoonring_decision::Time;
use monsoonring_decision::backend::suspect::{
    Announcement, CONFIRMATION_TIME, CrashSignal, Detector, Status,
};
use proptest::prelude::*;
use support::{ms, server};
use test_case::test_case;

const CULPRIT: u64 = 666;

/// Sends one attempt of each fingerprint to a server, which then crashes. Returns the fingerprints
/// that are refused as a result.
fn crash_server(detector: &mut Detector, number: u16, fingerprints: &[u64], now: Time) -> Vec<u64> {
    let attempt = |index: usize| u64::from(number) * 1_000 + index as u64;
    for (index, fingerprint) in fingerprints.iter().enumerate() {
        detector.sent(attempt(index), *fingerprint, server(number), now);
    }
    (0..fingerprints.len())
        .filter_map(|index| detector.lost(attempt(index), now + ms(1)))
        .map(|(fingerprint, _)| fingerprint)
        .collect()
}

// Guards against a request that crashes one replica after the other through retries.
#[test]
fn lost_alone_on_two_servers_is_refused() {
    let mut detector = Detector::new();
    assert!(crash_server(&mut detector, 1, &[CULPRIT], ms(0)).is_empty());
    assert_eq!(detector.status(CULPRIT, ms(10)), Status::Quarantined);
    assert_eq!(
        crash_server(&mut detector, 2, &[CULPRIT], ms(1_000)),
        [CULPRIT]
    );
    assert!(matches!(
        detector.status(CULPRIT, ms(1_010)),
        Status::Refused(_)
    ));
    assert!(!detector.can_send(CULPRIT, ms(1_010)));
}

// Guards against a request that crashes the only server of a group each time that it restarts.
#[test_case(2_000; "long after")]
#[test_case(300; "as soon as it is back")]
fn lost_twice_on_one_server_is_refused(after: u64) {
    let mut detector = Detector::new();
    assert!(crash_server(&mut detector, 1, &[CULPRIT], ms(0)).is_empty());
    assert_eq!(
        crash_server(&mut detector, 1, &[CULPRIT], ms(after)),
        [CULPRIT]
    );
}

// Guards against a harmless request that is refused after a single crash because it was on several
// connections to that server.
#[test]
fn lost_twice_in_one_crash_is_not_refused() {
    let mut detector = Detector::new();
    detector.sent(1, 7, server(1), ms(0));
    assert!(detector.lost(1, ms(100)).is_none());
    detector.sent(2, 7, server(1), ms(150));
    assert!(detector.lost(2, ms(2_000)).is_none());
}

// Guards against a request that crashes servers while other requests are in progress there, and so
// never runs alone.
#[test]
fn lost_among_others_is_refused_within_four_crashes() {
    let mut detector = Detector::new();
    for crash in 1..=4_u16 {
        let bystanders = u64::from(crash) * 10;
        let running = [bystanders, bystanders + 1, CULPRIT, bystanders + 2];
        let refused = crash_server(&mut detector, crash, &running, ms(u64::from(crash) * 1_000));
        if !refused.is_empty() {
            assert_eq!(refused, [CULPRIT]);
            return;
        }
    }
    unreachable!("the request crashed four servers and is not refused");
}

// Guards against the refusal of searches that were in progress on several servers when a rack was
// lost.
#[test]
fn lost_together_by_many_is_not_refused() {
    let mut detector = Detector::new();
    for number in 1..=8 {
        assert!(crash_server(&mut detector, number, &[1, 2, 3], ms(0)).is_empty());
    }
    assert_eq!(detector.status(1, ms(10)), Status::Quarantined);
}

// Guards against a harmless request that stays in quarantine, without hedges, after it has
// succeeded on another replica.
#[test]
fn succeeded_on_replica_clears() {
    let mut detector = Detector::new();
    crash_server(&mut detector, 1, &[7], ms(0));
    detector.sent(9, 7, server(2), ms(10));
    detector.succeeded(9, &[server(1), server(2)], ms(20));
    assert_eq!(detector.status(7, ms(20)), Status::Clear);
}

#[test]
fn succeeded_on_other_group_clears_nothing() {
    let mut detector = Detector::new();
    crash_server(&mut detector, 1, &[7], ms(0));
    detector.sent(9, 7, server(5), ms(10));
    detector.succeeded(9, &[server(4), server(5)], ms(20));
    assert_eq!(detector.status(7, ms(20)), Status::Quarantined);
}

// Guards against the refusal of requests on a network that resets connections although the servers
// keep running.
#[test]
fn survived_withdraws_evidence() {
    let mut detector = Detector::new();
    crash_server(&mut detector, 1, &[7], ms(0));
    assert_eq!(detector.take_announcements(7, ms(1)), [crashed(7, 1, 0)]);
    assert_eq!(detector.survived(server(1), ms(5)), [crashed(7, 1, 1)]);
    assert!(crash_server(&mut detector, 2, &[7], ms(1_000)).is_empty());
    assert_eq!(detector.status(7, ms(1_010)), Status::Quarantined);
}

#[test]
fn may_send_in_quarantine_allows_one_at_a_time() {
    let mut detector = Detector::new();
    crash_server(&mut detector, 1, &[7], ms(0));
    assert!(detector.can_send(7, ms(10)));
    detector.sent(9, 7, server(2), ms(10));
    assert!(!detector.can_send(7, ms(11)));
    detector.ended(9, ms(12));
    assert!(detector.can_send(7, ms(12)));
}

#[test]
fn apply_refusal_refuses_until_its_end() {
    let mut detector = Detector::new();
    detector.apply_refusal(7, ms(500), ms(0));
    assert_eq!(detector.status(7, ms(499)), Status::Refused(ms(500)));
    detector.tick(ms(500));
    assert_eq!(detector.status(7, ms(500)), Status::Clear);
}

/// Returns a detector of one of many hosts, at which only a failed connect confirms a crash.
fn shared_servers() -> Detector {
    Detector::with_crash_signal(CrashSignal::ConnectFailed)
}

/// Sends an attempt to a server at `sent` that crashes under it at `lost`. Returns whether the
/// fingerprint is refused as a result.
fn crash_confirmed(detector: &mut Detector, number: u16, sent: Time, lost: Time) -> bool {
    let attempt = u64::from(number);
    detector.sent(attempt, CULPRIT, server(number), sent);
    detector.lost(attempt, lost);
    let confirmations = detector.unreachable(server(number), lost + ms(1));
    let mut refusals = confirmations
        .iter()
        .filter_map(|confirmation| confirmation.refusal);
    refusals.next().is_some()
}

/// Returns the announcement of a crash.
fn crashed(fingerprint: u64, number: u16, version: u64) -> Announcement {
    Announcement {
        fingerprint,
        server: server(number),
        version,
    }
}

// Guards against a request that needs two crashes at each host before it is refused there.
#[test]
fn apply_announcement_then_one_crash_is_refused() {
    let mut detector = shared_servers();
    detector.apply_announcement(crashed(CULPRIT, 5, 0), ms(600_000), ms(0));
    assert_eq!(detector.status(CULPRIT, ms(10)), Status::Quarantined);
    assert!(crash_confirmed(&mut detector, 1, ms(1_000), ms(1_020)));
}

// Guards against the refusal of a request that was in progress at two hosts when a rack was lost.
#[test]
fn apply_announcement_of_simultaneous_crashes_is_not_refused() {
    let mut detector = shared_servers();
    detector.sent(1, CULPRIT, server(1), ms(0));
    detector.apply_announcement(crashed(CULPRIT, 5, 0), ms(600_010), ms(10));
    detector.lost(1, ms(20));
    let confirmations = detector.unreachable(server(1), ms(21));
    assert_eq!(confirmations[0].refusal, None);
}

// Guards against a burst of sends that each crash a server, because crashes within half a second count once.
#[test_case(30, false; "while the first crash may still be noticed")]
#[test_case(150, true; "a while after the first crash")]
fn lost_in_quarantine_soon_after_a_crash(after: u64, refused: bool) {
    let mut detector = shared_servers();
    assert!(!crash_confirmed(&mut detector, 1, ms(0), ms(20)));
    let sent = ms(20 + after);
    assert_eq!(
        crash_confirmed(&mut detector, 2, sent, sent + ms(20)),
        refused
    );
}

// Guards against a harmless request that stays in quarantine at all hosts after it has succeeded at one.
#[test]
fn succeeded_withdraws_evidence_everywhere() {
    let mut detector = shared_servers();
    detector.apply_announcement(crashed(7, 4, 0), ms(600_000), ms(0));
    detector.apply_announcement(crashed(7, 9, 0), ms(600_001), ms(1));
    detector.sent(1, 7, server(5), ms(10));
    let withdrawals = detector.succeeded(1, &[server(4), server(5)], ms(20));
    assert_eq!(detector.status(7, ms(20)), Status::Clear);
    let mut other = shared_servers();
    other.apply_announcement(crashed(7, 4, 0), ms(600_000), ms(0));
    other.apply_announcement(crashed(7, 9, 0), ms(600_001), ms(1));
    for withdrawal in withdrawals.expect("there was evidence") {
        other.apply_announcement(withdrawal, ms(600_020), ms(21));
    }
    assert_eq!(other.status(7, ms(21)), Status::Clear);
}

// Guards against a request that is in quarantine for good because an old announcement arrives late.
#[test]
fn apply_announcement_older_than_the_withdrawal_is_ignored() {
    let mut detector = shared_servers();
    detector.apply_announcement(crashed(7, 4, 1), ms(600_000), ms(0));
    detector.apply_announcement(crashed(7, 4, 0), ms(600_000), ms(10));
    assert_eq!(detector.status(7, ms(20)), Status::Clear);
    detector.apply_announcement(crashed(7, 4, 2), ms(600_000), ms(30));
    assert_eq!(detector.status(7, ms(40)), Status::Quarantined);
}

// Guards against an announcement for each server that a search takes down at once.
#[test]
fn take_announcements_search_at_many_servers_announces_two() {
    let mut detector = shared_servers();
    let mut announced = Vec::new();
    for number in 1..=10 {
        assert!(!crash_confirmed(&mut detector, number, ms(0), ms(20)));
        announced.extend(detector.take_announcements(CULPRIT, ms(21)));
    }
    assert_eq!(announced, [crashed(CULPRIT, 1, 0), crashed(CULPRIT, 2, 0)]);
}

// Guards against evidence that grows as a host hears its own announcement.
#[test]
fn apply_announcement_of_an_observed_crash_counts_once() {
    let mut detector = shared_servers();
    assert!(!crash_confirmed(&mut detector, 1, ms(0), ms(20)));
    for announcement in detector.take_announcements(CULPRIT, ms(21)) {
        detector.apply_announcement(announcement, ms(600_030), ms(30));
    }
    assert_eq!(detector.summary(CULPRIT, ms(40)).confirmed, 1);
    assert_eq!(detector.take_announcements(CULPRIT, ms(50)), []);
}

// Guards against a request in quarantine that crashes a second server before the first crash is confirmed.
#[test]
fn can_send_in_quarantine_waits_for_the_confirmation() {
    let mut detector = shared_servers();
    detector.apply_announcement(crashed(CULPRIT, 5, 0), ms(600_000), ms(0));
    detector.sent(1, CULPRIT, server(1), ms(1_000));
    detector.lost(1, ms(1_020));
    assert!(!detector.can_send(CULPRIT, ms(1_021)));
    let resumed = ms(1_020) + CONFIRMATION_TIME;
    assert!(detector.can_send(CULPRIT, resumed), "the server is alive");
}

// Guards against a crashing request that takes down a server of each shard again when its refusal ends.
#[test]
fn refusal_over_is_quarantined() {
    let mut detector = shared_servers();
    for number in 1..=10 {
        detector.apply_announcement(crashed(CULPRIT, number, 0), ms(600_000), ms(0));
    }
    assert!(crash_confirmed(&mut detector, 11, ms(1_000), ms(1_020)));
    let Status::Refused(until) = detector.status(CULPRIT, ms(1_030)) else {
        unreachable!("the request is refused");
    };
    detector.tick(until);
    assert_eq!(detector.status(CULPRIT, until), Status::Quarantined);
}

proptest! {
    /// Servers that crash one after the other under different requests, as with hardware failures.
    #[test]
    fn lost_under_different_requests_refuses_none(
        crashes in prop::collection::vec(1..6_u64, 1..20),
    ) {
        let mut detector = Detector::new();
        for (index, running) in crashes.iter().enumerate() {
            let number = index as u16;
            let first = u64::from(number) * 100;
            let fingerprints: Vec<u64> = (first..first + running).collect();
            let now = ms(u64::from(number) * 1_000);
            prop_assert!(crash_server(&mut detector, number, &fingerprints, now).is_empty());
        }
    }
}
