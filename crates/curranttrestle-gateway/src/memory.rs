//! Accounts for the memory that the process holds for clients, and decides what is refused when its
//! budget is used up.
//!
//! Bodies draw on the account as they arrive. A body that lags behind the minimum rate is refused
//! first: it holds memory without getting closer to its request. If none lags, the newest is
//! refused, so that the oldest ones complete and release their memory. A part of the budget is kept
//! for small bodies, so that ordinary requests are served beside large ones.

use curranttrestle::state::Now;
use indexmap::IndexMap;

use crate::settings::{MemoryOptions, TrafficOptions};

/// What the memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryKind {
    /// Client connections with their buffers, and requests in progress.
    Connections,
    /// Bodies of requests.
    Bodies,
    /// Responses that clients have not read yet.
    Responses,
}

impl MemoryKind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Connections, Self::Bodies, Self::Responses];

    /// The name in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Bodies => "bodies",
            Self::Responses => "responses",
        }
    }
}

/// Identifies a body that is being received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BodyId(u64);

/// The result of a request for more memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Growth {
    /// The memory is granted. The bodies in the list no longer hold any, and must be discarded.
    Granted(Vec<BodyId>),
    /// There is no memory.
    Refused,
}

/// The memory of a process that is available for clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Budget {
    /// Only bodies are limited, by a fixed number of bytes.
    Bodies(usize),
    /// Everything together is limited.
    Total(usize),
}

impl Budget {
    /// The budget of an instance with `memory_bytes`, whose process uses `process_bytes` apart from
    /// clients; the fixed limit on bodies if the memory is unknown.
    ///
    /// ```
    /// use curranttrestle_gateway::memory::Budget;
    /// use curranttrestle_gateway::settings::{MemoryOptions, TrafficOptions};
    /// let (memory, traffic) = (MemoryOptions::default(), TrafficOptions::default());
    /// let budget = |bytes, process| Budget::of(bytes, process, &memory, &traffic);
    /// assert_eq!(budget(None, 0), Budget::Bodies(traffic.body_memory_bytes));
    /// // A larger process leaves less for clients, but at least a part.
    /// assert_eq!(budget(Some(96 << 20), 16 << 20), Budget::Total(51 << 20));
    /// assert_eq!(budget(Some(96 << 20), 90 << 20), budget(Some(96 << 20), 48 << 20));
    /// assert_eq!(budget(Some(8 << 20), 0), Budget::Total(memory.min_budget_bytes));
    /// ```
    #[must_use]
    pub fn of(
        memory_bytes: Option<u64>,
        process_bytes: usize,
        options: &MemoryOptions,
        traffic: &TrafficOptions,
    ) -> Self {
        let Some(memory_bytes) = memory_bytes else {
            return Self::Bodies(traffic.body_memory_bytes);
        };
        let memory_bytes = usize::try_from(memory_bytes).unwrap_or(usize::MAX);
        let process_bytes = process_bytes
            .max(options.min_process_bytes)
            .min(memory_bytes / 2);
        let config_bytes = (memory_bytes / 8).max(options.min_config_bytes);
        let available = memory_bytes.saturating_sub(process_bytes + config_bytes);
        // The allocator does not return all freed memory, and buffers are larger than their content.
        let slack = available / 4;
        // The reserves must not leave nothing on an instance that is too small for them.
        let min_bytes = options.min_budget_bytes.max(memory_bytes / 8);
        Self::Total((available - slack).max(min_bytes))
    }

    /// The limit.
    #[must_use]
    pub fn bytes(self) -> usize {
        let (Self::Bodies(bytes) | Self::Total(bytes)) = self;
        bytes
    }

    /// The bytes that connections without a request may use, all together.
    fn connection_bytes(self) -> Option<usize> {
        match self {
            Self::Bodies(_) => None,
            Self::Total(bytes) => Some(bytes / 2),
        }
    }

    /// How many client connections may be open, by memory.
    #[must_use]
    pub fn max_connections(self, connection_bytes: usize) -> Option<usize> {
        let bytes = self.connection_bytes()?;
        Some((bytes / connection_bytes.max(1)).max(1))
    }
}

