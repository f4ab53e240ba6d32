//! Propagation of sheets and marks between routers.
//!
//! Random schedules lose, delay and reorder messages, fail store calls and restart routers. A
//! naive manager that accepts every sheet it receives runs alongside.

use curranttrestle::coordination::config::{
    ConfigCallKey, ConfigEffect, ConfigManager, ConfigSettings,
};
use curranttrestle::protocol::peer::{ConfigNumbers, PeerMessage, SheetUpdate};
use curranttrestle::protocol::platform::{Object, StoreCall, StoreResponse, Version};
use curranttrestle::state::marks::{Mark, MarkEntry, Marks};
use curranttrestle::state::sheet::{Sheet, SheetObject, SheetStamp, read_sheet};
use curranttrestle::state::{Incarnation, InstanceId, Member, MemberView, Now};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use uuid::Uuid;

const ROUTERS: usize = 4;

/// The interval between heartbeats in the fault-free phase at the end of a run.
const HEARTBEAT_MS: u64 = 500;

/// The number of heartbeats within which all routers must converge.
const CONVERGENCE_HEARTBEATS: usize = 40;

/// One step of a schedule. Indexes are taken modulo the number of candidates.
#[derive(Clone, Copy, Debug)]
enum Action {
    Tick(usize),
    Heartbeat(usize, usize),
    Deliver(usize),
    Drop(usize),
    CompleteStoreCall(usize),
    LoseStoreCall(usize),
    AcceptSheet,
    AddMark,
    Restart(usize),
}

fn any_action() -> impl Strategy<Value = Action> {
    let index = 0..64usize;
    prop_oneof![
        4 => index.clone().prop_map(Action::Tick),
        6 => (index.clone(), index.clone()).prop_map(|(from, to)| Action::Heartbeat(from, to)),
        8 => index.clone().prop_map(Action::Deliver),
        2 => index.clone().prop_map(Action::Drop),
        3 => index.clone().prop_map(Action::CompleteStoreCall),
        2 => index.clone().prop_map(Action::LoseStoreCall),
        1 => Just(Action::AcceptSheet),
        1 => Just(Action::AddMark),
        1 => index.prop_map(Action::Restart),
    ]
}

/// A message in transit between two routers.
#[derive(Clone, Debug)]
enum Packet {
    Numbers(ConfigNumbers),
    Message(PeerMessage),
}

struct Simulation {
    now: Now,
    managers: Vec<ConfigManager>,
    in_transit: Vec<(usize, usize, Packet)>,
    calls: Vec<(usize, ConfigCallKey, StoreCall)>,
    /// The number of accepted sheets; they are numbered from one.
    accepted: u64,
    /// The digests of the accepted sheets, by number.
    digests: Vec<u64>,
    marks: Marks,
    version: u64,
    /// The sheet number at a naive manager, which accepts every sheet it receives.
    naive_numbers: Vec<u64>,
    naive_reverts: u64,
}

fn sheet(number: u64) -> Sheet {
    let text = format!(
        "customer,atelier,{number},{},\noperation,answer,chat,yes,0,10\n\
         endpoint,m1,chat,model,rennes,10.0.0.1:80,8,yes,no\n",
        "ab".repeat(32)
    );
    let sheet = read_sheet("sheet.csv", text.as_bytes()).unwrap();
    Sheet { number, ..sheet }
}

fn name(index: usize) -> InstanceId {
    InstanceId::new(&format!("r{index}"))
}

fn view(me: usize) -> MemberView {
    let member = |index: usize| Member {
        instance: name(index),
        incarnation: Incarnation(1),
        data_centre: ["rennes", "brest"][index % 2].into(),
        address: "127.0.0.1:1".parse().unwrap(),
    };
    MemberView {
        local: member(me),
        live: (0..ROUTERS).map(member).collect(),
    }
}

fn manager(index: usize, now: Now) -> ConfigManager {
    ConfigManager::new(name(index), ConfigSettings::default(), now)
}

