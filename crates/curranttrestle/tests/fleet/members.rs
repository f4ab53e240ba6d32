//! Who sees whom, and who owns what.

use super::*;

impl Fleet {
    /// Tells each router the members that it can reach, and who owns which endpoint.
    pub(super) fn announce_members(&mut self) {
        let now = self.now();
        for index in 0..self.routers.len() {
            let live: Vec<Member> = (0..self.routers.len())
                .filter(|other| self.routers[*other].alive && !self.is_cut(index, *other))
                .map(|other| self.routers[other].member.clone())
                .collect();
            for member in &live {
                let known = &self.routers[index].view.live;
                let is_restarted = known.iter().any(|known| {
                    known.instance == member.instance && known.incarnation < member.incarnation
                });
                if is_restarted {
                    let router = &mut self.routers[index];
                    router.owner.holder_restarted(&member.instance, now);
                }
            }
            self.routers[index].view.live.clone_from(&live);
            let mut mine = Vec::new();
            let mut owners = PoolOwners::default();
            let mut by_endpoint = IndexMap::new();
            for (endpoint, row) in &self.sheet.endpoints {
                let home = live.iter().filter(|m| m.data_centre == row.data_centre);
                let Some(owner) = rendezvous::best(endpoint.as_str(), home) else {
                    continue;
                };
                by_endpoint.insert(
                    endpoint.clone(),
                    EndpointOwner {
                        instance: owner.instance.clone(),
                        incarnation: owner.incarnation,
                    },
                );
                let router = &self.routers[index].member;
                let list = if row.data_centre == router.data_centre {
                    &mut owners.local
                } else {
                    &mut owners.remote
                };
                if !list.contains(&owner.instance) {
                    list.push(owner.instance.clone());
                }
                if owner.instance == router.instance {
                    mine.push(OwnedEndpoint {
                        endpoint: endpoint.clone(),
                        pool: row.pool.clone(),
                        slots: row.slots,
                        usable: !row.leaving,
                    });
                }
            }
            let router = &mut self.routers[index];
            router.owners.insert(PoolId::new(POOL), owners);
            router.holder.set_owners(&by_endpoint);
            let messages = router.owner.set_endpoints(&mine, now);
            self.send(index, messages);
        }
    }
}