/// The size of a socket buffer of an instance; `None` if the memory is unknown, so that the operating
/// system chooses it. Received bytes that are not read yet count toward the memory.
///
/// ```
/// use curranttrestle_gateway::memory::socket_buffer_bytes;
/// assert_eq!(socket_buffer_bytes(None), None);
/// assert_eq!(socket_buffer_bytes(Some(88 << 20)), Some(22 << 10));
/// assert_eq!(socket_buffer_bytes(Some(512 << 20)), Some(64 << 10));
/// ```
#[must_use]
pub fn socket_buffer_bytes(memory_bytes: Option<u64>) -> Option<usize> {
    let share = usize::try_from(memory_bytes? / 4_096).unwrap_or(usize::MAX);
    Some(share.clamp(16_384, 65_536))
}

/// A body that is being received.
#[derive(Clone, Copy, Debug)]
struct Receiving {
    held_bytes: usize,
    /// Below the minimum rate after this time, by the steady clock.
    due_ms: u64,
    last_byte_ms: u64,
}

/// The bytes held for clients.
#[derive(Clone, Debug)]
pub struct ClientMemory {
    options: MemoryOptions,
    budget: Budget,
    held_bytes: [usize; MemoryKind::ALL.len()],
    /// Bodies that are being received, by arrival.
    receiving: IndexMap<BodyId, Receiving>,
    next_id: u64,
}

impl ClientMemory {
    /// Creates an account without any held bytes.
    #[must_use]
    pub fn new(budget: Budget, options: MemoryOptions) -> Self {
        Self {
            options,
            budget,
            held_bytes: [0; MemoryKind::ALL.len()],
            receiving: IndexMap::new(),
            next_id: 0,
        }
    }

    /// The budget.
    #[must_use]
    pub fn budget(&self) -> Budget {
        self.budget
    }

    /// Changes the budget. Bytes that are already held stay.
    pub fn set_budget(&mut self, budget: Budget) {
        self.budget = budget;
    }

    /// The bytes held for one kind.
    #[must_use]
    pub fn held_bytes(&self, kind: MemoryKind) -> usize {
        self.held_bytes[kind as usize]
    }

    /// The bytes held for all kinds.
    #[must_use]
    pub fn total_bytes(&self) -> usize {
        self.held_bytes.iter().sum()
    }

    /// The number of bodies that are being received.
    #[must_use]
    pub fn receiving_count(&self) -> usize {
        self.receiving.len()
    }

    /// Takes memory other than for bodies; false if the budget is used up. A budget for bodies does
    /// not limit it.
    #[must_use]
    pub fn try_take(&mut self, kind: MemoryKind, bytes: usize, now: Now) -> Growth {
        let evicted = match self.budget {
            Budget::Bodies(_) => Vec::new(),
            Budget::Total(limit) => match self.make_room(None, bytes, limit, now) {
                Some(evicted) => evicted,
                None => return Growth::Refused,
            },
        };
        self.take(kind, bytes);
        Growth::Granted(evicted)
    }

    /// Takes memory that is in use already.
    pub fn take(&mut self, kind: MemoryKind, bytes: usize) {
        self.held_bytes[kind as usize] += bytes;
    }

    /// Releases memory.
    pub fn release(&mut self, kind: MemoryKind, bytes: usize) {
        let held = &mut self.held_bytes[kind as usize];
        *held = held.saturating_sub(bytes);
    }

    /// Registers a body whose head arrived now.
    pub fn open_body(&mut self, now: Now) -> BodyId {
        let id = BodyId(self.next_id);
        self.next_id += 1;
        let body = Receiving {
            held_bytes: 0,
            due_ms: now.steady_ms + self.options.rate_grace_ms,
            last_byte_ms: now.steady_ms,
        };
        self.receiving.insert(id, body);
        id
    }

    /// Records that a part of a body arrived.
    pub fn record_received(&mut self, id: BodyId, bytes: usize, now: Now) {
        let MemoryOptions {
            min_body_bytes_per_s,
            rate_grace_ms,
            ..
        } = self.options;
        if let Some(body) = self.receiving.get_mut(&id) {
            body.last_byte_ms = now.steady_ms;
            let earned_ms = u64::try_from(bytes)
                .unwrap_or(u64::MAX)
                .saturating_mul(1_000)
                / min_body_bytes_per_s.max(1);
            // A fast start does not pay for a later pause of any length.
            let latest_ms = now.steady_ms + rate_grace_ms;
            body.due_ms = body.due_ms.saturating_add(earned_ms).min(latest_ms);
        }
    }

