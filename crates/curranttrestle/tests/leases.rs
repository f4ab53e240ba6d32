//! The messages between one slot owner and one holder, and their effects.

use curranttrestle::coordination::fair_share::{FairShare, FairShareOptions};
use curranttrestle::coordination::queue::{QueueOptions, Queues, WaitingRequest};
use curranttrestle::coordination::slots::{
    Assignment, EndpointOwner, OwnedEndpoint, PoolOwners, SlotHolder, SlotOptions, SlotOwner,
};
use curranttrestle::protocol::peer::{Lend, PeerMessage, Slowness};
use curranttrestle::state::{
    AccountId, CustomerId, DataCentreId, EndpointId, Incarnation, InstanceId, Member, Now, PoolId,
    RequestId,
};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

/// Number of rounds without messages from the owner; together longer than a lease.
const ROUNDS_WITHOUT_MESSAGES: u32 = 100;
const ROUND_MS: u64 = 50;

fn pool() -> PoolId {
    PoolId::new("model")
}

fn endpoint(index: usize) -> EndpointId {
    EndpointId::new(&format!("e{index}"))
}

fn instance(index: usize) -> InstanceId {
    InstanceId::new(&format!("r{index}"))
}

fn owned(count: usize, slots: u32) -> Vec<OwnedEndpoint> {
    (0..count)
        .map(|index| OwnedEndpoint {
            endpoint: endpoint(index),
            pool: pool(),
            slots,
            usable: true,
        })
        .collect()
}

fn waiting(id: u128, expected_cost: f64) -> WaitingRequest {
    WaitingRequest {
        request: RequestId(Uuid::from_u128(id)),
        account: AccountId {
            pool: pool(),
            customer: CustomerId::new("c0"),
        },
        priority: 0,
        expected_cost,
        arrived_ms: 0,
        deadline_ms: u64::MAX,
        excluded_endpoints: Vec::new(),
        exclusive: false,
    }
}

/// One owner and one holder that exchange messages without delay.
struct Pair {
    now: Now,
    owner: SlotOwner,
    holder: SlotHolder,
    queues: Queues,
    share: FairShare,
    owners: IndexMap<PoolId, PoolOwners>,
    rng: ChaCha8Rng,
}

impl Pair {
    /// Creates a pair and advances the time past the takeover delay of a new owner.
    fn new(endpoints: usize, slots: u32) -> Self {
        let me = Member {
            instance: instance(1),
            incarnation: Incarnation(1),
            data_centre: DataCentreId::new("dc0"),
            address: "127.0.0.1:1".parse().unwrap(),
        };
        let local = PoolOwners {
            local: vec![instance(0)],
            remote: Vec::new(),
        };
        let options = SlotOptions::default();
        let mut pair = Self {
            now: Now::default().plus_ms(10_000),
            owner: SlotOwner::new(instance(0), Incarnation(1), options.clone()),
            holder: SlotHolder::new(instance(1), options),
            queues: Queues::new(QueueOptions::default()),
            share: FairShare::new(FairShareOptions::default(), me),
            owners: IndexMap::from([(pool(), local)]),
            rng: ChaCha8Rng::seed_from_u64(1),
        };
        pair.owner.set_endpoints(&owned(endpoints, slots), pair.now);
        pair.now = pair.now.plus_ms(SlotOptions::default().takeover_delay_ms);
        pair
    }

    fn push(&mut self, waiting: WaitingRequest) {
        self.queues.push(waiting, 1_000).unwrap();
    }

    /// Exchanges all messages once and returns the new assignments.
    fn exchange(&mut self) -> Vec<Assignment> {
        let now = self.now.plus_ms(1);
        self.now = now;
        let mut to_owner = self.holder.take_returns(now);
        to_owner.extend(self.holder.due_bids(
            &self.queues,
            &self.share,
            &self.owners,
            now,
            &mut self.rng,
        ));
        to_owner.extend(self.holder.due_renewals(&self.queues, &self.share, now));
        let mut to_holder = Vec::new();
        for (_, message) in &to_owner {
            to_holder.extend(self.owner_receives(message));
        }
        to_holder.extend(self.owner.decide(&self.share, now));
        for (_, message) in &to_holder {
            self.holder_receives(message);
        }
        self.holder.assign(&mut self.queues, &self.share, now)
    }

