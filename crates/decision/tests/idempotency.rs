//! Tests keys, their expiry and the ledger's limits with one or a few ledgers.

use monsoonring_decision::Time;
use monsoonring_decision::attempt::Failure;
use monsoonring_decision::idempotency::key::Error;
use monsoonring_decision::idempotency::permit::SentOutcome;
use monsoonring_decision::idempotency::{
    Decision, Fence, Handover, Key, Ledger, Limits, Outcome, Permit, Refusal, Request, Unsent,
};
use monsoonring_decision::outcome::Reason;
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

const LIMITS: Limits = Limits {
    lifetime: Duration::from_secs(10),
    retention: Duration::from_secs(5),
    keys: 2,
    inherited: 3,
    bytes: 8,
};

fn at(seconds: u64) -> Time {
    Duration::from_secs(seconds)
}

fn fence(start: u64) -> Fence {
    let member = "127.0.0.1:7000".parse().expect("an address");
    Fence { member, start }
}

fn ledger(start: u64) -> Ledger {
    Ledger::new(fence(start), [1; 32].into(), LIMITS)
}

fn mint(ledger: &mut Ledger, now: Time) -> Key {
    let key = ledger.mint(&"dispatch".into(), &"tickets".into(), now);
    key.expect("the ledger has room")
}

fn request(id: u128) -> Request {
    Request {
        id,
        caller: "dispatch".into(),
        route: "tickets".into(),
        fingerprint: 1,
        deadline: at(100),
        send: None,
        passed_on: false,
    }
}

fn permit(decision: Decision) -> Permit<Unsent> {
    match decision {
        Decision::Run(permit) => permit,
        other => unreachable!("not run: {other:?}"),
    }
}

fn execute(ledger: &mut Ledger, key: &Key, value: &str, now: Time) {
    let permit = permit(ledger.begin(key, &request(1), now));
    let sent = permit.mark_sent(now).expect("the deadline has not passed");
    let completion = ledger.finish(sent, SentOutcome::Executed(value.into()), now);
    assert_eq!(completion.outcome, Outcome::Executed(value.into()));
}

fn unknown() -> Outcome {
    let reason = Reason::Fence;
    Outcome::Unknown { reason }
}

proptest! {
    #[test]
    fn parse_inverts_to_string(ip: std::net::IpAddr, port: u16, start: u64, seconds in 0..9u64) {
        let member = (ip, port).into();
        let mut ledger = Ledger::new(Fence { member, start }, [1; 32].into(), LIMITS);
        let key = mint(&mut ledger, at(seconds));
        let text = key.to_string();
        prop_assert!(text.bytes().all(|b| b.is_ascii_alphanumeric() || b".~:".contains(&b)));
        prop_assert_eq!(text.parse(), Ok(key));
    }

    #[test]
    fn begin_with_altered_key_never_runs(position: prop::sample::Index, byte in b'0'..=b'z') {
        let mut ledger = ledger(1);
        let mut text = mint(&mut ledger, at(0)).to_string().into_bytes();
        let position = position.index(text.len());
        prop_assume!(!text[position].eq_ignore_ascii_case(&byte));
        text[position] = byte;
        let text = String::from_utf8(text).expect("ASCII");
        if let Ok(key) = text.parse() {
            let decision = ledger.begin(&key, &request(1), at(0));
            prop_assert!(!matches!(decision, Decision::Run(_)), "{:?}", decision);
        }
    }
}

#[test_case("" => Err(Error::Text); "empty")]
#[test_case("a b" => Err(Error::Text); "space")]
#[test_case("m1.10.0.0.1~7000.8.5" => Err(Error::Fenced); "truncated")]
#[test_case("ticket-17" => Ok(Key::Own("ticket-17".into())); "own")]
fn parse_result(text: &str) -> Result<Key, Error> {
    text.parse()
}

#[test_case("dispatch", "tickets" => false; "same scope")]
#[test_case("inspector", "tickets" => true; "other caller")]
#[test_case("dispatch", "credits" => true; "other route")]
fn begin_with_key_of_another_scope_is_refused(caller: &str, route: &str) -> bool {
    let mut ledger = ledger(1);
    let key = mint(&mut ledger, at(0));
    let (caller, route): (Arc<str>, Arc<str>) = (caller.into(), route.into());
    let scoped = Request {
        caller,
        route,
        ..request(1)
    };
    let decision = ledger.begin(&key, &scoped, at(0));
    decision == Decision::Refuse(Refusal::Forged)
}

