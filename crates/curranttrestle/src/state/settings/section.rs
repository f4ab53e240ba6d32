//! Parses the keys of one table of the settings file.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};

use indexmap::IndexMap;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::state::InstanceId;

use super::Secret;
use super::reader::Reader;

/// Unit suffixes of keys, both those in use and common alternatives. They are ignored when an
/// unknown key is compared with the known ones.
const UNIT_SUFFIXES: [&str; 18] = [
    "_ms", "_s", "_us", "_ns", "_sec", "_secs", "_seconds", "_millis", "_min", "_minutes", "_m",
    "_h", "_hours", "_bytes", "_kb", "_kib", "_mb", "_mib",
];

/// One table of the file. Every key that is read is recorded as known, and
/// [`finish`](Section::finish) reports all others.
pub(super) struct Section<'a, 'i> {
    name: &'static str,
    table: Option<&'a Spanned<DeValue<'i>>>,
    known_keys: Vec<&'static str>,
    reader: &'a mut Reader,
}

impl<'a, 'i> Section<'a, 'i> {
    /// Selects the table `name` of the file. A missing table is treated as empty.
    pub(super) fn new(name: &'static str, root: &'a DeTable<'i>, reader: &'a mut Reader) -> Self {
        let table = root.get(name);
        if let Some(value) = table.filter(|value| !value.get_ref().is_table()) {
            reader.add_finding(&value.span(), name, "is not a table");
        }
        Self {
            name,
            table,
            known_keys: Vec::new(),
            reader,
        }
    }

    /// Reads a non-empty string.
    pub(super) fn text(&mut self, key: &'static str, field: &mut String) {
        let Some(value) = self.value(key) else { return };
        match value.get_ref().as_str() {
            Some("") => self.add_finding(&value.span(), key, "must not be empty"),
            Some(text) => text.clone_into(field),
            None => self.add_type_mismatch(value, key, "a quoted string"),
        }
    }

    /// Reads a name, which consists of letters, digits, `-`, `_` and `.`.
    pub(super) fn name(&mut self, key: &'static str) -> Option<String> {
        let mut name = String::new();
        self.text(key, &mut name);
        if name.chars().all(is_name_character) {
            return Some(name).filter(|name| !name.is_empty());
        }
        let span = self.span(key);
        self.add_finding(
            &span,
            key,
            "may only contain letters, digits, '-', '_' and '.'",
        );
        None
    }

    /// Reads a secret of at least `min_bytes` bytes.
    pub(super) fn secret(&mut self, key: &'static str, min_bytes: usize, field: &mut Secret) {
        let mut text = String::new();
        self.text(key, &mut text);
        if !text.is_empty() && text.len() < min_bytes {
            let span = self.span(key);
            let message = format!("is shorter than {min_bytes} bytes");
            self.add_finding(&span, key, &message);
        }
        *field = Secret::new(&text);
    }

    /// Reads an integer within `range`.
    pub(super) fn integer<T: TryFrom<u64>>(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        field: &mut T,
    ) {
        let Some(value) = self.value(key) else { return };
        let Some(integer) = value.get_ref().as_integer() else {
            return self.add_type_mismatch(value, key, integer_description(key));
        };
        let parsed = u64::from_str_radix(integer.as_str(), integer.radix());
        let in_range = parsed.ok().filter(|number| range.contains(number));
        if let Some(number) = in_range.and_then(|number| T::try_from(number).ok()) {
            *field = number;
        } else {
            let message = format!("must be from {} to {}", range.start(), range.end());
            self.add_finding(&value.span(), key, &message);
        }
    }

    /// Reads a boolean.
    pub(super) fn boolean(&mut self, key: &'static str, field: &mut bool) {
        let Some(value) = self.value(key) else { return };
        match value.get_ref().as_bool() {
            Some(flag) => *field = flag,
            None => self.add_type_mismatch(value, key, "true or false"),
        }
    }

    /// Reads an address of the form `IP:port`.
    pub(super) fn address(&mut self, key: &'static str, field: &mut SocketAddr) {
        let Some(value) = self.value(key) else { return };
        if let Some(address) = self.parse_address(key, value) {
            *field = address;
        }
    }

    /// Reads a list of addresses.
    pub(super) fn addresses(&mut self, key: &'static str, field: &mut Vec<SocketAddr>) {
        let Some(value) = self.value(key) else { return };
        let Some(items) = value.get_ref().as_array() else {
            return self.add_type_mismatch(value, key, "a list of addresses");
        };
        *field = items
            .iter()
            .filter_map(|item| self.parse_address(key, item))
            .collect();
    }

