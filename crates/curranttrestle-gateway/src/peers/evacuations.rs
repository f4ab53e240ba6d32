//! Which gateways read the evacuations, and the dates of their announcements.

use curranttrestle::coordination::gateway::evacuation::is_reader;
use curranttrestle::coordination::gateway::load_relay::{LivePeer, data_centre_key};
use curranttrestle::state::Now;

use crate::settings::GatewaySettings;

/// This gateway's part in the exchange of evacuations.
#[derive(Clone, Copy, Debug)]
pub struct EvacuationExchange {
    own: LivePeer,
    /// The last two times at which the event loop ran, by the steady clock.
    ticks_ms: [u64; 2],
}

impl EvacuationExchange {
    /// Starts at `now`.
    #[must_use]
    pub fn new(settings: &GatewaySettings, now: Now) -> Self {
        Self {
            own: LivePeer {
                address: settings.peers,
                data_centre: data_centre_key(&settings.control.data_centre),
            },
            ticks_ms: [now.steady_ms; 2],
        }
    }

    /// Records that the event loop ran.
    pub fn record_tick(&mut self, now: Now) {
        self.ticks_ms = [self.ticks_ms[1], now.steady_ms];
    }

    /// A time before which a datagram that is read at `now` did not arrive. A process that was suspended
    /// reads datagrams of any age from its socket, before or right after its next tick.
    #[must_use]
    pub fn received_ms(&self, now: Now) -> u64 {
        self.ticks_ms[0].min(now.steady_ms)
    }

    /// Whether this gateway reads the evacuations for its live peers.
    #[must_use]
    pub fn is_reader(&self, peers: &[LivePeer]) -> bool {
        is_reader(self.own, peers)
    }
}
