//! Router status as reported to operators.

use serde::{Deserialize, Serialize};

use crate::protocol::peer::MemberUpdate;
use crate::state::{AccountId, Now};

use super::Router;

/// Status of a customer's queue in one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// Name of the pool.
    pub pool: String,
    /// Name of the customer.
    pub customer: String,
    /// Number of queued requests.
    pub waiting: u32,
    /// Service received per share, in units of the pool.
    pub level: f64,
}

/// Status of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Name of its pool.
    pub pool: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it may receive new work.
    pub usable: bool,
    /// Number of this router's attempts that run on it.
    pub running_here: usize,
}

/// Status of a fleet member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberSummary {
    /// Name of its instance.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// Address at which other routers reach it.
    pub address: String,
    /// Membership status as seen by this router, in lower case.
    pub status: String,
}

impl MemberSummary {
    /// Creates the summary of a membership update.
    #[must_use]
    pub fn of(update: &MemberUpdate) -> Self {
        Self {
            instance: update.member.instance.to_string(),
            data_centre: update.member.data_centre.to_string(),
            address: update.member.address.to_string(),
            status: format!("{:?}", update.status).to_lowercase(),
        }
    }
}

/// Status of a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// Name of its instance.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Number of the sheet in force.
    pub sheet_number: u64,
    /// Digest of that sheet, in hexadecimal.
    pub sheet_digest: String,
    /// Version of the marks in force.
    pub marks_version: u64,
    /// The other members.
    pub members: Vec<MemberSummary>,
    /// Endpoints listed in the sheet.
    pub endpoints: Vec<EndpointStatus>,
    /// Non-empty queues.
    pub queues: Vec<QueueStatus>,
    /// Number of requests being processed.
    pub active_requests: usize,
    /// Number of running attempts.
    pub running_attempts: usize,
    /// Number of invariant violations since the start.
    pub invariant_violations: u64,
}

impl Router {
    /// Returns the status of this router.
    #[must_use]
    pub fn status(&self, now: Now) -> RouterStatus {
        let numbers = self.config.numbers();
        let waiting = self.queues.pools().into_iter().flat_map(|pool| {
            let demands = self.queues.demand(&pool, now);
            demands
                .into_iter()
                .map(move |demand| (pool.clone(), demand))
        });
        let queues = waiting
            .map(|(pool, demand)| QueueStatus {
                pool: pool.to_string(),
                customer: demand.customer.to_string(),
                waiting: demand.total(),
                level: self.fair_share.level(&AccountId {
                    pool: pool.clone(),
                    customer: demand.customer.clone(),
                }),
            })
            .collect();
        RouterStatus {
            instance: self.me.instance.to_string(),
            data_centre: self.me.data_centre.to_string(),
            incarnation: self.me.incarnation.0,
            ready: self.is_ready(),
            leaving: self.stopping,
            sheet_number: numbers.sheet_number,
            sheet_digest: format!("{:016x}", numbers.sheet_digest),
            marks_version: numbers.marks_version.0,
            members: self.membership.members().map(MemberSummary::of).collect(),
            endpoints: self.endpoint_statuses(),
            queues,
            active_requests: self.active.requests.len(),
            running_attempts: self.active.attempts.len(),
            invariant_violations: self.invariant_violations().map(|(_, count)| count).sum(),
        }
    }

    fn endpoint_statuses(&self) -> Vec<EndpointStatus> {
        self.sheet
            .endpoints
            .iter()
            .map(|(id, row)| EndpointStatus {
                endpoint: id.to_string(),
                pool: row.pool.to_string(),
                data_centre: row.data_centre.to_string(),
                usable: self.drain.is_usable(id),
                running_here: self.active.digests_on(id).len(),
            })
            .collect()
    }
}
