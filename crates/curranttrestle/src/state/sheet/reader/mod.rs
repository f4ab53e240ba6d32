//! Parses a sheet from CSV as exported by a spreadsheet.
//!
//! The first cell of a line is the kind of its record, and the others are its columns:
//!
//! ```text
//! customer,name,share,key_digest,queue_limit
//! operation,name,pool,idempotent,priority,expected_cost
//! endpoint,name,pool,kind,data_centre,address,slots,checks_fencing,leaving
//! ```
//!
//! A line such as these, with `name` in its second or any later cell, is a header. Headers are
//! optional and set the order of the columns for the following lines of their kind. Lines whose
//! first cell is empty or begins with `#` are comments. The separator is `,`, `;` or a tab. A
//! byte-order mark, LF or CRLF line breaks, quoted cells and empty cells at the end of a line are
//! accepted. The column in a finding is the number of the cell.

mod checks;
mod input;
mod records;
mod row;

use indexmap::IndexMap;

use super::{RecordKind, Sheet};
use crate::state::{Findings, Location};
use input::Input;
use row::{Layout, Row};

/// The maximum size of a sheet, both as a file and as an object in the platform's store.
pub const MAX_SHEET_BYTES: usize = 1_000_000;

/// Space reserved in the stored object for the stamps of the submissions.
const RESERVED_STAMP_BYTES: usize = 16_384;

/// Parses and validates a sheet. Its number is zero, because it is not accepted yet.
///
/// # Errors
///
/// Returns all findings together, each with line and column unless it concerns the whole input.
///
/// ```
/// use curranttrestle::state::sheet::read_sheet;
/// let findings = read_sheet("sheet.csv", b"customer;atelier;0\n").unwrap_err();
/// assert!(findings.to_string().contains("sheet.csv:1:3 (share): must be from 1 to"));
/// ```
pub fn read_sheet(file_name: &str, bytes: &[u8]) -> Result<Sheet, Findings> {
    let mut reader = Reader::new(file_name);
    if let Some(message) = input::input_finding_message(bytes, MAX_SHEET_BYTES) {
        reader.add_input_finding(message);
        return reader.findings.into_result(Sheet::default());
    }
    for line in Input::new(bytes).lines() {
        reader.read_line(line.number, &line.cells);
    }
    reader.report_cross_row_findings();
    reader.report_size();
    reader.finish()
}

/// The records and findings so far, and the rows that they come from.
struct Reader {
    file_name: String,
    /// The current column order of each kind of record.
    layouts: IndexMap<RecordKind, Layout>,
    /// All rows, including invalid ones.
    rows: IndexMap<RecordKind, Vec<Row>>,
    sheet: Sheet,
    findings: Findings,
}

impl Reader {
    fn new(file_name: &str) -> Self {
        let layouts = RecordKind::ALL.map(|kind| (kind, Layout::standard(kind)));
        let rows = RecordKind::ALL.map(|kind| (kind, Vec::new()));
        Self {
            file_name: file_name.to_owned(),
            layouts: layouts.into_iter().collect(),
            rows: rows.into_iter().collect(),
            sheet: Sheet::default(),
            findings: Findings::default(),
        }
    }

    fn read_line(&mut self, line: u64, cells: &[Vec<u8>]) {
        let mut texts = Vec::with_capacity(cells.len());
        for (column, cell) in (1..).zip(cells) {
            texts.push(self.cell_text(line, column, cell));
        }
        let first = texts.first().map_or("", String::as_str);
        if first.is_empty() || first.starts_with('#') {
            return;
        }
        let Some(kind) = RecordKind::parse(first) else {
            let message = format!("{first:?} is not customer, operation or endpoint");
            return self.add_finding(line, 1, "kind", &message);
        };
        if texts[1..].iter().any(|text| text == "name") {
            return self.read_header(line, kind, &texts);
        }
        self.read_row(line, kind, texts);
    }

    fn read_header(&mut self, line: u64, kind: RecordKind, texts: &[String]) {
        let layout = Layout::from_header(line, kind, texts, self);
        self.layouts.insert(kind, layout);
    }

    fn read_row(&mut self, line: u64, kind: RecordKind, texts: Vec<String>) {
        let layout = self.layouts.get(&kind).cloned().unwrap_or_default();
        let row = Row::new(line, layout, texts);
        row.report_extra_cells(self);
        match kind {
            RecordKind::Customer => {
                let customer = records::customer(&row, self);
                self.sheet.customers.extend(customer);
            }
            RecordKind::Operation => {
                let operation = records::operation(&row, self);
                self.sheet.operations.extend(operation);
            }
            RecordKind::Endpoint => {
                let endpoint = records::endpoint(&row, self);
                self.sheet.endpoints.extend(endpoint);
            }
        }
        self.rows.entry(kind).or_default().push(row);
    }

    /// Decodes and trims a cell.
    fn cell_text(&mut self, line: u64, column: u64, cell: &[u8]) -> String {
        let Ok(text) = std::str::from_utf8(cell) else {
            self.add_finding(
                line,
                column,
                "",
                "is not valid UTF-8; export the sheet as UTF-8",
            );
            return String::from_utf8_lossy(cell).trim().to_owned();
        };
        let text = text.trim();
        if text.contains(['\n', '\r']) {
            self.add_finding(
                line,
                column,
                "",
                "contains a line break; is a closing quote missing?",
            );
        }
        text.to_owned()
    }

    fn report_cross_row_findings(&mut self) {
        let rows = std::mem::take(&mut self.rows);
        checks::report_cross_row_findings(&rows, self);
    }

    /// Reports a sheet that is too large for the platform's store.
    fn report_size(&mut self) {
        let size = serde_json::to_string(&self.sheet).map_or(0, |text| text.len());
        let limit = MAX_SHEET_BYTES - RESERVED_STAMP_BYTES;
        if size > limit {
            self.add_input_finding(format!(
                "takes {size} bytes in the store; the limit is {limit}"
            ));
        }
    }

    /// Adds a finding about a cell; `column` is the number of the cell.
    fn add_finding(&mut self, line: u64, column: u64, key: &str, message: &str) {
        let location = Location {
            file: self.file_name.clone(),
            line: Some(line),
            column: Some(column),
            key: Some(key.to_owned()).filter(|key| !key.is_empty()),
        };
        self.findings.add(location, message);
    }

    /// Adds a finding about the whole input.
    fn add_input_finding(&mut self, message: impl Into<String>) {
        let location = Location {
            file: self.file_name.clone(),
            ..Location::default()
        };
        self.findings.add(location, message);
    }

    fn finish(mut self) -> Result<Sheet, Findings> {
        self.findings
            .0
            .sort_by_key(|finding| (finding.place.line, finding.place.column));
        self.findings.into_result(self.sheet)
    }
}
