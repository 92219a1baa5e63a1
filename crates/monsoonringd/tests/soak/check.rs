//! What must hold of each answer, judged from what callers were told and servers ran.

use super::support::client::Reply;
use std::collections::BTreeMap;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Violation {
    pub(crate) promise: &'static str,
    pub(crate) id: String,
    pub(crate) seen: String,
}

fn broken(promise: &'static str, id: &str, seen: impl Into<String>) -> Violation {
    Violation {
        promise,
        id: id.to_owned(),
        seen: seen.into(),
    }
}

/// Records of each service, greatest first.
pub(crate) type Records = BTreeMap<String, Vec<String>>;

/// Judges a successful answer to a search over the services in `records`.
///
/// # Errors
///
/// The promise that it breaks.
pub(crate) fn search(id: &str, told: &Reply, records: &Records) -> Result<(), Violation> {
    let mut services = Vec::new();
    for stamp in told.signatures() {
        let Some((instance, of)) = stamp.split_once('/') else {
            return Err(broken("whole answers", id, stamp));
        };
        if of != id {
            return Err(broken("answers to the right caller", id, stamp));
        }
        // An instance is named after its service: `i-SERVICE-NUMBER`.
        services.push(instance.split('-').nth(1).unwrap_or_default().to_owned());
    }
    let parts = services.len();
    services.sort();
    services.dedup();
    let known = services.iter().all(|service| records.contains_key(service));
    if services.len() < parts || !known || parts == 0 {
        return Err(broken("one snapshot an answer", id, services.join(", ")));
    }
    let missing = told.missing();
    if missing.unwrap_or(0) + parts != records.len() {
        return Err(broken(
            "coverage told truly",
            id,
            format!("{parts} parts, {missing:?} missing"),
        ));
    }
    let of_parts = services.iter().filter_map(|service| records.get(service));
    let mut expected: Vec<&String> = of_parts.flatten().collect();
    expected.sort_by(|one, other| other.cmp(one));
    let expected: String = expected.into_iter().map(String::as_str).collect();
    match expected.starts_with(&told.body) && !told.body.is_empty() {
        true => Ok(()),
        false => Err(broken("whole answers", id, told.body.clone())),
    }
}

/// Judges what became of a request that may run once: its status, if there was an answer, and how often
/// servers ran it.
///
/// # Errors
///
/// The promise that it breaks.
pub(crate) fn once(id: &str, status: Option<u16>, runs: usize) -> Result<(), Violation> {
    let seen = format!("status {status:?}, {runs} runs");
    if runs > 1 {
        return Err(broken("at most once", id, seen));
    }
    match status {
        Some(408 | 421 | 429 | 503) if runs > 0 => Err(broken("not run is true", id, seen)),
        Some(200) if runs == 0 => Err(broken("whole answers", id, seen)),
        _ => Ok(()),
    }
}