impl Simulation {
    fn new() -> Self {
        Self {
            now: Now::default(),
            managers: (0..ROUTERS)
                .map(|index| manager(index, Now::default()))
                .collect(),
            in_transit: Vec::new(),
            calls: Vec::new(),
            accepted: 0,
            digests: Vec::new(),
            marks: Marks::default(),
            version: 0,
            naive_numbers: vec![0; ROUTERS],
            naive_reverts: 0,
        }
    }

    fn apply(&mut self, action: Action) {
        self.now = self.now.plus_ms(37);
        match action {
            Action::Tick(index) => self.tick(index % ROUTERS),
            Action::Heartbeat(from, to) => self.heartbeat(from % ROUTERS, to % ROUTERS),
            Action::Deliver(index) if !self.in_transit.is_empty() => {
                let delivery = self.in_transit.remove(index % self.in_transit.len());
                self.deliver(delivery);
            }
            Action::Drop(index) if !self.in_transit.is_empty() => {
                self.in_transit.remove(index % self.in_transit.len());
            }
            Action::CompleteStoreCall(index) if !self.calls.is_empty() => {
                let (router, key, call) = self.calls.remove(index % self.calls.len());
                let response = self.store_response(&call);
                self.deliver_response(router, key, &response);
            }
            Action::LoseStoreCall(index) if !self.calls.is_empty() => {
                let (router, key, _) = self.calls.remove(index % self.calls.len());
                self.deliver_response(router, key, &StoreResponse::Lost);
            }
            Action::AcceptSheet => {
                self.accepted += 1;
                self.version += 1;
                self.digests.push(sheet(self.accepted).digest());
            }
            Action::AddMark => self.add_mark(),
            Action::Restart(index) => self.restart(index % ROUTERS),
            _ => {}
        }
    }

    fn tick(&mut self, index: usize) {
        let effects = self.managers[index].tick(&view(index), self.now);
        self.apply_effects(index, effects);
    }

    fn heartbeat(&mut self, from: usize, to: usize) {
        let numbers = self.managers[from].numbers();
        self.in_transit.push((from, to, Packet::Numbers(numbers)));
    }

    fn restart(&mut self, index: usize) {
        self.managers[index] = manager(index, self.now);
        self.naive_numbers[index] = 0;
        self.calls.retain(|(router, _, _)| *router != index);
    }

    fn add_mark(&mut self) {
        self.version += 1;
        self.marks.merge(&[MarkEntry {
            endpoint: "m1".into(),
            incarnation: Some(self.version),
            mark: Mark::Leaving,
            unix_ms: 0,
            by: "operator".to_owned(),
        }]);
    }

    fn store_response(&self, call: &StoreCall) -> StoreResponse {
        let (StoreCall::Read { name } | StoreCall::Watch { name, .. }) = call else {
            panic!("unexpected call {call:?}");
        };
        let is_sheet = name == SheetObject::NAME;
        let is_absent = if is_sheet {
            self.accepted == 0
        } else {
            self.marks.entries.is_empty()
        };
        if is_absent {
            return StoreResponse::Absent;
        }
        let value = if is_sheet {
            let stamp = SheetStamp {
                number: self.accepted,
                submitted_by: "planner".to_owned(),
                attempt: Uuid::from_u128(u128::from(self.accepted)),
                unix_ms: 0,
            };
            SheetObject::replacing(None, stamp, &sheet(self.accepted))
                .to_text()
                .unwrap()
        } else {
            serde_json::to_string(&self.marks).unwrap()
        };
        let version = Version(self.version);
        StoreResponse::Found(Object { version, value })
    }

    fn deliver_response(&mut self, index: usize, key: ConfigCallKey, response: &StoreResponse) {
        let before = self.managers[index].numbers();
        let effects = self.managers[index].receive_store_response(key, response, self.now);
        self.check(index, before);
        self.apply_effects(index, effects);
    }

