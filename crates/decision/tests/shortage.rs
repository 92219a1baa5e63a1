//! Periods of overload, as the log tells of them.

use monsoonring_decision::Time;
use monsoonring_decision::admission::Overload;
use monsoonring_decision::admission::overload::Change;
use test_case::test_case;

fn ms(value: u64) -> Time {
    Time::from_millis(value)
}

// Symptom: a surge writes two lines for each request to the log.
// Events:  requests are refused and let in by turns, hundreds in a second.
// Cause:   each change between the two counts as one of the state.
#[test]
fn shortage_of_a_surge_is_told_twice() {
    let mut overload = Overload::default();
    let mut told = Vec::new();
    for now in 0..3_000 {
        let change = match now % 2 {
            0 => overload.refused(ms(now)),
            _ => overload.admitted(ms(now)),
        };
        told.extend(change);
    }
    told.extend(overload.admitted(ms(4_500)));
    let ended = Change::Ended {
        refused: 1_500,
        lasted: ms(2_998),
    };
    assert_eq!(told, [Change::Began, ended]);
}

#[test_case(999, false; "before_a_second_is_over")]
#[test_case(1_000, true; "after_a_second")]
fn shortage_is_over(after: u64, is_told: bool) {
    let mut overload = Overload::default();
    assert_eq!(overload.admitted(ms(0)), None, "none has begun");
    assert_eq!(overload.refused(ms(0)), Some(Change::Began));
    assert_eq!(overload.admitted(ms(after)).is_some(), is_told);
}
