//! Compares the verdicts of two routers, without faults, with a reference table of each key's
//! result.

#[path = "claims_support/store.rs"]
mod store;
#[path = "support/mod.rs"]
mod support;

use curranttrestle::coordination::claims::{ClaimEffect, ClaimManager, ClaimOptions, ClaimVerdict};
use curranttrestle::protocol::RefusalReason;
use curranttrestle::protocol::peer::{ClaimResult, PeerMessage, StoredBody, StoredResponse};
use curranttrestle::protocol::platform::{StoreCall, StoreResponse};
use curranttrestle::state::{AttemptId, CustomerId, Incarnation, Now, RequestId};
use indexmap::IndexMap;
use proptest::prelude::*;
use uuid::Uuid;

use store::FakeStore;
use support::{deterministic_runner, member_view, router_name};

const NOW: Now = Now {
    steady_ms: 1_000,
    unix_ms: 1_700_000_000_000,
};

/// Two routers with one store, without delay or loss.
struct TwoRouters {
    claims: [ClaimManager; 2],
    store: FakeStore,
    updates: u32,
    next: u64,
}

impl TwoRouters {
    fn new(options: &ClaimOptions) -> Self {
        let claims =
            |router| ClaimManager::new(&router_name(router), Incarnation(1), options.clone());
        Self {
            claims: [claims(0), claims(1)],
            store: FakeStore::new(false),
            updates: 0,
            next: 0,
        }
    }

    fn attempt(&mut self, router: usize) -> AttemptId {
        self.next += 1;
        AttemptId {
            instance: router_name(router),
            incarnation: Incarnation(1),
            sequence: self.next,
        }
    }

    /// Begins a request and returns its attempt and verdict.
    fn begin(
        &mut self,
        router: usize,
        customer: &str,
        key: Uuid,
        digest: u8,
    ) -> (AttemptId, ClaimVerdict) {
        let attempt = self.attempt(router);
        let request = RequestId(Uuid::from_u128(u128::from(self.next)));
        let effects = self.claims[router].begin(
            request,
            &CustomerId::new(customer),
            key,
            [digest; 16],
            attempt.clone(),
            NOW.steady_ms + 1_000,
            NOW,
            &member_view(router, 0..2),
        );
        let verdicts = self.run_effects(router, effects);
        (attempt, verdicts[&request].clone())
    }

    fn finish(&mut self, router: usize, attempt: &AttemptId, result: ClaimResult) {
        let effects = self.claims[router].finish(attempt, result, NOW);
        self.run_effects(router, effects);
    }

    /// Carries out effects until none is left.
    fn run_effects(
        &mut self,
        router: usize,
        effects: Vec<ClaimEffect>,
    ) -> IndexMap<RequestId, ClaimVerdict> {
        let mut verdicts = IndexMap::new();
        let mut queue: Vec<(usize, ClaimEffect)> =
            effects.into_iter().map(|effect| (router, effect)).collect();
        while !queue.is_empty() {
            let (at, effect) = queue.remove(0);
            let (to, effects) = match effect {
                ClaimEffect::Store { call, request } => {
                    let response = self.store.call(&request, NOW.steady_ms);
                    let is_update = matches!(request, StoreCall::Update { .. });
                    self.updates += u32::from(is_update && response != StoreResponse::Conflict);
                    let claims = &mut self.claims[at];
                    (
                        at,
                        claims.receive_store_response(call, response, NOW, &member_view(at, 0..2)),
                    )
                }
                ClaimEffect::Send { message, .. } => {
                    let from = router_name(at);
                    let claims = &mut self.claims[1 - at];
                    let effects = match message {
                        PeerMessage::ClaimRequest(request) => {
                            claims.receive_request(&from, request, NOW)
                        }
                        PeerMessage::ClaimAnswer(response) => {
                            claims.receive_response(&from, &response, NOW)
                        }
                        _ => Vec::new(),
                    };
                    (1 - at, effects)
                }
                ClaimEffect::Resolved { request, verdict } => {
                    verdicts.insert(request, verdict);
                    continue;
                }
                ClaimEffect::Emit { .. } => continue,
            };
            queue.extend(effects.into_iter().map(|effect| (to, effect)));
        }
        verdicts
    }
}

fn key(number: u8) -> Uuid {
    uuid::Builder::from_unix_timestamp_millis(NOW.unix_ms, &[number; 10]).into_uuid()
}

fn response(body: &[u8]) -> StoredResponse {
    StoredResponse {
        status: 201,
        content_type: String::from("text/plain"),
        body: StoredBody::Whole(body.to_vec()),
    }
}

fn result() -> impl Strategy<Value = ClaimResult> {
    prop_oneof![
        any::<u8>().prop_map(|body| ClaimResult::Answered(response(&[body]))),
        Just(ClaimResult::NotRun),
        Just(ClaimResult::Unknown),
    ]
}

