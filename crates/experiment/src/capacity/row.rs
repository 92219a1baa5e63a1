//! Derived figures and their budgets.

use std::fmt::Write;

/// A section of derived figures.
#[derive(Clone, Debug, PartialEq)]
pub struct Section {
    /// Heading of the section.
    pub title: &'static str,
    /// Description of the role and the source of the figures.
    pub prose: &'static str,
    /// Rows of the section's table.
    pub rows: Vec<Row>,
}

/// A derived figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Description of the figure.
    pub label: &'static str,
    /// Value in `unit`.
    pub value: f64,
    /// Unit of the value and the budget; empty for a count.
    pub unit: &'static str,
    /// Maximum of the value; `None` if there is no budget.
    pub budget: Option<f64>,
    /// Module that implements the behaviour.
    pub module: &'static str,
}

impl Row {
    /// Returns a figure without a budget.
    pub(super) fn new(
        label: &'static str,
        value: f64,
        unit: &'static str,
        module: &'static str,
    ) -> Self {
        let budget = None;
        Self {
            label,
            value,
            unit,
            budget,
            module,
        }
    }

    /// Sets the budget.
    pub(super) fn within(self, budget: f64) -> Self {
        let budget = Some(budget);
        Self { budget, ..self }
    }

    /// Returns the ratio of value to budget; above 1 the budget is exceeded.
    pub fn share(&self) -> Option<f64> {
        self.budget.map(|budget| self.value / budget)
    }

    fn markdown(&self) -> String {
        let Self {
            label,
            unit,
            module,
            ..
        } = self;
        let value = number(self.value);
        let (budget, verdict) = match (self.budget, self.share()) {
            (Some(budget), Some(share)) => (number(budget), verdict(share)),
            _ => ("—".to_owned(), "—".to_owned()),
        };
        format!("| {label} | {value} {unit} | {budget} | {verdict} | `{module}` |\n")
    }
}

fn verdict(share: f64) -> String {
    if share > 1.0 {
        format!("**missed by a factor of {}**", number(share))
    } else {
        format!("kept, {} of it", number(share))
    }
}

impl Section {
    pub(super) fn markdown(&self) -> String {
        let mut text = format!("### {}\n\n{}\n\n", self.title, self.prose);
        text.push_str("| what | at design size | budget | verdict | carried by |\n");
        text.push_str("| --- | --- | --- | --- | --- |\n");
        for row in &self.rows {
            let _ = write!(text, "{}", row.markdown());
        }
        text.push('\n');
        text
    }
}

/// Formats a number with three significant digits and thousands separators.
fn number(value: f64) -> String {
    const DIGITS: i32 = 3;
    if value == 0.0 {
        return "0".to_owned();
    }
    let magnitude = value.abs().log10().floor() as i32;
    let places = (DIGITS - 1 - magnitude).max(0);
    let unit = 10_f64.powi(DIGITS - 1 - magnitude);
    let rounded = (value * unit).round() / unit;
    let text = format!("{rounded:.*}", usize::try_from(places).unwrap_or(0));
    match text.split_once('.') {
        Some(_) => text.trim_end_matches('0').trim_end_matches('.').to_owned(),
        None => separated(&text),
    }
}

fn separated(digits: &str) -> String {
    const GROUP: usize = 3;
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index) % GROUP == 0 {
            text.push(',');
        }
        text.push(digit);
    }
    text
}
