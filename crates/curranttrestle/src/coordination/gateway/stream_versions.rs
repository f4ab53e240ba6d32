//! Which software version of a service began each stream.
//!
//! Responses of two versions do not fit together, and endpoints do not check this. So a stream goes on
//! only at the version that sent its first event. A client may resume a stream at another gateway, after
//! the one that began it is gone. While several versions serve, gateways therefore tell a few peers,
//! chosen by rendezvous hashing, at which version each stream began, and ask the same peers about a
//! stream that they do not know.

use std::collections::VecDeque;
use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::load_relay::{DataCentreKey, LivePeer};
use super::served_versions::ServedVersions;
use super::software_version::VersionKey;
use crate::state::Now;

/// Options of the memory of streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamVersionOptions {
    /// How long a stream and a version that no longer serves are remembered. Clients resume a stream
    /// within the deadline of their request.
    pub retention_ms: u64,
    /// Maximum number of remembered streams.
    pub max_streams: usize,
    /// Peers of the own data centre, and of the whole fleet, that are told about a stream.
    pub announcement_peers: usize,
    /// Further peers of each group that are asked, as some of those that were told may be gone.
    pub extra_query_peers: usize,
    /// Maximum age of the directory on which a gateway without peers relies, and up to which it shows that
    /// a version is no longer listed.
    pub max_directory_age_ms: u64,
    /// How much longer than for streams an unlisted version stays recorded, as gateways read the directory
    /// at different times.
    pub removal_delay_ms: u64,
    /// Whether no gateway has run before, so that a missing record says that no stream has begun.
    pub is_first_start: bool,
}

impl Default for StreamVersionOptions {
    fn default() -> Self {
        Self {
            retention_ms: 30_000,
            max_streams: 65_536,
            announcement_peers: 2,
            extra_query_peers: 1,
            max_directory_age_ms: 4_000,
            removal_delay_ms: 5_000,
            is_first_start: false,
        }
    }
}

/// Compact hash of the name of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceKey(u32);

impl ServiceKey {
    /// Returns the key of a service.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the key is a truncated hash"
    )]
    pub fn of(service: &str) -> Self {
        Self(xxh3_64(service.as_bytes()) as u32)
    }
}

/// Compact hash of the id of the client attempt that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream that an attempt began.
    #[must_use]
    pub fn of(attempt_id: &str) -> Self {
        Self(xxh3_64(attempt_id.as_bytes()))
    }
}

/// The version at which a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// The version.
    pub version: VersionKey,
}

/// A question to a peer: at which version did a stream begin?
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamQuery {
    /// The stream.
    pub stream: StreamKey,
    /// The service that would resume it.
    pub service: ServiceKey,
}

/// The reply to a [`StreamQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamReply {
    /// The stream.
    pub stream: StreamKey,
    /// The version at which it began; `None` if the peer does not know.
    pub version: Option<VersionKey>,
    /// The only version at which streams may have begun, as far as the peer knows; `None` if there were
    /// several.
    pub only_version: Option<VersionKey>,
}

/// What is known about a stream that a client resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumedFrom {
    /// It began at this version.
    Known(VersionKey),
    /// No gateway remembers it, but streams can only have begun at this version.
    OnlyVersion(VersionKey),
    /// It may have begun at any of several versions.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Remembered {
    version: VersionKey,
    expires_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Unannounced {
    origin: StreamOrigin,
    expires_ms: u64,
}

/// A stream that peers were asked about.
#[derive(Clone, Debug, Default)]
struct Query {
    asked: IndexSet<SocketAddr>,
    replies: Vec<StreamReply>,
}

/// The versions of services and streams that this gateway knows.
///
/// ```
/// use curranttrestle::coordination::gateway::stream_versions::{
///     StreamKey, StreamVersionOptions, StreamVersions,
/// };
/// use curranttrestle::state::Now;
/// let versions = StreamVersions::new(StreamVersionOptions::default());
/// assert_eq!(versions.version_of(StreamKey::of("a"), Now::default()), None);
/// assert_eq!(versions.served.only_version(Now::default()), None);
/// ```
#[derive(Clone, Debug)]
pub struct StreamVersions {
    options: StreamVersionOptions,
    streams: IndexMap<StreamKey, Remembered>,
    /// Streams by the time at which they may expire. One that was renewed is in it twice.
    expiries: VecDeque<(u64, StreamKey)>,
    /// Streams that began here and that no peer was told about.
    unannounced: VecDeque<Unannounced>,
    /// Whether a stream that began at an unknown version is among them.
    has_unknown: bool,
    /// The versions at which streams may have begun.
    pub served: ServedVersions,
    queries: IndexMap<StreamKey, Query>,
}

