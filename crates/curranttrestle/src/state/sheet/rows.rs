//! Converts the records of a sheet to rows of named cells.

use std::fmt;

use super::{Customer, Endpoint, EndpointKind, Operation};

/// The kind of record that a row describes, given in its first cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RecordKind {
    /// A customer.
    Customer,
    /// An operation.
    Operation,
    /// An endpoint.
    Endpoint,
}

impl RecordKind {
    /// All kinds, in the order in which they are written.
    pub const ALL: [Self; 3] = [Self::Customer, Self::Operation, Self::Endpoint];

    /// Returns the text form.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Customer => "customer",
            Self::Operation => "operation",
            Self::Endpoint => "endpoint",
        }
    }

    /// Returns the columns after the first, in their standard order.
    #[must_use]
    pub fn columns(self) -> &'static [&'static str] {
        match self {
            Self::Customer => &["name", "share", "key_digest", "queue_limit"],
            Self::Operation => &["name", "pool", "idempotent", "priority", "expected_cost"],
            Self::Endpoint => &[
                "name",
                "pool",
                "kind",
                "data_centre",
                "address",
                "slots",
                "checks_fencing",
                "leaving",
            ],
        }
    }

    /// Parses a text form, ignoring case.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str().eq_ignore_ascii_case(text))
    }
}

impl fmt::Display for RecordKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A record that can be converted to the cells of a row.
pub(super) trait Record {
    /// The kind of the record.
    const KIND: RecordKind;

    /// Returns the cells, one for each of [`RecordKind::columns`].
    fn cells(&self, name: &str) -> Vec<String>;
}

impl Record for Customer {
    const KIND: RecordKind = RecordKind::Customer;

    fn cells(&self, name: &str) -> Vec<String> {
        let queue_limit = match self.queue_limit {
            0 => String::new(),
            limit => limit.to_string(),
        };
        vec![
            name.to_owned(),
            self.share.to_string(),
            hex::encode(self.key_digest.0),
            queue_limit,
        ]
    }
}

impl Record for Operation {
    const KIND: RecordKind = RecordKind::Operation;

    fn cells(&self, name: &str) -> Vec<String> {
        vec![
            name.to_owned(),
            self.pool.to_string(),
            yes_or_no(self.idempotent),
            self.priority.to_string(),
            self.expected_cost.to_string(),
        ]
    }
}

impl Record for Endpoint {
    const KIND: RecordKind = RecordKind::Endpoint;

    fn cells(&self, name: &str) -> Vec<String> {
        let kind = match self.kind {
            EndpointKind::Model => "model",
            EndpointKind::Service => "service",
        };
        vec![
            name.to_owned(),
            self.pool.to_string(),
            kind.to_owned(),
            self.data_centre.to_string(),
            self.address.to_string(),
            self.slots.to_string(),
            yes_or_no(self.checks_fencing),
            yes_or_no(self.leaving),
        ]
    }
}

fn yes_or_no(flag: bool) -> String {
    if flag { "yes" } else { "no" }.to_owned()
}
