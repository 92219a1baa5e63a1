//! Tests the configuration holder against stale or failing services, racing operators and peers with newer versions.

use monsoonring_decision::Time;
use monsoonring_decision::configuration::{
    Action, Contact, Event, Holder, READERS_PER_DATA_CENTRE, Source, Version, is_reader,
};
use monsoonring_decision::member::MemberId;
use monsoonring_decision::placement::Member;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);
const NOW: Time = Time::from_secs(100);

fn holder() -> Holder {
    Holder::new(NOW, ChaCha8Rng::seed_from_u64(1))
}

fn version(revision: u64, digest: u128) -> Version {
    Version { revision, digest }
}

fn peer(number: u8) -> MemberId {
    MemberId::from(([10, 0, 0, number], 7000))
}

fn served(revision: u64, digest: u128) -> Event {
    Event::Served(version(revision, digest), vec![])
}

fn has_logged(actions: &[Action], label: &str) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Log(line) if line.label == label))
}

fn calls(actions: &[Action]) -> usize {
    let is_call = |a: &&Action| matches!(a, Action::Read | Action::Watch { .. });
    actions.iter().filter(is_call).count()
}

/// Returns the report that a peer reached the service a second ago.
fn contact(number: u8) -> Contact {
    Contact {
        by: peer(number),
        age: SECOND,
    }
}

/// Returns a holder that is no reader, has adopted revision 9 and is current.
fn follower_at_9() -> Holder {
    let mut holder = holder();
    let members = Event::Members {
        reader: false,
        peers: 7,
    };
    holder.handle(members, NOW);
    holder.handle(Event::Peer(peer(1), Some(version(9, 50))), NOW);
    holder.handle(Event::Fetched(peer(1), version(9, 50), vec![]), NOW);
    assert!(holder.is_current());
    holder
}

/// Returns a reader that has adopted revision 9 and is current.
fn reader_at_9() -> Holder {
    let mut holder = holder();
    holder.handle(
        Event::Members {
            reader: true,
            peers: 7,
        },
        NOW,
    );
    holder.handle(served(9, 50), NOW);
    holder.handle(Event::Peer(peer(1), Some(version(9, 50))), NOW);
    assert!(holder.is_current());
    holder
}

#[test]
fn served_older_revision_is_not_adopted() {
    // Guards against reverting to an older revision when the service is restored or its servers differ.
    let mut holder = reader_at_9();
    let actions = holder.handle(served(7, 99), NOW);
    assert!(has_logged(&actions, "stale"));
    assert!(!actions.iter().any(|a| matches!(a, Action::Adopt(..))));
    assert_eq!(holder.in_force(), Some(version(9, 50)));
    holder.handle(served(10, 1), NOW);
    holder.handle(served(9, 50), NOW);
    assert_eq!(holder.in_force(), Some(version(10, 1)));
}

#[test_case(50, 60 => (60, 1); "greater_second")]
#[test_case(60, 50 => (60, 1); "greater_first")]
#[test_case(50, 50 => (50, 0); "same")]
fn served_same_revision(first: u128, second: u128) -> (u128, u64) {
    // Guards against daemons that disagree when two operators publish under the same revision.
    let mut holder = holder();
    holder.handle(served(9, first), NOW);
    holder.handle(served(9, second), NOW);
    holder.handle(served(9, first), NOW);
    let digest = holder.in_force().map_or(0, |version| version.digest);
    (digest, holder.conflicts())
}

#[test]
fn peer_with_same_revision_is_fetched_if_its_digest_is_greater() {
    let mut holder = reader_at_9();
    let actions = holder.handle(Event::Peer(peer(2), Some(version(9, 40))), NOW);
    assert!(has_logged(&actions, "conflict"));
    assert!(!actions.iter().any(|a| matches!(a, Action::Fetch(..))));
    let actions = holder.handle(Event::Peer(peer(2), Some(version(9, 60))), NOW);
    assert!(actions.contains(&Action::Fetch(peer(2), version(9, 60))));
}

