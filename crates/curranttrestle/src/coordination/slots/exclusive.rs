//! Exclusive leases: an endpoint is drained to run one request alone.

use crate::coordination::fair_share::FairShare;
use crate::protocol::peer::{Lease, PeerMessage};
use crate::state::{EndpointId, InstanceId, Now, PoolId};

use super::owner::SlotOwner;
use super::standing::Use;

impl SlotOwner {
    /// Drains one endpoint of a pool while a request waits that must run alone, and lends
    /// the whole endpoint once it is empty. One endpoint at a time.
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
            .and_then(|bids| bids.best(pool, Use::Exclusive, None, fair_share));
        let draining = self.draining_endpoint(pool);
        let Some(best) = best else {
            // The demand is gone: the endpoint serves everybody again.
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
        vec![self.lend(lease, &best, Use::Exclusive, fair_share, now)]
    }

    fn has_exclusive_lease(&self, pool: &PoolId) -> bool {
        self.leases
            .values()
            .any(|held| held.lease.pool == *pool && held.lease.exclusive)
    }

    fn draining_endpoint(&self, pool: &PoolId) -> Option<EndpointId> {
        self.endpoints
            .iter()
            .find(|(_, state)| state.pool == *pool && state.draining && state.usable)
            .map(|(endpoint, _)| endpoint.clone())
    }

    /// Begins with the usable endpoint that was drained least recently, so that a request
    /// that must avoid one endpoint meets another.
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
