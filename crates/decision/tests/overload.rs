//! Start and end of overload periods.

use monsoonring_decision::Time;
use monsoonring_decision::admission::Overload;
use monsoonring_decision::admission::overload::Change;
use test_case::test_case;

fn ms(value: u64) -> Time {
    Time::from_millis(value)
}

// Guards against two log lines per request in a surge, when refusals and admissions alternate.
#[test]
fn overload_surge_is_reported_at_start_and_end() {
    let mut overload = Overload::default();
    let mut changes = Vec::new();
    for now in 0..3_000 {
        let change = match now % 2 {
            0 => overload.refused(ms(now)),
            _ => overload.admitted(ms(now)),
        };
        changes.extend(change);
    }
    changes.extend(overload.admitted(ms(4_500)));
    let ended = Change::Ended {
        refused: 1_500,
        lasted: ms(2_998),
    };
    assert_eq!(changes, [Change::Began, ended]);
}

#[test_case(999, false; "before_a_second_is_over")]
#[test_case(1_000, true; "after_a_second")]
fn overload_ends_after_a_quiet_second(after: u64, has_ended: bool) {
    let mut overload = Overload::default();
    assert_eq!(overload.admitted(ms(0)), None, "no period has begun");
    assert_eq!(overload.refused(ms(0)), Some(Change::Began));
    assert_eq!(overload.admitted(ms(after)).is_some(), has_ended);
}
