//! Invariants of the answers, checked against what callers received and servers ran.

use super::support::client::Reply;
use std::collections::BTreeMap;

/// Violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Violation {
    pub(crate) invariant: &'static str,
    pub(crate) id: String,
    pub(crate) details: String,
}

fn violation(invariant: &'static str, id: &str, details: impl Into<String>) -> Violation {
    Violation {
        invariant,
        id: id.to_owned(),
        details: details.into(),
    }
}

/// Records by service, greatest first.
pub(crate) type Records = BTreeMap<String, Vec<String>>;

/// Checks a successful answer to a search over the services in `records`.
///
/// # Errors
///
/// Returns the first invariant that the answer violates.
pub(crate) fn search(id: &str, reply: &Reply, records: &Records) -> Result<(), Violation> {
    let mut services = Vec::new();
    for signature in reply.signatures() {
        let Some((instance, request)) = signature.split_once('/') else {
            return Err(violation("complete answers", id, signature));
        };
        if request != id {
            return Err(violation("answers reach the right caller", id, signature));
        }
        // Instance names have the form `i-SERVICE-REPLICA`.
        services.push(instance.split('-').nth(1).unwrap_or_default().to_owned());
    }
    let parts = services.len();
    services.sort();
    services.dedup();
    let known = services.iter().all(|service| records.contains_key(service));
    if services.len() < parts || !known || parts == 0 {
        return Err(violation(
            "one shard set per answer",
            id,
            services.join(", "),
        ));
    }
    let missing = reply.missing();
    if missing.unwrap_or(0) + parts != records.len() {
        return Err(violation(
            "accurate coverage",
            id,
            format!("{parts} parts, {missing:?} missing"),
        ));
    }
    let covered = services.iter().filter_map(|service| records.get(service));
    let mut expected: Vec<&String> = covered.flatten().collect();
    expected.sort_by(|left, right| right.cmp(left));
    let expected: String = expected.into_iter().map(String::as_str).collect();
    match expected.starts_with(&reply.body) && !reply.body.is_empty() {
        true => Ok(()),
        false => Err(violation("complete answers", id, reply.body.clone())),
    }
}

/// Checks a non-idempotent request: the status that its caller received, if any, against the number of times
/// that servers ran it.
///
/// # Errors
///
/// Returns the invariant that was violated.
pub(crate) fn at_most_once(id: &str, status: Option<u16>, runs: usize) -> Result<(), Violation> {
    let details = format!("status {status:?}, {runs} runs");
    if runs > 1 {
        return Err(violation("at most once", id, details));
    }
    match status {
        Some(408 | 421 | 429 | 503) if runs > 0 => {
            Err(violation("not run means never run", id, details))
        }
        Some(200) if runs == 0 => Err(violation("complete answers", id, details)),
        _ => Ok(()),
    }
}