#[test]
fn begin_with_another_body_is_refused() {
    let mut ledger = ledger(1);
    let key = mint(&mut ledger, at(0));
    execute(&mut ledger, &key, "1", at(0));
    let altered = Request {
        fingerprint: 2,
        ..request(2)
    };
    let decision = ledger.begin(&key, &altered, at(0));
    assert_eq!(decision, Decision::Refuse(Refusal::Mismatch));
}

// Guards against running a key twice after a pause: its record is dropped, and a task still uses an earlier clock
// reading by which the key has not expired.
#[test]
fn begin_with_an_older_time_after_expiry_is_refused() {
    let mut ledger = ledger(1);
    let key = mint(&mut ledger, at(0));
    execute(&mut ledger, &key, "1", at(1));
    let decision = ledger.begin(&key, &request(2), at(14));
    assert_eq!(decision, Decision::Replay(Outcome::Executed("1".into())));
    ledger.tick(at(15));
    let decision = ledger.begin(&key, &request(3), at(2));
    assert_eq!(decision, Decision::Refuse(Refusal::Expired));
    assert_eq!(Refusal::Expired.outcome(), unknown());
}

#[test]
fn mint_beyond_the_limit_is_refused_until_a_key_expires() {
    let mut ledger = ledger(1);
    mint(&mut ledger, at(0));
    mint(&mut ledger, at(3));
    let refused = ledger.mint(&"dispatch".into(), &"tickets".into(), at(4));
    let retry_after = at(11);
    assert_eq!(refused, Err(Refusal::Full { retry_after }));
    mint(&mut ledger, at(15));
}

#[test]
fn finish_beyond_the_byte_limit_is_replayed_as_unknown() {
    let mut ledger = ledger(1);
    let key = mint(&mut ledger, at(0));
    execute(&mut ledger, &key, "too large a value", at(0));
    let decision = ledger.begin(&key, &request(2), at(0));
    assert_eq!(decision, Decision::Replay(unknown()));
}

// Guards against sending work to a server after the deadline, when the process pauses before it sends.
#[test]
fn mark_sent_after_the_deadline_returns_the_permit() {
    let mut ledger = ledger(1);
    let key = mint(&mut ledger, at(0));
    let permit = permit(ledger.begin(&key, &request(1), at(0)));
    assert_eq!(ledger.begin(&key, &request(2), at(0)), Decision::Join);
    let late = permit
        .mark_sent(at(100))
        .expect_err("the deadline has passed");
    let completion = ledger.release(late, Reason::Deadline, None, at(100));
    assert!(matches!(completion.outcome, Outcome::NotRun { .. }));
    assert_eq!(completion.joined, [2]);
}

#[test_case(&Failure::NotSent => true; "not sent")]
#[test_case(&Failure::Lost => false; "lost")]
#[test_case(&Failure::Mismatched => false; "mismatched")]
fn retract_requires_proof_of_not_run(failure: &Failure) -> bool {
    let mut ledger = ledger(1);
    let key = mint(&mut ledger, at(0));
    let permit = permit(ledger.begin(&key, &request(1), at(0)));
    let sent = permit
        .mark_sent(at(0))
        .expect("the deadline has not passed");
    sent.retract(failure).is_ok()
}

#[test_case(None, false => Decision::Refuse(Refusal::Unmarked); "no number")]
#[test_case(Some(0), false => Decision::Refuse(Refusal::Unmarked); "zero")]
#[test_case(Some(2), false => Decision::LookUp; "later send")]
#[test_case(Some(2), true => Decision::Refuse(Refusal::Gone); "later send forwarded")]
fn begin_own_key_without_record(send: Option<u32>, passed_on: bool) -> Decision {
    let key = "ticket-17".parse().expect("a key");
    let numbered = Request {
        send,
        passed_on,
        ..request(1)
    };
    ledger(1).begin(&key, &numbered, at(0))
}

