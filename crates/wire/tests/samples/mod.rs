//! Sample messages that cover every method and every variant in the messages.

use monsoonring_configuration::Range;
use monsoonring_configuration::document::Class;
use monsoonring_configuration::section::transfer::{Base, Part};
use monsoonring_configuration::section::{Name, Section};
use monsoonring_decision::Time;
use monsoonring_decision::configuration::{Contact, Version};
use monsoonring_decision::fact;
use monsoonring_decision::idempotency::lookup::{Finding, Lookup};
use monsoonring_decision::idempotency::{
    self, Fence, Handover, Key, Ledger, Limits, Receipt, Refusal,
};
use monsoonring_decision::member::{
    Attachment, BucketRange, Change, Digest, Incarnation, Message, Page, State,
};
use monsoonring_decision::outcome::{self, Outcome, Reason};
use monsoonring_decision::reply::Item;
use monsoonring_wire::message::{Rejection, Request, Sections, Send, SendReply};
use monsoonring_wire::peer::{PeerRequest, PeerResponse};
use std::net::SocketAddr;
use std::time::Duration;

const FINGERPRINT: u64 = 0xf00d;

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

fn member_a() -> SocketAddr {
    address("10.0.0.1:7000")
}

fn member_b() -> SocketAddr {
    address("[fd00::2]:7000")
}

fn incarnation() -> Incarnation {
    Incarnation {
        start: 1_764_000_000_000,
        refutation: 2,
    }
}

fn version() -> Version {
    Version {
        revision: 300,
        digest: 0xfeed,
    }
}

fn change(state: State) -> Change {
    Change {
        id: member_b(),
        incarnation: incarnation(),
        state,
        data_centre: "dobrich-2".into(),
    }
}

fn changes() -> Vec<Change> {
    let successor = Some(member_a());
    let states = [
        State::Alive,
        State::Suspect,
        State::Dead,
        State::Left { successor },
        State::Left { successor: None },
    ];
    states.into_iter().map(change).collect()
}

fn facts() -> Vec<fact::Entry> {
    let stamp = fact::Stamp {
        version: 9,
        renewal: 1,
    };
    let keys = [
        fact::Key::Leaving(member_a()),
        fact::Key::Suspect(FINGERPRINT),
    ];
    let entry = |key| fact::Entry {
        key,
        stamp,
        life: Duration::from_millis(1_500),
    };
    keys.into_iter().map(entry).collect()
}

fn message() -> Message {
    Message {
        from: member_a(),
        incarnation: incarnation(),
        data_centre: "tunis-1".into(),
        digest: Digest {
            bucket: 7,
            hash: 1 << 40,
        },
        changes: changes(),
        attachment: Attachment {
            contact: Some(Contact {
                by: member_b(),
                age: Duration::from_secs(2),
            }),
            configuration: Some(version()),
            facts: facts(),
        },
    }
}

fn request() -> Request {
    Request {
        id: 1 << 100,
        route: "map".into(),
        revision: 300,
        caller: "dispatch".into(),
        class: Class::Urgent,
        fingerprint: FINGERPRINT,
        body: "{}".into(),
    }
}

fn fence() -> Fence {
    Fence {
        member: member_a(),
        start: 5,
    }
}

fn fenced_key() -> Key {
    let text = format!("m1.10.0.0.1~7000.5.6.700.{}", "ab".repeat(16));
    text.parse().expect("a key")
}

fn own_key() -> Key {
    Key::Own("ticket-1".into())
}

/// Returns the handover of a ledger with an issued key and a caller's own key, both in use.
fn handover() -> Handover {
    let mut ledger = Ledger::new(fence(), [9; 32].into(), Limits::default());
    let now = Time::from_secs(1);
    let issued = ledger.mint(&"clerk".into(), &"ledger".into(), now);
    let issued = issued.expect("there is room");
    for (key, send) in [(issued, None), (own_key(), Some(1))] {
        let request = idempotency::Request {
            id: 1,
            caller: "clerk".into(),
            route: "ledger".into(),
            fingerprint: FINGERPRINT,
            deadline: Time::from_secs(2),
            send,
            passed_on: false,
        };
        drop(ledger.begin(&key, &request, now));
    }
    let heir = Fence {
        member: member_b(),
        start: 6,
    };
    ledger.hand_over(heir, now).expect("the first")
}

