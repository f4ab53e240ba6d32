//! What a router shows of itself to operators.

use serde::{Deserialize, Serialize};

use crate::protocol::peer::MemberNews;
use crate::state::{AccountId, Now};

use super::Router;

/// One pool and customer with waiting requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// The pool.
    pub pool: String,
    /// The customer.
    pub customer: String,
    /// How many requests wait.
    pub waiting: u32,
    /// Service per share, in units of the pool.
    pub level: f64,
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Its name.
    pub endpoint: String,
    /// Its pool.
    pub pool: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it may get new work.
    pub usable: bool,
    /// Attempts of this router that run on it.
    pub running_here: usize,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberLine {
    /// Its instance.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its address for other routers.
    pub address: String,
    /// What is believed of it.
    pub status: String,
}

impl MemberLine {
    /// The line of a member.
    #[must_use]
    pub fn of(news: &MemberNews) -> Self {
        Self {
            instance: news.member.instance.to_string(),
            data_centre: news.member.data_centre.to_string(),
            address: news.member.address.to_string(),
            status: format!("{:?}", news.status).to_lowercase(),
        }
    }
}

/// The state of a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// Its instance.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its run.
    pub incarnation: u64,
    /// It takes new requests.
    pub ready: bool,
    /// It is stopping.
    pub leaving: bool,
    /// The number of the sheet in force.
    pub sheet_number: u64,
    /// The digest of that sheet, in hexadecimal.
    pub sheet_digest: String,
    /// The version of the marks in force.
    pub marks_version: u64,
    /// The other members.
    pub members: Vec<MemberLine>,
    /// The endpoints of the sheet.
    pub endpoints: Vec<EndpointStatus>,
    /// The queues that are not empty.
    pub queues: Vec<QueueStatus>,
    /// Requests that the router is working on.
    pub active_requests: usize,
    /// Attempts that run.
    pub running_attempts: usize,
    /// Violated invariants since the start.
    pub invariant_violations: u64,
}

impl Router {
    /// The state of this router.
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
                level: self.fair.level(&AccountId {
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
            members: self.membership.members().map(MemberLine::of).collect(),
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
