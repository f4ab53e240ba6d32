//! The sheet of a fleet of a given size.

use curranttrestle::state::sheet::{
    Customer, Endpoint, EndpointKind, KeyDigest, Operation, Sheet, SheetObject, SheetStamp,
};
use curranttrestle::state::{CustomerId, DataCentreId, EndpointId, PoolId};
use uuid::Uuid;

use super::cell::CellPlan;

/// The operation of model requests.
pub const DRAFT: &str = "draft-report";
/// The operation of requests that may not run twice.
pub const BOOK: &str = "book-camera";
/// The pool of the model engines.
pub const MODEL_POOL: &str = "model";
/// The pool of the plain services.
pub const DESK_POOL: &str = "desk";
/// Plain services in each data centre.
const DESKS_PER_DATA_CENTRE: usize = 2;
/// Slots of a plain service.
const DESK_SLOTS: u32 = 64;
/// Expected time of a booking in milliseconds.
pub const BOOKING_MS: f64 = 50.0;
/// The port of all endpoints.
const PORT: u16 = 9_000;

/// The name of a customer.
pub fn customer_name(index: usize) -> CustomerId {
    CustomerId::new(&format!("customer-{index:03}"))
}

/// The name of a data centre.
pub fn data_centre_name(index: usize) -> DataCentreId {
    DataCentreId::new(&format!("dc{index}"))
}

/// The name of an endpoint.
pub fn endpoint_name(index: usize) -> EndpointId {
    EndpointId::new(&format!("endpoint-{index:04}"))
}

/// The text of the store's object with the sheet of a cell. The shares differ from one
/// number to the next. Empty when the store can't hold it.
pub fn object_text(plan: &CellPlan, number: u64) -> String {
    let object = SheetObject {
        stamp: SheetStamp {
            number,
            submitted_by: "experiment".into(),
            attempt: Uuid::nil(),
            unix_ms: 0,
        },
        history: Vec::new(),
        sheet: sheet(plan, number),
    };
    object.to_text().unwrap_or_default()
}

fn sheet(plan: &CellPlan, number: u64) -> Sheet {
    let mut sheet = Sheet {
        number,
        ..Sheet::default()
    };
    for index in 0..plan.customers {
        let customer = Customer {
            share: share_of(index, number),
            key_digest: KeyDigest::of(&format!("key {index}")),
            queue_limit: 0,
        };
        sheet.customers.insert(customer_name(index), customer);
    }
    sheet.operations.insert(
        DRAFT.into(),
        Operation {
            pool: PoolId::new(MODEL_POOL),
            idempotent: true,
            priority: 0,
            expected_cost: plan.mean_tokens,
        },
    );
    sheet.operations.insert(
        BOOK.into(),
        Operation {
            pool: PoolId::new(DESK_POOL),
            idempotent: false,
            priority: 0,
            expected_cost: BOOKING_MS,
        },
    );
    let desks = DESKS_PER_DATA_CENTRE * plan.data_centres;
    for index in 0..plan.endpoints {
        add_endpoint(&mut sheet, plan, index, EndpointKind::Model);
    }
    for index in plan.endpoints..plan.endpoints + desks {
        add_endpoint(&mut sheet, plan, index, EndpointKind::Service);
    }
    sheet
}

/// One customer in eight is large; another one's share changes with each sheet.
fn share_of(index: usize, number: u64) -> u32 {
    match index {
        1 => 1 + u32::try_from(number % 2).unwrap_or_default(),
        _ if index.is_multiple_of(8) => 4,
        _ => 1,
    }
}

fn add_endpoint(sheet: &mut Sheet, plan: &CellPlan, index: usize, kind: EndpointKind) {
    let (pool, slots) = match kind {
        EndpointKind::Model => (MODEL_POOL, plan.slots),
        EndpointKind::Service => (DESK_POOL, DESK_SLOTS),
    };
    let [.., high, low] = u32::try_from(index).unwrap_or_default().to_be_bytes();
    let endpoint = Endpoint {
        pool: PoolId::new(pool),
        kind,
        data_centre: data_centre_name(index % plan.data_centres),
        address: ([10, 0, high, low], PORT).into(),
        slots,
        checks_fencing: true,
        leaving: false,
    };
    sheet.endpoints.insert(endpoint_name(index), endpoint);
}
