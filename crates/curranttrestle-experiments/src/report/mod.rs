//! Reports: tables, checks against targets, and plots.

mod plot;
mod write;

use std::fmt;

/// A table of results.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// The title.
    pub title: String,
    /// The column headings.
    pub columns: Vec<String>,
    /// The rows, one cell per column.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    #[must_use]
    pub fn new(title: &str, columns: &[&str]) -> Self {
        Self {
            title: title.to_owned(),
            columns: columns.iter().map(|&column| column.to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn push(&mut self, row: impl IntoIterator<Item = String>) {
        self.rows.push(row.into_iter().collect());
    }
}

impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let width_of = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells
                .chain(self.columns.get(column))
                .map(|cell| cell.chars().count())
                .max()
                .unwrap_or_default()
        };
        let widths: Vec<usize> = (0..self.columns.len()).map(width_of).collect();
        writeln!(formatter, "{}", self.title)?;
        for row in std::iter::once(&self.columns).chain(&self.rows) {
            for (cell, width) in row.iter().zip(&widths) {
                write!(formatter, "  {cell:<width$}")?;
            }
            writeln!(formatter)?;
        }
        Ok(())
    }
}

/// A measured value and its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Check {
    /// What was measured.
    pub measure: String,
    /// The measured value, formatted.
    pub value: String,
    /// The target in words.
    pub target: String,
    /// Whether the value meets the target.
    pub met: bool,
}

impl Check {
    /// Creates a check that `value` is at most `limit`.
    #[must_use]
    pub fn at_most(measure: &str, value: f64, limit: f64) -> Self {
        Self {
            measure: measure.to_owned(),
            value: format!("{value:.3}"),
            target: format!("at most {limit:.3}"),
            met: value <= limit,
        }
    }

    /// Creates a check that `value` is at least `limit`.
    #[must_use]
    pub fn at_least(measure: &str, value: f64, limit: f64) -> Self {
        Self {
            measure: measure.to_owned(),
            value: format!("{value:.3}"),
            target: format!("at least {limit:.3}"),
            met: value >= limit,
        }
    }
}

/// One line of a plot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Series {
    /// The name in the legend.
    pub name: String,
    /// The points as (x, y).
    pub points: Vec<(f64, f64)>,
}

/// A line plot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plot {
    /// The title.
    pub title: String,
    /// The label of the horizontal axis.
    pub x_label: String,
    /// The label of the vertical axis.
    pub y_label: String,
    /// The lines.
    pub series: Vec<Series>,
}

/// The results of an experiment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The name of the experiment.
    pub name: String,
    /// The seed of its load.
    pub seed: u64,
    /// The tables.
    pub tables: Vec<Table>,
    /// The checks against targets.
    pub checks: Vec<Check>,
    /// The plot, if the experiment has one.
    pub plot: Option<Plot>,
}

impl Report {
    /// Creates an empty report.
    #[must_use]
    pub fn new(name: &str, seed: u64) -> Self {
        Self {
            name: name.to_owned(),
            seed,
            ..Self::default()
        }
    }

    /// The checks as a table.
    #[must_use]
    pub fn check_table(&self) -> Table {
        let mut table = Table::new("targets", &["measure", "value", "target", "result"]);
        for check in &self.checks {
            let result = if check.met { "met" } else { "missed" };
            table.push([
                check.measure.clone(),
                check.value.clone(),
                check.target.clone(),
                result.to_owned(),
            ]);
        }
        table
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "== {} seed={}", self.name, self.seed)?;
        for table in &self.tables {
            writeln!(formatter, "{table}")?;
        }
        if !self.checks.is_empty() {
            writeln!(formatter, "{}", self.check_table())?;
        }
        Ok(())
    }
}