    fn deliver(&mut self, (from, to, packet): (usize, usize, Packet)) {
        let before = self.managers[to].numbers();
        let (sender, now) = (name(from), self.now);
        let manager = &mut self.managers[to];
        let effects = match packet {
            Packet::Numbers(numbers) => manager.receive_numbers(&sender, numbers, now),
            Packet::Message(PeerMessage::ConfigRequest(request)) => {
                manager.receive_request(&sender, &request)
            }
            Packet::Message(PeerMessage::ConfigUpdate(update)) => {
                let number = update.sheet.as_ref().map(|sheet| match sheet {
                    SheetUpdate::Whole(sheet) => sheet.number,
                    SheetUpdate::Diff(diff) => diff.to_number,
                });
                let naive = number.unwrap_or(self.naive_numbers[to]);
                self.naive_reverts += u64::from(naive < self.naive_numbers[to]);
                self.naive_numbers[to] = naive;
                manager.receive_update(&sender, *update, now)
            }
            Packet::Message(other) => panic!("unexpected {other:?}"),
        };
        self.check(to, before);
        self.apply_effects(to, effects);
    }

    /// Checks that no number in force decreases and that the sheet in force is an accepted one.
    fn check(&self, index: usize, before: ConfigNumbers) {
        let after = self.managers[index].numbers();
        assert!(
            after.sheet_number >= before.sheet_number,
            "the sheet number decreased"
        );
        assert!(
            after.marks_version >= before.marks_version,
            "the marks version decreased"
        );
        if let Some(index) = after.sheet_number.checked_sub(1) {
            let index = usize::try_from(index).unwrap();
            assert_eq!(after.sheet_digest, self.digests[index]);
        }
    }

    fn apply_effects(&mut self, index: usize, effects: Vec<ConfigEffect>) {
        for effect in effects {
            match effect {
                ConfigEffect::Store { key, call } => self.calls.push((index, key, call)),
                ConfigEffect::Send { to, message } => {
                    let to = (0..ROUTERS).find(|router| name(*router) == to).unwrap();
                    self.in_transit.push((index, to, Packet::Message(message)));
                }
                ConfigEffect::SheetInForce { .. } | ConfigEffect::MarksInForce { .. } => {}
                other => panic!("unexpected {other:?}"),
            }
        }
    }

    /// Ticks every router, sends heartbeats between all of them and delivers all messages.
    fn heartbeat_without_faults(&mut self, store_is_up: bool) {
        self.now = self.now.plus_ms(HEARTBEAT_MS);
        for index in 0..ROUTERS {
            self.tick(index);
            (0..ROUTERS).for_each(|to| self.heartbeat(index, to));
        }
        for (router, key, call) in std::mem::take(&mut self.calls) {
            let response = if store_is_up {
                self.store_response(&call)
            } else {
                StoreResponse::Unavailable
            };
            self.deliver_response(router, key, &response);
        }
        while !self.in_transit.is_empty() {
            let delivery = self.in_transit.remove(0);
            self.deliver(delivery);
        }
    }

    fn numbers(&self) -> Vec<ConfigNumbers> {
        self.managers.iter().map(ConfigManager::numbers).collect()
    }
}

#[test]
fn routers_never_revert_and_converge_once_messages_arrive() {
    let config = Config {
        cases: 100,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[17; 32]);
    let naive_reverts = std::cell::Cell::new(0);
    let schedule = (prop::collection::vec(any_action(), 0..400), any::<bool>());
    TestRunner::new_with_rng(config, rng)
        .run(&schedule, |(actions, store_is_up)| {
            let mut simulation = Simulation::new();
            for action in actions {
                simulation.apply(action);
            }
            let newest = simulation
                .numbers()
                .iter()
                .map(|numbers| numbers.sheet_number)
                .max();
            for _ in 0..CONVERGENCE_HEARTBEATS {
                simulation.heartbeat_without_faults(store_is_up);
            }
            let numbers = simulation.numbers();
            prop_assert!(
                numbers.iter().all(|other| *other == numbers[0]),
                "{numbers:?}"
            );
            prop_assert!(Some(numbers[0].sheet_number) >= newest);
            if store_is_up {
                prop_assert_eq!(numbers[0].sheet_number, simulation.accepted);
                prop_assert_eq!(simulation.managers[0].marks(), &simulation.marks);
            }
            naive_reverts.set(naive_reverts.get() + simulation.naive_reverts);
            Ok(())
        })
        .unwrap();
    assert!(
        naive_reverts.get() > 0,
        "no schedule made the naive manager revert to an older sheet"
    );
}
