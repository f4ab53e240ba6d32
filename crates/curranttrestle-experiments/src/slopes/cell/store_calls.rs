//! The calls of a cell's routers to the store.

use curranttrestle::coordination::router::Input;
use curranttrestle::protocol::platform::{CallId, StoreCall, StoreResponse};
use curranttrestle::state::Now;
use curranttrestle::state::sheet::SheetObject;

use super::super::sheet::object_text;
use super::{Cell, STORE_MS, WATCH_MS, Watching};

impl Cell {
    pub(super) fn call_store(&mut self, node: usize, call: CallId, request: StoreCall) {
        if let Some(answer) = self.store.answer(request.clone()) {
            self.plan(STORE_MS, node, Input::StoreResponse { call, answer });
            return;
        }
        let until_ms = self.now.steady_ms + WATCH_MS;
        self.watching.push(Watching {
            node,
            call,
            request,
            until_ms,
        });
    }

    /// Ends the watches whose time is over.
    pub(super) fn expire_watches(&mut self) {
        let now_ms = self.now.steady_ms;
        let is_over = |watching: &mut Watching| watching.until_ms <= now_ms;
        let over: Vec<Watching> = self.watching.extract_if(.., is_over).collect();
        for watching in over {
            let answer = StoreResponse::Absent;
            let call = watching.call;
            self.plan(0, watching.node, Input::StoreResponse { call, answer });
        }
    }

    /// Lets the store answer the watches that have news now.
    fn wake_watches(&mut self) {
        for watching in std::mem::take(&mut self.watching) {
            self.call_store(watching.node, watching.call, watching.request);
        }
    }

    /// Replaces the sheet by one with this number.
    pub fn change_sheet(&mut self, number: u64) {
        let text = object_text(&self.plan, number);
        self.store.replace(SheetObject::NAME, text);
        self.wake_watches();
    }

    /// Begins or ends an outage of the store.
    pub fn set_store_down(&mut self, is_down: bool) {
        self.store.is_down = is_down;
        self.wake_watches();
    }

    /// The calls that all routers made to the store in each second since a moment.
    pub fn store_calls_since(&self, since: Now) -> Vec<u64> {
        let from = since.steady_ms / 1_000;
        let to = self.now.steady_ms / 1_000;
        (from..to)
            .map(|second| self.store_calls.get(&second).copied().unwrap_or_default())
            .collect()
    }
}
