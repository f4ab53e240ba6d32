//! Checks across several rows, such as for duplicate values. They use the cell texts of all
//! rows, including rows that are invalid by themselves.

use std::net::SocketAddr;

use indexmap::map::Entry;
use indexmap::{IndexMap, IndexSet};

use super::super::RecordKind;
use super::Reader;
use super::row::Row;

/// Reports all findings that involve several rows.
pub(super) fn report_cross_row_findings(
    rows: &IndexMap<RecordKind, Vec<Row>>,
    reader: &mut Reader,
) {
    for (kind, rows) in rows {
        if rows.is_empty() {
            reader.add_input_finding(format!("has no {kind} rows"));
        }
        report_duplicates(reader, rows, "name", str::to_owned);
    }
    let of_kind = |kind| rows.get(&kind).map_or(&[][..], Vec::as_slice);
    let endpoints = of_kind(RecordKind::Endpoint);
    report_duplicates(
        reader,
        of_kind(RecordKind::Customer),
        "key_digest",
        str::to_ascii_lowercase,
    );
    report_duplicates(reader, endpoints, "address", canonical_address);
    report_mixed_pools(reader, endpoints);
    report_unknown_pools(reader, of_kind(RecordKind::Operation), endpoints);
}

/// Reports each value of a column that also occurs in an earlier row.
fn report_duplicates(
    reader: &mut Reader,
    rows: &[Row],
    column: &'static str,
    canonical: impl Fn(&str) -> String,
) {
    let mut first_lines: IndexMap<String, u64> = IndexMap::new();
    for row in rows.iter().filter(|row| !row.text(column).is_empty()) {
        match first_lines.entry(canonical(row.text(column))) {
            Entry::Vacant(entry) => {
                entry.insert(row.line());
            }
            Entry::Occupied(entry) => {
                let message = format!("duplicates the value in line {}", entry.get());
                row.add_finding(reader, column, &message);
            }
        }
    }
}

/// Normalises the text form of an address, so that equal addresses compare equal.
fn canonical_address(text: &str) -> String {
    let address = text.parse::<SocketAddr>();
    address.map_or_else(|_| text.to_owned(), |address| address.to_string())
}

/// Reports endpoints whose kind differs from that of the first endpoint in their pool.
fn report_mixed_pools(reader: &mut Reader, endpoints: &[Row]) {
    let mut pools: IndexMap<&str, (String, u64)> = IndexMap::new();
    for row in endpoints {
        let pool = row.text("pool");
        let kind = row.text("kind").to_ascii_lowercase();
        if pool.is_empty() || kind.is_empty() {
            continue;
        }
        let first = pools.entry(pool).or_insert((kind.clone(), row.line()));
        if first.0 != kind {
            let message = format!(
                "{kind:?} differs from {:?} in line {}, the kind of pool {pool}",
                first.0, first.1
            );
            row.add_finding(reader, "kind", &message);
        }
    }
}

/// Reports operations whose pool has no endpoints.
fn report_unknown_pools(reader: &mut Reader, operations: &[Row], endpoints: &[Row]) {
    let pools: IndexSet<&str> = endpoints.iter().map(|row| row.text("pool")).collect();
    for row in operations {
        let pool = row.text("pool");
        if !pool.is_empty() && !pools.contains(pool) {
            let message = format!("no endpoint belongs to pool {pool:?}");
            row.add_finding(reader, "pool", &message);
        }
    }
}
