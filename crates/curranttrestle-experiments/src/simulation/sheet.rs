//! The sheet of a simulated fleet.

use curranttrestle::state::sheet::{
    Customer, Endpoint, EndpointKind, KeyDigest, Operation, Sheet, SheetObject, SheetStamp,
};
use curranttrestle::state::{CustomerId, DataCentreId, EndpointId, PoolId};
use uuid::Uuid;

use super::fleet::SimulationPlan;

/// Name of the operation for model requests.
pub const DRAFT: &str = "draft-report";
/// Name of the operation for non-idempotent requests.
pub const BOOK: &str = "book-camera";
/// Name of the pool of model engines.
pub const MODEL_POOL: &str = "model";
/// Name of the pool of services.
pub const SERVICE_POOL: &str = "desk";
/// Number of services in each data centre.
const SERVICES_PER_DATA_CENTRE: usize = 2;
/// Number of slots of a service.
const SERVICE_SLOTS: u32 = 64;
/// Expected duration of a booking in milliseconds.
pub const BOOKING_MS: f64 = 50.0;
/// Port of all endpoints.
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

/// The text of the store object that holds the sheet with this number. One customer's share
/// differs between consecutive numbers. Empty if the sheet can't be encoded within the store's
/// limit.
pub fn object_text(plan: &SimulationPlan, number: u64) -> String {
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

fn sheet(plan: &SimulationPlan, number: u64) -> Sheet {
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
            pool: PoolId::new(SERVICE_POOL),
            idempotent: false,
            priority: 0,
            expected_cost: BOOKING_MS,
        },
    );
    let services = SERVICES_PER_DATA_CENTRE * plan.data_centres;
    for index in 0..plan.endpoints {
        add_endpoint(&mut sheet, plan, index, EndpointKind::Model);
    }
    for index in plan.endpoints..plan.endpoints + services {
        add_endpoint(&mut sheet, plan, index, EndpointKind::Service);
    }
    sheet
}

/// Every eighth customer has a share of 4. The share of customer 1 changes with each sheet.
fn share_of(index: usize, number: u64) -> u32 {
    match index {
        1 => 1 + u32::try_from(number % 2).unwrap_or_default(),
        _ if index.is_multiple_of(8) => 4,
        _ => 1,
    }
}

fn add_endpoint(sheet: &mut Sheet, plan: &SimulationPlan, index: usize, kind: EndpointKind) {
    let (pool, slots) = match kind {
        EndpointKind::Model => (MODEL_POOL, plan.slots),
        EndpointKind::Service => (SERVICE_POOL, SERVICE_SLOTS),
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
