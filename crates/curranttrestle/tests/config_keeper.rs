//! The sheet and the marks in force, as routers learn of them from the store and peers.

use curranttrestle::coordination::config::{
    ConfigEffect, ConfigFault, ConfigKeeper, ConfigObject, ConfigPurpose, ConfigSettings,
};
use curranttrestle::protocol::peer::{ConfigNumbers, ConfigUpdate, PeerMessage, SheetUpdate};
use curranttrestle::protocol::platform::{Object, StoreAnswer, StoreCall, Version};
use curranttrestle::state::marks::{Mark, MarkEntry, Marks};
use curranttrestle::state::sheet::{Sheet, SheetObject, SheetStamp, read_sheet};
use curranttrestle::state::{InstanceId, Member, MemberView, Now};
use uuid::Uuid;

const SHEET: ConfigPurpose = ConfigPurpose(ConfigObject::Sheet);
const MARKS: ConfigPurpose = ConfigPurpose(ConfigObject::Marks);

fn at(steady_ms: u64) -> Now {
    Now {
        steady_ms,
        unix_ms: steady_ms,
    }
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

fn stored(number: u64) -> StoreAnswer {
    let stamp = SheetStamp {
        number,
        submitted_by: "planner".to_owned(),
        attempt: Uuid::from_u128(u128::from(number)),
        unix_ms: 0,
    };
    let value = SheetObject::following(None, stamp, &sheet(number))
        .to_text()
        .unwrap();
    let version = Version(number * 10);
    StoreAnswer::Found(Object { version, value })
}

fn mark(endpoint: &str) -> MarkEntry {
    MarkEntry {
        endpoint: endpoint.into(),
        incarnation: Some(1),
        mark: Mark::Leaving,
        unix_ms: 0,
        by: "operator".to_owned(),
    }
}

fn stored_marks(version: u64, names: &[&str]) -> StoreAnswer {
    let entries = names.iter().map(|name| mark(name)).collect();
    let value = serde_json::to_string(&Marks { entries }).unwrap();
    let version = Version(version);
    StoreAnswer::Found(Object { version, value })
}

/// The view of `me` on a data centre of `count` routers named `r0`, `r1` and so on.
fn view(me: usize, count: usize) -> MemberView {
    let member = |index: usize| Member {
        instance: InstanceId::new(&format!("r{index}")),
        incarnation: curranttrestle::state::Incarnation(1),
        data_centre: "rennes".into(),
        address: "127.0.0.1:1".parse().unwrap(),
    };
    MemberView {
        me: member(me),
        live: (0..count).map(member).collect(),
    }
}

fn keeper(name: &str) -> ConfigKeeper {
    ConfigKeeper::new(name.into(), ConfigSettings::default(), at(0))
}

/// A keeper that has read `sheet(number)` from the store.
fn keeper_with(name: &str, number: u64) -> ConfigKeeper {
    let mut keeper = keeper(name);
    keeper.tick(&view(0, 1), at(0));
    keeper.store_answer(SHEET, &stored(number), at(1));
    keeper
}

fn calls(effects: &[ConfigEffect]) -> Vec<&StoreCall> {
    let calls = effects.iter().filter_map(|effect| match effect {
        ConfigEffect::Store { call, .. } => Some(call),
        _ => None,
    });
    calls.collect()
}

fn in_force(effects: &[ConfigEffect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        ConfigEffect::SheetInForce { number } => Some(*number),
        _ => None,
    })
}

/// Carries the messages in `effects`, sent by `from`, to `to`, and the answers back and forth.
fn exchange(
    from: &mut ConfigKeeper,
    from_name: &str,
    to: &mut ConfigKeeper,
    effects: Vec<ConfigEffect>,
    now: Now,
) -> Vec<ConfigEffect> {
    let mut seen = Vec::new();
    let mut pending = effects;
    while let Some(effect) = pending.pop() {
        let ConfigEffect::Send { to: peer, message } = &effect else {
            seen.push(effect);
            continue;
        };
        match message {
            PeerMessage::ConfigRequest(request) => {
                for answer in to.handle_request(&from_name.into(), request) {
                    let ConfigEffect::Send { message, .. } = answer else {
                        continue;
                    };
                    let PeerMessage::ConfigUpdate(update) = message else {
                        continue;
                    };
                    pending.extend(from.handle_update(peer, *update, now));
                }
            }
            other => panic!("unexpected {other:?}"),
        }
    }
    seen
}

