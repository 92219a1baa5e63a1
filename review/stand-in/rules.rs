//! The rules, as the pages have them, over what clients and backends have seen.

use crate::record::{Event, Record};
use std::collections::{BTreeMap, BTreeSet};

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// TWICE: returns the requests that ran more than once.
pub fn run_twice(record: &Record) -> Vec<String> {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for (_, event) in record.events() {
        if let Event::Run { id, .. } = event {
            *runs.entry(id).or_default() += 1;
        }
    }
    runs.into_iter()
        .filter(|(_, count)| *count > 1)
        .map(|(id, _)| id)
        .collect()
}

/// REFUSED: returns the requests that were answered with a promise not to run, and ran.
pub fn refused_and_run(record: &Record) -> Vec<String> {
    let mut run = BTreeSet::new();
    let mut refused = BTreeSet::new();
    for (_, event) in record.events() {
        match event {
            Event::Run { id, .. } => {
                run.insert(id);
            }
            Event::Answered { id, status } if PROMISES.contains(&status) => {
                refused.insert(id);
            }
            _ => {}
        }
    }
    run.intersection(&refused).cloned().collect()
}

/// LOST: returns the requests that were sent before `sent_before`, whose connection ended without an answer between
/// `from` and `until` (in milliseconds), and that have reached no backend, with their ages at the end.
///
/// This is narrower than the rule: requests that a backend has seen are left out, because it might still have been at
/// work on them.
pub fn lost_without_run(
    record: &Record,
    sent_before: u128,
    from: u128,
    until: u128,
) -> Vec<(String, u128)> {
    let mut sent: BTreeMap<String, u128> = BTreeMap::new();
    let mut closed: BTreeMap<String, u128> = BTreeMap::new();
    let mut seen: BTreeSet<String> = BTreeSet::new();
    for (at, event) in record.events() {
        match event {
            Event::Sent { id, .. } if at < sent_before => {
                sent.insert(id, at);
            }
            Event::Answered { id, status: 0 } if (from..=until).contains(&at) => {
                closed.insert(id, at);
            }
            Event::Reached { id, .. } | Event::Rejected { id, .. } => {
                seen.insert(id);
            }
            _ => {}
        }
    }
    let unseen = closed.into_iter().filter(|(id, _)| !seen.contains(id));
    unseen
        .filter_map(|(id, at)| sent.get(&id).map(|sent| (id.clone(), at - sent)))
        .collect()
}

/// DRAIN: returns the requests that reached backends whose names begin with `prefix` after `due` (in milliseconds), and
/// when. Requests that got a 421 don't count.
pub fn reached_after(record: &Record, prefix: &str, due: u128) -> Vec<(String, u128)> {
    let reached = record
        .events()
        .into_iter()
        .filter_map(|(at, event)| match event {
            Event::Reached { id, backend } if backend.starts_with(prefix) => Some((id, at)),
            _ => None,
        });
    reached.filter(|(_, at)| *at > due).collect()
}

/// Returns the requests that backends whose names begin with `prefix` were running at a time, given how long they work.
pub fn running_at(record: &Record, prefix: &str, time: u128, work: u128) -> Vec<String> {
    let runs = record
        .events()
        .into_iter()
        .filter_map(|(at, event)| match event {
            Event::Run { id, backend, .. } if backend.starts_with(prefix) => Some((id, at)),
            _ => None,
        });
    let running = runs.filter(|(_, at)| *at <= time && at + work > time);
    running.map(|(id, _)| id).collect()
}
