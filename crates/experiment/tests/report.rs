//! Sums, tables and plots.

use monsoonring_experiment::report::{Attempts, Row, Summary, csv, markdown, plot};
use monsoonring_experiment::sample::{Outcome, Sample};
use std::time::Duration;
use test_case::test_case;

fn sample(millis: u64, outcome: Outcome, coverage: f64) -> Sample {
    Sample {
        intended: Duration::ZERO,
        lag: Duration::ZERO,
        latency: Duration::from_millis(millis),
        outcome,
        coverage: Some(coverage),
        index_version: Some(1),
        reason: String::new(),
        untrue: false,
    }
}

fn row() -> Row {
    let mut samples: Vec<Sample> = (1..=98)
        .map(|millis| sample(millis, Outcome::Complete, 1.0))
        .collect();
    samples.push(sample(200, Outcome::Partial, 0.5));
    samples.push(sample(1, Outcome::NotRun, 0.0));
    let attempts = Attempts {
        first: 1_000,
        all: 1_025,
        crashes: 0,
        doubled: 0,
    };
    let duration = Duration::from_secs(2);
    let deadline = Duration::from_millis(150);
    Row {
        scenario: "gate desk".to_owned(),
        policy: "document".to_owned(),
        summary: Summary::new(&samples, duration, deadline, attempts),
    }
}

#[test]
fn summary_counts_refused_requests_as_uncovered() {
    let summary = row().summary;
    assert_eq!(summary.requests, 100);
    assert_eq!(summary.outcome(Outcome::NotRun), 1);
    let coverage = summary.coverage.expect("searches");
    assert!((coverage.mean - 0.985).abs() < 1e-9);
    assert!((coverage.min - 0.5).abs() < 1e-9);
}

#[test]
fn summary_executed_requests_have_no_coverage() {
    let executed = Sample {
        coverage: None,
        ..sample(5, Outcome::Executed, 0.0)
    };
    let second = Duration::from_secs(1);
    let summary = Summary::new(&[executed], second, second, Attempts::default());
    assert_eq!(summary.coverage, None);
    let row = Row { summary, ..row() };
    assert!(markdown(&[row]).contains("| - | - |"));
}

#[test]
fn summary_late_answers_are_no_goodput() {
    assert!((row().summary.goodput - 49.0).abs() < 1e-9);
}

#[test_case(0.5, 50 ; "median")]
#[test_case(0.98, 98 ; "p98")]
#[test_case(1.0, 200 ; "maximum")]
fn summary_latency_of_answers(share: f64, millis: u64) {
    let micros = row().summary.latency(share).as_micros() as f64;
    let expected = (millis * 1_000) as f64;
    // The histogram keeps three digits.
    assert!((micros - expected).abs() <= expected * 0.001, "{micros}");
}

#[test]
fn extra_percent_counts_attempts_beyond_the_first() {
    assert!((row().summary.attempts.extra_percent() - 2.5).abs() < 1e-9);
    assert!(Attempts::default().extra_percent().abs() < 1e-9);
}

#[test]
fn markdown_and_csv_hold_the_same_cells() {
    let rows = [row()];
    let from_csv = csv(&rows).replace(',', " | ");
    let table = markdown(&rows);
    for line in from_csv.lines() {
        assert!(table.contains(&format!("| {line} |")), "{line}\n{table}");
    }
}

#[test]
fn csv_name_with_a_comma_is_one_cell() {
    let row = Row {
        policy: "no hedge, no retry".to_owned(),
        ..row()
    };
    assert!(csv(&[row]).contains("gate desk,\"no hedge, no retry\",100,"));
}

#[test]
fn plot_names_each_policy() {
    let directory = std::env::temp_dir().join(format!("monsoonring-plot-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let path = directory.join("latency.svg");
    let other = Row {
        policy: "baseline".to_owned(),
        ..row()
    };
    plot::latencies(&[&row(), &other], "gate desk", &path).expect("a plot");
    let text = std::fs::read_to_string(&path).expect("a file");
    assert!(text.contains("document") && text.contains("baseline"));
    std::fs::remove_dir_all(&directory).expect("removed");
}
