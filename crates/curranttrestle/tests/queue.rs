//! Compares the queues with a naive model, and checks the bound on overtaking.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]

use curranttrestle::coordination::queue::{QueueOptions, Queues, WaitingRequest};
use curranttrestle::protocol::peer::{Lease, LeaseId};
use curranttrestle::state::{
    AccountId, CustomerId, EndpointId, InstanceId, Now, PoolId, RequestId,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use uuid::Uuid;

/// One operation on the queues.
#[derive(Clone, Debug)]
enum Operation {
    Push(WaitingRequest),
    Remove(u128),
    Take {
        customer: usize,
        endpoint: usize,
        short_only: bool,
        exclusive: bool,
    },
    Expire,
}

fn account(index: usize) -> AccountId {
    AccountId {
        pool: PoolId::new("model"),
        customer: CustomerId::new(&format!("c{index}")),
    }
}

fn endpoint(index: usize) -> EndpointId {
    EndpointId::new(&format!("e{index}"))
}

fn lease(endpoint_index: usize, short_only: bool, exclusive: bool) -> Lease {
    Lease {
        id: LeaseId {
            owner: InstanceId::new("r0"),
            sequence: 1,
        },
        endpoint: endpoint(endpoint_index),
        pool: PoolId::new("model"),
        short_only,
        exclusive,
    }
}

prop_compose! {
    fn waiting()(
        id in 0..40_u128,
        customer in 0..3_usize,
        priority in 0..6_u8,
        expected_cost in prop_oneof![1.0..200.0, 1_000.0..5_000.0],
        timeout_ms in 1..400_u64,
        excluded in prop::option::of(0..2_usize),
        exclusive in prop::bool::weighted(0.1),
    ) -> WaitingRequest {
        WaitingRequest {
            request: RequestId(Uuid::from_u128(id)),
            account: account(customer),
            priority,
            expected_cost,
            arrived_ms: 0,
            deadline_ms: timeout_ms,
            excluded_endpoints: excluded.map(endpoint).into_iter().collect(),
            exclusive,
        }
    }
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        4 => waiting().prop_map(Operation::Push),
        1 => (0..40_u128).prop_map(Operation::Remove),
        3 => (0..3_usize, 0..2_usize, any::<bool>(), prop::bool::weighted(0.2)).prop_map(
            |(customer, endpoint, short_only, exclusive)| Operation::Take {
                customer,
                endpoint,
                short_only,
                exclusive,
            }
        ),
        1 => Just(Operation::Expire),
    ]
}

/// A reference model: an unsorted list that is searched linearly.
struct NaiveQueues {
    options: QueueOptions,
    mean_cost: Option<f64>,
    /// Each request with its virtual arrival time and whether it is short.
    waiting: Vec<(u64, bool, WaitingRequest)>,
}

impl NaiveQueues {
    fn push(&mut self, waiting: WaitingRequest, limit: usize) -> Result<(), WaitingRequest> {
        let same_account =
            |other: &&(u64, bool, WaitingRequest)| other.2.account == waiting.account;
        let full = self.waiting.iter().filter(same_account).count() >= limit;
        let known = self
            .waiting
            .iter()
            .any(|other| other.2.request == waiting.request);
        if full || known {
            return Err(waiting);
        }
        let mean = self.mean_cost.get_or_insert(waiting.expected_cost);
        *mean += self.options.mean_weight * (waiting.expected_cost - *mean);
        let relative_cost = waiting.expected_cost / *mean;
        let cost_ms = (self.options.mean_cost_penalty_ms as f64 * relative_cost) as u64;
        let priority_ms = self.options.priority_step_ms * u64::from(waiting.priority);
        let penalty_ms = cost_ms.min(self.options.cost_limit_ms)
            + priority_ms.min(self.options.priority_limit_ms);
        let is_short = relative_cost <= self.options.short_factor;
        self.waiting
            .push((waiting.arrived_ms + penalty_ms, is_short, waiting));
        Ok(())
    }

    fn remove(&mut self, request: RequestId) -> Option<WaitingRequest> {
        let index = self
            .waiting
            .iter()
            .position(|other| other.2.request == request)?;
        Some(self.waiting.remove(index).2)
    }

    fn take(&mut self, account: &AccountId, lease: &Lease, now: Now) -> Option<WaitingRequest> {
        let request = self
            .waiting
            .iter()
            .filter(|(_, _, waiting)| waiting.account == *account)
            .filter(|(_, _, waiting)| waiting.exclusive == lease.exclusive)
            .filter(|(_, short, _)| *short || !lease.short_only || lease.exclusive)
            .filter(|(_, _, waiting)| !waiting.excluded_endpoints.contains(&lease.endpoint))
            .filter(|(_, _, waiting)| waiting.deadline_ms > now.steady_ms)
            .min_by_key(|(virtual_ms, _, waiting)| (*virtual_ms, waiting.request))
            .map(|(_, _, waiting)| waiting.request)?;
        self.remove(request)
    }

