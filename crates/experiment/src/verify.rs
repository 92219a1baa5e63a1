//! Holding an answer against the data.
//!
//! The stand-ins hold one item at each multiple of a known number, and the value of an item names
//! its key and the index version that it was taken from. That is enough to find an answer that mixes
//! two snapshots, claims keys that it did not look through, or has items twice.

use crate::caller::Answer;
use crate::sample::Outcome;
use monsoonring_configuration::Range;
use monsoonring_configuration::id::Key;

/// What a whole answer holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Data {
    /// The key space.
    pub keys: Range,
    /// There is an item at each multiple of this number.
    pub item_every: u64,
}

/// Tells whether an answer says the truth about itself; one that is no answer to a search always
/// does.
pub fn is_true(answer: &Answer, data: &Data) -> bool {
    match answer.outcome {
        Outcome::Complete => answer.missing.is_empty() && holds(answer, data),
        Outcome::Partial => !answer.missing.is_empty() && holds(answer, data),
        _ => true,
    }
}

fn holds(answer: &Answer, data: &Data) -> bool {
    one_snapshot(answer) && the_items(answer, data) && the_coverage(answer, data)
}

fn one_snapshot(answer: &Answer) -> bool {
    let version = answer.index_version;
    let stated = answer
        .items
        .iter()
        .map(|item| item.value["version"].as_u64());
    version.is_some() && stated.into_iter().all(|of_item| of_item == version)
}

/// Every item of the covered keys is there once and in order, and none besides.
fn the_items(answer: &Answer, data: &Data) -> bool {
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

/// The groups of the experiments weigh as much as they have keys, so that the coverage follows from
/// the missing ranges.
fn the_coverage(answer: &Answer, data: &Data) -> bool {
    const TOLERANCE: f64 = 1e-6;
    let missing: u64 = answer.missing.iter().map(Range::len).sum();
    let covered = 1.0 - missing as f64 / data.keys.len() as f64;
    (covered - answer.coverage).abs() < TOLERANCE
}