#[test]
fn a_router_reads_the_store_at_its_start_and_is_ready_with_a_sheet_and_the_marks() {
    let mut keeper = keeper("r0");
    let effects = keeper.tick(&view(0, 9), at(0));
    assert!(matches!(
        calls(&effects)[..],
        [StoreCall::Read { .. }, StoreCall::Read { .. }]
    ));
    assert!(keeper.tick(&view(0, 9), at(100)).is_empty());
    assert!(!keeper.is_ready());
    let effects = keeper.store_answer(SHEET, &stored(3), at(200));
    assert_eq!(in_force(&effects), Some(3));
    assert!(!keeper.is_ready(), "the marks are not known yet");
    assert_eq!(keeper.numbers().sheet_digest, sheet(3).digest());
    keeper.store_answer(MARKS, &StoreAnswer::Lost, at(250));
    assert!(!keeper.is_ready(), "the marks are not known yet");
    keeper.tick(&view(0, 9), at(5_000));
    keeper.store_answer(MARKS, &StoreAnswer::Absent, at(5_100));
    assert!(keeper.is_ready());
}

#[test]
fn a_store_too_slow_for_a_read_is_watched() {
    let mut keeper = keeper("r0");
    keeper.tick(&view(0, 1), at(0));
    keeper.store_answer(SHEET, &StoreAnswer::Lost, at(1_000));
    let effects = keeper.tick(&view(0, 1), at(2_000));
    let name = SheetObject::NAME.to_owned();
    let after = Version(0);
    assert_eq!(calls(&effects), [&StoreCall::Watch { name, after }]);
    let effects = keeper.store_answer(SHEET, &stored(3), at(9_000));
    assert_eq!(in_force(&effects), Some(3));
}

#[test]
fn exactly_two_routers_of_a_data_centre_watch_without_pause() {
    let keepers: Vec<ConfigKeeper> = (0..9).map(|index| keeper(&format!("r{index}"))).collect();
    let watchers = (0..9).filter(|index| keepers[*index].is_watcher(&view(*index, 9)));
    assert_eq!(watchers.count(), 2);
}

#[test]
fn a_watch_follows_the_version_and_failures_back_off() {
    let mut keeper = keeper_with("r0", 3);
    let effects = keeper.tick(&view(0, 1), at(600));
    let after = Version(30);
    let name = SheetObject::NAME.to_owned();
    assert_eq!(calls(&effects), [&StoreCall::Watch { name, after }]);
    let mut now = 600;
    let mut tries = 0;
    while now < 60_000 {
        for effect in keeper.tick(&view(0, 1), at(now)) {
            if let ConfigEffect::Store { purpose, .. } = effect {
                tries += u32::from(purpose == SHEET);
                keeper.store_answer(purpose, &StoreAnswer::Unavailable, at(now));
            }
        }
        keeper.store_answer(SHEET, &StoreAnswer::Lost, at(now));
        now += 100;
    }
    assert!(
        (7..=40).contains(&tries),
        "{tries} calls in a minute of outage"
    );
    assert_eq!(keeper.numbers().sheet_number, 3);
}

#[test]
fn only_greater_numbers_come_into_force() {
    let mut keeper = keeper_with("r0", 5);
    let mut older = stored(4);
    if let StoreAnswer::Found(object) = &mut older {
        object.version = Version(99);
    }
    keeper.tick(&view(0, 1), at(600));
    let effects = keeper.store_answer(SHEET, &older, at(601));
    let (in_force, stored_number) = (5, 4);
    let fault = ConfigFault::StoreWentBack {
        in_force,
        stored: stored_number,
    };
    assert_eq!(effects, [ConfigEffect::Fault(fault)]);
    for number in [4, 5, 1] {
        let sheet = Some(SheetUpdate::Whole(sheet(number)));
        let update = ConfigUpdate { sheet, marks: None };
        assert!(
            keeper
                .handle_update(&"r1".into(), update, at(700))
                .is_empty()
        );
    }
    assert_eq!(keeper.sheet().unwrap().number, 5);
}

#[test]
fn a_router_behind_fetches_a_diff_and_the_whole_when_that_does_not_fit() {
    let mut ahead = keeper_with("r1", 3);
    ahead.tick(&view(1, 1), at(600));
    ahead.store_answer(SHEET, &stored(4), at(601));
    let mut behind = keeper_with("r0", 3);
    let effects = behind.observe_numbers(&"r1".into(), ahead.numbers(), at(700));
    let ConfigEffect::Send {
        message: PeerMessage::ConfigRequest(request),
        ..
    } = &effects[0]
    else {
        panic!("{effects:?}")
    };
    let answer = ahead.handle_request(&"r0".into(), request);
    let ConfigEffect::Send {
        message: PeerMessage::ConfigUpdate(update),
        ..
    } = &answer[0]
    else {
        panic!("{answer:?}")
    };
    assert!(matches!(update.sheet, Some(SheetUpdate::Diff(_))));
    // The diff arrives at a router with another base, which then asks for the whole.
    let mut other = keeper_with("r2", 2);
    let effects = other.handle_update(&"r1".into(), update.as_ref().clone(), at(700));
    let seen = exchange(&mut other, "r2", &mut ahead, effects, at(700));
    assert_eq!(in_force(&seen), Some(4));
    let seen = behind.handle_update(&"r1".into(), update.as_ref().clone(), at(700));
    assert_eq!(in_force(&seen), Some(4));
    assert_eq!(behind.numbers(), ahead.numbers());
}

