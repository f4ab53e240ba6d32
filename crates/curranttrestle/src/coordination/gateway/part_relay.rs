//! Collects the evidence on prompt parts that a relay forwards, so that the reports of many
//! gateways become one message.

use indexmap::IndexMap;

use super::directory::EndpointRun;
use crate::protocol::gateway::{PartAge, PartCrash, PartReport};
use crate::state::Now;

/// Evidence to forward, each entry once. Times are by the steady clock.
#[derive(Clone, Debug, Default)]
pub struct PartBuffer {
    crashes: IndexMap<(EndpointRun, Vec<u64>), u64>,
    begun: IndexMap<u64, u64>,
    refused: IndexMap<u64, u64>,
}

impl PartBuffer {
    /// Adds a report.
    pub fn add(&mut self, report: &PartReport, now: Now) {
        let at_ms = |age_ms: u32| now.steady_ms.saturating_sub(u64::from(age_ms));
        for crash in &report.crashes {
            let key = (crash.run, crash.parts.clone());
            self.crashes.entry(key).or_insert(at_ms(crash.age_ms));
        }
        let ages = [
            (&report.begun, &mut self.begun),
            (&report.refused, &mut self.refused),
        ];
        for (reported, known) in ages {
            for part in reported {
                let newest_ms = known.entry(part.part).or_default();
                *newest_ms = (*newest_ms).max(at_ms(part.age_ms));
            }
        }
    }

    /// Takes everything as one report; `None` if there is nothing.
    pub fn take(&mut self, now: Now) -> Option<PartReport> {
        let age_ms = |at_ms: u64| u32::try_from(now.since_ms(at_ms)).unwrap_or(u32::MAX);
        let part_age = |(part, at_ms)| PartAge {
            part,
            age_ms: age_ms(at_ms),
        };
        let crashes = self.crashes.drain(..);
        let report = PartReport {
            crashes: crashes
                .map(|((run, parts), at_ms)| PartCrash {
                    run,
                    parts,
                    age_ms: age_ms(at_ms),
                })
                .collect(),
            begun: self.begun.drain(..).map(part_age).collect(),
            refused: self.refused.drain(..).map(part_age).collect(),
        };
        let is_empty =
            report.crashes.is_empty() && report.begun.is_empty() && report.refused.is_empty();
        (!is_empty).then_some(report)
    }
}
