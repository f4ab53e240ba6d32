//! What a run shows.

use super::*;

impl Fleet {
    /// The service per share of the customers that are always backlogged.
    pub fn levels(&self) -> Vec<f64> {
        self.setup
            .customers
            .iter()
            .enumerate()
            .filter(|(_, (_, load))| matches!(load, Load::Backlog(_)))
            .map(|(index, (share, _))| {
                let served = self.served.get(&customer(index)).copied().unwrap_or(0.0);
                let base = self.base.get(&customer(index)).copied().unwrap_or(0.0);
                (served - base) / f64::from(*share)
            })
            .collect()
    }

    /// The gap of service per share.
    pub fn gap(&self) -> f64 {
        let levels = self.levels();
        let most = levels.iter().copied().fold(f64::MIN, f64::max);
        let least = levels.iter().copied().fold(f64::MAX, f64::min);
        most - least
    }

    /// The least over the most service per share.
    pub fn ratio(&self) -> f64 {
        let levels = self.levels();
        let most = levels.iter().copied().fold(f64::MIN, f64::max);
        let least = levels.iter().copied().fold(f64::MAX, f64::min);
        least / most
    }

    /// All leases that holders may use now, by endpoint.
    pub fn valid_leases(&self) -> IndexMap<EndpointId, Vec<LeaseId>> {
        let now = self.now();
        let mut leases: IndexMap<EndpointId, Vec<LeaseId>> = IndexMap::new();
        for router in self.routers.iter().filter(|router| router.alive) {
            for (lease, _) in router.holder.leases() {
                if router.holder.still_valid(&lease.id, now) {
                    leases
                        .entry(lease.endpoint.clone())
                        .or_default()
                        .push(lease.id.clone());
                }
            }
        }
        leases
    }

    /// One line of figures.
    pub fn figures(&self) -> String {
        let seconds = (self.now_ms - self.measured_ms) as f64 / 1_000.0;
        let requests = self.seen.dispatched as f64;
        let routers = self.setup.routers as f64;
        let messages: u64 = self.seen.messages.values().map(|count| count.0).sum();
        let bytes: u64 = self.seen.messages.values().map(|count| count.1).sum();
        let by_kind: Vec<String> = self
            .seen
            .messages
            .iter()
            .map(|(kind, (count, bytes))| {
                let each = *bytes as f64 / *count as f64;
                format!("{kind}={:.2}x{each:.0}B", *count as f64 / requests)
            })
            .collect();
        format!(
            "requests={requests} idle={:.2}% longest_idle={}ms ratio={:.3} gap={:.0} \
             messages/request={:.2} bytes/node/s={:.0} most={:.0} over={} [{}]",
            100.0 * self.seen.idle_ms as f64 / self.seen.slot_ms as f64,
            self.seen.longest_idle_ms,
            self.ratio(),
            self.gap(),
            messages as f64 / requests,
            bytes as f64 / routers / seconds,
            self.seen.sent_bytes.values().copied().max().unwrap_or(0) as f64 / seconds,
            self.seen.over_admitted,
            by_kind.join(" "),
        )
    }
}
