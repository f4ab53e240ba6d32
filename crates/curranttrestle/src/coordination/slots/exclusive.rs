//! Exclusive leases: an endpoint is drained so that one request can run on it alone.

use crate::coordination::fair_share::FairShare;
use crate::protocol::peer::{Lease, PeerMessage};
use crate::state::{EndpointId, InstanceId, Now, PoolId};

use super::owner::SlotOwner;
use super::pool_bids::SlotUse;

impl SlotOwner {
    /// While a request that must run alone is waiting, drains one endpoint of the pool and lends
    /// it exclusively once none of its slots is lent. Drains one endpoint per pool at a time.
    pub(super) fn serve_exclusive(
        &mut self,
        pool: &PoolId,
        fair_share: &FairShare,
        now: Now,
    ) -> Vec<(InstanceId, PeerMessage)> {
        if self.has_exclusive_lease(pool) {
            return Vec::new();
        }
        let best = self
            .bids
            .get(pool)
            .and_then(|bids| bids.best(pool, SlotUse::Exclusive, None, fair_share));
        let draining = self.draining_endpoint(pool);
        let Some(best) = best else {
            // No exclusive request waits any more: lend the endpoint's slots normally again.
            if let Some(state) = draining.and_then(|id| self.endpoints.get_mut(&id)) {
                state.draining = false;
            }
            return Vec::new();
        };
        let Some(endpoint) = draining else {
            return self.start_draining(pool, now);
        };
        if self.lent(&endpoint) > 0 {
            return Vec::new();
        }
        let lease = Lease {
            id: self.new_lease_id(),
            endpoint,
            pool: pool.clone(),
            short_only: false,
            exclusive: true,
        };
        vec![self.lend(lease, &best, SlotUse::Exclusive, fair_share, now)]
    }

    fn has_exclusive_lease(&self, pool: &PoolId) -> bool {
        self.leases
            .values()
            .any(|lent| lent.lease.pool == *pool && lent.lease.exclusive)
    }

    fn draining_endpoint(&self, pool: &PoolId) -> Option<EndpointId> {
        self.endpoints
            .iter()
            .find(|(_, state)| state.pool == *pool && state.draining && state.usable)
            .map(|(endpoint, _)| endpoint.clone())
    }

    /// Starts to drain the usable endpoint that was drained least recently, so that a request
    /// that excludes one endpoint is offered another.
    fn start_draining(&mut self, pool: &PoolId, now: Now) -> Vec<(InstanceId, PeerMessage)> {
        let chosen = self
            .endpoints
            .iter()
            .filter(|(_, state)| state.pool == *pool && state.may_lend(now))
            .min_by_key(|(endpoint, state)| (state.last_exclusive_ms, self.lent(endpoint)))
            .map(|(endpoint, _)| endpoint.clone());
        let Some(endpoint) = chosen else {
            return Vec::new();
        };
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.draining = true;
            state.last_exclusive_ms = now.steady_ms;
        }
        self.recall_all(&endpoint)
    }
}
