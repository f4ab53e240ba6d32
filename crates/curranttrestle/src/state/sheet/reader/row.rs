//! One row of a sheet, with access to its cells by column name.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use indexmap::IndexMap;

use super::super::RecordKind;
use super::Reader;

/// The maximum length of a name, in characters.
const NAME_LENGTH: usize = 64;

/// The maximum expected cost of an operation, in tokens or milliseconds.
const LARGEST_COST: f64 = 1e9;

/// The index of the cell that holds each column of one kind of record. Cell 0 holds the kind.
#[derive(Clone, Debug, Default)]
pub(super) struct Layout {
    cells: IndexMap<&'static str, usize>,
}

impl Layout {
    /// Creates the layout with the standard column order.
    pub(super) fn standard(kind: RecordKind) -> Self {
        let columns = kind.columns().iter().copied();
        Self {
            cells: columns.zip(1..).collect(),
        }
    }

    /// Creates the layout that a header line defines.
    pub(super) fn from_header(
        line: u64,
        kind: RecordKind,
        texts: &[String],
        reader: &mut Reader,
    ) -> Self {
        let mut cells = IndexMap::new();
        for (index, text) in texts.iter().enumerate().skip(1) {
            if text.is_empty() {
                continue;
            }
            let column = kind.columns().iter().find(|column| *column == text);
            let Some(column) = column else {
                let known = kind.columns().join(", ");
                let message = format!("unknown column; the columns of {kind} are {known}");
                reader.add_finding(line, index as u64 + 1, text, &message);
                continue;
            };
            if cells.insert(*column, index).is_some() {
                reader.add_finding(line, index as u64 + 1, text, "duplicate column");
            }
        }
        Self { cells }
    }

    /// Returns whether a column refers to the cell `index`.
    fn has_cell(&self, index: usize) -> bool {
        self.cells.values().any(|cell| *cell == index)
    }
}

/// The cells of one record, accessible by column name.
pub(super) struct Row {
    line: u64,
    layout: Layout,
    texts: Vec<String>,
}

impl Row {
    pub(super) fn new(line: u64, layout: Layout, texts: Vec<String>) -> Self {
        Self {
            line,
            layout,
            texts,
        }
    }

    /// Adds a finding about the cell in `column`. If the header omits the column, the finding
    /// points past the last cell.
    pub(super) fn add_finding(&self, reader: &mut Reader, column: &'static str, message: &str) {
        let index = self.layout.cells.get(column).copied();
        let cell = index.unwrap_or(self.texts.len()) as u64 + 1;
        reader.add_finding(self.line, cell, column, message);
    }

    /// Returns the line number of the row.
    pub(super) fn line(&self) -> u64 {
        self.line
    }

    /// Reports non-empty cells that belong to no column.
    pub(super) fn report_extra_cells(&self, reader: &mut Reader) {
        for (index, text) in self.texts.iter().enumerate().skip(1) {
            if !text.is_empty() && !self.layout.has_cell(index) {
                let message = format!("{text:?} belongs to no column");
                reader.add_finding(self.line, index as u64 + 1, "", &message);
            }
        }
    }

    /// Returns the text of a cell, or an empty string if the row is too short.
    pub(super) fn text(&self, column: &'static str) -> &str {
        let index = self.layout.cells.get(column).copied();
        let text = index.and_then(|index| self.texts.get(index));
        text.map_or("", String::as_str)
    }

    /// Parses a name of letters, digits, `-`, `_` and `.`.
    pub(super) fn name(&self, reader: &mut Reader, column: &'static str) -> Option<&str> {
        self.read_name(reader, column, char::is_alphanumeric)
    }

    /// Parses a name that is valid in a URL: ASCII letters, digits, `-`, `_` and `.`.
    pub(super) fn ascii_name(&self, reader: &mut Reader, column: &'static str) -> Option<&str> {
        self.read_name(reader, column, |character| {
            character.is_ascii_alphanumeric()
        })
    }

