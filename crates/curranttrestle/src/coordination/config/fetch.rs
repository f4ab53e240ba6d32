//! Selects the peer from which to fetch newer configuration.

use indexmap::IndexMap;

use crate::protocol::peer::ConfigNumbers;
use crate::state::{InstanceId, Now};

/// A request in flight.
#[derive(Clone, Debug)]
struct PendingRequest {
    peer: InstanceId,
    sent_ms: u64,
}

/// The peers that may be ahead of this router, and the request in flight to one of them.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerFetch {
    peers_ahead: IndexMap<InstanceId, ConfigNumbers>,
    pending: Option<PendingRequest>,
}

impl PeerFetch {
    /// Records the numbers in a peer's heartbeat. [`Self::next_peer`] drops peers that are not
    /// ahead.
    pub(super) fn record_numbers(&mut self, from: &InstanceId, peer_numbers: ConfigNumbers) {
        self.peers_ahead.insert(from.clone(), peer_numbers);
    }

    /// Returns the peer to send a request to, and records the request. Returns `None` if no
    /// peer is ahead of `own_numbers` or a request is in flight.
    pub(super) fn next_peer(
        &mut self,
        own_numbers: ConfigNumbers,
        timeout_ms: u64,
        now: Now,
    ) -> Option<InstanceId> {
        self.expire_pending(timeout_ms, now);
        self.peers_ahead
            .retain(|_, peer_numbers| is_ahead(*peer_numbers, own_numbers));
        if self.pending.is_some() {
            return None;
        }
        let order =
            |peer_numbers: &ConfigNumbers| (peer_numbers.sheet_number, peer_numbers.marks_version);
        let (peer, _) = self
            .peers_ahead
            .iter()
            .max_by_key(|(_, peer_numbers)| order(peer_numbers))?;
        let peer = peer.clone();
        self.record_request(&peer, now);
        Some(peer)
    }

    /// Records a request to `peer`.
    pub(super) fn record_request(&mut self, peer: &InstanceId, now: Now) {
        self.pending = Some(PendingRequest {
            peer: peer.clone(),
            sent_ms: now.steady_ms,
        });
    }

    /// Records the response of `peer`. It gets another request only if a later heartbeat shows
    /// that it is ahead.
    pub(super) fn record_response(&mut self, peer: &InstanceId) {
        self.peers_ahead.shift_remove(peer);
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.peer == *peer)
        {
            self.pending = None;
        }
    }

    /// Drops a request without a response for `timeout_ms`. Its peer gets another request only
    /// after its next heartbeat.
    fn expire_pending(&mut self, timeout_ms: u64, now: Now) {
        let is_expired = |pending: &PendingRequest| now.since_ms(pending.sent_ms) >= timeout_ms;
        if let Some(pending) = self.pending.take_if(|pending| is_expired(pending)) {
            self.peers_ahead.shift_remove(&pending.peer);
        }
    }
}

fn is_ahead(peer_numbers: ConfigNumbers, own_numbers: ConfigNumbers) -> bool {
    peer_numbers.sheet_number > own_numbers.sheet_number
        || peer_numbers.marks_version > own_numbers.marks_version
}
