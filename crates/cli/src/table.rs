//! Text tables with aligned columns.

use std::fmt::{self, Display, Formatter};

/// Spaces between two columns.
const COLUMN_GAP: usize = 2;

/// Table whose first row holds the column headings.
#[derive(Debug, Default)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with the given column headings.
    pub(crate) fn new(headings: &[&str]) -> Self {
        let header = headings.iter().map(ToString::to_string).collect();
        Self { rows: vec![header] }
    }

    /// Adds a row.
    pub(crate) fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        (0..columns)
            .map(|column| self.rows.iter().filter_map(move |row| row.get(column)))
            .map(|cells| cells.map(|cell| cell.chars().count()).max().unwrap_or(0))
            .collect()
    }
}

impl Display for Table {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}", width = width + COLUMN_GAP));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
