//! Membership views of the routers and endpoint ownership.

use super::*;

impl Fleet {
    /// Updates each router's view to the members it can reach, and the endpoint owners.
    pub(super) fn update_views(&mut self) {
        let now = self.now();
        for index in 0..self.routers.len() {
            let live: Vec<Member> = (0..self.routers.len())
                .filter(|other| self.routers[*other].alive && !self.is_partitioned(index, *other))
                .map(|other| self.routers[other].member.clone())
                .collect();
            for member in &live {
                let known = &self.routers[index].view.live;
                let is_restarted = known.iter().any(|known| {
                    known.instance == member.instance && known.incarnation < member.incarnation
                });
                if is_restarted {
                    let router = &mut self.routers[index];
                    router.slot_owner.holder_restarted(&member.instance, now);
                }
            }
            self.routers[index].view.live.clone_from(&live);
            let mut owned_endpoints = Vec::new();
            let mut owners = PoolOwners::default();
            let mut endpoint_owners = IndexMap::new();
            for (endpoint, row) in &self.sheet.endpoints {
                let local = live
                    .iter()
                    .filter(|member| member.data_centre == row.data_centre);
                let Some(owner) = rendezvous::best(endpoint.as_str(), local) else {
                    continue;
                };
                endpoint_owners.insert(
                    endpoint.clone(),
                    EndpointOwner {
                        instance: owner.instance.clone(),
                        incarnation: owner.incarnation,
                    },
                );
                let member = &self.routers[index].member;
                let list = if row.data_centre == member.data_centre {
                    &mut owners.local
                } else {
                    &mut owners.remote
                };
                if !list.contains(&owner.instance) {
                    list.push(owner.instance.clone());
                }
                if owner.instance == member.instance {
                    owned_endpoints.push(OwnedEndpoint {
                        endpoint: endpoint.clone(),
                        pool: row.pool.clone(),
                        slots: row.slots,
                        usable: !row.leaving,
                    });
                }
            }
            let router = &mut self.routers[index];
            router.owners.insert(PoolId::new(POOL), owners);
            router.slot_holder.set_owners(&endpoint_owners);
            let messages = router.slot_owner.set_endpoints(&owned_endpoints, now);
            self.send(index, messages);
        }
    }
}
