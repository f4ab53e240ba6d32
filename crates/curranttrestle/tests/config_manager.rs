//! The sheet and the marks in force, as received from the store and from peers.

use curranttrestle::coordination::config::{
    ConfigCallKey, ConfigEffect, ConfigFault, ConfigManager, ConfigObject, ConfigSettings,
};
use curranttrestle::protocol::peer::{ConfigNumbers, ConfigUpdate, PeerMessage, SheetUpdate};
use curranttrestle::protocol::platform::{Object, StoreCall, StoreResponse, Version};
use curranttrestle::state::marks::{Mark, MarkEntry, Marks};
use curranttrestle::state::sheet::{Sheet, SheetObject, SheetStamp, read_sheet};
use curranttrestle::state::{InstanceId, Member, MemberView, Now};
use uuid::Uuid;

const SHEET: ConfigCallKey = ConfigCallKey(ConfigObject::Sheet);
const MARKS: ConfigCallKey = ConfigCallKey(ConfigObject::Marks);

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

fn stored(number: u64) -> StoreResponse {
    let stamp = SheetStamp {
        number,
        submitted_by: "planner".to_owned(),
        attempt: Uuid::from_u128(u128::from(number)),
        unix_ms: 0,
    };
    let value = SheetObject::replacing(None, stamp, &sheet(number))
        .to_text()
        .unwrap();
    let version = Version(number * 10);
    StoreResponse::Found(Object { version, value })
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

fn stored_marks(version: u64, names: &[&str]) -> StoreResponse {
    let entries = names.iter().map(|name| mark(name)).collect();
    let value = serde_json::to_string(&Marks { entries }).unwrap();
    let version = Version(version);
    StoreResponse::Found(Object { version, value })
}

/// The view of router `me` on a data centre of `count` routers named `r0`, `r1` and so on.
fn view(me: usize, count: usize) -> MemberView {
    let member = |index: usize| Member {
        instance: InstanceId::new(&format!("r{index}")),
        incarnation: curranttrestle::state::Incarnation(1),
        data_centre: "rennes".into(),
        address: "127.0.0.1:1".parse().unwrap(),
    };
    MemberView {
        local: member(me),
        live: (0..count).map(member).collect(),
    }
}

fn manager(name: &str) -> ConfigManager {
    ConfigManager::new(name.into(), ConfigSettings::default(), at(0))
}

/// Returns a manager that has read `sheet(number)` from the store.
fn manager_with(name: &str, number: u64) -> ConfigManager {
    let mut manager = manager(name);
    manager.tick(&view(0, 1), at(0));
    manager.receive_store_response(SHEET, &stored(number), at(1));
    manager
}

fn calls(effects: &[ConfigEffect]) -> Vec<&StoreCall> {
    let calls = effects.iter().filter_map(|effect| match effect {
        ConfigEffect::Store { call, .. } => Some(call),
        _ => None,
    });
    calls.collect()
}

fn sheet_in_force(effects: &[ConfigEffect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        ConfigEffect::SheetInForce { number } => Some(*number),
        _ => None,
    })
}

/// Delivers the messages in `effects` from `from` to `to`, and the responses, until none is
/// left. Returns all other effects.
fn exchange(
    from: &mut ConfigManager,
    from_name: &str,
    to: &mut ConfigManager,
    effects: Vec<ConfigEffect>,
    now: Now,
) -> Vec<ConfigEffect> {
    let mut other_effects = Vec::new();
    let mut pending = effects;
    while let Some(effect) = pending.pop() {
        let ConfigEffect::Send { to: peer, message } = &effect else {
            other_effects.push(effect);
            continue;
        };
        match message {
            PeerMessage::ConfigRequest(request) => {
                for response in to.receive_request(&from_name.into(), request) {
                    let ConfigEffect::Send { message, .. } = response else {
                        continue;
                    };
                    let PeerMessage::ConfigUpdate(update) = message else {
                        continue;
                    };
                    pending.extend(from.receive_update(peer, *update, now));
                }
            }
            other => panic!("unexpected {other:?}"),
        }
    }
    other_effects
}

#[test]
fn router_reads_the_store_at_startup_and_is_ready_with_sheet_and_marks() {
    let mut manager = manager("r0");
    let effects = manager.tick(&view(0, 9), at(0));
    assert!(matches!(
        calls(&effects)[..],
        [StoreCall::Read { .. }, StoreCall::Read { .. }]
    ));
    assert!(manager.tick(&view(0, 9), at(100)).is_empty());
    assert!(!manager.is_ready());
    let effects = manager.receive_store_response(SHEET, &stored(3), at(200));
    assert_eq!(sheet_in_force(&effects), Some(3));
    assert!(!manager.is_ready(), "the marks are not known yet");
    assert_eq!(manager.numbers().sheet_digest, sheet(3).digest());
    manager.receive_store_response(MARKS, &StoreResponse::Lost, at(250));
    assert!(!manager.is_ready(), "the marks are not known yet");
    manager.tick(&view(0, 9), at(5_000));
    manager.receive_store_response(MARKS, &StoreResponse::Absent, at(5_100));
    assert!(manager.is_ready());
}

