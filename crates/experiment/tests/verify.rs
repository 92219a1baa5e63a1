//! Answers held against the data of the stand-ins.

use monsoonring_configuration::Range;
use monsoonring_experiment::caller::{Answer, Item};
use monsoonring_experiment::sample::Outcome;
use monsoonring_experiment::verify::{Data, is_correct};
use serde_json::{Value, json};
use test_case::test_case;

const DATA: Data = Data {
    keys: Range { start: 0, end: 100 },
    item_every: 10,
};

fn item(key: u64, version: u64) -> Item {
    Item {
        key,
        value: json!({"key": key, "version": version}),
    }
}

fn whole() -> Answer {
    Answer {
        outcome: Outcome::Complete,
        request: String::new(),
        coverage: 1.0,
        index_version: Some(7),
        missing: Vec::new(),
        items: (0..10).map(|n| item(n * 10, 7)).collect(),
        value: Value::Null,
        reason: String::new(),
    }
}

fn half() -> Answer {
    Answer {
        outcome: Outcome::Partial,
        coverage: 0.5,
        missing: vec![Range::new(50, 100)],
        items: (0..5).map(|n| item(n * 10, 7)).collect(),
        ..whole()
    }
}

#[test_case(&whole(), true ; "whole")]
#[test_case(&half(), true ; "half")]
#[test_case(&Answer { outcome: Outcome::NotRun, ..half() }, true ; "no answer claims nothing")]
#[test_case(&Answer { outcome: Outcome::Complete, ..half() }, false ; "half that claims to be whole")]
#[test_case(&Answer { missing: Vec::new(), ..half() }, false ; "partial without a hole")]
#[test_case(&Answer { coverage: 0.6, ..half() }, false ; "overstated coverage")]
#[test_case(&Answer { items: half().items, ..whole() }, false ; "items lost")]
#[test_case(&Answer { items: whole().items, ..half() }, false ; "items of a missing range")]
#[test_case(&Answer { index_version: None, ..whole() }, false ; "no snapshot named")]
fn is_correct_answer(answer: &Answer, expected: bool) {
    assert_eq!(is_correct(answer, &DATA), expected);
}

#[test]
fn is_correct_mixed_snapshots_are_found() {
    let mut answer = whole();
    answer.items[4] = item(40, 8);
    assert!(!is_correct(&answer, &DATA));
}

#[test]
fn is_correct_doubled_item_is_found() {
    let mut answer = whole();
    answer.items.insert(5, item(40, 7));
    assert!(!is_correct(&answer, &DATA));
}