// Guards against losing a record or a clock when a ledger is handed over several times in a row.
#[test]
fn inherit_over_a_chain_keeps_records_and_clocks() {
    let mut holder = ledger(1);
    let (used, unused) = (mint(&mut holder, at(0)), mint(&mut holder, at(6)));
    execute(&mut holder, &used, "1", at(6));
    for start in 2..5 {
        let handover = holder
            .hand_over(fence(start), at(7))
            .expect("the first handover");
        let text = serde_json::to_string(&handover).expect("a handover can be serialized");
        let handover: Handover =
            serde_json::from_str(&text).expect("a handover can be deserialized");
        holder = ledger(start);
        holder
            .inherit(handover, at(7))
            .expect("the successor has room");
    }
    let repeated = holder.begin(&used, &request(2), at(8));
    assert_eq!(repeated, Decision::Replay(Outcome::Executed("1".into())));
    let mut later = holder.clone();
    let expired = later.begin(&unused, &request(3), at(16));
    assert_eq!(expired, Decision::Refuse(Refusal::Expired));
    let first = permit(holder.begin(&unused, &request(3), at(15)));
    let _late = first
        .mark_sent(at(15))
        .expect("the deadline has not passed");
}

// Guards against running a key twice because a late copy of a handover resets the clock of an expired fence.
#[test]
fn inherit_copy_after_expiry_is_ignored() {
    let mut old = ledger(1);
    let key = mint(&mut old, at(0));
    let handover = old.hand_over(fence(2), at(0)).expect("the first handover");
    let mut successor = ledger(2);
    let receipt = successor
        .inherit(handover.clone(), at(0))
        .expect("the successor has room");
    execute(&mut successor, &key, "1", at(1));
    successor.tick(at(40));
    assert_eq!(successor.inherit(handover, at(40)), Ok(receipt));
    let decision = successor.begin(&key, &request(2), at(41));
    assert_eq!(decision, Decision::ForwardTo(fence(1)));
}

#[test]
fn inherit_for_another_incarnation_is_refused() {
    let handover = ledger(1)
        .hand_over(fence(2), at(0))
        .expect("the first handover");
    let refused = ledger(3)
        .inherit(handover, at(0))
        .expect_err("the handover names another successor");
    insta::assert_snapshot!(refused, @"take over from 127.0.0.1:7000/1: the successor is 127.0.0.1:7000/2");
}

#[test]
fn inherit_beyond_the_limit_is_refused() {
    let mut successor = ledger(9);
    for (start, is_accepted) in [(1, true), (2, false)] {
        let mut old = ledger(start);
        mint(&mut old, at(0));
        mint(&mut old, at(0));
        let handover = old.hand_over(fence(9), at(0)).expect("the first handover");
        assert_eq!(successor.inherit(handover, at(0)).is_ok(), is_accepted);
    }
}

// Guards against a panic on overflow when a handover contains extreme durations.
#[test]
fn inherit_with_unbounded_times_does_not_overflow() {
    let mut old = ledger(1);
    let key = mint(&mut old, at(0));
    let _running = permit(old.begin(&key, &request(1), at(0)));
    let handover = old.hand_over(fence(2), at(0)).expect("the first handover");
    let mut value = serde_json::to_value(&handover).expect("a handover can be serialized");
    maximize(&mut value);
    let handover: Handover = serde_json::from_value(value).expect("a handover can be deserialized");
    let mut successor = ledger(2);
    let receipt = successor.inherit(handover, at(1));
    assert!(receipt.is_ok(), "{receipt:?}");
    successor.tick(at(2));
    let decision = successor.begin(&key, &request(2), at(3));
    assert!(!matches!(decision, Decision::Run(_)), "{decision:?}");
}

/// Sets every duration to the maximum.
fn maximize(value: &mut serde_json::Value) {
    if let Some(seconds) = value.get_mut("secs") {
        *seconds = u64::MAX.into();
    }
    let values: Vec<&mut serde_json::Value> = match value {
        serde_json::Value::Object(members) => members.values_mut().collect(),
        serde_json::Value::Array(values) => values.iter_mut().collect(),
        _ => Vec::new(),
    };
    values.into_iter().for_each(maximize);
}
