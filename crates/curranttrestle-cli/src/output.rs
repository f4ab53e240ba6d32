//! Writes results to standard output.

use std::io::{self, Write};

use serde::Serialize;

use crate::error::CliError;

/// Writes text unchanged and flushes it.
pub fn write(text: &str) -> Result<(), CliError> {
    write_bytes(text.as_bytes())
}

/// Writes bytes unchanged and flushes them.
pub fn write_bytes(bytes: &[u8]) -> Result<(), CliError> {
    let mut output = io::stdout().lock();
    output.write_all(bytes)?;
    output.flush()?;
    Ok(())
}

/// Writes a line.
pub fn line(text: &str) -> Result<(), CliError> {
    write(&format!("{text}\n"))
}

/// Writes a value as one line of JSON.
pub fn json(value: &impl Serialize) -> Result<(), CliError> {
    let text = serde_json::to_string(value).map_err(io::Error::from)?;
    line(&text)
}

/// Writes a header and rows, with each column padded to its widest cell.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> Result<(), CliError> {
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
    let mut widths = vec![0; header.len()];
    for row in std::iter::once(&header).chain(rows) {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = cell.chars().count().max(*width);
        }
    }
    for row in std::iter::once(&header).chain(rows) {
        let cells = row.iter().zip(&widths);
        let padded: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        line(padded.join("  ").trim_end())?;
    }
    Ok(())
}
