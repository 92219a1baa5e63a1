//! Checks answers against the data of the fakes.
//!
//! The fakes hold one item at each multiple of a known number, and the value of an item contains its
//! key and index version. This detects answers that mix two snapshots, report more coverage than they
//! have, or contain duplicate items.

use crate::caller::Answer;
use crate::sample::Outcome;
use monsoonring_configuration::Range;
use monsoonring_configuration::id::Key;

/// Contents of a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Data {
    /// The key space.
    pub keys: Range,
    /// There is an item at each multiple of this number.
    pub item_every: u64,
}

/// Returns whether the items, coverage and missing ranges of a search's answer match the data. Always
/// true for other outcomes.
pub fn is_correct(answer: &Answer, data: &Data) -> bool {
    match answer.outcome {
        Outcome::Complete => answer.missing.is_empty() && is_correct_search(answer, data),
        Outcome::Partial => !answer.missing.is_empty() && is_correct_search(answer, data),
        _ => true,
    }
}

fn is_correct_search(answer: &Answer, data: &Data) -> bool {
    is_from_one_snapshot(answer)
        && has_expected_items(answer, data)
        && has_expected_coverage(answer, data)
}

fn is_from_one_snapshot(answer: &Answer) -> bool {
    let version = answer.index_version;
    let stated = answer
        .items
        .iter()
        .map(|item| item.value["version"].as_u64());
    version.is_some()
        && stated
            .into_iter()
            .all(|item_version| item_version == version)
}

/// Returns whether the answer has exactly the items of the covered keys, in order.
fn has_expected_items(answer: &Answer, data: &Data) -> bool {
    let expected = expected(answer, data);
    let found = answer.items.iter().map(|item| item.key);
    found.eq(expected)
}

fn expected<'a>(answer: &'a Answer, data: &Data) -> impl Iterator<Item = Key> + 'a {
    let every = data.item_every.max(1);
    let keys = data.keys;
    let first = keys.start.div_ceil(every) * every;
    let multiples = (first..keys.end).step_by(usize::try_from(every).unwrap_or(usize::MAX));
    multiples.filter(|key| !answer.missing.iter().any(|range| range.contains(*key)))
}

/// Returns whether the coverage matches the missing ranges. In experiments, the weight of a group is
/// proportional to its number of keys.
fn has_expected_coverage(answer: &Answer, data: &Data) -> bool {
    const TOLERANCE: f64 = 1e-6;
    let missing: u64 = answer.missing.iter().map(Range::len).sum();
    let covered = 1.0 - missing as f64 / data.keys.len() as f64;
    (covered - answer.coverage).abs() < TOLERANCE
}