    fn owner_receives(&mut self, message: &PeerMessage) -> Vec<(InstanceId, PeerMessage)> {
        let (holder, now) = (instance(1), self.now);
        match message {
            PeerMessage::Bid(bid) => self.owner.receive_bid(&holder, bid, now),
            PeerMessage::Renewal(renewal) => self.owner.receive_renewal(&holder, renewal, now),
            PeerMessage::Return(returned) => {
                self.owner.receive_return(&holder, returned, now);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn holder_receives(&mut self, message: &PeerMessage) {
        let (owner, now) = (instance(0), self.now);
        match message {
            PeerMessage::Lend(lend) => self.holder.receive_lend(&owner, lend, now),
            PeerMessage::Recall(recall) => self.holder.receive_recall(&owner, recall, now),
            PeerMessage::Renewed(renewed) => self.holder.receive_renewed(&owner, renewed, now),
            PeerMessage::Void(void) => self.holder.receive_void(&owner, void, now),
            _ => {}
        }
    }

    fn wait(&mut self, duration_ms: u64) {
        self.now = self.now.plus_ms(duration_ms);
    }
}

#[test]
fn lends_at_most_the_slots_of_each_endpoint() {
    let mut pair = Pair::new(2, 3);
    for id in 0..10 {
        pair.push(waiting(id, 100.0));
    }
    let assigned = pair.exchange();
    assert_eq!(assigned.len(), 6);
    assert_eq!(pair.owner.lent(&endpoint(0)), 3);
    assert_eq!(pair.owner.lent(&endpoint(1)), 3);
    assert!(pair.exchange().is_empty());
}

#[test]
fn released_slot_serves_the_next_request_without_messages() {
    let mut pair = Pair::new(1, 1);
    pair.push(waiting(1, 100.0));
    pair.push(waiting(2, 100.0));
    let first = pair.exchange();
    pair.holder.release(&first[0].lease.id, pair.now);
    let second = pair.holder.assign(&mut pair.queues, &pair.share, pair.now);
    assert_eq!(second[0].lease, first[0].lease);
}

#[test]
fn lease_lasts_while_renewed_and_expires_at_the_holder_first() {
    let mut pair = Pair::new(1, 1);
    pair.push(waiting(1, 100.0));
    let lease = pair.exchange()[0].lease.clone();
    for _ in 0..5 {
        pair.wait(800);
        pair.exchange();
        assert!(pair.holder.is_valid(&lease.id, pair.now));
    }
    // No more messages are exchanged, so the lease is not renewed.
    pair.wait(2_500);
    assert!(!pair.holder.is_valid(&lease.id, pair.now));
    // The owner frees the slot only after the lease has expired at the holder.
    assert_eq!(pair.owner.lent(&endpoint(0)), 1);
    pair.wait(300);
    pair.owner.decide(&pair.share, pair.now);
    assert_eq!(pair.owner.lent(&endpoint(0)), 0);
}

#[test]
fn leaving_endpoint_gets_no_new_requests() {
    let mut pair = Pair::new(1, 2);
    pair.push(waiting(1, 100.0));
    pair.push(waiting(2, 100.0));
    let assigned = pair.exchange();
    let mut leaving = owned(1, 2);
    leaving[0].usable = false;
    for (_, message) in pair.owner.set_endpoints(&leaving, pair.now) {
        pair.holder_receives(&message);
    }
    for assignment in &assigned {
        assert!(!pair.holder.is_valid(&assignment.lease.id, pair.now));
        pair.holder.release(&assignment.lease.id, pair.now);
    }
    pair.push(waiting(3, 100.0));
    for _ in 0..20 {
        assert!(pair.exchange().is_empty());
        pair.wait(100);
    }
    assert_eq!(pair.owner.lent(&endpoint(0)), 0);
}

#[test]
fn exclusive_request_runs_alone() {
    let mut pair = Pair::new(2, 2);
    for id in 0..4 {
        pair.push(waiting(id, 100.0));
    }
    let shared = pair.exchange();
    assert_eq!(shared.len(), 4);
    let mut exclusive_request = waiting(10, 100.0);
    exclusive_request.exclusive = true;
    pair.push(exclusive_request);
    let mut running = shared;
    let mut alone = None;
    let mut served = 0;
    for id in 20..60 {
        pair.push(waiting(id, 100.0));
        pair.wait(20);
        // Shared requests end in the next round; the exclusive one continues to run.
        for ended in std::mem::take(&mut running) {
            pair.holder.release(&ended.lease.id, pair.now);
        }
        for assignment in pair.exchange() {
            if assignment.lease.exclusive {
                assert!(assignment.waiting.exclusive);
                assert!(
                    alone.replace(assignment).is_none(),
                    "the exclusive request was assigned twice"
                );
            } else {
                served += 1;
                running.push(assignment);
            }
        }
        if let Some(alone) = &alone {
            assert_eq!(pair.owner.lent(&alone.lease.endpoint), 1);
            let on_same_endpoint =
                |other: &&Assignment| other.lease.endpoint == alone.lease.endpoint;
            assert_eq!(running.iter().filter(on_same_endpoint).count(), 0);
        }
    }
    // The other endpoint continued to serve requests, and afterwards both serve all requests.
    assert!(served > 20);
    let lease = alone.expect("the exclusive request was not assigned").lease;
    pair.holder.release(&lease.id, pair.now);
    for id in 60..70 {
        pair.push(waiting(id, 100.0));
        pair.wait(20);
        pair.exchange();
    }
    assert_eq!(pair.owner.lent(&lease.endpoint), 2);
}

#[test]
fn some_slots_are_reserved_for_short_requests_while_they_wait() {
    let mut pair = Pair::new(1, 8);
    for id in 0..20 {
        pair.push(waiting(id, 100.0));
    }
    // Requests of the same customer that are expected to be long.
    for id in 100..120 {
        pair.push(waiting(id, 5_000.0));
    }
    let assigned = pair.exchange();
    let reserved: Vec<&Assignment> = assigned
        .iter()
        .filter(|assignment| assignment.lease.short_only)
        .collect();
    assert_eq!(assigned.len(), 8);
    assert_eq!(reserved.len(), 1);
    assert!(reserved[0].waiting.expected_cost < 1_000.0);
}

#[test]
fn restarted_owner_adopts_existing_leases() {
    let mut pair = Pair::new(1, 2);
    pair.push(waiting(1, 100.0));
    pair.push(waiting(2, 100.0));
    let assigned = pair.exchange();
    assert_eq!(assigned.len(), 2);
    // The owner restarts without state.
    pair.owner = SlotOwner::new(instance(0), Incarnation(2), SlotOptions::default());
    pair.owner.set_endpoints(&owned(1, 2), pair.now);
    let owner = EndpointOwner {
        instance: instance(0),
        incarnation: Incarnation(2),
    };
    pair.holder
        .set_owners(&IndexMap::from([(endpoint(0), owner)]));
    pair.push(waiting(3, 100.0));
    pair.exchange();
    assert_eq!(pair.owner.lent(&endpoint(0)), 2);
    for _ in 0..5 {
        pair.wait(800);
        assert!(
            pair.exchange().is_empty(),
            "assigned a request although no slot is free"
        );
        assert!(pair.holder.is_valid(&assigned[0].lease.id, pair.now));
    }
    pair.holder.release(&assigned[0].lease.id, pair.now);
    let next = pair.holder.assign(&mut pair.queues, &pair.share, pair.now);
    assert_eq!(next.len(), 1);
}

#[test]
fn lost_lend_is_declared_void_before_its_lease_expires() {
    let mut pair = Pair::new(1, 1);
    pair.push(waiting(1, 100.0));
    let now = pair.now.plus_ms(1);
    let bids = pair
        .holder
        .due_bids(&pair.queues, &pair.share, &pair.owners, now, &mut pair.rng);
    pair.now = now;
    for (_, message) in &bids {
        pair.owner_receives(message);
    }
    let lost = pair.owner.decide(&pair.share, now);
    let [(_, PeerMessage::Lend(lost))] = lost.as_slice() else {
        panic!("expected exactly one lend");
    };
    let mut waited_ms = 0;
    while pair.exchange().is_empty() {
        pair.wait(50);
        waited_ms += 50;
        assert!(waited_ms < 2_000, "the slot is not lent again");
    }
    // The lend that counted as lost arrives late.
    let late: &Lend = lost;
    pair.holder.receive_lend(&instance(0), late, pair.now);
    assert!(!pair.holder.is_valid(&late.lease.id, pair.now));
}

#[test]
fn holder_that_received_nothing_for_a_while_is_lent_slots_again() {
    let mut pair = Pair::new(1, 1);
    pair.push(waiting(1, 100.0));
    // No message from the owner arrives for longer than a lease lasts.
    for _ in 0..ROUNDS_WITHOUT_MESSAGES {
        pair.wait(ROUND_MS);
        let now = pair.now;
        let bids =
            pair.holder
                .due_bids(&pair.queues, &pair.share, &pair.owners, now, &mut pair.rng);
        for (_, message) in &bids {
            pair.owner_receives(message);
        }
        pair.owner.decide(&pair.share, now);
    }
    let mut waited_ms = 0;
    while pair.exchange().is_empty() {
        pair.wait(50);
        waited_ms += 50;
        assert!(waited_ms < 3_000, "the slot is not lent again");
    }
}

#[test]
fn slow_endpoint_lends_only_a_part_of_its_slots() {
    let mut pair = Pair::new(2, 8);
    let slowness = Slowness {
        endpoint: endpoint(0),
        window: 0.2,
    };
    pair.owner
        .receive_slowness(&instance(1), &slowness, pair.now);
    for id in 0..40 {
        pair.push(waiting(id, 100.0));
    }
    assert_eq!(pair.exchange().len(), 10);
    assert_eq!(pair.owner.lent(&endpoint(0)), 2);
    // The slowness report is not sent again, so it expires.
    pair.wait(3_100);
    let assigned: usize = (0..3).map(|_| pair.exchange().len()).sum();
    assert!(assigned >= 6);
}