/// Returns at least one call of each method, with its name in the snapshot.
pub(crate) fn requests() -> Vec<(&'static str, PeerRequest)> {
    let section = Section::new(Name::Callers, *b"[]");
    let base = Base::of(&[section]);
    let (first, last) = (3, 250);
    let send = |key, send| Send {
        request: request(),
        key,
        send,
    };
    let own_lookup = Lookup::Own {
        caller: "clerk".into(),
        key: "ticket-1".into(),
        fingerprint: FINGERPRINT,
    };
    let (key, handover) = (own_key().to_string(), handover());
    let (least, message, target, span) = (
        version(),
        message(),
        member_b(),
        BucketRange { first, last },
    );
    let normal = Request {
        class: Class::Normal,
        ..request()
    };
    let background = Request {
        class: Class::Background,
        ..request()
    };
    vec![
        ("probe", PeerRequest::Probe { message }),
        ("probe_for", PeerRequest::ProbeFor { target }),
        ("page", PeerRequest::Page { span }),
        ("sections", PeerRequest::Sections { least, base }),
        ("search", PeerRequest::Search { request: request() }),
        ("search_normal", PeerRequest::Search { request: normal }),
        (
            "mint_background",
            PeerRequest::Mint {
                request: background,
            },
        ),
        (
            "send_issued",
            PeerRequest::Send {
                send: send(fenced_key(), None),
            },
        ),
        (
            "send_own",
            PeerRequest::Send {
                send: send(own_key(), Some(2)),
            },
        ),
        (
            "run",
            PeerRequest::Run {
                request: request(),
                key,
            },
        ),
        (
            "ask_own",
            PeerRequest::Ask {
                question: own_lookup,
            },
        ),
        (
            "ask_fence",
            PeerRequest::Ask {
                question: Lookup::Fence(fence()),
            },
        ),
        ("take_over", PeerRequest::TakeOver { handover }),
        (
            "hear",
            PeerRequest::Hear {
                entry: facts().remove(0),
                from: member_a(),
            },
        ),
        (
            "hear_crash_evidence",
            PeerRequest::Hear {
                entry: fact::Entry {
                    key: fact::Key::CrashEvidence(FINGERPRINT, member_a()),
                    ..facts().remove(0)
                },
                from: member_a(),
            },
        ),
    ]
}

fn answer() -> outcome::Answer {
    let item = Item {
        key: 11,
        value: "{}".into(),
    };
    outcome::Answer {
        index_version: 7,
        coverage: 0.75,
        missing: vec![Range::new(5, 9)],
        items: vec![item],
    }
}

fn not_run(reason: Reason) -> Outcome {
    Outcome::NotRun {
        reason,
        retry_after: None,
    }
}

fn reasons() -> Vec<(&'static str, Reason)> {
    vec![
        ("deadline", Reason::Deadline),
        ("overload", Reason::Overload),
        ("unavailable", Reason::Unavailable),
        ("suspect", Reason::Suspect),
        ("stopping", Reason::Stopping),
        ("abandoned", Reason::Abandoned),
        ("backend_server", Reason::BackendServer),
        ("lost", Reason::Lost),
        ("fence", Reason::Fence),
    ]
}

fn refusals() -> Vec<(&'static str, Refusal)> {
    let retry_after = Duration::from_secs(1);
    vec![
        ("full", Refusal::Full { retry_after }),
        ("stopping", Refusal::Stopping),
        ("unmarked", Refusal::Unmarked),
        ("mismatch", Refusal::Mismatch),
        ("forged", Refusal::Forged),
        ("expired", Refusal::Expired),
        ("crowded", Refusal::Crowded),
        ("gone", Refusal::Gone),
        ("moved", Refusal::Moved(fence())),
    ]
}

