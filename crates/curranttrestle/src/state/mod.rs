//! Plain data types shared by all layers.

pub mod event;
pub mod finding;
pub mod gateway;
pub mod ids;
pub mod marks;
pub mod member;
pub mod now;
pub mod settings;
pub mod sheet;

pub use event::{Event, EventKind};
pub use finding::{Finding, Findings, Location};
pub use ids::{
    AccountId, AttemptId, CustomerId, DataCentreId, EndpointId, Incarnation, InstanceId, PoolId,
    RequestId,
};
pub use member::{Member, MemberView};
pub use now::Now;
