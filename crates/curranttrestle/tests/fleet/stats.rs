//! Statistics of a run.

use super::*;

impl Fleet {
    /// Service per share, since the baseline, of the customers that are always backlogged.
    pub fn levels(&self) -> Vec<f64> {
        self.setup
            .customers
            .iter()
            .enumerate()
            .filter(|(_, (_, load))| matches!(load, Load::Backlog(_)))
            .map(|(index, (share, _))| {
                let served = self.served.get(&customer(index)).copied().unwrap_or(0.0);
                let baseline = self.baseline.get(&customer(index)).copied().unwrap_or(0.0);
                (served - baseline) / f64::from(*share)
            })
            .collect()
    }

    /// Difference between the highest and the lowest service per share.
    pub fn level_gap(&self) -> f64 {
        let levels = self.levels();
        let highest = levels.iter().copied().fold(f64::MIN, f64::max);
        let lowest = levels.iter().copied().fold(f64::MAX, f64::min);
        highest - lowest
    }

    /// Ratio of the lowest to the highest service per share.
    pub fn level_ratio(&self) -> f64 {
        let levels = self.levels();
        let highest = levels.iter().copied().fold(f64::MIN, f64::max);
        let lowest = levels.iter().copied().fold(f64::MAX, f64::min);
        lowest / highest
    }

    /// All leases that holders may currently use, by endpoint.
    pub fn valid_leases(&self) -> IndexMap<EndpointId, Vec<LeaseId>> {
        let now = self.now();
        let mut leases: IndexMap<EndpointId, Vec<LeaseId>> = IndexMap::new();
        for router in self.routers.iter().filter(|router| router.alive) {
            for (lease, _) in router.slot_holder.leases() {
                if router.slot_holder.is_valid(&lease.id, now) {
                    leases
                        .entry(lease.endpoint.clone())
                        .or_default()
                        .push(lease.id.clone());
                }
            }
        }
        leases
    }

    /// Summary of the measurements in one line.
    pub fn summary(&self) -> String {
        let seconds = (self.now_ms - self.measured_since_ms) as f64 / 1_000.0;
        let requests = self.observed.dispatched as f64;
        let routers = self.setup.routers as f64;
        let messages: u64 = self.observed.messages.values().map(|count| count.0).sum();
        let bytes: u64 = self.observed.messages.values().map(|count| count.1).sum();
        let by_kind: Vec<String> = self
            .observed
            .messages
            .iter()
            .map(|(kind, (count, bytes))| {
                let each = *bytes as f64 / *count as f64;
                format!("{kind}={:.2}x{each:.0}B", *count as f64 / requests)
            })
            .collect();
        format!(
            "requests={requests} idle={:.2}% longest_idle={}ms level_ratio={:.3} level_gap={:.0} \
             messages/request={:.2} bytes/router/s={:.0} max_bytes/router/s={:.0} \
             over_admitted={} [{}]",
            100.0 * self.observed.idle_ms as f64 / self.observed.slot_ms as f64,
            self.observed.longest_idle_ms,
            self.level_ratio(),
            self.level_gap(),
            messages as f64 / requests,
            bytes as f64 / routers / seconds,
            self.observed
                .sent_bytes
                .values()
                .copied()
                .max()
                .unwrap_or(0) as f64
                / seconds,
            self.observed.over_admitted,
            by_kind.join(" "),
        )
    }
}