impl StreamVersions {
    /// Creates the state of a gateway that knows no stream.
    #[must_use]
    pub fn new(options: StreamVersionOptions) -> Self {
        Self {
            options,
            streams: IndexMap::new(),
            expiries: VecDeque::new(),
            unannounced: VecDeque::new(),
            has_unknown: false,
            served: ServedVersions::new(options),
            queries: IndexMap::new(),
        }
    }

    /// Records that the first event of a stream came from an endpoint of this version. Returns whether the
    /// record of versions has to change.
    pub fn record_begun(&mut self, stream: StreamKey, version: VersionKey, now: Now) -> bool {
        let origin = StreamOrigin { stream, version };
        self.remember(origin, now);
        self.has_unknown |= version == VersionKey::UNKNOWN;
        self.unannounced.push_back(Unannounced {
            origin,
            expires_ms: now.steady_ms + self.options.retention_ms,
        });
        if self.unannounced.len() > self.options.max_streams {
            self.unannounced.pop_front();
        }
        self.served.record_begun(version)
    }

    /// Returns the streams to announce: those of services with several versions, and those that began at an
    /// unknown version.
    pub fn take_announcements(&mut self, now: Now) -> Vec<StreamOrigin> {
        self.remove_expired(now);
        let has_unknown = std::mem::take(&mut self.has_unknown);
        let is_mixed = self.served.is_mixed(now);
        if !has_unknown && !is_mixed {
            return Vec::new();
        }
        let mut announced = Vec::new();
        self.unannounced.retain(|stream| {
            let is_unknown = stream.origin.version == VersionKey::UNKNOWN;
            let is_announced = is_unknown || is_mixed;
            if is_announced {
                announced.push(stream.origin);
            }
            !is_announced
        });
        announced
    }

    /// Applies what a peer announced.
    pub fn receive(&mut self, origins: &[StreamOrigin], now: Now) {
        for origin in origins {
            self.remember(*origin, now);
        }
    }

    /// The version at which a stream began; `None` if it is not known here.
    #[must_use]
    pub fn version_of(&self, stream: StreamKey, now: Now) -> Option<VersionKey> {
        let remembered = self.streams.get(&stream)?;
        (remembered.expires_ms > now.steady_ms).then_some(remembered.version)
    }

    /// Replies to a peer's question.
    #[must_use]
    pub fn reply(&self, query: StreamQuery, now: Now) -> StreamReply {
        StreamReply {
            stream: query.stream,
            version: self.version_of(query.stream, now),
            only_version: self.served.only_version(now),
        }
    }

    /// Records that peers are asked about a stream.
    pub fn record_query(&mut self, stream: StreamKey, asked: &[SocketAddr]) {
        let query = Query {
            asked: asked.iter().copied().collect(),
            replies: Vec::new(),
        };
        self.queries.insert(stream, query);
    }

    /// Applies a peer's reply. Replies of peers that were not asked are ignored.
    pub fn receive_reply(&mut self, from: SocketAddr, reply: StreamReply, now: Now) {
        let Some(query) = self.queries.get_mut(&reply.stream) else {
            return;
        };
        if query.asked.swap_remove(&from) {
            query.replies.push(reply);
            if let Some(version) = reply.version {
                let stream = reply.stream;
                self.remember(StreamOrigin { stream, version }, now);
            }
        }
    }

    /// How many peers have replied to the question about a stream, and how many have not.
    #[must_use]
    pub fn reply_count(&self, stream: StreamKey) -> (usize, usize) {
        let query = self.queries.get(&stream);
        query.map_or((0, 0), |query| (query.replies.len(), query.asked.len()))
    }

    /// Whether no further reply about a stream is needed.
    #[must_use]
    pub fn is_answered(&self, stream: StreamKey, now: Now) -> bool {
        self.version_of(stream, now).is_some()
            || self
                .queries
                .get(&stream)
                .is_some_and(|query| query.asked.is_empty())
    }

