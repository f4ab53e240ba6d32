//! Findings: errors in an input file, collected with their locations and reported together.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The location of a finding in an input. Lines and columns are numbered from one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// The file, or the name of the input.
    pub file: String,
    /// The line, or `None` if the finding concerns the whole input.
    pub line: Option<u64>,
    /// The column within the line.
    pub column: Option<u64>,
    /// The settings key or the column name.
    pub key: Option<String>,
}

impl Location {
    /// Returns the location of the byte `offset` in `text`. An `offset` of `None` stands for the
    /// whole text.
    ///
    /// ```
    /// use curranttrestle::state::Location;
    /// let location = Location::at("a.toml", "x = 1\ny = 2", Some(10), "y");
    /// assert_eq!(location.to_string(), "a.toml:2:5 (y)");
    /// ```
    #[must_use]
    pub fn at(file: &str, text: &str, offset: Option<usize>, key: &str) -> Self {
        let position = offset.map(|offset| line_and_column(text, offset));
        Self {
            file: file.to_owned(),
            line: position.map(|(line, _)| line),
            column: position.map(|(_, column)| column),
            key: Some(key.to_owned()).filter(|key| !key.is_empty()),
        }
    }
}

/// Converts a byte offset to line and column, both numbered from one. Columns count characters.
fn line_and_column(text: &str, offset: usize) -> (u64, u64) {
    let before = text.get(..offset).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    let line = before.matches('\n').count() + 1;
    let column = before[line_start..].chars().count() + 1;
    (line as u64, column as u64)
}

impl fmt::Display for Location {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.file)?;
        if let Some(line) = self.line {
            write!(formatter, ":{line}")?;
        }
        if let Some(column) = self.column {
            write!(formatter, ":{column}")?;
        }
        if let Some(key) = &self.key {
            write!(formatter, " ({key})")?;
        }
        Ok(())
    }
}

/// One error in an input.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Where the error is.
    pub place: Location,
    /// What is wrong and what is expected instead.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.place, self.message)
    }
}

/// All errors in an input, ordered by location. Never empty when returned as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a finding.
    pub fn add(&mut self, place: Location, message: impl Into<String>) {
        self.0.push(Finding {
            place,
            message: message.into(),
        });
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns all findings if there is at least one.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.0.is_empty() {
            return Ok(value);
        }
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{finding}")?;
        }
        Ok(())
    }
}
