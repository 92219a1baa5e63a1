//! Formats rows as Markdown and CSV.

use crate::report::{PERCENT, Row, Summary};
use crate::sample::Outcome;
use std::time::Duration;

const MEDIAN: f64 = 0.5;
const P99: f64 = 0.99;
const P999: f64 = 0.999;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// A column of the report.
struct Column {
    heading: &'static str,
    value: fn(&Summary) -> String,
}

const COLUMNS: [Column; 17] = [
    column("requests", |s| s.requests.to_string()),
    column("p50 ms", |s| millis(s.latency(MEDIAN))),
    column("p99 ms", |s| millis(s.latency(P99))),
    column("p99.9 ms", |s| millis(s.latency(P999))),
    column("max ms", |s| {
        millis(Duration::from_micros(s.latencies.max()))
    }),
    column("goodput /s", |s| format!("{:.1}", s.goodput)),
    column("coverage mean %", |s| percent(s.coverage.map(|c| c.mean))),
    column("coverage min %", |s| percent(s.coverage.map(|c| c.min))),
    column("extra load %", |s| {
        format!("{:.2}", s.attempts.extra_percent())
    }),
    column("partial", |s| s.outcome(Outcome::Partial).to_string()),
    column("not run", |s| s.outcome(Outcome::NotRun).to_string()),
    column("failed", |s| s.outcome(Outcome::Failed).to_string()),
    column("unknown", |s| s.outcome(Outcome::Unknown).to_string()),
    column("no answer", |s| {
        let silent = s.outcome(Outcome::Silent);
        (silent + s.outcome(Outcome::Unreachable)).to_string()
    }),
    column("crashes", |s| s.attempts.crashes.to_string()),
    column("doubled", |s| s.attempts.doubled.to_string()),
    column("untrue", |s| s.untrue.to_string()),
];

const fn column(heading: &'static str, value: fn(&Summary) -> String) -> Column {
    Column { heading, value }
}

/// Returns the rows as a Markdown table.
pub fn markdown(rows: &[Row]) -> String {
    let mut text = line(&headings());
    let rule: Vec<String> = headings().iter().map(|_| "---".to_owned()).collect();
    text.push_str(&line(&rule));
    for row in rows {
        text.push_str(&line(&cells(row)));
    }
    text
}

/// Returns the rows as CSV with a header line.
pub fn csv(rows: &[Row]) -> String {
    let lines = std::iter::once(headings()).chain(rows.iter().map(cells));
    lines.map(|cells| record(&cells)).collect()
}

fn record(cells: &[String]) -> String {
    let quoted: Vec<String> = cells.iter().map(|cell| quote(cell)).collect();
    quoted.join(",") + "\n"
}

/// Quotes a cell if needed: names of scenarios and policies contain commas.
fn quote(cell: &str) -> String {
    if cell.contains([',', '"']) {
        format!("\"{}\"", cell.replace('"', "\"\""))
    } else {
        cell.to_owned()
    }
}

fn line(cells: &[String]) -> String {
    format!("| {} |\n", cells.join(" | "))
}

fn headings() -> Vec<String> {
    let names = COLUMNS.iter().map(|column| column.heading);
    let names = ["scenario", "policy"].into_iter().chain(names);
    names.map(str::to_owned).collect()
}

fn cells(row: &Row) -> Vec<String> {
    let values = COLUMNS.iter().map(|column| (column.value)(&row.summary));
    let names = [row.scenario.clone(), row.policy.clone()];
    names.into_iter().chain(values).collect()
}

fn millis(time: Duration) -> String {
    format!("{:.1}", time.as_secs_f64() * MILLIS_PER_SECOND)
}

fn percent(share: Option<f64>) -> String {
    share.map_or_else(|| "-".to_owned(), |share| format!("{:.3}", share * PERCENT))
}
