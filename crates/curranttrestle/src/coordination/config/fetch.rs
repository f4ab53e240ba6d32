//! Which peer to fetch from.

use indexmap::IndexMap;

use crate::protocol::peer::ConfigNumbers;
use crate::state::{InstanceId, Now};

/// A request that waits for its answer.
#[derive(Clone, Debug)]
struct Pending {
    from: InstanceId,
    sent_ms: u64,
}

/// The peers known to be ahead, and the request to one of them.
#[derive(Clone, Debug, Default)]
pub(super) struct Fetch {
    ahead: IndexMap<InstanceId, ConfigNumbers>,
    pending: Option<Pending>,
}

impl Fetch {
    /// Takes note of what a peer has.
    pub(super) fn observe(&mut self, from: &InstanceId, theirs: ConfigNumbers) {
        self.ahead.insert(from.clone(), theirs);
    }

    /// The peer to ask now; none when no peer is ahead of `mine` or an answer is awaited.
    pub(super) fn next(
        &mut self,
        mine: ConfigNumbers,
        timeout_ms: u64,
        now: Now,
    ) -> Option<InstanceId> {
        self.drop_expired(timeout_ms, now);
        self.ahead.retain(|_, theirs| is_ahead(*theirs, mine));
        if self.pending.is_some() {
            return None;
        }
        let order = |theirs: &ConfigNumbers| (theirs.sheet_number, theirs.marks_version);
        let (peer, _) = self.ahead.iter().max_by_key(|(_, theirs)| order(theirs))?;
        let peer = peer.clone();
        self.expect_from(&peer, now);
        Some(peer)
    }

    /// Takes note that `peer` was asked.
    pub(super) fn expect_from(&mut self, peer: &InstanceId, now: Now) {
        self.pending = Some(Pending {
            from: peer.clone(),
            sent_ms: now.steady_ms,
        });
    }

    /// Takes note that `peer` answered. It is asked again only when it is heard to be ahead.
    pub(super) fn answered(&mut self, peer: &InstanceId) {
        self.ahead.shift_remove(peer);
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.from == *peer)
        {
            self.pending = None;
        }
    }

    /// Gives a peer that did not answer in time back to its next heartbeat.
    fn drop_expired(&mut self, timeout_ms: u64, now: Now) {
        let is_expired = |pending: &Pending| now.since_ms(pending.sent_ms) >= timeout_ms;
        if let Some(pending) = self.pending.take_if(|pending| is_expired(pending)) {
            self.ahead.shift_remove(&pending.from);
        }
    }
}

fn is_ahead(theirs: ConfigNumbers, mine: ConfigNumbers) -> bool {
    theirs.sheet_number > mine.sheet_number || theirs.marks_version > mine.marks_version
}
