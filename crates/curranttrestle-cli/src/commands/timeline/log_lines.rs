//! Log lines of gateways, put in order over several files.
//!
//! A line is a list of `key=value` fields; a value with spaces stands in quotes. The time
//! `at` and the name `instance` come first, and `id` names the request.

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

/// The file name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// One line of a log.
#[derive(Debug)]
struct LogLine {
    /// The line as it was written.
    text: String,
    /// Its time; a line without one takes that of the line before it.
    at_ms: i64,
    fields: IndexMap<String, String>,
}

impl LogLine {
    /// Reads a line; none when it has no kind, as text of other programs.
    fn parse(text: &str, before_ms: i64) -> Option<Self> {
        let fields = fields_of(text);
        fields.get("kind")?;
        let at_ms = fields.get("at").and_then(|at| unix_ms(at));
        Some(Self {
            text: text.to_owned(),
            at_ms: at_ms.unwrap_or(before_ms),
            fields,
        })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

/// The requests that were asked for: when each instance worked on them, and where they were
/// sent.
#[derive(Debug, Default)]
struct Context {
    spans: IndexMap<String, Vec<(i64, i64)>>,
    endpoints: IndexSet<String>,
}

impl Context {
    /// What surrounds `chosen`, from `before_ms` before each of its requests began.
    fn of(chosen: &[&LogLine], before_ms: i64) -> Self {
        let mut requests: IndexMap<(&str, &str), (i64, i64)> = IndexMap::new();
        let mut context = Self::default();
        for line in chosen {
            let (Some(instance), Some(id)) = (line.field("instance"), line.field("id")) else {
                continue;
            };
            // Most requests have one line, written at their end, that tells how long they took.
            let ms = line.field("ms").and_then(|ms| ms.parse::<i64>().ok());
            let begun_ms = line.at_ms - ms.unwrap_or_default();
            let span = requests
                .entry((instance, id))
                .or_insert((begun_ms, line.at_ms));
            *span = (span.0.min(begun_ms), span.1.max(line.at_ms));
            context
                .endpoints
                .extend(line.field("endpoint").map(str::to_owned));
        }
        for ((instance, _), (begun_ms, ended_ms)) in requests {
            let spans = context.spans.entry(instance.to_owned()).or_default();
            spans.push((begun_ms - before_ms, ended_ms));
        }
        context
    }

    /// Whether a line tells of what an instance believed while it worked on those requests:
    /// of itself, or of an endpoint that they were sent to.
    fn holds(&self, line: &LogLine) -> bool {
        if line.field("id").is_some() {
            return false;
        }
        let spans = line.field("instance").and_then(|name| self.spans.get(name));
        let is_in_time = spans.is_some_and(|spans| {
            let at_ms = line.at_ms;
            spans
                .iter()
                .any(|(begun_ms, ended_ms)| (*begun_ms..=*ended_ms).contains(&at_ms))
        });
        let endpoint = line.field("endpoint");
        is_in_time && endpoint.is_none_or(|endpoint| self.endpoints.contains(endpoint))
    }
}

/// Prints the chosen lines of all files in the order of their time.
pub fn show(arguments: &Arguments) -> Result<(), CliError> {
    let mut lines = Vec::new();
    let mut skipped = 0;
    for path in &arguments.logs {
        skipped += read_log(path, &mut lines)?;
    }
    lines.sort_by_key(|line| line.at_ms);
    for line in choose(arguments, &lines) {
        if arguments.json {
            output::json(&line.fields)?;
        } else {
            output::line(&line.text)?;
        }
    }
    if skipped > 0 {
        eprintln!("{skipped} lines without a kind were left out");
    }
    Ok(())
}

/// Reads a log; returns how many lines are none of a gateway's.
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
    let mut before_ms = i64::MIN;
    for line in BufReader::new(input).split(b'\n') {
        let bytes = line.map_err(file_error)?;
        let text = String::from_utf8_lossy(&bytes);
        let text = text.trim_end();
        match LogLine::parse(text, before_ms) {
            Some(line) => {
                before_ms = line.at_ms;
                lines.push(line);
            }
            None if text.is_empty() => (),
            None => skipped += 1,
        }
    }
    Ok(skipped)
}

fn choose<'a>(arguments: &Arguments, lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let names_customer = |line: &LogLine| {
        arguments.customer.is_some() && line.field("customer") == arguments.customer.as_deref()
    };
    let of_customer = lines.iter().filter(|line| names_customer(line));
    let requests: IndexSet<&str> = of_customer.filter_map(|line| line.field("id")).collect();
    let newest_ms = lines.last().map_or(0, |line| line.at_ms);
    let window_ms = arguments.last_s.map(millis_of);
    let is_wanted = |wanted: &Option<String>, line: &LogLine, field: &str| {
        wanted.is_none() || line.field(field) == wanted.as_deref()
    };
    let is_chosen = |line: &&LogLine| {
        let is_recent = window_ms.is_none_or(|ms| line.at_ms >= newest_ms.saturating_sub(ms));
        let of_customer = arguments.customer.is_none()
            || names_customer(line)
            || line.field("id").is_some_and(|id| requests.contains(id));
        let kinds = &arguments.kinds;
        let of_kind = kinds.is_empty() || kinds.iter().any(|kind| line.field("kind") == Some(kind));
        is_recent
            && of_customer
            && of_kind
            && is_wanted(&arguments.request, line, "id")
            && is_wanted(&arguments.endpoint, line, "endpoint")
    };
    let chosen: Vec<&LogLine> = lines.iter().filter(is_chosen).collect();
    let Some(context_s) = arguments.context_s else {
        return chosen;
    };
    let context = Context::of(&chosen, millis_of(context_s));
    let is_shown = |line: &&LogLine| is_chosen(line) || context.holds(line);
    lines.iter().filter(is_shown).collect()
}

fn millis_of(seconds: u64) -> i64 {
    i64::try_from(seconds.saturating_mul(1_000)).unwrap_or(i64::MAX)
}

/// The time of a field `at`. Its zone is that of the machines, which is taken to be the same
/// for all of them.
fn unix_ms(at: &str) -> Option<i64> {
    let time = NaiveDateTime::parse_from_str(at, TIME_FORMAT).ok()?;
    Some(time.and_utc().timestamp_millis())
}

/// The fields of a line; words without `=` are passed over.
fn fields_of(text: &str) -> IndexMap<String, String> {
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
            quoted(value)
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

/// The value that begins with a quote, without its quotes and escapes, and what follows it.
fn quoted(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut characters = text.char_indices().skip(1);
    while let Some((place, character)) = characters.next() {
        match character {
            '"' => return (value, &text[place + 1..]),
            '\\' => value.extend(characters.next().map(|(_, escaped)| escaped)),
            other => value.push(other),
        }
    }
    (value, "")
}