#[test]
fn served_faulty_document_is_rejected() {
    // Guards against adopting parts of a faulty document, and against reading it again without a pause.
    let mut holder = reader_at_9();
    let faulty = Event::Served(version(10, 1), vec!["routes[3].groups: gap".into()]);
    let actions = holder.handle(faulty.clone(), NOW);
    assert!(has_logged(&actions, "rejected"));
    assert_eq!(holder.in_force(), Some(version(9, 50)));
    assert_eq!(calls(&actions), 0, "the next call is delayed");
    let actions = holder.handle(Event::Tick, NOW + SECOND);
    let wait = Duration::from_secs(3);
    assert!(actions.contains(&Action::Watch { after: 10, wait }));
    let actions = holder.handle(Event::Peer(peer(2), Some(version(10, 1))), NOW);
    assert!(
        !actions.iter().any(|a| matches!(a, Action::Fetch(..))),
        "the version is known to be faulty"
    );
    holder.handle(served(11, 1), NOW + SECOND);
    assert_eq!(holder.in_force(), Some(version(11, 1)));
}

#[test]
fn service_failed_limits_the_call_rate() {
    // Guards against overloading a failing service with calls.
    let mut holder = reader_at_9();
    let mut count = 0;
    for second in 0..3_600 {
        let now = NOW + SECOND * second;
        let mut actions = holder.handle(Event::Tick, now);
        count += calls(&actions);
        while calls(&actions) > 0 && count < 10_000 {
            actions = holder.handle(Event::ServiceFailed, now);
            count += calls(&actions);
        }
    }
    assert!((100..300).contains(&count), "{count} calls in an hour");
}

#[test]
fn tick_lost_call_times_out() {
    let mut holder = reader_at_9();
    let count: usize = (1..200)
        .map(|s| calls(&holder.handle(Event::Tick, NOW + SECOND * s)))
        .sum();
    assert!(count >= 2, "a call without a reply must not be the last");
}

#[test]
fn members_new_reader_calls_the_service() {
    // Guards against no daemon reading the service after all readers of a data centre die.
    let mut holder = holder();
    holder.handle(
        Event::Members {
            reader: false,
            peers: 7,
        },
        NOW,
    );
    holder.handle(Event::Peer(peer(1), Some(version(9, 50))), NOW);
    holder.handle(Event::Fetched(peer(1), version(9, 50), vec![]), NOW);
    let non_reader_calls: usize = (0..100)
        .map(|s| {
            holder.handle(Event::Contacted(contact(2), false), NOW + SECOND * s);
            calls(&holder.handle(Event::Tick, NOW + SECOND * s))
        })
        .sum();
    assert_eq!(
        non_reader_calls, 0,
        "a daemon that is no reader must not call the service"
    );
    let actions = holder.handle(
        Event::Members {
            reader: true,
            peers: 6,
        },
        NOW + SECOND * 100,
    );
    assert_eq!(calls(&actions), 1);
}

#[test]
fn tick_without_contact_of_readers_calls_the_service() {
    // Guards against changes not being adopted while all readers are cut off from the service.
    let mut holder = follower_at_9();
    let called = (0..30).find(|s| calls(&holder.handle(Event::Tick, NOW + SECOND * *s)) > 0);
    assert!(called.is_some_and(|seconds| seconds > 6), "{called:?}");
    let at = NOW + SECOND * 30;
    let actions = holder.handle(Event::Unchanged, at);
    assert_eq!(
        calls(&actions),
        1,
        "the daemon continues in place of the readers"
    );
    assert_eq!(holder.contact(at), Some((None, Duration::ZERO)));
}