    /// Takes `bytes` more for a body. When the budget is used up, bodies that lag behind the minimum
    /// rate and then newer ones are evicted for it.
    #[must_use]
    pub fn grow_body(&mut self, id: BodyId, bytes: usize, now: Now) -> Growth {
        let Some(body) = self.receiving.get(&id) else {
            return Growth::Refused;
        };
        let limit = self.budget.bytes();
        let is_small = body.held_bytes + bytes <= self.options.small_body_bytes;
        let limit = match self.budget {
            Budget::Total(_) if !is_small => limit - limit / 8,
            Budget::Total(_) | Budget::Bodies(_) => limit,
        };
        let Some(evicted) = self.make_room(Some(id), bytes, limit, now) else {
            return Growth::Refused;
        };
        if let Some(body) = self.receiving.get_mut(&id) {
            body.held_bytes += bytes;
        }
        self.take(MemoryKind::Bodies, bytes);
        Growth::Granted(evicted)
    }

    /// Evicts the body that lags furthest behind the minimum rate; `None` if none lags.
    pub fn evict_slowest(&mut self, now: Now) -> Option<BodyId> {
        let slowest = self.lagging(now).into_iter().next();
        slowest.inspect(|id| self.discard(*id))
    }

    /// How long nothing more may arrive of a body before it has stalled for `stall_ms`.
    #[must_use]
    pub fn stall_left_ms(&self, id: BodyId, stall_ms: u64, now: Now) -> u64 {
        let body = self.receiving.get(&id);
        body.map_or(stall_ms, |body| {
            stall_ms.saturating_sub(now.since_ms(body.last_byte_ms))
        })
    }

    /// A body is complete, and is not evicted from now on. Returns the bytes that it holds, which
    /// must be released.
    pub fn complete_body(&mut self, id: BodyId) -> usize {
        let body = self.receiving.shift_remove(&id);
        body.map_or(0, |body| body.held_bytes)
    }

    /// Releases the memory of a body that is not complete.
    pub fn discard(&mut self, id: BodyId) {
        let held_bytes = self.complete_body(id);
        self.release(MemoryKind::Bodies, held_bytes);
    }

    fn limited_bytes(&self) -> usize {
        match self.budget {
            Budget::Bodies(_) => self.held_bytes(MemoryKind::Bodies),
            Budget::Total(_) => self.total_bytes(),
        }
    }

    /// Evicts bodies until `bytes` more are within `limit`. Returns the evicted ones; `None` if there
    /// are not enough, and none is evicted then.
    fn make_room(
        &mut self,
        asking: Option<BodyId>,
        bytes: usize,
        limit: usize,
        now: Now,
    ) -> Option<Vec<BodyId>> {
        let needed = (self.limited_bytes() + bytes).saturating_sub(limit);
        if needed == 0 {
            return Some(Vec::new());
        }
        let lagging = self.lagging(now);
        let newer = self.receiving.keys().rev().copied();
        let newer = newer.filter(|id| asking.is_some_and(|asking| *id > asking));
        let newer = newer.filter(|id| !lagging.contains(id));
        let candidates = lagging.iter().copied().chain(newer);
        let mut evicted = Vec::new();
        let mut freed = 0;
        for id in candidates.filter(|id| Some(*id) != asking) {
            if freed >= needed {
                break;
            }
            let held = self.receiving[&id].held_bytes;
            if held > 0 {
                freed += held;
                evicted.push(id);
            }
        }
        if freed < needed {
            return None;
        }
        for id in &evicted {
            self.discard(*id);
        }
        Some(evicted)
    }

    /// The bodies below the minimum rate, the one that is furthest behind first.
    fn lagging(&self, now: Now) -> Vec<BodyId> {
        let lagging = self.receiving.iter();
        let lagging = lagging.filter(|(_, body)| now.steady_ms > body.due_ms);
        let mut lagging: Vec<_> = lagging.map(|(id, body)| (body.due_ms, *id)).collect();
        lagging.sort_unstable();
        lagging.into_iter().map(|(_, id)| id).collect()
    }
}