    fn read_name(
        &self,
        reader: &mut Reader,
        column: &'static str,
        is_letter_or_digit: impl Fn(char) -> bool,
    ) -> Option<&str> {
        let text = self.required(reader, column)?;
        let allowed =
            |character| is_letter_or_digit(character) || matches!(character, '-' | '_' | '.');
        if !text.chars().all(allowed) {
            let message = format!("{text:?} may only contain letters, digits, '-', '_' and '.'");
            self.add_finding(reader, column, &message);
            return None;
        }
        if text.chars().count() > NAME_LENGTH {
            let message = format!("is longer than {NAME_LENGTH} characters");
            self.add_finding(reader, column, &message);
            return None;
        }
        Some(text)
    }

    /// Parses an integer within `range`.
    pub(super) fn integer<T: TryFrom<u64>>(
        &self,
        reader: &mut Reader,
        column: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<T> {
        let text = self.required(reader, column)?;
        let number = text.parse().ok().filter(|number| range.contains(number));
        let number = number.and_then(|number| T::try_from(number).ok());
        if number.is_none() {
            let (first, last) = (range.start(), range.end());
            let message = format!("must be from {first} to {last}, not {text:?}");
            self.add_finding(reader, column, &message);
        }
        number
    }

    /// Parses a positive number with a decimal point or a decimal comma.
    pub(super) fn cost(&self, reader: &mut Reader, column: &'static str) -> Option<f64> {
        let text = self.required(reader, column)?;
        let number: Option<f64> = text.replace(',', ".").parse().ok();
        let cost = number.filter(|cost| *cost > 0.0 && *cost <= LARGEST_COST);
        if cost.is_none() {
            let message = format!("must be above 0 and at most {LARGEST_COST}, not {text:?}");
            self.add_finding(reader, column, &message);
        }
        cost
    }

    /// Parses `yes` or `no`.
    pub(super) fn yes_or_no(&self, reader: &mut Reader, column: &'static str) -> Option<bool> {
        let choices = [("yes", true), ("no", false)];
        self.choice(reader, column, &choices)
    }

    /// Parses `yes` or `no`. An empty cell counts as `no`.
    pub(super) fn yes_no_or_empty(
        &self,
        reader: &mut Reader,
        column: &'static str,
    ) -> Option<bool> {
        if self.text(column).is_empty() {
            return Some(false);
        }
        self.yes_or_no(reader, column)
    }

    /// Parses one of a fixed set of words, ignoring case.
    pub(super) fn choice<T: Copy>(
        &self,
        reader: &mut Reader,
        column: &'static str,
        choices: &[(&str, T)],
    ) -> Option<T> {
        let text = self.required(reader, column)?;
        let found = choices
            .iter()
            .find(|(word, _)| word.eq_ignore_ascii_case(text));
        if found.is_none() {
            let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
            let message = format!("must be {}, not {text:?}", words.join(" or "));
            self.add_finding(reader, column, &message);
        }
        found.map(|(_, choice)| *choice)
    }

    /// Parses an address of the form `IP:port`. The port and the IP address must not be zero.
    pub(super) fn address(&self, reader: &mut Reader, column: &'static str) -> Option<SocketAddr> {
        let text = self.required(reader, column)?;
        let address: Option<SocketAddr> = text.parse().ok();
        let usable =
            address.filter(|address| address.port() != 0 && !address.ip().is_unspecified());
        if usable.is_none() {
            let message = format!(
                "{text:?} is not an address of the form IP:port with a specific IP address and a \
                 port above 0"
            );
            self.add_finding(reader, column, &message);
        }
        usable
    }

    /// Parses a SHA-256 digest of 64 hexadecimal digits.
    pub(super) fn digest(&self, reader: &mut Reader, column: &'static str) -> Option<[u8; 32]> {
        let text = self.required(reader, column)?;
        let mut bytes = [0; 32];
        if hex::decode_to_slice(text, &mut bytes).is_err() {
            self.add_finding(
                reader,
                column,
                "must be a SHA-256 digest: 64 hexadecimal digits",
            );
            return None;
        }
        Some(bytes)
    }

    /// Returns the text of a cell, and reports an empty one as missing.
    fn required(&self, reader: &mut Reader, column: &'static str) -> Option<&str> {
        let text = self.text(column);
        if text.is_empty() {
            self.add_finding(reader, column, "is missing");
            return None;
        }
        Some(text)
    }
}