#[test_case(true, 0; "higher_rank_ends_the_calls")]
#[test_case(false, 1; "lower_rank_does_not_end_them")]
fn contacted_while_acting_as_reader(outranks: bool, expected: usize) {
    // Guards against daemons that act as readers and never stop.
    let mut holder = follower_at_9();
    let mut at = NOW;
    while calls(&holder.handle(Event::Tick, at)) == 0 {
        at += SECOND;
        assert!(at < NOW + SECOND * 30, "the daemon must begin to call");
    }
    assert_eq!(calls(&holder.handle(Event::Unchanged, at)), 1);
    holder.handle(Event::Contacted(contact(2), outranks), at);
    let actions = holder.handle(Event::Unchanged, at + SECOND);
    let later = holder.handle(Event::Tick, at + SECOND * 2);
    assert_eq!(calls(&actions) + calls(&later), expected);
}

#[test]
fn peer_newer_version_is_adopted_while_service_is_down() {
    // Guards against a daemon that starts without a configuration, or with an old one, while the service is down.
    let mut holder = holder();
    holder.handle(
        Event::Members {
            reader: true,
            peers: 7,
        },
        NOW,
    );
    holder.handle(Event::ServiceFailed, NOW);
    assert!(!holder.is_current());
    let actions = holder.handle(Event::Peer(peer(1), Some(version(9, 50))), NOW);
    assert!(actions.contains(&Action::Fetch(peer(1), version(9, 50))));
    let actions = holder.handle(Event::Fetched(peer(1), version(9, 50), vec![]), NOW);
    assert!(actions.contains(&Action::Adopt(version(9, 50), Source::Peer(peer(1)))));
    assert!(holder.is_current());
}

#[test]
fn served_is_not_current_before_a_peer_reports_its_version() {
    // Guards against serving an old configuration after a start, when the service lags behind the peers.
    let mut holder = holder();
    holder.handle(served(7, 1), NOW);
    assert!(!holder.is_current());
    holder.handle(
        Event::Members {
            reader: true,
            peers: 7,
        },
        NOW,
    );
    holder.handle(Event::Peer(peer(1), Some(version(9, 50))), NOW);
    assert!(!holder.is_current(), "a greater version is being fetched");
    holder.handle(Event::Fetched(peer(1), version(9, 50), vec![]), NOW);
    assert!(holder.is_current());
}

#[test]
fn tick_without_a_peer_version_reads_the_service_after_a_timeout() {
    let mut holder = holder();
    holder.handle(
        Event::Members {
            reader: false,
            peers: 7,
        },
        NOW,
    );
    let read = (0..20).any(|s| {
        let actions = holder.handle(Event::Tick, NOW + SECOND * s);
        actions.contains(&Action::Read)
    });
    assert!(read, "the wait for peers must end");
    holder.handle(served(7, 1), NOW + SECOND * 20);
    assert!(holder.is_current());
}

#[test]
fn paused_holder_is_not_current_until_it_adopts_a_peer_version() {
    // Guards against serving a replaced configuration after the process was paused.
    let mut holder = reader_at_9();
    holder.handle(Event::Paused, NOW + SECOND);
    assert!(!holder.is_current());
    holder.handle(Event::Peer(peer(3), Some(version(10, 1))), NOW + SECOND);
    assert!(!holder.is_current());
    holder.handle(
        Event::Fetched(peer(3), version(10, 1), vec![]),
        NOW + SECOND,
    );
    assert!(holder.is_current());
}

#[test]
fn fetch_failed_is_retried_at_another_peer() {
    // Guards against a fetch that waits for a peer that died.
    let mut holder = reader_at_9();
    holder.handle(Event::Peer(peer(1), Some(version(10, 1))), NOW);
    holder.handle(Event::Peer(peer(2), Some(version(10, 1))), NOW);
    let fetches = |actions: &[Action], n| actions.contains(&Action::Fetch(peer(n), version(10, 1)));
    let actions = holder.handle(Event::Tick, NOW + SECOND * 10);
    let next = if fetches(&actions, 1) { 1 } else { 2 };
    assert!(fetches(&actions, next), "a fetch without a reply times out");
    let actions = holder.handle(Event::FetchFailed(peer(next)), NOW + SECOND * 10);
    assert!(!fetches(&actions, next));
    let actions = holder.handle(
        Event::Peer(peer(3), Some(version(10, 1))),
        NOW + SECOND * 11,
    );
    assert!(fetches(&actions, 3));
}

