//! The spread of sheets and marks over routers, by random schedules of lost, late and
//! reordered messages, store faults and restarts, beside a naive keeper.

use curranttrestle::coordination::config::{
    ConfigEffect, ConfigKeeper, ConfigPurpose, ConfigSettings,
};
use curranttrestle::protocol::peer::{ConfigNumbers, PeerMessage, SheetUpdate};
use curranttrestle::protocol::platform::{Object, StoreAnswer, StoreCall, Version};
use curranttrestle::state::marks::{Mark, MarkEntry, Marks};
use curranttrestle::state::sheet::{Sheet, SheetObject, SheetStamp, read_sheet};
use curranttrestle::state::{Incarnation, InstanceId, Member, MemberView, Now};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use uuid::Uuid;

const ROUTERS: usize = 4;

/// The interval between heartbeats in the calm end of a run.
const HEARTBEAT_MS: u64 = 500;

/// The heartbeats within which all routers must agree.
const CALM_HEARTBEATS: usize = 40;

/// One move of a schedule. Indexes are taken modulo what there is.
#[derive(Clone, Copy, Debug)]
enum Move {
    Tick(usize),
    Heartbeat(usize, usize),
    Deliver(usize),
    Drop(usize),
    AnswerStore(usize),
    FailStore(usize),
    AcceptSheet,
    AddMark,
    Restart(usize),
}

fn any_move() -> impl Strategy<Value = Move> {
    let index = 0..64usize;
    prop_oneof![
        4 => index.clone().prop_map(Move::Tick),
        6 => (index.clone(), index.clone()).prop_map(|(from, to)| Move::Heartbeat(from, to)),
        8 => index.clone().prop_map(Move::Deliver),
        2 => index.clone().prop_map(Move::Drop),
        3 => index.clone().prop_map(Move::AnswerStore),
        2 => index.clone().prop_map(Move::FailStore),
        1 => Just(Move::AcceptSheet),
        1 => Just(Move::AddMark),
        1 => index.prop_map(Move::Restart),
    ]
}

/// What travels between routers.
#[derive(Clone, Debug)]
enum Carried {
    Numbers(ConfigNumbers),
    Message(PeerMessage),
}

struct World {
    now: Now,
    keepers: Vec<ConfigKeeper>,
    carried: Vec<(usize, usize, Carried)>,
    calls: Vec<(usize, ConfigPurpose, StoreCall)>,
    /// How many sheets were accepted; they are numbered from one.
    accepted: u64,
    /// The digests of the accepted sheets.
    digests: Vec<u64>,
    marks: Marks,
    version: u64,
    /// The sheet number at a keeper that takes whatever it hears last.
    naive: Vec<u64>,
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
        me: member(me),
        live: (0..ROUTERS).map(member).collect(),
    }
}

fn keeper(index: usize, now: Now) -> ConfigKeeper {
    ConfigKeeper::new(name(index), ConfigSettings::default(), now)
}

impl World {
    fn new() -> Self {
        Self {
            now: Now::default(),
            keepers: (0..ROUTERS)
                .map(|index| keeper(index, Now::default()))
                .collect(),
            carried: Vec::new(),
            calls: Vec::new(),
            accepted: 0,
            digests: Vec::new(),
            marks: Marks::default(),
            version: 0,
            naive: vec![0; ROUTERS],
            naive_reverts: 0,
        }
    }

    fn play(&mut self, step: Move) {
        self.now = self.now.plus_ms(37);
        match step {
            Move::Tick(index) => self.tick(index % ROUTERS),
            Move::Heartbeat(from, to) => self.heartbeat(from % ROUTERS, to % ROUTERS),
            Move::Deliver(index) if !self.carried.is_empty() => {
                let carried = self.carried.remove(index % self.carried.len());
                self.deliver(carried);
            }
            Move::Drop(index) if !self.carried.is_empty() => {
                self.carried.remove(index % self.carried.len());
            }
            Move::AnswerStore(index) if !self.calls.is_empty() => {
                let (router, purpose, call) = self.calls.remove(index % self.calls.len());
                let answer = self.answer(&call);
                self.take_answer(router, purpose, &answer);
            }
            Move::FailStore(index) if !self.calls.is_empty() => {
                let (router, purpose, _) = self.calls.remove(index % self.calls.len());
                self.take_answer(router, purpose, &StoreAnswer::Lost);
            }
            Move::AcceptSheet => {
                self.accepted += 1;
                self.version += 1;
                self.digests.push(sheet(self.accepted).digest());
            }
            Move::AddMark => self.add_mark(),
            Move::Restart(index) => self.restart(index % ROUTERS),
            _ => {}
        }
    }

    fn tick(&mut self, index: usize) {
        let effects = self.keepers[index].tick(&view(index), self.now);
        self.take_effects(index, effects);
    }

    fn heartbeat(&mut self, from: usize, to: usize) {
        let numbers = self.keepers[from].numbers();
        self.carried.push((from, to, Carried::Numbers(numbers)));
    }

