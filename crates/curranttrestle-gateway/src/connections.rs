//! Decides which client connections may be open.
//!
//! When as many are open as the descriptors and the memory of the instance allow, a connection that
//! carries no request is closed for a new one: first those that have never sent a whole request
//! head, since a client that reuses a kept connection may be about to send its next request.

use curranttrestle::state::Now;
use indexmap::IndexMap;

use crate::settings::ConnectionOptions;

/// Identifies a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// Why a connection was closed by the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// No complete request head arrived on it.
    NoRequest,
    /// It was idle after a response.
    Idle,
    /// It is new, and all others carry a request.
    NoRoom,
}

impl CloseReason {
    /// The name in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRequest => "no-request",
            Self::Idle => "idle",
            Self::NoRoom => "no-room",
        }
    }
}

/// A connection that is closed to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed {
    /// The connection.
    pub id: ConnectionId,
    /// The reason.
    pub reason: CloseReason,
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Opened at this time of the steady clock, without a complete request head so far.
    New(u64),
    /// Carries a request.
    Busy,
    /// The last response ended at this time of the steady clock.
    Kept(u64),
}

/// The open client connections and their limit.
#[derive(Clone, Debug)]
pub struct ConnectionLimit {
    options: ConnectionOptions,
    max: Option<usize>,
    open: IndexMap<ConnectionId, State>,
    new_count: usize,
    next_id: u64,
}

/// How many client connections may be open by the descriptors of the instance. Each request needs a
/// second connection, to an endpoint, and a fifth is left for idle connections to endpoints.
///
/// ```
/// use curranttrestle_gateway::connections::max_by_descriptors;
/// use curranttrestle_gateway::settings::ConnectionOptions;
/// let options = ConnectionOptions::default();
/// assert_eq!(max_by_descriptors(3_075, &options), 1_137);
/// assert_eq!(max_by_descriptors(100, &options), 1);
/// ```
#[must_use]
pub fn max_by_descriptors(descriptors: u64, options: &ConnectionOptions) -> usize {
    let sockets = sockets(descriptors, options);
    (sockets * 2 / 5).max(1)
}

/// How many idle connections to endpoints may be kept by the descriptors of the instance.
#[must_use]
pub fn max_idle_by_descriptors(descriptors: u64, options: &ConnectionOptions) -> usize {
    sockets(descriptors, options) / 5
}

fn sockets(descriptors: u64, options: &ConnectionOptions) -> usize {
    let reserved = options.reserved_descriptors + options.own_sockets;
    usize::try_from(descriptors.saturating_sub(reserved)).unwrap_or(usize::MAX / 2)
}

impl ConnectionLimit {
    /// Creates an empty set; `max` is `None` if any number may be open.
    #[must_use]
    pub fn new(max: Option<usize>, options: ConnectionOptions) -> Self {
        Self {
            options,
            max,
            open: IndexMap::new(),
            new_count: 0,
            next_id: 0,
        }
    }

    /// Changes the limit. Connections above it are closed when others are opened.
    pub fn set_max(&mut self, max: Option<usize>) {
        self.max = max;
    }

    /// The limit; `None` if any number may be open.
    #[must_use]
    pub fn max(&self) -> Option<usize> {
        self.max
    }

    /// The number of open connections.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// The number of connections that carry no request.
    #[must_use]
    pub fn without_request_count(&self) -> usize {
        let states = self.open.values();
        states.filter(|state| **state != State::Busy).count()
    }

    /// Whether a connection is open and has not been closed to make room.
    #[must_use]
    pub fn is_open(&self, id: ConnectionId) -> bool {
        self.open.contains_key(&id)
    }

    /// Closes a connection without a request if there is no room for a new one. Returns it, or
    /// `Ok(None)` if there is room.
    ///
    /// # Errors
    ///
    /// [`CloseReason::NoRoom`] if all connections carry a request.
    pub fn make_room(&mut self, now: Now) -> Result<Option<Closed>, CloseReason> {
        if self.max.is_none_or(|max| self.open.len() < max) {
            return Ok(None);
        }
        let closed = self.closable(now).ok_or(CloseReason::NoRoom)?;
        self.remove(closed.id);
        Ok(Some(closed))
    }

    /// Adds a new connection.
    pub fn open(&mut self, now: Now) -> ConnectionId {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.open.insert(id, State::New(now.steady_ms));
        self.new_count += 1;
        id
    }

    /// A complete request head arrived on a connection.
    pub fn record_request(&mut self, id: ConnectionId) {
        self.set_state(id, State::Busy);
    }

    /// The response to the last request on a connection ended.
    pub fn record_response_end(&mut self, id: ConnectionId, now: Now) {
        self.set_state(id, State::Kept(now.steady_ms));
    }

    /// A connection has been closed.
    pub fn remove(&mut self, id: ConnectionId) {
        if let Some(State::New(_)) = self.open.swap_remove(&id) {
            self.new_count -= 1;
        }
    }

    fn set_state(&mut self, id: ConnectionId, state: State) {
        if let Some(known) = self.open.get_mut(&id)
            && let State::New(_) = std::mem::replace(known, state)
        {
            self.new_count -= 1;
        }
    }

    /// The connection to close for a new one.
    fn closable(&self, now: Now) -> Option<Closed> {
        let oldest = |since_ms: fn(State) -> Option<u64>, reason| {
            let ages = self.open.iter();
            let ages = ages.filter_map(|(id, state)| Some((since_ms(*state)?, *id)));
            let (since_ms, id) = ages.min()?;
            Some((since_ms, Closed { id, reason }))
        };
        let new = oldest(
            |state| match state {
                State::New(since_ms) => Some(since_ms),
                State::Busy | State::Kept(_) => None,
            },
            CloseReason::NoRequest,
        );
        // Clients that wait for their turn to send are not distinguished from silent ones until the
        // grace period is over, unless there are many.
        let has_many_new = self.max.is_some_and(|max| self.new_count > max / 4);
        if let Some((since_ms, closed)) = new
            && (has_many_new || now.since_ms(since_ms) >= self.options.head_grace_ms)
        {
            return Some(closed);
        }
        let kept = oldest(
            |state| match state {
                State::Kept(since_ms) => Some(since_ms),
                State::Busy | State::New(_) => None,
            },
            CloseReason::Idle,
        );
        kept.or(new).map(|(_, closed)| closed)
    }
}
