//! Which gateways pass on what others know of the endpoints' load.
//!
//! Reports to all peers grow with the square of the fleet; in a large one they come too rarely
//! to place requests by. So each gateway also tells its news to one gateway of its data
//! centre, many times a second. That relay passes on the news of its members to all of them
//! and to the relays of the other data centres. Nobody is appointed: all rank the gateways
//! alike, and whoever gets news passes it on. A relay that falls silent is passed over; until
//! then, and where no relay is heard at all, the reports to all peers still tell everything.

use std::net::SocketAddr;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use super::endpoint_load::PeerKey;
use crate::protocol::gateway::{LoadNews, RelayedNews};
use crate::state::Now;

/// A short name of a data centre in reports between gateways.
pub type DataCentreKey = u64;

/// The key of a data centre.
#[must_use]
pub fn data_centre_key(name: &str) -> DataCentreKey {
    xxh3_64(name.as_bytes())
}

/// The pace of news, and when a relay is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayOptions {
    /// The time between two rounds of news.
    pub interval_ms: u64,
    /// Where reports to all peers come more rarely than this, relays are used.
    pub begin_interval_ms: u64,
    /// Where they come at least this often, relays are not used any more. It is the shorter
    /// one, since the pace changes with the load.
    pub end_interval_ms: u64,
    /// A relay that passed nothing on for this long is passed over.
    pub silent_ms: u64,
    /// For this long.
    pub avoid_ms: u64,
    /// A gateway that sent no news for this long is no member any more, or no relay.
    pub member_ms: u64,
}

impl Default for RelayOptions {
    fn default() -> Self {
        Self {
            interval_ms: 50,
            begin_interval_ms: 150,
            end_interval_ms: 110,
            silent_ms: 400,
            avoid_ms: 3_000,
            member_ms: 1_000,
        }
    }
}

/// Another gateway that is heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LivePeer {
    /// Where it gets reports.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentreKey,
}

/// What is sent in one round of news.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewsRound {
    /// Who gets the news of this gateway alone; none where it is a relay itself.
    pub relay: Option<SocketAddr>,
    /// Who gets all news.
    pub members: Vec<SocketAddr>,
    /// Who gets the news of this gateway and its members.
    pub relays: Vec<SocketAddr>,
    /// The news of its members that are new.
    pub of_members: Vec<RelayedNews>,
    /// The news that other relays told and that are new.
    pub of_relays: Vec<RelayedNews>,
}

/// A change of the relay that is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayChange {
    /// The relay from now on; none where this gateway passes news on itself.
    pub relay: Option<SocketAddr>,
    /// The one that fell silent, if that is why.
    pub silent: Option<SocketAddr>,
}

#[derive(Clone, Debug)]
struct Waiting {
    news: LoadNews,
    heard_ms: u64,
    /// How old it was when it came.
    held_ms: u64,
    is_of_member: bool,
}

/// The relay in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Relay {
    address: SocketAddr,
    /// When it was heard last, or chosen.
    heard_ms: u64,
}

/// How news travel.
#[derive(Clone, Debug)]
pub struct Relaying {
    options: RelayOptions,
    me: SocketAddr,
    data_centre: DataCentreKey,
    is_used: bool,
    relay: Option<Relay>,
    /// Relays that are passed over, with the end of it.
    avoided: IndexMap<SocketAddr, u64>,
    /// Who sent news of its own, and when last.
    members: IndexMap<SocketAddr, u64>,
    /// Who sent news of others, and when last.
    relays: IndexMap<SocketAddr, u64>,
    waiting: IndexMap<PeerKey, Waiting>,
    /// The run and its time of the newest report or news of each gateway.
    newest: IndexMap<PeerKey, (u32, u64)>,
    round_ms: Option<u64>,
}

/// The most gateways whose newest news are told apart.
const MAX_SENDERS: usize = 4_096;

impl Relaying {
    /// A gateway at `me` that has heard nobody yet.
    #[must_use]
    pub fn new(me: SocketAddr, data_centre: &str, options: RelayOptions) -> Self {
        Self {
            options,
            me,
            data_centre: data_centre_key(data_centre),
            is_used: false,
            relay: None,
            avoided: IndexMap::new(),
            members: IndexMap::new(),
            relays: IndexMap::new(),
            waiting: IndexMap::new(),
            newest: IndexMap::new(),
            round_ms: None,
        }
    }

    /// Whether news are newer than all of their sender before, and notes it. A process that
    /// started anew counts its time anew.
    pub fn is_newer(&mut self, news: &LoadNews) -> bool {
        let newest = self.newest.get(&news.sender);
        if newest.is_some_and(|(run, sent_ms)| *run == news.run && news.sent_ms <= *sent_ms) {
            return false;
        }
        self.newest.insert(news.sender, (news.run, news.sent_ms));
        if self.newest.len() > MAX_SENDERS {
            self.newest.shift_remove_index(0);
        }
        true
    }

    /// A member told its news; true when they are newer than what is known of it.
    pub fn news_received(&mut self, from: SocketAddr, news: &LoadNews, now: Now) -> bool {
        self.members.insert(from, now.steady_ms);
        self.take(news, 0, true, now)
    }

