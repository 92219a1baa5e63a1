//! Renders members and facts as JSON for operators.

use monsoonring_decision::fact;
use monsoonring_decision::member::{Change, State};
use serde_json::{Value, json};

/// Renders a member.
pub(crate) fn member(member: &Change) -> Value {
    let (state, successor) = match member.state {
        State::Alive => ("alive", None),
        State::Suspect => ("suspect", None),
        State::Dead => ("dead", None),
        State::Left { successor } => ("left", successor),
    };
    json!({
        "address": member.id,
        "data_centre": &*member.data_centre,
        "state": state,
        "start": member.incarnation.start,
        "successor": successor,
    })
}

/// Renders a fact.
pub(crate) fn fact(entry: &fact::Entry) -> Value {
    let (kind, subject) = match &entry.key {
        fact::Key::Leaving(server) => ("leaving backend server", server.to_string()),
        fact::Key::Suspect(fingerprint) => ("crashing request", format!("{fingerprint:016x}")),
        fact::Key::CrashEvidence(fingerprint, server) => {
            ("crash evidence", format!("{fingerprint:016x} at {server}"))
        }
    };
    json!({
        "what": kind,
        "of": subject,
        "version": entry.stamp.version,
        "life_ms": entry.life.as_millis(),
    })
}
