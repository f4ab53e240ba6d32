//! The lines and cells of a CSV file.

/// The byte-order mark of UTF-8.
const UTF8_MARK: [u8; 3] = [0xEF, 0xBB, 0xBF];

/// The byte-order marks of UTF-16.
const UTF16_MARKS: [[u8; 2]; 2] = [[0xFF, 0xFE], [0xFE, 0xFF]];

const SEPARATORS: [u8; 3] = *b",;\t";

/// What makes it useless to read the input at all.
pub(super) fn whole_input_fault(bytes: &[u8], limit_bytes: usize) -> Option<String> {
    if bytes.len() > limit_bytes {
        let size = bytes.len();
        return Some(format!("has {size} bytes; the limit is {limit_bytes}"));
    }
    if UTF16_MARKS.iter().any(|mark| bytes.starts_with(mark)) {
        return Some("is UTF-16; export the sheet as UTF-8".to_owned());
    }
    None
}

/// One line with cells. Lines count from one.
pub(super) struct Line {
    pub(super) number: u64,
    pub(super) cells: Vec<Vec<u8>>,
}

/// The bytes of a CSV file without byte-order mark.
pub(super) struct Input<'a> {
    bytes: &'a [u8],
}

impl<'a> Input<'a> {
    pub(super) fn new(bytes: &'a [u8]) -> Self {
        Self {
            bytes: bytes.strip_prefix(&UTF8_MARK).unwrap_or(bytes),
        }
    }

    /// The lines that are not blank.
    pub(super) fn lines(&self) -> Vec<Line> {
        let mut reader = csv::ReaderBuilder::new()
            .has_headers(false)
            .flexible(true)
            .delimiter(separator(self.bytes))
            .from_reader(self.bytes);
        let mut record = csv::ByteRecord::new();
        let mut counter = LineCounter::default();
        let mut lines = Vec::new();
        // Reading from memory fails only on records of unequal length, which are allowed.
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

/// The separator: the first one that occurs outside quotes in a line that is no comment.
fn separator(bytes: &[u8]) -> u8 {
    bytes
        .split(|byte| matches!(byte, b'\n' | b'\r'))
        .filter(|line| !is_comment(line))
        .find_map(first_separator)
        .unwrap_or(SEPARATORS[0])
}

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

/// Counts lines up to growing offsets.
#[derive(Default)]
struct LineCounter {
    offset: usize,
    line_ends: u64,
}

impl LineCounter {
    /// The line of the first byte from `offset` on that is no line end. The reader of the
    /// library gives the offset where it began to look for the record.
    fn line_at(&mut self, bytes: &[u8], offset: u64) -> u64 {
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        while let Some(byte) = bytes.get(self.offset) {
            let is_end = matches!(byte, b'\n' | b'\r');
            if self.offset >= offset && !is_end {
                break;
            }
            let pair = *byte == b'\r' && bytes.get(self.offset + 1) == Some(&b'\n');
            if is_end && !pair {
                self.line_ends += 1;
            }
            self.offset += 1;
        }
        self.line_ends + 1
    }
}
