//! Reads the record of a row. All cells are read before a fault drops the record, so that
//! one pass reports every fault.

use super::super::{Customer, Endpoint, EndpointKind, KeyDigest, Operation};
use super::Reader;
use super::row::Row;
use crate::state::{CustomerId, DataCentreId, EndpointId, PoolId};

/// The largest share; the sum over all customers stays far below the range of integers.
const LARGEST_SHARE: u64 = 1_000_000;

/// The most requests of a customer that may wait at one router.
const LARGEST_QUEUE: u64 = 1_000_000;

/// The most slots of an endpoint.
const MOST_SLOTS: u64 = 10_000;

const KINDS: [(&str, EndpointKind); 2] = [
    ("model", EndpointKind::Model),
    ("service", EndpointKind::Service),
];

pub(super) fn customer(row: &Row, reader: &mut Reader) -> Option<(CustomerId, Customer)> {
    let name = row.name(reader, "name");
    let share = row.integer(reader, "share", 1..=LARGEST_SHARE);
    let key_digest = row.digest(reader, "key_digest");
    let queue_limit = queue_limit(row, reader);
    let customer = Customer {
        share: share?,
        key_digest: KeyDigest(key_digest?),
        queue_limit: queue_limit?,
    };
    Some((CustomerId::new(name?), customer))
}

/// An empty cell leaves the limit to the router's settings.
fn queue_limit(row: &Row, reader: &mut Reader) -> Option<u32> {
    if row.text("queue_limit").is_empty() {
        return Some(0);
    }
    row.integer(reader, "queue_limit", 1..=LARGEST_QUEUE)
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
    let kind = row.choice(reader, "kind", &KINDS);
    let data_centre = row.name(reader, "data_centre");
    let address = row.address(reader, "address");
    let slots = row.integer(reader, "slots", 1..=MOST_SLOTS);
    let checks_fencing = row.yes_or_empty(reader, "checks_fencing");
    let leaving = row.yes_or_empty(reader, "leaving");
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
