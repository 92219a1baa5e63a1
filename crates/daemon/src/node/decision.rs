//! Describes the ledger's decisions on idempotency keys for the log and for operators.

use monsoonring_decision::idempotency::Decision;
use monsoonring_decision::member::MemberId;

/// Returns a decision's label, the member it refers to and its reason.
pub(super) fn describe(decision: &Decision) -> (&'static str, Option<MemberId>, String) {
    match decision {
        Decision::Run(_) => ("run", None, "first use of the key".to_owned()),
        Decision::Join => (
            "join",
            None,
            "a request with this key is in progress".to_owned(),
        ),
        Decision::Replay(_) => (
            "replay",
            None,
            "the outcome of the key is recorded".to_owned(),
        ),
        Decision::Refuse(refusal) => ("refuse", None, format!("key: {refusal:?}")),
        Decision::ForwardTo(fence) => {
            let reason = "the key was issued by that incarnation".to_owned();
            ("pass on", Some(fence.member), reason)
        }
        Decision::LookUp => {
            let reason = "resend of a key that is unknown here".to_owned();
            ("ask members", None, reason)
        }
    }
}
