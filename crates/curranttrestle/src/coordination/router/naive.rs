//! The baseline policy: round robin over endpoints, with a local concurrency limit for each.

use indexmap::IndexMap;

use crate::state::sheet::Sheet;
use crate::state::{EndpointId, PoolId};

/// Chooses endpoints in round-robin order. Each router may use its share of an endpoint's
/// slots.
#[derive(Clone, Debug, Default)]
pub struct NaiveDispatcher {
    in_flight: IndexMap<EndpointId, u32>,
    turns: IndexMap<PoolId, usize>,
}

impl NaiveDispatcher {
    /// Takes a slot on the next usable endpoint of `pool` below its local limit. `routers` is the
    /// number of routers that share the endpoints.
    pub fn choose(
        &mut self,
        sheet: &Sheet,
        pool: &PoolId,
        routers: usize,
        usable: impl Fn(&EndpointId) -> bool,
    ) -> Option<EndpointId> {
        let candidates: Vec<(&EndpointId, u32)> = sheet
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.pool == *pool)
            .map(|(id, endpoint)| (id, local_limit(endpoint.slots, routers)))
            .collect();
        let turn = self.turns.entry(pool.clone()).or_default();
        for step in 0..candidates.len() {
            let index = (*turn + step) % candidates.len();
            let (endpoint, limit) = candidates[index];
            let used = self.in_flight.get(endpoint).copied().unwrap_or_default();
            if used < limit && usable(endpoint) {
                *turn = index + 1;
                *self.in_flight.entry(endpoint.clone()).or_default() += 1;
                return Some(endpoint.clone());
            }
        }
        None
    }

    /// Releases the slot of an ended attempt.
    pub fn release(&mut self, endpoint: &EndpointId) {
        if let Some(used) = self.in_flight.get_mut(endpoint) {
            *used = used.saturating_sub(1);
        }
    }
}

/// Returns one router's share of `slots`, rounded up so that each router can use every
/// endpoint.
fn local_limit(slots: u32, routers: usize) -> u32 {
    slots.div_ceil(u32::try_from(routers.max(1)).unwrap_or(u32::MAX))
}
