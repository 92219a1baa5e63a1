//! One derived figure, held against its budget.

use std::fmt::Write;

/// Figures of one role or question.
#[derive(Clone, Debug, PartialEq)]
pub struct Section {
    /// Heading.
    pub title: &'static str,
    /// What carries it, where the figures come from.
    pub prose: &'static str,
    /// The figures.
    pub rows: Vec<Row>,
}

/// One derived figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// What it is.
    pub what: &'static str,
    /// The figure.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
    /// What it may be at most, in the same unit.
    pub budget: Option<f64>,
    /// The module that carries it.
    pub module: &'static str,
}

impl Row {
    /// Makes a figure without a budget.
    pub(super) fn new(
        what: &'static str,
        value: f64,
        unit: &'static str,
        module: &'static str,
    ) -> Self {
        let budget = None;
        Self {
            what,
            value,
            unit,
            budget,
            module,
        }
    }

    /// Holds the figure against a budget.
    pub(super) fn within(self, budget: f64) -> Self {
        let budget = Some(budget);
        Self { budget, ..self }
    }

    /// Returns how much of its budget the figure takes; above 1 it misses it by this factor.
    pub fn share(&self) -> Option<f64> {
        self.budget.map(|budget| self.value / budget)
    }

    fn markdown(&self) -> String {
        let Self {
            what, unit, module, ..
        } = self;
        let value = number(self.value);
        let (budget, verdict) = match (self.budget, self.share()) {
            (Some(budget), Some(share)) => (number(budget), verdict(share)),
            _ => ("—".to_owned(), "—".to_owned()),
        };
        format!("| {what} | {value} {unit} | {budget} | {verdict} | `{module}` |\n")
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

/// Three significant digits, with separators; never more than the measurement gives.
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
    for (place, digit) in digits.chars().enumerate() {
        if place > 0 && (digits.len() - place) % GROUP == 0 {
            text.push(',');
        }
        text.push(digit);
    }
    text
}
