//! Splits a CSV file into lines and cells.

/// The byte-order mark of UTF-8.
const UTF8_BOM: [u8; 3] = [0xEF, 0xBB, 0xBF];

/// The byte-order marks of UTF-16.
const UTF16_BOMS: [[u8; 2]; 2] = [[0xFF, 0xFE], [0xFE, 0xFF]];

/// The accepted cell separators. The first is the default.
const SEPARATORS: [u8; 3] = *b",;\t";

/// Returns the message of a finding if the input can't be parsed at all, because of its size or
/// encoding.
pub(super) fn input_finding_message(bytes: &[u8], limit_bytes: usize) -> Option<String> {
    if bytes.len() > limit_bytes {
        let size = bytes.len();
        return Some(format!("has {size} bytes; the limit is {limit_bytes}"));
    }
    if UTF16_BOMS.iter().any(|bom| bytes.starts_with(bom)) {
        return Some("is UTF-16; export the sheet as UTF-8".to_owned());
    }
    None
}

/// The cells of one line. Lines are numbered from one.
pub(super) struct Line {
    pub(super) number: u64,
    pub(super) cells: Vec<Vec<u8>>,
}

/// The bytes of a CSV file without a byte-order mark.
pub(super) struct Input<'a> {
    bytes: &'a [u8],
}

impl<'a> Input<'a> {
    pub(super) fn new(bytes: &'a [u8]) -> Self {
        Self {
            bytes: bytes.strip_prefix(&UTF8_BOM).unwrap_or(bytes),
        }
    }

    /// Returns all lines that are not blank.
    pub(super) fn lines(&self) -> Vec<Line> {
        let mut reader = csv::ReaderBuilder::new()
            .has_headers(false)
            .flexible(true)
            .delimiter(separator(self.bytes))
            .from_reader(self.bytes);
        let mut record = csv::ByteRecord::new();
        let mut counter = LineCounter::default();
        let mut lines = Vec::new();
        // Reading from memory fails only for records of unequal length, which `flexible` allows.
        while reader.read_byte_record(&mut record).unwrap_or(false) {
            let offset = record.position().map_or(0, csv::Position::byte);
            lines.push(Line {
                number: counter.line_at(self.bytes, offset),
                cells: record.iter().map(<[u8]>::to_vec).collect(),
            });
        }
        lines
    }
}

/// Detects the separator: the first one outside quotes in a line that is not a comment.
fn separator(bytes: &[u8]) -> u8 {
    bytes
        .split(|byte| matches!(byte, b'\n' | b'\r'))
        .filter(|line| !is_comment(line))
        .find_map(first_separator)
        .unwrap_or(SEPARATORS[0])
}

/// Returns whether a line is blank or a comment, also if its first cell is quoted.
fn is_comment(line: &[u8]) -> bool {
    let mut start = line.iter().filter(|byte| !byte.is_ascii_whitespace());
    match start.next() {
        None | Some(b'#' | b',' | b';') => true,
        Some(b'"') => start.next() == Some(&b'#'),
        Some(_) => false,
    }
}

fn first_separator(line: &[u8]) -> Option<u8> {
    let mut quoted = false;
    for byte in line {
        if *byte == b'"' {
            quoted = !quoted;
        } else if !quoted && SEPARATORS.contains(byte) {
            return Some(*byte);
        }
    }
    None
}

/// Converts byte offsets to line numbers. Offsets must be passed in ascending order.
#[derive(Default)]
struct LineCounter {
    offset: usize,
    line_ends: u64,
}

impl LineCounter {
    /// Returns the number of the line with the first byte at or after `offset` that is not a line
    /// break. The `csv` reader gives the offset where it started to look for the record, so line
    /// breaks may precede the record itself.
    fn line_at(&mut self, bytes: &[u8], offset: u64) -> u64 {
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        while let Some(byte) = bytes.get(self.offset) {
            let is_line_end = matches!(byte, b'\n' | b'\r');
            if self.offset >= offset && !is_line_end {
                break;
            }
            let is_crlf = *byte == b'\r' && bytes.get(self.offset + 1) == Some(&b'\n');
            if is_line_end && !is_crlf {
                self.line_ends += 1;
            }
            self.offset += 1;
        }
        self.line_ends + 1
    }
}
