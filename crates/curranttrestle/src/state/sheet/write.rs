//! Writes a sheet in canonical CSV form.

use std::fmt::Display;

use indexmap::IndexMap;

use super::Sheet;
use super::rows::Record;

/// Writes `sheet` as CSV with a header line before each kind of record. Reading the text back
/// gives the same sheet except for its number, which is not written.
///
/// ```
/// use curranttrestle::state::sheet::{Sheet, write_csv};
/// let text = write_csv(&Sheet::default());
/// assert!(text.starts_with("customer,name,share,key_digest,queue_limit\n"));
/// ```
#[must_use]
pub fn write_csv(sheet: &Sheet) -> String {
    let mut text = String::new();
    write_rows(&mut text, &sheet.customers);
    write_rows(&mut text, &sheet.operations);
    write_rows(&mut text, &sheet.endpoints);
    text
}

fn write_rows<K: Display, V: Record>(text: &mut String, rows: &IndexMap<K, V>) {
    write_row(text, V::KIND.as_str(), V::KIND.columns());
    for (name, record) in rows {
        write_row(text, V::KIND.as_str(), &record.cells(&name.to_string()));
    }
}

fn write_row(text: &mut String, kind: &str, cells: &[impl AsRef<str>]) {
    text.push_str(kind);
    for cell in cells {
        text.push(',');
        push_cell(text, cell.as_ref());
    }
    text.push('\n');
}

/// Appends a cell, quoted if it contains a separator, a quote or a line break.
fn push_cell(text: &mut String, cell: &str) {
    if !cell.contains(['"', ',', '\n', '\r']) {
        return text.push_str(cell);
    }
    text.push('"');
    text.push_str(&cell.replace('"', "\"\""));
    text.push('"');
}