#[test]
fn verdicts_match_the_reference_table() {
    let step = (0..2_usize, 0..2_u8, 0..3_u8, 0..2_u8, result());
    let steps = prop::collection::vec(step, 1..30);
    deterministic_runner(256)
        .run(&steps, |steps| {
            let mut routers = TwoRouters::new(&ClaimOptions::default());
            let mut table: IndexMap<(u8, u8), (u8, ClaimResult)> = IndexMap::new();
            for (router, customer, number, digest, result) in steps {
                let name = format!("customer {customer}");
                let (attempt, verdict) = routers.begin(router, &name, key(number), digest);
                let expected = table.get(&(customer, number));
                match (expected, &verdict) {
                    (None, ClaimVerdict::Dispatch)
                    | (Some((_, ClaimResult::Unknown)), ClaimVerdict::Unknown(_)) => {}
                    (Some((known, _)), ClaimVerdict::NotRun(refusal)) if *known != digest => {
                        prop_assert_eq!(refusal.reason, RefusalReason::KeyReused);
                    }
                    (Some((known, ClaimResult::NotRun)), ClaimVerdict::Dispatch) => {
                        prop_assert_eq!(*known, digest);
                    }
                    (Some((_, ClaimResult::Answered(stored))), ClaimVerdict::Replay(replayed)) => {
                        prop_assert_eq!(stored, replayed);
                    }
                    _ => prop_assert!(
                        false,
                        "verdict {:?}, but the table has {:?}",
                        verdict,
                        expected
                    ),
                }
                let may_dispatch = routers.claims[router].may_dispatch(&attempt, NOW);
                prop_assert_eq!(may_dispatch, verdict == ClaimVerdict::Dispatch);
                if may_dispatch {
                    routers.finish(router, &attempt, result.clone());
                    prop_assert!(!routers.claims[router].may_dispatch(&attempt, NOW));
                    table.insert((customer, number), (digest, result));
                }
            }
            prop_assert!(routers.claims.iter().all(ClaimManager::is_settled));
            Ok(())
        })
        .unwrap();
}

#[test]
fn claims_of_one_object_are_batched_into_one_update() {
    let options = ClaimOptions {
        shards: 1,
        ..ClaimOptions::default()
    };
    let mut routers = TwoRouters::new(&options);
    let members = member_view(0, [0]);
    let mut effects = Vec::new();
    for number in 0..100 {
        let attempt = routers.attempt(0);
        let request = RequestId(Uuid::from_u128(u128::from(number)));
        let customer = CustomerId::new("armor");
        effects.extend(routers.claims[0].begin(
            request,
            &customer,
            key(number),
            [0; 16],
            attempt,
            NOW.steady_ms + 1_000,
            NOW,
            &members,
        ));
    }
    let verdicts = routers.run_effects(0, effects);
    let dispatched = verdicts
        .values()
        .filter(|verdict| **verdict == ClaimVerdict::Dispatch);
    assert_eq!(dispatched.count(), 100);
    assert_eq!(routers.updates, 1);
}

#[test]
fn large_responses_are_recorded_without_their_body() {
    let mut routers = TwoRouters::new(&ClaimOptions::default());
    let (attempt, _) = routers.begin(0, "armor", key(1), 0);
    routers.finish(0, &attempt, ClaimResult::Answered(response(&[7; 5_000])));
    let (_, verdict) = routers.begin(1, "armor", key(1), 0);
    let ClaimVerdict::Replay(response) = verdict else {
        panic!("expected a replay, got {verdict:?}");
    };
    let StoredBody::TooLarge { length_bytes, .. } = response.body else {
        panic!("expected a response without body, got {response:?}");
    };
    assert_eq!((response.status, length_bytes), (201, 5_000));
}

#[test]
fn objects_never_exceed_the_size_limit() {
    let options = ClaimOptions {
        shards: 1,
        max_object_bytes: 20_000,
        ..ClaimOptions::default()
    };
    let mut routers = TwoRouters::new(&options);
    let mut refused = 0;
    for number in 0..80 {
        let (attempt, verdict) = routers.begin(0, "armor", key(number), 0);
        match verdict {
            ClaimVerdict::Dispatch => {
                let result = ClaimResult::Answered(response(&[7; 2_000]));
                routers.finish(0, &attempt, result);
            }
            ClaimVerdict::NotRun(_) => refused += 1,
            other => panic!("expected dispatch or not run, got {other:?}"),
        }
    }
    assert!(refused > 0);
    assert!(routers.store.largest_bytes() <= 20_000);
}

/// The objects that a sweep deletes if the router's clock is `ahead_ms` ahead.
fn swept_objects(names: &[String], ahead_ms: u64) -> Vec<String> {
    let options = ClaimOptions::default();
    let members = member_view(0, [0]);
    let mut claims = ClaimManager::new(&router_name(0), Incarnation(1), options.clone());
    let now = |steady_ms| Now {
        steady_ms,
        unix_ms: NOW.unix_ms + ahead_ms,
    };
    claims.tick(now(0), &members);
    let listing = claims.tick(now(options.sweep_interval_ms), &members);
    let [ClaimEffect::Store { call, .. }] = &listing[..] else {
        panic!("expected one store call, got {listing:?}");
    };
    let response = StoreResponse::Names(names.to_vec());
    let effects =
        claims.receive_store_response(*call, response, now(options.sweep_interval_ms), &members);
    effects
        .into_iter()
        .filter_map(|effect| match effect {
            ClaimEffect::Store {
                request: StoreCall::Delete { name },
                ..
            } => Some(name),
            _ => None,
        })
        .collect()
}

#[test]
fn a_clock_far_ahead_deletes_no_claims_in_use() {
    let options = ClaimOptions::default();
    let object = |age_ms| {
        let bucket = (NOW.unix_ms - age_ms) / options.bucket_ms;
        format!("claims/{bucket:012}/001")
    };
    let retained_ms = options.retention_ms + options.deletion_margin_ms;
    let (old, in_use, present) = (object(2 * retained_ms), object(retained_ms / 2), object(0));
    let names = [in_use, old.clone(), present];
    assert_eq!(swept_objects(&names, 0), std::slice::from_ref(&old));
    assert_eq!(swept_objects(&names, 100 * retained_ms), [old]);
}
