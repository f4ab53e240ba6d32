//! The queue of membership updates that are still to be disseminated.

use indexmap::IndexMap;

use crate::state::InstanceId;

/// Each update is sent this many times for each doubling of the fleet's size.
const TRANSMISSIONS_PER_DOUBLING: u32 = 3;

/// Returns how many times an update is sent in a fleet of `members` other routers.
pub fn transmission_limit(members: usize) -> u32 {
    let doublings = usize::BITS - members.leading_zeros();
    TRANSMISSIONS_PER_DOUBLING * doublings.max(1)
}

/// Members whose update is still to be sent, with the number of times it was sent.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    send_counts: IndexMap<InstanceId, u32>,
}

impl UpdateQueue {
    /// Queues the update of a member with a send count of zero.
    pub fn push(&mut self, instance: InstanceId) {
        self.send_counts.insert(instance, 0);
    }

    /// Returns up to `limit` members whose update was sent least often and counts each as sent
    /// once more. An update that was sent `transmission_limit` times leaves the queue.
    pub fn take_least_sent(&mut self, limit: usize, transmission_limit: u32) -> Vec<InstanceId> {
        self.send_counts.sort_by(|_, a, _, b| a.cmp(b));
        let chosen: Vec<InstanceId> = self.send_counts.keys().take(limit).cloned().collect();
        for instance in &chosen {
            if let Some(count) = self.send_counts.get_mut(instance) {
                *count += 1;
            }
        }
        self.send_counts
            .retain(|_, count| *count < transmission_limit);
        chosen
    }
}
