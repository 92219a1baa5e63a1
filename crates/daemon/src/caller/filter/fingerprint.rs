//! Computes the fingerprint of a request, a hash of its route and body.
//!
//! Fingerprints identify requests like one that crashed backend servers, and keys that are reused
//! for a different request. Equal JSON values must have equal fingerprints although some libraries
//! write members and white space differently each time, so members are hashed in the order of
//! their names and white space is not hashed. SHA-256 keeps a caller from constructing a request
//! that collides with another caller's and gets that one refused.

use super::{Filter, Result};
use crate::caller::exchange::{Exchange, Fingerprinted, Json, WithKey};
use monsoonring_decision::Fingerprint;
use serde_json::Value;
use sha2::{Digest, Sha256};

/// Leading bytes of the digest that form the fingerprint.
const BYTES: usize = size_of::<Fingerprint>();

/// Adds the fingerprint.
pub(crate) struct ComputeFingerprint;

impl Filter<Exchange<WithKey, Json>> for ComputeFingerprint {
    type After = Exchange<WithKey, Fingerprinted>;

    async fn apply(&self, before: Exchange<WithKey, Json>) -> Result<Self::After> {
        let fingerprint = fingerprint(
            &before.stage.with_deadline.routed.route.name,
            &before.body.value,
        );
        let text = before.body.text.clone();
        Ok(before.with_body(Fingerprinted { text, fingerprint }))
    }
}

fn fingerprint(route: &str, body: &Value) -> Fingerprint {
    let mut hash = Sha256::new();
    feed_text(&mut hash, b'r', route);
    feed(&mut hash, body);
    let digest = hash.finalize();
    let mut bytes = [0; BYTES];
    for (to, from) in bytes.iter_mut().zip(digest) {
        *to = from;
    }
    Fingerprint::from_be_bytes(bytes)
}

/// Feeds a value to the hash. Each part begins with its kind and length, so that different values
/// produce different input. The parser bounds the recursion depth.
fn feed(hash: &mut Sha256, value: &Value) {
    match value {
        Value::Null => hash.update(b"n"),
        Value::Bool(true) => hash.update(b"t"),
        Value::Bool(false) => hash.update(b"f"),
        Value::Number(number) => feed_text(hash, b'#', &number.to_string()),
        Value::String(text) => feed_text(hash, b's', text),
        Value::Array(values) => {
            feed_length(hash, b'[', values.len());
            values.iter().for_each(|value| feed(hash, value));
        }
        Value::Object(members) => {
            feed_length(hash, b'{', members.len());
            let mut members: Vec<_> = members.iter().collect();
            members.sort_unstable_by_key(|(name, _)| *name);
            for (name, value) in members {
                feed_text(hash, b's', name);
                feed(hash, value);
            }
        }
    }
}

fn feed_text(hash: &mut Sha256, kind: u8, text: &str) {
    feed_length(hash, kind, text.len());
    hash.update(text);
}

fn feed_length(hash: &mut Sha256, kind: u8, length: usize) {
    hash.update([kind]);
    hash.update(length.to_be_bytes());
}