#[test]
fn failed_read_is_retried_as_a_watch() {
    let mut manager = manager("r0");
    manager.tick(&view(0, 1), at(0));
    manager.receive_store_response(SHEET, &StoreResponse::Lost, at(1_000));
    let effects = manager.tick(&view(0, 1), at(2_000));
    let name = SheetObject::NAME.to_owned();
    let after = Version(0);
    assert_eq!(calls(&effects), [&StoreCall::Watch { name, after }]);
    let effects = manager.receive_store_response(SHEET, &stored(3), at(9_000));
    assert_eq!(sheet_in_force(&effects), Some(3));
}

#[test]
fn exactly_two_routers_of_a_data_centre_are_watchers() {
    let managers: Vec<ConfigManager> = (0..9).map(|index| manager(&format!("r{index}"))).collect();
    let watchers = (0..9).filter(|index| managers[*index].is_watcher(&view(*index, 9)));
    assert_eq!(watchers.count(), 2);
}

#[test]
fn watch_continues_from_the_known_version_and_failures_back_off() {
    let mut manager = manager_with("r0", 3);
    let effects = manager.tick(&view(0, 1), at(600));
    let after = Version(30);
    let name = SheetObject::NAME.to_owned();
    assert_eq!(calls(&effects), [&StoreCall::Watch { name, after }]);
    let mut now = 600;
    let mut attempts = 0;
    while now < 60_000 {
        for effect in manager.tick(&view(0, 1), at(now)) {
            if let ConfigEffect::Store { key, .. } = effect {
                attempts += u32::from(key == SHEET);
                manager.receive_store_response(key, &StoreResponse::Unavailable, at(now));
            }
        }
        manager.receive_store_response(SHEET, &StoreResponse::Lost, at(now));
        now += 100;
    }
    assert!(
        (7..=40).contains(&attempts),
        "{attempts} calls in a one-minute outage"
    );
    assert_eq!(manager.numbers().sheet_number, 3);
}

#[test]
fn only_sheets_with_higher_numbers_take_effect() {
    let mut manager = manager_with("r0", 5);
    let mut older = stored(4);
    if let StoreResponse::Found(object) = &mut older {
        object.version = Version(99);
    }
    manager.tick(&view(0, 1), at(600));
    let effects = manager.receive_store_response(SHEET, &older, at(601));
    let (in_force, stored_number) = (5, 4);
    let fault = ConfigFault::StoreReverted {
        in_force,
        stored: stored_number,
    };
    assert_eq!(effects, [ConfigEffect::Fault(fault)]);
    for number in [4, 5, 1] {
        let sheet = Some(SheetUpdate::Whole(sheet(number)));
        let update = ConfigUpdate { sheet, marks: None };
        assert!(
            manager
                .receive_update(&"r1".into(), update, at(700))
                .is_empty()
        );
    }
    assert_eq!(manager.sheet().unwrap().number, 5);
}

/// The response was under way during a partition, while a peer's newer sheet took effect.
#[test]
fn store_response_to_a_call_before_the_sheet_in_force_is_no_fault() {
    let mut manager = manager_with("r0", 1);
    manager.tick(&view(0, 1), at(600));
    let sheet = Some(SheetUpdate::Whole(sheet(4)));
    let update = ConfigUpdate { sheet, marks: None };
    let effects = manager.receive_update(&"r1".into(), update, at(700));
    assert_eq!(sheet_in_force(&effects), Some(4));
    let effects = manager.receive_store_response(SHEET, &stored(2), at(800));
    assert_eq!(effects, []);
    assert_eq!(manager.sheet().unwrap().number, 4);
    // The answer to a later call must not be older.
    manager.tick(&view(0, 1), at(1_400));
    let effects = manager.receive_store_response(SHEET, &stored(3), at(1_500));
    let fault = ConfigFault::StoreReverted {
        in_force: 4,
        stored: 3,
    };
    assert_eq!(effects, [ConfigEffect::Fault(fault)]);
}

#[test]
fn stale_router_fetches_a_diff_or_the_whole_sheet_if_the_diff_does_not_apply() {
    let mut ahead = manager_with("r1", 3);
    ahead.tick(&view(1, 1), at(600));
    ahead.receive_store_response(SHEET, &stored(4), at(601));
    let mut behind = manager_with("r0", 3);
    let effects = behind.receive_numbers(&"r1".into(), ahead.numbers(), at(700));
    let ConfigEffect::Send {
        message: PeerMessage::ConfigRequest(request),
        ..
    } = &effects[0]
    else {
        panic!("{effects:?}")
    };
    let response = ahead.receive_request(&"r0".into(), request);
    let ConfigEffect::Send {
        message: PeerMessage::ConfigUpdate(update),
        ..
    } = &response[0]
    else {
        panic!("{response:?}")
    };
    assert!(matches!(update.sheet, Some(SheetUpdate::Diff(_))));
    // The diff does not apply to another base: the router requests the whole sheet.
    let mut other = manager_with("r2", 2);
    let effects = other.receive_update(&"r1".into(), update.as_ref().clone(), at(700));
    let other_effects = exchange(&mut other, "r2", &mut ahead, effects, at(700));
    assert_eq!(sheet_in_force(&other_effects), Some(4));
    let other_effects = behind.receive_update(&"r1".into(), update.as_ref().clone(), at(700));
    assert_eq!(sheet_in_force(&other_effects), Some(4));
    assert_eq!(behind.numbers(), ahead.numbers());
}

