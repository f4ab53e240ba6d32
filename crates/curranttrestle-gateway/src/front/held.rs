//! Holds a part of the memory for clients.

use std::rc::Rc;

use crate::clock;
use crate::gateway::Gateway;
use crate::memory::{Growth, MemoryKind};

/// How long a response waits before it asks for memory again.
pub const MEMORY_WAIT_MS: u64 = 20;

/// Memory that is released on drop.
#[derive(Debug)]
pub struct HeldMemory {
    gateway: Rc<Gateway>,
    kind: MemoryKind,
    bytes: usize,
}

impl HeldMemory {
    /// Takes memory; `None` if the budget is used up.
    #[must_use]
    pub fn try_take(gateway: &Rc<Gateway>, kind: MemoryKind, bytes: usize) -> Option<Self> {
        let mut held = Self::of_taken(gateway, kind, 0);
        held.try_grow(bytes).then_some(held)
    }

    /// Takes memory that is bounded in another way.
    #[must_use]
    pub fn take(gateway: &Rc<Gateway>, kind: MemoryKind, bytes: usize) -> Self {
        gateway.memory.borrow_mut().take(kind, bytes);
        Self::of_taken(gateway, kind, bytes)
    }

    /// Holds memory that has been taken from the account.
    #[must_use]
    pub fn of_taken(gateway: &Rc<Gateway>, kind: MemoryKind, bytes: usize) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            kind,
            bytes,
        }
    }

    /// Releases a part.
    pub fn shrink(&mut self, bytes: usize) {
        let released = bytes.min(self.bytes);
        self.bytes -= released;
        self.gateway
            .memory
            .borrow_mut()
            .release(self.kind, released);
    }

    /// Takes more; false if the budget is used up.
    #[must_use]
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let mut memory = self.gateway.memory.borrow_mut();
        let growth = memory.try_take(self.kind, bytes, clock::now());
        drop(memory);
        let Growth::Granted(evicted) = growth else {
            return false;
        };
        self.gateway.evict_bodies(&evicted);
        self.bytes += bytes;
        true
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.gateway
            .memory
            .borrow_mut()
            .release(self.kind, self.bytes);
    }
}
