//! Converts rows to records. All cells of a row are parsed before an invalid one discards the
//! record, so that one pass reports all errors.

use super::super::{Customer, Endpoint, EndpointKind, KeyDigest, Operation};
use super::Reader;
use super::row::Row;
use crate::state::{CustomerId, DataCentreId, EndpointId, PoolId};

/// The maximum share. Keeps the sum over all customers far below integer overflow.
const MAX_SHARE: u64 = 1_000_000;

/// The maximum queue limit of a customer at one router, in requests.
const MAX_QUEUE_LIMIT: u64 = 1_000_000;

/// The maximum number of slots of an endpoint.
const MAX_SLOTS: u64 = 10_000;

const ENDPOINT_KINDS: [(&str, EndpointKind); 2] = [
    ("model", EndpointKind::Model),
    ("service", EndpointKind::Service),
];

pub(super) fn customer(row: &Row, reader: &mut Reader) -> Option<(CustomerId, Customer)> {
    let name = row.name(reader, "name");
    let share = row.integer(reader, "share", 1..=MAX_SHARE);
    let key_digest = row.digest(reader, "key_digest");
    let queue_limit = queue_limit(row, reader);
    let customer = Customer {
        share: share?,
        key_digest: KeyDigest(key_digest?),
        queue_limit: queue_limit?,
    };
    Some((CustomerId::new(name?), customer))
}

/// Parses the queue limit. An empty cell gives zero, which means that the router's settings
/// apply.
fn queue_limit(row: &Row, reader: &mut Reader) -> Option<u32> {
    if row.text("queue_limit").is_empty() {
        return Some(0);
    }
    row.integer(reader, "queue_limit", 1..=MAX_QUEUE_LIMIT)
}

pub(super) fn operation(row: &Row, reader: &mut Reader) -> Option<(String, Operation)> {
    let name = row.ascii_name(reader, "name");
    let pool = row.name(reader, "pool");
    let idempotent = row.yes_or_no(reader, "idempotent");
    let priority = row.integer(reader, "priority", 0..=u64::from(u8::MAX));
    let expected_cost = row.cost(reader, "expected_cost");
    let operation = Operation {
        pool: PoolId::new(pool?),
        idempotent: idempotent?,
        priority: priority?,
        expected_cost: expected_cost?,
    };
    Some((name?.to_owned(), operation))
}

pub(super) fn endpoint(row: &Row, reader: &mut Reader) -> Option<(EndpointId, Endpoint)> {
    let name = row.name(reader, "name");
    let pool = row.name(reader, "pool");
    let kind = row.choice(reader, "kind", &ENDPOINT_KINDS);
    let data_centre = row.name(reader, "data_centre");
    let address = row.address(reader, "address");
    let slots = row.integer(reader, "slots", 1..=MAX_SLOTS);
    let checks_fencing = row.yes_no_or_empty(reader, "checks_fencing");
    let leaving = row.yes_no_or_empty(reader, "leaving");
    let endpoint = Endpoint {
        pool: PoolId::new(pool?),
        kind: kind?,
        data_centre: DataCentreId::new(data_centre?),
        address: address?,
        slots: slots?,
        checks_fencing: checks_fencing?,
        leaving: leaving?,
    };
    Some((EndpointId::new(name?), endpoint))
}