#[test]
fn restarted_router_takes_the_newest_sheet_of_its_peers_during_a_store_outage() {
    let mut stale = manager_with("r1", 7);
    let mut fresh = manager_with("r2", 8);
    let mut restarted = manager("r0");
    restarted.tick(&view(0, 3), at(0));
    restarted.receive_store_response(SHEET, &StoreResponse::Unavailable, at(10));
    // The stale peer's heartbeat arrives first. Its sheet must not take effect before the other
    // peers' heartbeats had time to arrive.
    let effects = restarted.receive_numbers(&"r1".into(), stale.numbers(), at(100));
    let other_effects = exchange(&mut restarted, "r0", &mut stale, effects, at(110));
    assert_eq!(sheet_in_force(&other_effects), None);
    assert!(!restarted.is_ready());
    let effects = restarted.receive_numbers(&"r2".into(), fresh.numbers(), at(600));
    let other_effects = exchange(&mut restarted, "r0", &mut fresh, effects, at(610));
    assert_eq!(sheet_in_force(&other_effects), None);
    let effects = restarted.tick(&view(0, 3), at(1_500));
    assert_eq!(sheet_in_force(&effects), Some(8));
}

#[test]
fn another_peer_is_requested_after_a_timeout() {
    let mut manager = manager("r0");
    let numbers = |sheet_number| ConfigNumbers {
        sheet_number,
        ..ConfigNumbers::default()
    };
    let requested_peer = |effects: &[ConfigEffect]| {
        effects.iter().find_map(|effect| match effect {
            ConfigEffect::Send { to, .. } => Some(to.as_str().to_owned()),
            _ => None,
        })
    };
    let effects = manager.receive_numbers(&"r1".into(), numbers(9), at(0));
    assert_eq!(requested_peer(&effects).as_deref(), Some("r1"));
    let effects = manager.receive_numbers(&"r2".into(), numbers(8), at(500));
    assert_eq!(requested_peer(&effects), None);
    let effects = manager.tick(&view(0, 3), at(1_000));
    assert_eq!(requested_peer(&effects).as_deref(), Some("r2"));
}

#[test]
fn marks_from_the_store_and_from_peers_are_merged() {
    let mut watcher = manager_with("r1", 3);
    let effects = watcher.receive_store_response(MARKS, &stored_marks(4, &["m1", "m2"]), at(2));
    let added = vec![mark("m1"), mark("m2")];
    let version = Version(4);
    assert_eq!(effects, [ConfigEffect::MarksInForce { version, added }]);
    let mut other = manager_with("r0", 3);
    let effects = other.receive_numbers(&"r1".into(), watcher.numbers(), at(10));
    let other_effects = exchange(&mut other, "r0", &mut watcher, effects, at(10));
    assert_eq!(other_effects.len(), 1);
    assert_eq!(other.numbers(), watcher.numbers());
    watcher.tick(&view(0, 1), at(600));
    watcher.receive_store_response(MARKS, &stored_marks(9, &["m3"]), at(601));
    assert_eq!(watcher.marks().entries.len(), 3);
    assert_eq!(watcher.numbers().marks_version, Version(9));
}

#[test]
fn unreadable_objects_and_conflicting_sheets_are_reported_and_ignored() {
    let mut manager = manager_with("r0", 3);
    manager.tick(&view(0, 1), at(600));
    let version = Version(99);
    let value = "[]".to_owned();
    let unreadable = StoreResponse::Found(Object { version, value });
    let effects = manager.receive_store_response(SHEET, &unreadable, at(601));
    assert!(matches!(effects[..], [ConfigEffect::Unreadable { .. }]));
    let mut peer_numbers = manager.numbers();
    peer_numbers.sheet_digest += 1;
    let effects = manager.receive_numbers(&"r1".into(), peer_numbers, at(700));
    let number = 3;
    let other = "r1".to_owned();
    let fault = ConfigFault::SheetConflict { number, other };
    assert_eq!(effects, [ConfigEffect::Fault(fault)]);
    assert!(
        manager
            .receive_numbers(&"r1".into(), peer_numbers, at(800))
            .is_empty()
    );
    assert_eq!(manager.sheet().unwrap().number, 3);
}
