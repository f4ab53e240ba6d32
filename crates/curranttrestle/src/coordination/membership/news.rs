//! Which news is still to be spread.

use indexmap::IndexMap;

use crate::state::InstanceId;

/// Each item is sent this many times the logarithm of the fleet's size.
const TRANSMISSIONS_PER_DOUBLING: u32 = 3;

/// How often one item of news is sent in a fleet of `members` others.
pub fn transmissions(members: usize) -> u32 {
    let doublings = usize::BITS - members.leading_zeros();
    TRANSMISSIONS_PER_DOUBLING * doublings.max(1)
}

/// The members whose news is still to be spread, with how often each was sent.
#[derive(Clone, Debug, Default)]
pub struct NewsQueue {
    sent: IndexMap<InstanceId, u32>,
}

impl NewsQueue {
    /// Spreads the news of a member from the beginning.
    pub fn push(&mut self, instance: InstanceId) {
        self.sent.insert(instance, 0);
    }

    /// Up to `limit` members whose news was sent least, each counted as sent once more.
    pub fn take(&mut self, limit: usize, transmissions: u32) -> Vec<InstanceId> {
        self.sent.sort_by(|_, a, _, b| a.cmp(b));
        let chosen: Vec<InstanceId> = self.sent.keys().take(limit).cloned().collect();
        for instance in &chosen {
            if let Some(count) = self.sent.get_mut(instance) {
                *count += 1;
            }
        }
        self.sent.retain(|_, count| *count < transmissions);
        chosen
    }
}
