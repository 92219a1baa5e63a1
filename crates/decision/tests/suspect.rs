//! Tests of the search for requests that crash backend servers.

mod support;

use monsoonring_decision::Time;
use monsoonring_decision::backend::suspect::{Detector, Status};
use proptest::prelude::*;
use support::{ms, server};
use test_case::test_case;

const CULPRIT: u64 = 666;

/// Sends one attempt of each fingerprint to a server, which then dies. Returns the fingerprints
/// that are refused from then on.
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

// Symptom: replica after replica goes down, each a moment after the same request reached it.
// Events:  a request crashes a server; its retry crashes the next; its caller sends it again.
// Cause:   each loss by itself looks like a server failure, to be answered with a retry elsewhere.
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
    assert!(!detector.may_send(CULPRIT, ms(1_010)));
}

// Symptom: the only server of a group goes down again and again, each time that it is back.
// Events:  a request crashes the server; it is started again; the request is sent again.
// Cause:   evidence is counted by server, and there is only one.
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

// Symptom: a harmless request is refused after a single death.
// Events:  a server dies; the connections to it end one by one, and the request was on two of them.
// Cause:   each connection is counted as a death.
#[test]
fn lost_twice_in_one_crash_is_not_refused() {
    let mut detector = Detector::new();
    detector.sent(1, 7, server(1), ms(0));
    assert!(detector.lost(1, ms(100)).is_none());
    detector.sent(2, 7, server(1), ms(150));
    assert!(detector.lost(2, ms(2_000)).is_none());
}

// Symptom: as above on a busy fleet, where the culprit never runs alone.
// Events:  the culprit and other requests, new ones each time, are running on a server that dies.
// Cause:   only what the deaths have in common tells the culprit from the bystanders.
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
    unreachable!("four servers died of it and it is not refused");
}

// Symptom: after the loss of a rack the dispatchers' requests are refused as crashing servers.
// Events:  eight servers vanish at once, under the same three searches, which ask every group.
// Cause:   counted by server, each of the searches was there at eight deaths.
#[test]
fn lost_together_by_many_is_not_refused() {
    let mut detector = Detector::new();
    for number in 1..=8 {
        assert!(crash_server(&mut detector, number, &[1, 2, 3], ms(0)).is_empty());
    }
    assert_eq!(detector.status(1, ms(10)), Status::Quarantined);
}

// Symptom: a harmless request stays in quarantine, without hedges, for ten minutes.
// Events:  a server dies of a power cut under it; the request is answered by another replica.
// Cause:   evidence that is not withdrawn when the request proves harmless.
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

// Symptom: requests are refused as crashing servers although no server ever stopped.
// Events:  something between the ends resets connections; the servers answer on others.
// Cause:   a lost connection is taken for a dead process.
#[test]
fn survived_withdraws_evidence() {
    let mut detector = Detector::new();
    crash_server(&mut detector, 1, &[7], ms(0));
    detector.survived(server(1), ms(5));
    assert!(crash_server(&mut detector, 2, &[7], ms(1_000)).is_empty());
    assert_eq!(detector.status(7, ms(1_010)), Status::Quarantined);
}

#[test]
fn may_send_in_quarantine_allows_one_at_a_time() {
    let mut detector = Detector::new();
    crash_server(&mut detector, 1, &[7], ms(0));
    assert!(detector.may_send(7, ms(10)));
    detector.sent(9, 7, server(2), ms(10));
    assert!(!detector.may_send(7, ms(11)));
    detector.ended(9, ms(12));
    assert!(detector.may_send(7, ms(12)));
}

#[test]
fn apply_refusal_refuses_until_its_end() {
    let mut detector = Detector::new();
    detector.apply_refusal(7, ms(500), ms(0));
    assert_eq!(detector.status(7, ms(499)), Status::Refused(ms(500)));
    detector.tick(ms(500));
    assert_eq!(detector.status(7, ms(500)), Status::Clear);
}

proptest! {
    /// Servers that die one by one under different requests, as ordinary hardware does.
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
