//! The store calls of a simulated fleet.

use curranttrestle::coordination::router::Input;
use curranttrestle::protocol::platform::{CallId, StoreCall, StoreResponse};
use curranttrestle::state::Now;
use curranttrestle::state::sheet::SheetObject;

use super::super::sheet::object_text;
use super::{PendingWatch, STORE_MS, SimulatedFleet, WATCH_MS};

impl SimulatedFleet {
    pub(super) fn call_store(&mut self, node: usize, call: CallId, request: StoreCall) {
        if let Some(response) = self.store.handle(request.clone()) {
            self.schedule(STORE_MS, node, Input::StoreResponse { call, response });
            return;
        }
        let until_ms = self.now.steady_ms + WATCH_MS;
        self.pending_watches.push(PendingWatch {
            node,
            call,
            request,
            until_ms,
        });
    }

    /// Ends the watches that have timed out without a change of their object.
    pub(super) fn expire_watches(&mut self) {
        let now_ms = self.now.steady_ms;
        let is_expired = |watch: &mut PendingWatch| watch.until_ms <= now_ms;
        let expired: Vec<PendingWatch> = self.pending_watches.extract_if(.., is_expired).collect();
        for watch in expired {
            let response = StoreResponse::Absent;
            let call = watch.call;
            self.schedule(0, watch.node, Input::StoreResponse { call, response });
        }
    }

    /// Retries all pending watches. The store responds to those whose object has changed, or to all
    /// of them if it is down.
    fn recheck_watches(&mut self) {
        for watch in std::mem::take(&mut self.pending_watches) {
            self.call_store(watch.node, watch.call, watch.request);
        }
    }

    /// Replaces the sheet in the store with the sheet of this number.
    pub fn change_sheet(&mut self, number: u64) {
        let text = object_text(&self.plan, number);
        self.store.replace(SheetObject::NAME, text);
        self.recheck_watches();
    }

    /// Starts or ends a store outage.
    pub fn set_store_down(&mut self, is_down: bool) {
        self.store.is_down = is_down;
        self.recheck_watches();
    }

    /// The number of store calls of all routers in each full second since `since`.
    pub fn store_calls_since(&self, since: Now) -> Vec<u64> {
        let from = since.steady_ms / 1_000;
        let to = self.now.steady_ms / 1_000;
        (from..to)
            .map(|second| self.store_calls.get(&second).copied().unwrap_or_default())
            .collect()
    }
}