#[test_case(8, 4; "8_members")]
#[test_case(3_800, 21; "3800_members")]
fn is_reader_selects_a_few_per_data_centre(count: u16, data_centres: u16) {
    let member = |n: u16| Member {
        id: MemberId::from(([10, 0, 0, 1], n)),
        data_centre: format!("dc{}", n % data_centres).into(),
    };
    let members: Vec<Member> = (0..count).map(member).collect();
    let readers = |members: &[Member]| {
        members
            .iter()
            .filter(|own| is_reader(own, members))
            .cloned()
            .collect::<Vec<_>>()
    };
    let before = readers(&members);
    let per_data_centre = READERS_PER_DATA_CENTRE.min(usize::from(count / data_centres));
    assert_eq!(before.len(), per_data_centre * usize::from(data_centres));
    let without: Vec<Member> = members
        .iter()
        .filter(|m| **m != before[0])
        .cloned()
        .collect();
    let after = readers(&without);
    let kept = before[1..].iter().all(|reader| after.contains(reader));
    assert!(kept, "the other readers stay");
}

fn any_event() -> impl Strategy<Value = Event> {
    let version = (0..5u64, 0..3u128).prop_map(|(revision, digest)| version(revision, digest));
    // The same document is always faulty or always valid.
    let faults = |v: Version| {
        if v.digest == 1 {
            vec!["fault".to_owned()]
        } else {
            vec![]
        }
    };
    prop_oneof![
        Just(Event::Tick),
        version
            .clone()
            .prop_map(move |v| Event::Served(v, faults(v))),
        Just(Event::Unchanged),
        Just(Event::ServiceFailed),
        (0..3u8, version.clone()).prop_map(|(n, v)| Event::Peer(peer(n), Some(v))),
        (0..3u8, version).prop_map(move |(n, v)| Event::Fetched(peer(n), v, faults(v))),
        (0..3u8).prop_map(|n| Event::FetchFailed(peer(n))),
        any::<bool>().prop_map(|reader| Event::Members { reader, peers: 3 }),
        Just(Event::Paused),
    ]
}

proptest! {
    #[test]
    fn handle_never_reverts(events in prop::collection::vec((any_event(), 0..20u32), 1..60)) {
        let mut holder = holder();
        let mut now = NOW;
        for (event, wait) in events {
            now += SECOND * wait;
            let before = holder.in_force();
            let actions = holder.handle(event, now);
            prop_assert!(holder.in_force() >= before);
            prop_assert!(holder.in_force().is_none_or(|v| v.digest != 1), "a faulty document is in force");
            let adopted = actions.iter().any(|a| matches!(a, Action::Adopt(..)));
            prop_assert_eq!(adopted, holder.in_force() != before);
            prop_assert!(calls(&actions) <= 1);
        }
    }

    /// Holders that receive the same documents in any order have the same one in force.
    #[test]
    fn served_in_any_order_converges(
        versions in prop::collection::vec((0..5u64, 0..4u128), 1..12), rotation in 0..12usize,
    ) {
        let (mut left, mut right) = (holder(), holder());
        let mut rotated = versions.clone();
        rotated.rotate_left(rotation % versions.len());
        rotated.extend(versions.iter().rev());
        let feed = |holder: &mut Holder, versions: Vec<(u64, u128)>| {
            for (revision, digest) in versions {
                let faults = if digest == 1 { vec!["fault".to_owned()] } else { vec![] };
                holder.handle(Event::Served(version(revision, digest), faults), NOW);
            }
        };
        feed(&mut left, versions);
        feed(&mut right, rotated);
        prop_assert_eq!(left.in_force(), right.in_force());
    }
}