    /// A relay passed on news. Returns those that are newer than what is known, with the
    /// time that they have been on their way.
    pub fn passed_on(
        &mut self,
        from: SocketAddr,
        all: Vec<RelayedNews>,
        now: Now,
    ) -> Vec<RelayedNews> {
        match &mut self.relay {
            Some(relay) if relay.address == from => relay.heard_ms = now.steady_ms,
            _ => {
                self.relays.insert(from, now.steady_ms);
            }
        }
        let mut new = all;
        new.retain(|relayed| self.take(&relayed.news, relayed.held_ms, false, now));
        new
    }

    fn take(&mut self, news: &LoadNews, held_ms: u64, is_of_member: bool, now: Now) -> bool {
        if !self.is_newer(news) {
            return false;
        }
        // Without members nobody gets the news of other relays.
        if !self.members.is_empty() {
            let waiting = Waiting {
                news: news.clone(),
                heard_ms: now.steady_ms,
                held_ms,
                is_of_member,
            };
            self.waiting.insert(news.sender, waiting);
        }
        true
    }

    /// The round of news that is due now, when reports to all peers come every
    /// `direct_ms`, and whether the relay changed.
    pub fn round(
        &mut self,
        peers: &[LivePeer],
        direct_ms: u64,
        now: Now,
    ) -> (Option<NewsRound>, Option<RelayChange>) {
        self.is_used = if self.is_used {
            direct_ms > self.options.end_interval_ms
        } else {
            direct_ms > self.options.begin_interval_ms
        };
        if !self.is_used {
            self.waiting.clear();
            let change = self.relay.take().map(|_| RelayChange {
                relay: None,
                silent: None,
            });
            return (None, change);
        }
        let is_due = self
            .round_ms
            .is_none_or(|round_ms| now.since_ms(round_ms) >= self.options.interval_ms);
        if !is_due {
            return (None, None);
        }
        self.round_ms = Some(now.steady_ms);
        let member_ms = self.options.member_ms;
        self.members
            .retain(|_, heard_ms| now.since_ms(*heard_ms) < member_ms);
        self.relays
            .retain(|_, heard_ms| now.since_ms(*heard_ms) < member_ms);
        self.avoided.retain(|_, until_ms| now.steady_ms < *until_ms);
        let change = self.choose_relay(peers, now);
        let relay = self.relay.map(|relay| relay.address);
        if relay.is_some() && self.members.is_empty() {
            // Nobody wants to hear from this gateway.
            self.waiting.clear();
            let round = NewsRound {
                relay,
                ..NewsRound::default()
            };
            return (Some(round), change);
        }
        (Some(self.relay_round(peers, now)), change)
    }

    /// What a relay sends.
    fn relay_round(&mut self, peers: &[LivePeer], now: Now) -> NewsRound {
        let mut relays: Vec<SocketAddr> = self.relays.keys().copied().collect();
        relays.extend(self.relay.map(|relay| relay.address));
        let mut data_centres: Vec<DataCentreKey> =
            peers.iter().map(|peer| peer.data_centre).collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        data_centres.retain(|data_centre| *data_centre != self.data_centre);
        relays.extend(
            data_centres
                .iter()
                .filter_map(|data_centre| self.first_of(*data_centre, peers)),
        );
        relays.sort_unstable();
        relays.dedup();
        let mut round = NewsRound {
            relay: None,
            members: self.members.keys().copied().collect(),
            relays,
            ..NewsRound::default()
        };
        for (_, waiting) in self.waiting.drain(..) {
            let relayed = RelayedNews {
                news: waiting.news,
                held_ms: waiting.held_ms + now.since_ms(waiting.heard_ms),
            };
            // This gateway stood still meanwhile.
            if relayed.held_ms >= self.options.member_ms {
                continue;
            }
            if waiting.is_of_member {
                round.of_members.push(relayed);
            } else {
                round.of_relays.push(relayed);
            }
        }
        round
    }

    fn choose_relay(&mut self, peers: &[LivePeer], now: Now) -> Option<RelayChange> {
        let mut silent = None;
        if let Some(relay) = self.relay
            && now.since_ms(relay.heard_ms) >= self.options.silent_ms
        {
            silent = Some(relay.address);
            self.avoided
                .insert(relay.address, now.steady_ms + self.options.avoid_ms);
        }
        let first = self.first_of(self.data_centre, peers);
        let chosen = first.filter(|first| *first != self.me);
        if chosen == self.relay.map(|relay| relay.address) {
            return None;
        }
        self.relay = chosen.map(|address| Relay {
            address,
            heard_ms: now.steady_ms,
        });
        Some(RelayChange {
            relay: chosen,
            silent,
        })
    }

    /// The gateway of a data centre that all rank first, of those that are not avoided.
    fn first_of(&self, data_centre: DataCentreKey, peers: &[LivePeer]) -> Option<SocketAddr> {
        let here = (data_centre == self.data_centre).then_some(self.me);
        let there = peers
            .iter()
            .filter(|peer| peer.data_centre == data_centre)
            .map(|peer| peer.address)
            .filter(|address| !self.avoided.contains_key(address));
        there.chain(here).max_by_key(rank)
    }
}

/// The rank of a gateway as a relay; nobody else has the same address.
fn rank(address: &SocketAddr) -> (u64, SocketAddr) {
    (xxh3_64(address.to_string().as_bytes()), *address)
}
