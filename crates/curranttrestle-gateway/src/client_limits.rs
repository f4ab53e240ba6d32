//! Derives the limits on clients from the instance, and reports when they take effect.

use std::cell::RefCell;

use curranttrestle::state::Now;

use crate::connections::{CloseReason, max_by_descriptors};
use crate::gateway::Gateway;
use crate::memory::{BodyId, Budget, MemoryKind};

/// How often the memory of the process is measured.
const MEASURE_INTERVAL_MS: u64 = 5_000;

/// Requests and freed memory that the allocator keeps enlarge the process for a time, so the smallest
/// size within one or two of these periods is used.
const MEASURE_WINDOW_MS: u64 = 300_000;

/// Minimum interval between two log lines.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The memory of the process apart from what it holds for clients.
///
/// ```
/// use curranttrestle::state::Now;
/// use curranttrestle_gateway::client_limits::ProcessMemory;
/// let mut memory = ProcessMemory::default();
/// let at = |minutes: u64| Now::default().plus_ms(minutes * 60_000);
/// assert_eq!(memory.record(30, at(0)), 30);
/// assert_eq!(memory.record(20, at(1)), 20);
/// // A larger size only counts once it has been the smallest for a whole period.
/// assert_eq!(memory.record(40, at(6)), 20);
/// assert_eq!(memory.record(40, at(11)), 40);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessMemory {
    smallest_before: Option<usize>,
    smallest: Option<usize>,
    window_started_ms: u64,
    measured_ms: u64,
}

impl ProcessMemory {
    /// Whether it is time to measure again.
    #[must_use]
    pub fn is_due(&self, now: Now) -> bool {
        self.smallest.is_none() || now.since_ms(self.measured_ms) >= MEASURE_INTERVAL_MS
    }

    /// Records a measured size. Returns the one to use.
    pub fn record(&mut self, bytes: usize, now: Now) -> usize {
        self.measured_ms = now.steady_ms;
        if self.smallest.is_none() || now.since_ms(self.window_started_ms) >= MEASURE_WINDOW_MS {
            self.smallest_before = self.smallest.take();
            self.window_started_ms = now.steady_ms;
        }
        let smallest = self.smallest.map_or(bytes, |smallest| smallest.min(bytes));
        self.smallest = Some(smallest);
        self.smallest_before
            .map_or(smallest, |before| smallest.min(before))
    }
}

/// What the limits did since the last log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Effects {
    closed_no_request: u64,
    closed_idle: u64,
    closed_no_room: u64,
    evicted_bodies: u64,
}

/// State of the limits on clients.
#[derive(Debug, Default)]
pub struct ClientLimits {
    process: RefCell<ProcessMemory>,
    effects: RefCell<(Effects, u64)>,
}

impl ClientLimits {
    fn count(&self, add: impl FnOnce(&mut Effects)) {
        add(&mut self.effects.borrow_mut().0);
    }

    /// Returns what the limits did since the last line; `None` if that is nothing or the last line is
    /// less than a second old.
    fn take_effects(&self, now: Now) -> Option<Effects> {
        let mut state = self.effects.borrow_mut();
        let (effects, logged_ms) = *state;
        if effects == Effects::default() || now.since_ms(logged_ms) < LOG_INTERVAL_MS {
            return None;
        }
        *state = (Effects::default(), now.steady_ms);
        Some(effects)
    }
}

impl Gateway {
    /// Discards bodies whose memory was given to others, and ends their requests.
    pub fn evict_bodies(&self, bodies: &[BodyId]) {
        let count = u64::try_from(bodies.len()).unwrap_or(u64::MAX);
        self.client_limits
            .count(|effects| effects.evicted_bodies += count);
        self.receiving.evict(bodies);
    }

    /// Counts a client connection that was closed by the limit.
    pub fn count_closed(&self, reason: CloseReason) {
        let closed = &self.metrics.closed_connections;
        closed.with_label_values(&[reason.as_str()]).inc();
        self.client_limits.count(|effects| match reason {
            CloseReason::NoRequest => effects.closed_no_request += 1,
            CloseReason::Idle => effects.closed_idle += 1,
            CloseReason::NoRoom => effects.closed_no_room += 1,
        });
    }

    /// Derives the limit on client connections from the memory and the descriptors.
    pub(crate) fn update_connection_limit(&self) {
        let settings = &self.settings;
        let budget = self.memory.borrow().budget();
        let by_memory = budget.max_connections(settings.memory.connection_bytes);
        let by_descriptors = settings
            .resources
            .descriptors
            .map(|descriptors| max_by_descriptors(descriptors, &settings.connections));
        let max = by_memory.into_iter().chain(by_descriptors).min();
        self.connections.borrow_mut().set_max(max);
    }

    /// Adapts the budget to the size of the process, and logs what the limits did.
    pub(crate) fn update_client_limits(&self, now: Now) {
        self.measure_process(now);
        let Some(effects) = self.client_limits.take_effects(now) else {
            return;
        };
        let memory = self.memory.borrow();
        let connections = self.connections.borrow();
        log::warn!(
            "kind=client-limit-reached closed_no_request={} closed_idle={} closed_no_room={} evicted_bodies={} held_bytes={} budget_bytes={} connections={} max_connections={}",
            effects.closed_no_request,
            effects.closed_idle,
            effects.closed_no_room,
            effects.evicted_bodies,
            memory.total_bytes(),
            memory.budget().bytes(),
            connections.open_count(),
            connections.max().unwrap_or_default(),
        );
    }

    fn measure_process(&self, now: Now) {
        let settings = &self.settings;
        let mut process = self.client_limits.process.borrow_mut();
        // Before the first configuration, the process is smaller than it will be.
        let is_due = process.is_due(now) && self.is_ready();
        if settings.resources.memory_bytes.is_none() || !is_due {
            return;
        }
        let Some(resident_bytes) = resident_bytes() else {
            return;
        };
        let held_bytes = self.memory.borrow().total_bytes();
        let process_bytes = process.record(resident_bytes.saturating_sub(held_bytes), now);
        let budget = Budget::of(
            settings.resources.memory_bytes,
            process_bytes,
            &settings.memory,
            &settings.traffic,
        );
        self.memory.borrow_mut().set_budget(budget);
        self.update_connection_limit();
    }

    /// Sets the gauges of the limits on clients.
    pub(crate) fn set_client_gauges(&self, set: impl Fn(&str, usize)) {
        let memory = self.memory.borrow();
        for kind in MemoryKind::ALL {
            let name = format!("client_bytes_{}", kind.as_str());
            set(&name, memory.held_bytes(kind));
        }
        set("client_budget_bytes", memory.budget().bytes());
        set("receiving_bodies", memory.receiving_count());
        let connections = self.connections.borrow();
        set("client_connections", connections.open_count());
        let without_request = connections.without_request_count();
        set("client_connections_without_request", without_request);
        set(
            "max_client_connections",
            connections.max().unwrap_or_default(),
        );
    }
}

/// The resident memory of the process; `None` if it cannot be read.
fn resident_bytes() -> Option<usize> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: usize = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kilobytes * 1_024)
}
