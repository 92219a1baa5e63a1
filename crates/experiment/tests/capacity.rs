//! The capacity page against the formulas.

use monsoonring_experiment::capacity;
use std::fs;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CAPACITY.md");

fn page() -> String {
    fs::read_to_string(PAGE).expect("the page")
}

// Symptom: the page says that a budget is kept, and a newer measurement says that it is not.
// Events: somebody measured anew and wrote the slope down, but not what follows from it.
// Cause: derived figures were written by hand.
#[test]
fn rewrite_page_is_up_to_date() {
    let page = page();
    let derived = capacity::rewrite(&page).expect("the page has all figures");
    assert_eq!(derived, page, "run `cargo run --example capacity`");
}

#[test]
fn rewrite_changed_slope_changes_the_page() {
    let page = page();
    let line = page
        .lines()
        .find(|line| line.contains("`home_us_per_attempt`"));
    let changed = page.replace(
        line.expect("the slope"),
        "| `home_us_per_attempt` | 1000 | | |",
    );
    let derived = capacity::rewrite(&changed).expect("the page has all figures");
    assert_ne!(derived, changed);
}

#[test]
fn rewrite_missing_figure_is_named() {
    let page = page().replace("`home_us_per_attempt`", "`another`");
    let error = capacity::rewrite(&page).expect_err("a figure is missing");
    assert_eq!(
        error,
        capacity::Error::Missing {
            name: "home_us_per_attempt".to_owned()
        }
    );
}