    /// Ends the question about a stream that was asked at `asked`, and decides where the stream may go on.
    /// `directory_age_ms` is the time since the directory was last confirmed; `None` before the first read.
    pub fn resolve(
        &mut self,
        stream: Option<StreamKey>,
        directory_age_ms: Option<u64>,
        asked: Now,
        now: Now,
    ) -> ResumedFrom {
        let query = stream.and_then(|stream| self.queries.swap_remove(&stream));
        if let Some(version) = stream.and_then(|stream| self.version_of(stream, now)) {
            return ResumedFrom::Known(version);
        }
        let Some(version) = self.served.only_version(now) else {
            return ResumedFrom::Unknown;
        };
        let query = query.unwrap_or_default();
        let has_peers = !query.asked.is_empty() || !query.replies.is_empty();
        let is_recent =
            directory_age_ms.is_some_and(|age_ms| age_ms < self.options.max_directory_age_ms);
        let is_recorded = self.served.is_confirmed_since(asked.steady_ms);
        let is_confirmed = if is_recorded {
            true
        } else if has_peers {
            // A gateway that is cut off does not see a version that was added since.
            !query.replies.is_empty()
        } else {
            is_recent
        };
        let only = Some(version);
        if is_confirmed && query.replies.iter().all(|reply| reply.only_version == only) {
            ResumedFrom::OnlyVersion(version)
        } else {
            ResumedFrom::Unknown
        }
    }

    /// The peers to tell about a stream.
    #[must_use]
    pub fn announcement_targets(
        &self,
        stream: StreamKey,
        data_centre: DataCentreKey,
        peers: &[LivePeer],
    ) -> Vec<SocketAddr> {
        ranked_peers(stream, data_centre, peers, self.options.announcement_peers)
    }

    /// The peers to ask about a stream.
    #[must_use]
    pub fn query_targets(
        &self,
        stream: StreamKey,
        data_centre: DataCentreKey,
        peers: &[LivePeer],
    ) -> Vec<SocketAddr> {
        let count = self.options.announcement_peers + self.options.extra_query_peers;
        ranked_peers(stream, data_centre, peers, count)
    }

    fn remember(&mut self, origin: StreamOrigin, now: Now) {
        let expires_ms = now.steady_ms + self.options.retention_ms;
        let remembered = Remembered {
            version: origin.version,
            expires_ms,
        };
        self.streams.insert(origin.stream, remembered);
        self.expiries.push_back((expires_ms, origin.stream));
        while self.streams.len() > self.options.max_streams {
            let Some((_, stream)) = self.expiries.pop_front() else {
                return;
            };
            self.streams.swap_remove(&stream);
        }
    }

    fn remove_expired(&mut self, now: Now) {
        while let Some((expires_ms, stream)) = self.expiries.front().copied()
            && expires_ms <= now.steady_ms
        {
            self.expiries.pop_front();
            let remembered = self.streams.get(&stream);
            if remembered.is_some_and(|stream| stream.expires_ms <= now.steady_ms) {
                self.streams.swap_remove(&stream);
            }
        }
        while let Some(stream) = self.unannounced.front()
            && stream.expires_ms <= now.steady_ms
        {
            self.unannounced.pop_front();
        }
    }
}

/// The first `count` peers of a data centre and the first `count` of all in the ranking for a stream.
fn ranked_peers(
    stream: StreamKey,
    data_centre: DataCentreKey,
    peers: &[LivePeer],
    count: usize,
) -> Vec<SocketAddr> {
    let score = |peer: &LivePeer| xxh3_64_with_seed(peer.address.to_string().as_bytes(), stream.0);
    let mut ranked: Vec<(u64, &LivePeer)> = peers.iter().map(|peer| (score(peer), peer)).collect();
    ranked.sort_unstable_by_key(|(score, _)| *score);
    let near = ranked
        .iter()
        .filter(|(_, peer)| peer.data_centre == data_centre);
    let chosen = near.take(count).chain(ranked.iter().take(count));
    let chosen: IndexSet<SocketAddr> = chosen.map(|(_, peer)| peer.address).collect();
    chosen.into_iter().collect()
}