    fn restart(&mut self, index: usize) {
        self.keepers[index] = keeper(index, self.now);
        self.naive[index] = 0;
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

    fn answer(&self, call: &StoreCall) -> StoreAnswer {
        let (StoreCall::Read { name } | StoreCall::Watch { name, .. }) = call else {
            panic!("a keeper does not change the store: {call:?}");
        };
        let is_sheet = name == SheetObject::NAME;
        let is_absent = if is_sheet {
            self.accepted == 0
        } else {
            self.marks.entries.is_empty()
        };
        if is_absent {
            return StoreAnswer::Absent;
        }
        let value = if is_sheet {
            let stamp = SheetStamp {
                number: self.accepted,
                submitted_by: "planner".to_owned(),
                attempt: Uuid::from_u128(u128::from(self.accepted)),
                unix_ms: 0,
            };
            SheetObject::following(None, stamp, &sheet(self.accepted))
                .to_text()
                .unwrap()
        } else {
            serde_json::to_string(&self.marks).unwrap()
        };
        let version = Version(self.version);
        StoreAnswer::Found(Object { version, value })
    }

    fn take_answer(&mut self, index: usize, purpose: ConfigPurpose, answer: &StoreAnswer) {
        let before = self.keepers[index].numbers();
        let effects = self.keepers[index].store_answer(purpose, answer, self.now);
        self.check(index, before);
        self.take_effects(index, effects);
    }

    fn deliver(&mut self, (from, to, carried): (usize, usize, Carried)) {
        let before = self.keepers[to].numbers();
        let (sender, now) = (name(from), self.now);
        let keeper = &mut self.keepers[to];
        let effects = match carried {
            Carried::Numbers(numbers) => keeper.observe_numbers(&sender, numbers, now),
            Carried::Message(PeerMessage::ConfigRequest(request)) => {
                keeper.handle_request(&sender, &request)
            }
            Carried::Message(PeerMessage::ConfigUpdate(update)) => {
                let number = update.sheet.as_ref().map(|sheet| match sheet {
                    SheetUpdate::Whole(sheet) => sheet.number,
                    SheetUpdate::Diff(diff) => diff.to_number,
                });
                let naive = number.unwrap_or(self.naive[to]);
                self.naive_reverts += u64::from(naive < self.naive[to]);
                self.naive[to] = naive;
                keeper.handle_update(&sender, *update, now)
            }
            Carried::Message(other) => panic!("unexpected {other:?}"),
        };
        self.check(to, before);
        self.take_effects(to, effects);
    }

    /// Nothing in force is ever taken back, and each sheet is the accepted one.
    fn check(&self, index: usize, before: ConfigNumbers) {
        let after = self.keepers[index].numbers();
        assert!(
            after.sheet_number >= before.sheet_number,
            "the sheet went back"
        );
        assert!(
            after.marks_version >= before.marks_version,
            "the marks went back"
        );
        if let Some(index) = after.sheet_number.checked_sub(1) {
            let index = usize::try_from(index).unwrap();
            assert_eq!(after.sheet_digest, self.digests[index]);
        }
    }

    fn take_effects(&mut self, index: usize, effects: Vec<ConfigEffect>) {
        for effect in effects {
            match effect {
                ConfigEffect::Store { purpose, call } => self.calls.push((index, purpose, call)),
                ConfigEffect::Send { to, message } => {
                    let to = (0..ROUTERS).find(|router| name(*router) == to).unwrap();
                    self.carried.push((index, to, Carried::Message(message)));
                }
                ConfigEffect::SheetInForce { .. } | ConfigEffect::MarksInForce { .. } => {}
                other => panic!("unexpected {other:?}"),
            }
        }
    }

    /// Lets every router send heartbeats to all and delivers everything.
    fn calm_heartbeat(&mut self, store_is_up: bool) {
        self.now = self.now.plus_ms(HEARTBEAT_MS);
        for index in 0..ROUTERS {
            self.tick(index);
            (0..ROUTERS).for_each(|to| self.heartbeat(index, to));
        }
        for (router, purpose, call) in std::mem::take(&mut self.calls) {
            let answer = if store_is_up {
                self.answer(&call)
            } else {
                StoreAnswer::Unavailable
            };
            self.take_answer(router, purpose, &answer);
        }
        while !self.carried.is_empty() {
            let carried = self.carried.remove(0);
            self.deliver(carried);
        }
    }

    fn numbers(&self) -> Vec<ConfigNumbers> {
        self.keepers.iter().map(ConfigKeeper::numbers).collect()
    }
}

#[test]
fn routers_never_go_back_and_agree_once_messages_arrive() {
    let config = Config {
        cases: 100,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[17; 32]);
    let naive_reverts = std::cell::Cell::new(0);
    let schedule = (prop::collection::vec(any_move(), 0..400), any::<bool>());
    TestRunner::new_with_rng(config, rng)
        .run(&schedule, |(moves, store_is_up)| {
            let mut world = World::new();
            for step in moves {
                world.play(step);
            }
            let newest = world
                .numbers()
                .iter()
                .map(|numbers| numbers.sheet_number)
                .max();
            for _ in 0..CALM_HEARTBEATS {
                world.calm_heartbeat(store_is_up);
            }
            let numbers = world.numbers();
            prop_assert!(
                numbers.iter().all(|other| *other == numbers[0]),
                "{numbers:?}"
            );
            prop_assert!(Some(numbers[0].sheet_number) >= newest);
            if store_is_up {
                prop_assert_eq!(numbers[0].sheet_number, world.accepted);
                prop_assert_eq!(world.keepers[0].marks(), &world.marks);
            }
            naive_reverts.set(naive_reverts.get() + world.naive_reverts);
            Ok(())
        })
        .unwrap();
    assert!(naive_reverts.get() > 0, "the schedules are too tame");
}
