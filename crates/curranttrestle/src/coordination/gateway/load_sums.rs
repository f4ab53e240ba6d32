//! Sums of the load and shares of other data centres.
//!
//! A relay adds up the load of its data centre and sends the sum to the relays of the others, which
//! forward it to their members. Each gateway keeps one sum for each data centre, from one relay at
//! a time. A sum from another relay replaces it and is never added to it, so a change of relay
//! counts no request twice. While two relays of a data centre each have a part of its gateways, the
//! larger part counts.

use indexmap::{IndexMap, IndexSet};

use super::endpoint_load::PeerKey;
use super::load_relay::DataCentreKey;
use crate::protocol::gateway::{DataCentreUpdate, MessageEcho};
use crate::state::Now;

/// Timeouts of sums.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SumOptions {
    /// A relay that sent no sum for this long is replaced by any other relay of its data centre.
    pub takeover_ms: u64,
    /// A data centre whose last sum is older than this is no longer known by sums.
    pub timeout_ms: u64,
}

impl Default for SumOptions {
    fn default() -> Self {
        Self {
            takeover_ms: 300,
            timeout_ms: 1_000,
        }
    }
}

/// The relay whose sums are used for a data centre.
#[derive(Clone, Copy, Debug)]
struct Source {
    newest: MessageEcho,
    gateways: u16,
    received_ms: u64,
}

/// The result of receiving a sum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SumChange {
    /// The sum is the first of its data centre, or the first in a long time: reports of single
    /// gateways may still count there.
    First,
    /// The sum replaces an earlier one.
    Newer,
}

/// The sums of other data centres.
#[derive(Clone, Debug)]
pub struct LoadSums {
    options: SumOptions,
    data_centre: DataCentreKey,
    sources: IndexMap<DataCentreKey, Source>,
    /// Known gateways of each data centre.
    gateways: IndexMap<DataCentreKey, IndexSet<PeerKey>>,
    /// Sums to forward, with the time at which each was received.
    pending: IndexMap<DataCentreKey, (DataCentreUpdate, u64)>,
}

/// Maximum number of gateways of a data centre that are remembered.
const MAX_GATEWAYS: usize = 4_096;

impl LoadSums {
    /// Creates the state of a gateway in `data_centre` that has received nothing yet.
    #[must_use]
    pub fn new(data_centre: DataCentreKey, options: SumOptions) -> Self {
        Self {
            options,
            data_centre,
            sources: IndexMap::new(),
            gateways: IndexMap::new(),
            pending: IndexMap::new(),
        }
    }

    /// Records that a gateway belongs to a data centre.
    pub fn record_gateway(&mut self, gateway: PeerKey, data_centre: DataCentreKey) {
        let known = self.gateways.entry(data_centre).or_default();
        known.insert(gateway);
        if known.len() > MAX_GATEWAYS {
            known.shift_remove_index(0);
        }
    }

    /// Whether a gateway is included in the sums of its data centre, as far as is known.
    #[must_use]
    pub fn includes(&self, gateway: PeerKey, data_centre: DataCentreKey) -> bool {
        let known = self.gateways.get(&data_centre);
        known.is_some_and(|known| known.contains(&gateway))
    }

    /// Whether the load of a data centre is known by recent sums.
    #[must_use]
    pub fn is_current(&self, data_centre: DataCentreKey, now: Now) -> bool {
        let source = self.sources.get(&data_centre);
        source.is_some_and(|source| now.since_ms(source.received_ms) < self.options.timeout_ms)
    }

    /// Receives a sum; returns `None` if it must not be used: it is older than a known one, is a
    /// part of what another relay sums, or is of this gateway's own data centre, whose gateways are
    /// known one by one.
    pub fn receive(&mut self, update: &DataCentreUpdate, now: Now) -> Option<SumChange> {
        let data_centre = update.data_centre;
        if data_centre == self.data_centre {
            return None;
        }
        let was_current = self.is_current(data_centre, now);
        if let Some(source) = self.sources.get(&data_centre) {
            let MessageEcho { peer, run, sent_ms } = source.newest;
            let is_usable = if (peer, run) == (update.sender, update.run) {
                update.sent_ms > sent_ms
            } else {
                update.gateways > source.gateways
                    || now.since_ms(source.received_ms) >= self.options.takeover_ms
            };
            if !is_usable {
                return None;
            }
        }
        let newest = MessageEcho {
            peer: update.sender,
            run: update.run,
            sent_ms: update.sent_ms,
        };
        let source = Source {
            newest,
            gateways: update.gateways,
            received_ms: now.steady_ms,
        };
        self.sources.insert(data_centre, source);
        Some(if was_current {
            SumChange::Newer
        } else {
            SumChange::First
        })
    }

    /// Keeps a sum that was received from its relay, to be forwarded to the members.
    pub fn keep_for_members(&mut self, mut update: DataCentreUpdate, now: Now) {
        let previous = self.pending.swap_remove(&update.data_centre);
        // Shares are sent more rarely than loads.
        update.shares = update
            .shares
            .or_else(|| previous.and_then(|(previous, _)| previous.shares));
        let data_centre = update.data_centre;
        self.pending.insert(data_centre, (update, now.steady_ms));
    }

    /// Takes the sums to forward.
    pub fn take_pending(&mut self, now: Now) -> Vec<DataCentreUpdate> {
        let pending = self.pending.drain(..);
        pending
            .map(|(_, (update, received_ms))| DataCentreUpdate {
                held_ms: now.since_ms(received_ms),
                ..update
            })
            .collect()
    }

    /// The newest sums of the relays in use.
    pub fn relay_echoes(&self) -> impl Iterator<Item = MessageEcho> {
        self.sources.values().map(|source| source.newest)
    }
}
