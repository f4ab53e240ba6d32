//! Merges the log lines of gateways from several files in time order.
//!
//! A line is a list of `key=value` fields; a value with spaces is quoted. The time `at` and
//! the name `instance` come first, and `id` is the request ID.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::Path;

use chrono::NaiveDateTime;
use indexmap::{IndexMap, IndexSet};

use super::Arguments;
use crate::error::CliError;
use crate::output;

/// The format of the field `at`.
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.f";

/// The file name that selects standard input.
const STANDARD_INPUT: &str = "-";

/// A parsed log line.
#[derive(Debug)]
struct LogLine {
    /// The line as it was written.
    text: String,
    /// The time of the line; a line without one inherits that of the previous line.
    at_ms: i64,
    fields: IndexMap<String, String>,
}

impl LogLine {
    /// Parses a line. Returns `None` if it has no kind, such as output of other programs.
    fn parse(text: &str, previous_ms: i64) -> Option<Self> {
        let fields = parse_fields(text);
        fields.get("kind")?;
        let at_ms = fields.get("at").and_then(|at| parse_local_ms(at));
        Some(Self {
            text: text.to_owned(),
            at_ms: at_ms.unwrap_or(previous_ms),
            fields,
        })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

/// The context of the selected requests: when each instance processed them, and the endpoints
/// they were sent to.
#[derive(Debug, Default)]
struct Context {
    spans: IndexMap<String, Vec<(i64, i64)>>,
    endpoints: IndexSet<String>,
}

impl Context {
    /// Returns the context of the requests in `selected`, starting `before_ms` before each.
    fn of_requests(selected: &[&LogLine], before_ms: i64) -> Self {
        let mut requests: IndexMap<(&str, &str), (i64, i64)> = IndexMap::new();
        let mut context = Self::default();
        for line in selected {
            let (Some(instance), Some(id)) = (line.field("instance"), line.field("id")) else {
                continue;
            };
            // Most requests have a single line, written at their end with the elapsed time.
            let ms = line.field("ms").and_then(|ms| ms.parse::<i64>().ok());
            let start_ms = line.at_ms - ms.unwrap_or_default();
            let span = requests
                .entry((instance, id))
                .or_insert((start_ms, line.at_ms));
            *span = (span.0.min(start_ms), span.1.max(line.at_ms));
            context
                .endpoints
                .extend(line.field("endpoint").map(str::to_owned));
        }
        for ((instance, _), (start_ms, end_ms)) in requests {
            let spans = context.spans.entry(instance.to_owned()).or_default();
            spans.push((start_ms - before_ms, end_ms));
        }
        context
    }

    /// Returns whether a line without a request was logged by an instance while it processed
    /// these requests, and is about the instance itself or about an endpoint they were sent to.
    fn includes(&self, line: &LogLine) -> bool {
        if line.field("id").is_some() {
            return false;
        }
        let spans = line.field("instance").and_then(|name| self.spans.get(name));
        let is_in_time = spans.is_some_and(|spans| {
            let at_ms = line.at_ms;
            spans
                .iter()
                .any(|(start_ms, end_ms)| (*start_ms..=*end_ms).contains(&at_ms))
        });
        let endpoint = line.field("endpoint");
        is_in_time && endpoint.is_none_or(|endpoint| self.endpoints.contains(endpoint))
    }
}

/// Prints the selected lines of all files in time order.
pub fn print(arguments: &Arguments) -> Result<(), CliError> {
    let mut lines = Vec::new();
    let mut skipped = 0;
    for path in &arguments.logs {
        skipped += read_log(path, &mut lines)?;
    }
    lines.sort_by_key(|line| line.at_ms);
    for line in select(arguments, &lines) {
        if arguments.json {
            output::json(&line.fields)?;
        } else {
            output::line(&line.text)?;
        }
    }
    if skipped > 0 {
        eprintln!("skipped {skipped} lines without the field kind");
    }
    Ok(())
}

/// Reads a log into `lines`. Returns how many lines were skipped because they have no kind.
fn read_log(path: &Path, lines: &mut Vec<LogLine>) -> Result<usize, CliError> {
    let file_error = |error| CliError::File {
        path: path.to_owned(),
        error,
    };
    let input: Box<dyn Read> = if path.as_os_str() == STANDARD_INPUT {
        Box::new(io::stdin().lock())
    } else {
        Box::new(File::open(path).map_err(file_error)?)
    };
    let mut skipped = 0;
    let mut previous_ms = i64::MIN;
    for line in BufReader::new(input).split(b'\n') {
        let bytes = line.map_err(file_error)?;
        let text = String::from_utf8_lossy(&bytes);
        let text = text.trim_end();
        match LogLine::parse(text, previous_ms) {
            Some(line) => {
                previous_ms = line.at_ms;
                lines.push(line);
            }
            None if text.is_empty() => (),
            None => skipped += 1,
        }
    }
    Ok(skipped)
}

fn select<'a>(arguments: &Arguments, lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let names_customer = |line: &LogLine| {
        arguments.customer.is_some() && line.field("customer") == arguments.customer.as_deref()
    };
    let of_customer = lines.iter().filter(|line| names_customer(line));
    let requests: IndexSet<&str> = of_customer.filter_map(|line| line.field("id")).collect();
    let newest_ms = lines.last().map_or(0, |line| line.at_ms);
    let window_ms = arguments.last_s.map(seconds_to_millis);
    let matches_filter = |wanted: &Option<String>, line: &LogLine, field: &str| {
        wanted.is_none() || line.field(field) == wanted.as_deref()
    };
    let is_selected = |line: &&LogLine| {
        let is_recent = window_ms.is_none_or(|ms| line.at_ms >= newest_ms.saturating_sub(ms));
        let of_customer = arguments.customer.is_none()
            || names_customer(line)
            || line.field("id").is_some_and(|id| requests.contains(id));
        let kinds = &arguments.kinds;
        let of_kind = kinds.is_empty() || kinds.iter().any(|kind| line.field("kind") == Some(kind));
        is_recent
            && of_customer
            && of_kind
            && matches_filter(&arguments.request, line, "id")
            && matches_filter(&arguments.endpoint, line, "endpoint")
    };
    let selected: Vec<&LogLine> = lines.iter().filter(is_selected).collect();
    let Some(context_s) = arguments.context_s else {
        return selected;
    };
    let context = Context::of_requests(&selected, seconds_to_millis(context_s));
    let is_printed = |line: &&LogLine| is_selected(line) || context.includes(line);
    lines.iter().filter(is_printed).collect()
}