    fn expire(&mut self, now: Now) -> Vec<WaitingRequest> {
        let mut expired: Vec<WaitingRequest> = self
            .waiting
            .extract_if(.., |(_, _, waiting)| waiting.deadline_ms <= now.steady_ms)
            .map(|(_, _, waiting)| waiting)
            .collect();
        expired.sort_by_key(|waiting| (waiting.deadline_ms, waiting.request));
        expired
    }
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
}

#[test]
fn queues_match_the_naive_model() {
    let operations = prop::collection::vec(operation(), 1..120);
    runner(256)
        .run(&operations, |operations| {
            let options = QueueOptions::default();
            let mut queues = Queues::new(options.clone());
            let mut naive = NaiveQueues {
                options,
                mean_cost: None,
                waiting: Vec::new(),
            };
            let mut now = Now::default();
            for operation in operations {
                now = now.plus_ms(7);
                match operation {
                    Operation::Push(mut waiting) => {
                        waiting.arrived_ms = now.steady_ms;
                        waiting.deadline_ms += now.steady_ms;
                        let expected = naive.push(waiting.clone(), 10);
                        prop_assert_eq!(queues.push(waiting, 10), expected);
                    }
                    Operation::Remove(id) => {
                        let request = RequestId(Uuid::from_u128(id));
                        prop_assert_eq!(queues.remove(&request), naive.remove(request));
                    }
                    Operation::Take {
                        customer,
                        endpoint,
                        short_only,
                        exclusive,
                    } => {
                        let lease = lease(endpoint, short_only, exclusive);
                        let account = account(customer);
                        let taken = queues.take(&account, &lease, now);
                        prop_assert_eq!(taken, naive.take(&account, &lease, now));
                    }
                    Operation::Expire => prop_assert_eq!(queues.expire(now), naive.expire(now)),
                }
                check_demand(&queues, &naive, now)?;
            }
            Ok(())
        })
        .unwrap();
}

fn check_demand(queues: &Queues, naive: &NaiveQueues, now: Now) -> Result<(), TestCaseError> {
    prop_assert_eq!(queues.len(), naive.waiting.len());
    for demand in queues.demand(&PoolId::new("model"), now) {
        let of_customer: Vec<_> = naive
            .waiting
            .iter()
            .filter(|(_, _, waiting)| waiting.account.customer == demand.customer)
            .collect();
        let short = of_customer
            .iter()
            .filter(|(_, short, w)| *short && !w.exclusive)
            .count();
        let exclusive = of_customer.iter().filter(|(_, _, w)| w.exclusive).count();
        let oldest = of_customer
            .iter()
            .map(|(_, _, w)| now.since_ms(w.arrived_ms))
            .max();
        let cost: f64 = of_customer.iter().map(|(_, _, w)| w.expected_cost).sum();
        prop_assert_eq!(demand.total() as usize, of_customer.len());
        prop_assert_eq!(demand.waiting_short as usize, short);
        prop_assert_eq!(demand.waiting_exclusive as usize, exclusive);
        prop_assert_eq!(Some(demand.oldest_wait_ms), oldest);
        prop_assert!((demand.expected_cost * of_customer.len() as f64 - cost).abs() < 1e-3);
    }
    Ok(())
}

#[test]
fn no_request_is_overtaken_beyond_the_bound() {
    let pushes = prop::collection::vec((waiting(), 0..2_000_u64), 2..80);
    runner(128)
        .run(&pushes, |pushes| {
            let options = QueueOptions::default();
            let bound_ms = options.overtake_bound_ms();
            let mut queues = Queues::new(options);
            let mut arrived_ms = 0;
            for (index, (mut waiting, interval_ms)) in pushes.into_iter().enumerate() {
                arrived_ms += interval_ms;
                waiting.request = RequestId(Uuid::from_u128(index as u128));
                waiting.account = account(0);
                waiting.excluded_endpoints.clear();
                waiting.exclusive = false;
                waiting.arrived_ms = arrived_ms;
                waiting.deadline_ms = u64::MAX;
                queues.push(waiting, usize::MAX).unwrap();
            }
            let any = lease(0, false, false);
            let mut latest_ms = 0;
            while let Some(taken) = queues.take(&account(0), &any, Now::default()) {
                prop_assert!(latest_ms <= taken.arrived_ms + bound_ms);
                latest_ms = latest_ms.max(taken.arrived_ms);
            }
            Ok(())
        })
        .unwrap();
}