    /// Reads a table of addresses keyed by instance name.
    pub(super) fn named_addresses(
        &mut self,
        key: &'static str,
        field: &mut IndexMap<InstanceId, SocketAddr>,
    ) {
        let Some(value) = self.value(key) else { return };
        let Some(table) = value.get_ref().as_table() else {
            return self.add_type_mismatch(value, key, "a table of addresses");
        };
        *field = table
            .iter()
            .filter_map(|(name, item)| {
                let address = self.parse_address(key, item)?;
                Some((InstanceId::new(name.get_ref()), address))
            })
            .collect();
    }

    /// Reads one of a fixed set of words.
    pub(super) fn choice<T: Copy>(
        &mut self,
        key: &'static str,
        choices: &[(&str, T)],
        field: &mut T,
    ) {
        let Some(value) = self.value(key) else { return };
        let word = value.get_ref().as_str();
        if let Some((_, choice)) = choices.iter().find(|(name, _)| Some(*name) == word) {
            *field = *choice;
            return;
        }
        let words: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let message = format!("must be one of \"{}\"", words.join("\", \""));
        self.add_finding(&value.span(), key, &message);
    }

    /// Reports those of `keys` that are missing from the file.
    pub(super) fn require(&mut self, keys: &[&'static str]) {
        for key in keys {
            if self.entry(key).is_none() {
                let span = self.table.map(Spanned::span);
                let path = self.path(key);
                self.reader.add_missing(span.as_ref(), &path);
            }
        }
    }

    /// Reports unknown keys, which are those of the table that were never read.
    pub(super) fn finish(self) {
        let Some(table) = self.table.and_then(|value| value.get_ref().as_table()) else {
            return;
        };
        for key in table.keys() {
            if !self.known_keys.contains(&key.get_ref().as_ref()) {
                let message = unknown_key_message(key.get_ref(), &self.known_keys);
                let path = format!("{}.{}", self.name, key.get_ref());
                self.reader.add_finding(&key.span(), &path, &message);
            }
        }
    }

    /// Adds a finding about `key`.
    pub(super) fn add_finding(&mut self, span: &Range<usize>, key: &str, message: &str) {
        let path = self.path(key);
        self.reader.add_finding(span, &path, message);
    }

    /// Returns the position of the value of `key`, or the start of the file if the key is missing.
    pub(super) fn span(&self, key: &str) -> Range<usize> {
        self.entry(key).map_or(0..0, |(_, value)| value.span())
    }

    /// Returns the value of `key` and records the key as known.
    fn value(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'i>>> {
        self.known_keys.push(key);
        let (name, value) = self.entry(key)?;
        let path = self.path(key);
        self.reader.record_span(path, name.span());
        Some(value)
    }

    fn entry(&self, key: &str) -> Option<(&'a Spanned<Cow<'i, str>>, &'a Spanned<DeValue<'i>>)> {
        self.table?.get_ref().as_table()?.get_key_value(key)
    }

    /// Returns the dotted path of `key`.
    fn path(&self, key: &str) -> String {
        format!("{}.{key}", self.name)
    }

    fn parse_address(&mut self, key: &str, value: &Spanned<DeValue<'_>>) -> Option<SocketAddr> {
        let Some(text) = value.get_ref().as_str() else {
            self.add_type_mismatch(value, key, "a quoted address");
            return None;
        };
        let address = text.parse().ok();
        if address.is_none() {
            let message = format!("{text:?} is not an address of the form IP:port");
            self.add_finding(&value.span(), key, &message);
        }
        address
    }

    fn add_type_mismatch(&mut self, value: &Spanned<DeValue<'_>>, key: &str, expected: &str) {
        let message = format!("must be {expected}, not {}", value.get_ref().type_str());
        self.add_finding(&value.span(), key, &message);
    }
}

fn is_name_character(character: char) -> bool {
    character.is_alphanumeric() || matches!(character, '-' | '_' | '.')
}

fn integer_description(key: &str) -> &'static str {
    if key.ends_with("_ms") {
        "an integer number of milliseconds without a unit"
    } else if key.ends_with("_bytes") {
        "an integer number of bytes without a unit"
    } else {
        "an integer"
    }
}

fn unknown_key_message(key: &str, known_keys: &[&str]) -> String {
    let written = key.replace('-', "_");
    let stem = strip_unit(&written);
    match known_keys.iter().find(|name| strip_unit(name) == stem) {
        Some(name) => format!("unknown key; did you mean {name}{}", unit_hint(name)),
        None => format!(
            "unknown key; the keys of this table are {}",
            known_keys.join(", ")
        ),
    }
}

fn unit_hint(name: &str) -> &'static str {
    if name.ends_with("_ms") {
        ", in milliseconds?"
    } else if name.ends_with("_bytes") {
        ", in bytes?"
    } else {
        "?"
    }
}

fn strip_unit(key: &str) -> &str {
    UNIT_SUFFIXES
        .iter()
        .find_map(|suffix| key.strip_suffix(suffix))
        .unwrap_or(key)
}
