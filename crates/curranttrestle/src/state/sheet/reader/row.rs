//! One row with named cells.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use indexmap::IndexMap;

use super::super::RecordKind;
use super::Reader;

/// The longest name.
const NAME_LENGTH: usize = 64;

/// The largest expected cost.
const LARGEST_COST: f64 = 1e9;

/// Where the columns of a kind of record stand: the index of the cell of each.
#[derive(Clone, Debug, Default)]
pub(super) struct Layout {
    cells: IndexMap<&'static str, usize>,
}

impl Layout {
    /// The columns in their usual order.
    pub(super) fn usual(kind: RecordKind) -> Self {
        let columns = kind.columns().iter().copied();
        Self {
            cells: columns.zip(1..).collect(),
        }
    }

    /// The columns as a header line gives them.
    pub(super) fn of_header(
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
                let message = format!("unknown column; those of {kind} are {known}");
                reader.add(line, index as u64 + 1, text, &message);
                continue;
            };
            if cells.insert(*column, index).is_some() {
                reader.add(line, index as u64 + 1, text, "column named twice");
            }
        }
        Self { cells }
    }

    fn names_cell(&self, index: usize) -> bool {
        self.cells.values().any(|cell| *cell == index)
    }
}

/// One record's cells, each under its column's name.
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

    /// Reports a finding about the cell under `column`.
    pub(super) fn add(&self, reader: &mut Reader, column: &'static str, message: &str) {
        let index = self.layout.cells.get(column).copied();
        let cell = index.unwrap_or(self.texts.len()) as u64 + 1;
        reader.add(self.line, cell, column, message);
    }

    /// The line of the row.
    pub(super) fn line(&self) -> u64 {
        self.line
    }

    /// Reports cells that stand under no column.
    pub(super) fn report_extra_cells(&self, reader: &mut Reader) {
        for (index, text) in self.texts.iter().enumerate().skip(1) {
            if !text.is_empty() && !self.layout.names_cell(index) {
                let message = format!("{text:?} stands under no column");
                reader.add(self.line, index as u64 + 1, "", &message);
            }
        }
    }

    /// The text of a cell; empty when the row is too short.
    pub(super) fn text(&self, column: &'static str) -> &str {
        let index = self.layout.cells.get(column).copied();
        let text = index.and_then(|index| self.texts.get(index));
        text.map_or("", String::as_str)
    }

    /// A name: letters, digits, `-`, `_` and `.`.
    pub(super) fn name(&self, reader: &mut Reader, column: &'static str) -> Option<&str> {
        self.name_of(reader, column, char::is_alphanumeric)
    }

    /// A name that may stand in a URL: ASCII letters, digits, `-`, `_` and `.`.
    pub(super) fn ascii_name(&self, reader: &mut Reader, column: &'static str) -> Option<&str> {
        self.name_of(reader, column, |character| {
            character.is_ascii_alphanumeric()
        })
    }

    fn name_of(
        &self,
        reader: &mut Reader,
        column: &'static str,
        is_word: impl Fn(char) -> bool,
    ) -> Option<&str> {
        let text = self.required(reader, column)?;
        let allowed = |character| is_word(character) || matches!(character, '-' | '_' | '.');
        if !text.chars().all(allowed) {
            let message = format!("{text:?} may hold letters, digits, '-', '_' and '.' only");
            self.add(reader, column, &message);
            return None;
        }
        if text.chars().count() > NAME_LENGTH {
            let message = format!("is longer than {NAME_LENGTH} characters");
            self.add(reader, column, &message);
            return None;
        }
        Some(text)
    }

    /// A whole number of the given range.
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
            self.add(reader, column, &message);
        }
        number
    }

    /// A positive number, with a decimal point or a decimal comma.
    pub(super) fn cost(&self, reader: &mut Reader, column: &'static str) -> Option<f64> {
        let text = self.required(reader, column)?;
        let number: Option<f64> = text.replace(',', ".").parse().ok();
        let cost = number.filter(|cost| *cost > 0.0 && *cost <= LARGEST_COST);
        if cost.is_none() {
            let message = format!("must be above 0 and at most {LARGEST_COST}, not {text:?}");
            self.add(reader, column, &message);
        }
        cost
    }

    /// `yes` or `no`.
    pub(super) fn yes_or_no(&self, reader: &mut Reader, column: &'static str) -> Option<bool> {
        let choices = [("yes", true), ("no", false)];
        self.choice(reader, column, &choices)
    }

    /// `yes` or `no`; an empty cell counts as no.
    pub(super) fn yes_or_empty(&self, reader: &mut Reader, column: &'static str) -> Option<bool> {
        if self.text(column).is_empty() {
            return Some(false);
        }
        self.yes_or_no(reader, column)
    }

    /// One of a closed set of words, in upper or lower case.
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
            self.add(reader, column, &message);
        }
        found.map(|(_, choice)| *choice)
    }

    /// An address of the form `IP:port`.
    pub(super) fn address(&self, reader: &mut Reader, column: &'static str) -> Option<SocketAddr> {
        let text = self.required(reader, column)?;
        let address: Option<SocketAddr> = text.parse().ok();
        let usable =
            address.filter(|address| address.port() != 0 && !address.ip().is_unspecified());
        if usable.is_none() {
            let message = format!("{text:?} is not an address of the form IP:port");
            self.add(reader, column, &message);
        }
        usable
    }

    /// A SHA-256 digest: 64 hexadecimal digits.
    pub(super) fn digest(&self, reader: &mut Reader, column: &'static str) -> Option<[u8; 32]> {
        let text = self.required(reader, column)?;
        let mut bytes = [0; 32];
        if hex::decode_to_slice(text, &mut bytes).is_err() {
            self.add(
                reader,
                column,
                "must be a SHA-256 digest: 64 hexadecimal digits",
            );
            return None;
        }
        Some(bytes)
    }

    fn required(&self, reader: &mut Reader, column: &'static str) -> Option<&str> {
        let text = self.text(column);
        if text.is_empty() {
            self.add(reader, column, "is missing");
            return None;
        }
        Some(text)
    }
}