fn seconds_to_millis(seconds: u64) -> i64 {
    i64::try_from(seconds.saturating_mul(1_000)).unwrap_or(i64::MAX)
}

/// Parses the field `at` into milliseconds of local time. All machines are assumed to use the
/// same time zone.
fn parse_local_ms(at: &str) -> Option<i64> {
    let time = NaiveDateTime::parse_from_str(at, TIME_FORMAT).ok()?;
    Some(time.and_utc().timestamp_millis())
}

/// Parses the fields of a line. Skips words without `=`.
fn parse_fields(text: &str) -> IndexMap<String, String> {
    let mut fields = IndexMap::new();
    let mut rest = text.trim_start();
    while !rest.is_empty() {
        let end = rest.find([' ', '=']).unwrap_or(rest.len());
        let (key, after) = rest.split_at(end);
        let Some(value) = after.strip_prefix('=') else {
            rest = after.trim_start();
            continue;
        };
        let (value, after) = if value.starts_with('"') {
            parse_quoted(value)
        } else {
            let end = value.find(' ').unwrap_or(value.len());
            let (value, after) = value.split_at(end);
            (value.to_owned(), after)
        };
        fields.insert(key.to_owned(), value);
        rest = after.trim_start();
    }
    fields
}

/// Parses a quoted value. Returns it unquoted and unescaped, with the remaining text.
fn parse_quoted(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut characters = text.char_indices().skip(1);
    while let Some((index, character)) = characters.next() {
        match character {
            '"' => return (value, &text[index + 1..]),
            '\\' => value.extend(characters.next().map(|(_, escaped)| escaped)),
            other => value.push(other),
        }
    }
    (value, "")
}
