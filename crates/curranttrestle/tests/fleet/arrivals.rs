//! Arrivals of the requests that callers send.

use super::*;

impl Fleet {
    pub(super) fn generate_arrivals(&mut self) {
        for index in 0..self.setup.customers.len() {
            let (_, load) = self.setup.customers[index];
            match load {
                Load::Backlog(depth) => {
                    for place in 0..self.setup.routers_per_customer {
                        let router = self.router_of(index, place);
                        let waiting = self.routers[router].queues.waiting_count(&account(index));
                        for _ in waiting..depth {
                            self.enqueue(index, router);
                        }
                    }
                }
                Load::EveryMs(period_ms) => {
                    if self.now_ms.is_multiple_of(period_ms) {
                        let router = self.router_of(index, 0);
                        self.enqueue(index, router);
                    }
                }
                Load::PerSecond(rate) => {
                    if self.rng.random_bool((rate / 1_000.0).min(1.0)) {
                        let place = self.rng.random_range(0..self.setup.routers_per_customer);
                        let router = self.router_of(index, place);
                        self.enqueue(index, router);
                    }
                }
            }
        }
    }

    /// Returns the router at position `place` among those that a customer uses; `place` is below
    /// `FleetSetup::routers_per_customer`. Each customer uses few routers, and the routers are
    /// loaded unevenly.
    pub fn router_of(&self, customer: usize, place: usize) -> usize {
        (customer * 7 + place * (1 + customer % 3)) % self.setup.routers
    }

    fn enqueue(&mut self, customer_index: usize, router: usize) {
        if !self.routers[router].alive {
            return;
        }
        let is_straggler = self.rng.random_bool(self.setup.straggler_probability);
        let factor = if is_straggler {
            self.rng.random_range(20.0..50.0)
        } else {
            self.rng.random_range(0.2..1.8)
        };
        let cost = (self.setup.mean_cost * factor).max(1.0);
        let hint_error = self
            .setup
            .hint_factor
            .powf(self.rng.random_range(-1.0..=1.0));
        self.next_id += 1;
        let request = RequestId(Uuid::from_u128(u128::from(self.next_id)));
        let hint = cost * hint_error;
        let account = account(customer_index);
        let estimator = &self.routers[router].estimator;
        let expected_cost = estimator.expected_cost(&account.customer, "draft", hints(hint));
        let waiting = WaitingRequest {
            request,
            account,
            priority: 0,
            expected_cost,
            arrived_ms: self.now_ms,
            deadline_ms: self.now_ms + 120_000,
            excluded_endpoints: Vec::new(),
            exclusive: false,
        };
        self.costs.insert(request, (cost, hint));
        self.routers[router].queues.push(waiting, 10_000).unwrap();
        self.routers[router].needs_control_step = true;
    }
}