fn outcomes() -> Vec<(&'static str, Outcome)> {
    let retry_after = Some(Duration::from_millis(20));
    let reason = Reason::Overload;
    vec![
        ("answered", Outcome::Answered(answer())),
        ("executed", Outcome::Executed("1".into())),
        (
            "not_run",
            Outcome::NotRun {
                reason,
                retry_after,
            },
        ),
        (
            "failed",
            Outcome::Failed {
                reason,
                retry_after,
            },
        ),
        ("unknown", Outcome::Unknown { reason }),
    ]
}

fn parts() -> Vec<Part> {
    let sent = |name| Part::Sent {
        name,
        body: (*b"[]").into(),
    };
    let route = Name::Route("map".into());
    vec![sent(Name::Callers), Part::Held(300), sent(route)]
}

fn findings() -> Vec<(&'static str, Finding)> {
    let reason = Reason::Lost;
    let done = |outcome| Finding::Done(outcome);
    let not_run = idempotency::Outcome::NotRun {
        reason,
        retry_after: None,
    };
    vec![
        ("ask_nothing", Finding::Nothing),
        ("ask_holds", Finding::Holds),
        ("ask_running", Finding::Running),
        ("ask_mismatch", Finding::Mismatch),
        (
            "ask_executed",
            done(idempotency::Outcome::Executed("1".into())),
        ),
        ("ask_not_run", done(not_run)),
        ("ask_failed", done(idempotency::Outcome::Failed { reason })),
        (
            "ask_unknown",
            done(idempotency::Outcome::Unknown { reason }),
        ),
    ]
}

/// Returns responses of each method that cover every variant, with their names in the snapshot.
pub(crate) fn responses() -> Vec<(&'static str, PeerResponse)> {
    let page = |rest| Page {
        changes: changes(),
        rest,
    };
    let sections = Sections {
        version: version(),
        parts: parts(),
    };
    let (first, last) = (4, 5);
    let rest = Some(BucketRange { first, last });
    let (from, to) = (fence(), fence());
    let mut all = vec![
        ("probe", PeerResponse::Probe(Some(message()))),
        ("probe_none", PeerResponse::Probe(None)),
        ("probe_for", PeerResponse::ProbeFor(None)),
        ("page", PeerResponse::Page(Some(page(rest)))),
        ("page_last", PeerResponse::Page(Some(page(None)))),
        ("sections", PeerResponse::Sections(Some(sections))),
        (
            "search_not_home",
            PeerResponse::Search(Err(Rejection::NotHome)),
        ),
        ("mint", PeerResponse::Mint(Ok(fenced_key()))),
        ("send_conflict", PeerResponse::Send(SendReply::Conflict)),
        (
            "send_ended",
            PeerResponse::Send(SendReply::Ended(not_run(Reason::Fence))),
        ),
        ("run", PeerResponse::Run(Ok(Outcome::Executed("1".into())))),
        (
            "take_over",
            PeerResponse::TakeOver(Some(Receipt { from, to })),
        ),
        ("take_over_none", PeerResponse::TakeOver(None)),
        ("hear", PeerResponse::Hear(())),
    ];
    let outcomes = outcomes().into_iter();
    all.extend(outcomes.map(|(name, outcome)| (name, PeerResponse::Search(Ok(outcome)))));
    let reasons = reasons().into_iter();
    all.extend(reasons.map(|(name, reason)| (name, PeerResponse::Run(Ok(not_run(reason))))));
    for (name, refusal) in refusals() {
        all.push((name, PeerResponse::Send(SendReply::Refused(refusal))));
        all.push((name, PeerResponse::Mint(Err(Rejection::Ledger(refusal)))));
    }
    all.extend(
        findings()
            .into_iter()
            .map(|(name, answer)| (name, PeerResponse::Ask(answer))),
    );
    all
}