#[test]
fn a_restarted_router_gets_the_newest_sheet_of_its_peers_while_the_store_is_down() {
    let mut stale = keeper_with("r1", 7);
    let mut fresh = keeper_with("r2", 8);
    let mut restarted = keeper("r0");
    restarted.tick(&view(0, 3), at(0));
    restarted.store_answer(SHEET, &StoreAnswer::Unavailable, at(10));
    // The stale peer is heard first. Its sheet must not come into force before the others
    // had time to speak.
    let effects = restarted.observe_numbers(&"r1".into(), stale.numbers(), at(100));
    let seen = exchange(&mut restarted, "r0", &mut stale, effects, at(110));
    assert_eq!(in_force(&seen), None);
    assert!(!restarted.is_ready());
    let effects = restarted.observe_numbers(&"r2".into(), fresh.numbers(), at(600));
    let seen = exchange(&mut restarted, "r0", &mut fresh, effects, at(610));
    assert_eq!(in_force(&seen), None);
    let effects = restarted.tick(&view(0, 3), at(1_500));
    assert_eq!(in_force(&effects), Some(8));
}

#[test]
fn a_peer_that_does_not_answer_is_passed_over() {
    let mut keeper = keeper("r0");
    let numbers = |sheet_number| ConfigNumbers {
        sheet_number,
        ..ConfigNumbers::default()
    };
    let asked = |effects: &[ConfigEffect]| {
        effects.iter().find_map(|effect| match effect {
            ConfigEffect::Send { to, .. } => Some(to.as_str().to_owned()),
            _ => None,
        })
    };
    let effects = keeper.observe_numbers(&"r1".into(), numbers(9), at(0));
    assert_eq!(asked(&effects).as_deref(), Some("r1"));
    let effects = keeper.observe_numbers(&"r2".into(), numbers(8), at(500));
    assert_eq!(asked(&effects), None);
    let effects = keeper.tick(&view(0, 3), at(1_000));
    assert_eq!(asked(&effects).as_deref(), Some("r2"));
}

#[test]
fn marks_only_grow_whoever_tells_of_them() {
    let mut watcher = keeper_with("r1", 3);
    let effects = watcher.store_answer(MARKS, &stored_marks(4, &["m1", "m2"]), at(2));
    let added = vec![mark("m1"), mark("m2")];
    let version = Version(4);
    assert_eq!(effects, [ConfigEffect::MarksInForce { version, added }]);
    let mut other = keeper_with("r0", 3);
    let effects = other.observe_numbers(&"r1".into(), watcher.numbers(), at(10));
    let seen = exchange(&mut other, "r0", &mut watcher, effects, at(10));
    assert_eq!(seen.len(), 1);
    assert_eq!(other.numbers(), watcher.numbers());
    watcher.tick(&view(0, 1), at(600));
    watcher.store_answer(MARKS, &stored_marks(9, &["m3"]), at(601));
    assert_eq!(watcher.marks().entries.len(), 3);
    assert_eq!(watcher.numbers().marks_version, Version(9));
}

#[test]
fn what_makes_no_sense_is_reported_and_passed_over() {
    let mut keeper = keeper_with("r0", 3);
    keeper.tick(&view(0, 1), at(600));
    let version = Version(99);
    let value = "[]".to_owned();
    let garbage = StoreAnswer::Found(Object { version, value });
    let effects = keeper.store_answer(SHEET, &garbage, at(601));
    assert!(matches!(effects[..], [ConfigEffect::Unreadable { .. }]));
    let mut theirs = keeper.numbers();
    theirs.sheet_digest += 1;
    let effects = keeper.observe_numbers(&"r1".into(), theirs, at(700));
    let number = 3;
    let other = "r1".to_owned();
    let fault = ConfigFault::SheetConflict { number, other };
    assert_eq!(effects, [ConfigEffect::Fault(fault)]);
    assert!(
        keeper
            .observe_numbers(&"r1".into(), theirs, at(800))
            .is_empty()
    );
    assert_eq!(keeper.sheet().unwrap().number, 3);
}
