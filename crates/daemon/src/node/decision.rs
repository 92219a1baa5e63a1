//! What the ledger decided on a key, in words for the log and for operators.

use monsoonring_decision::idempotency::Decision;
use monsoonring_decision::member::MemberId;

/// Says what the ledger decided, whom it concerns, and why.
pub(super) fn describe(decision: &Decision) -> (&'static str, Option<MemberId>, String) {
    match decision {
        Decision::Run(_) => ("run", None, "the key has not been run".to_owned()),
        Decision::Join => ("join", None, "another send of the key runs".to_owned()),
        Decision::Replay(_) => ("replay", None, "the key has its outcome".to_owned()),
        Decision::Refuse(refusal) => ("refuse", None, format!("key: {refusal:?}")),
        Decision::ForwardTo(fence) => {
            let why = "the key names that incarnation".to_owned();
            ("pass on", Some(fence.member), why)
        }
        Decision::LookUp => {
            let why = "a later send of a key that is not known here".to_owned();
            ("ask members", None, why)
        }
    }
}
