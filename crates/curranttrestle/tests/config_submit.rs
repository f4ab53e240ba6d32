//! Concurrent submissions of sheets and marks to a store that loses responses.

use curranttrestle::coordination::config::{
    ChangeSettings, ChangeStep, MarkOutcome, MarkSubmission, SheetSubmission, SubmitOutcome,
};
use curranttrestle::protocol::platform::{Expected, Object, StoreCall, StoreResponse, Version};
use curranttrestle::state::Now;
use curranttrestle::state::marks::{Mark, MarkEntry, Marks};
use curranttrestle::state::sheet::{Sheet, SheetObject, SheetStamp, read_sheet};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use uuid::Uuid;

/// The fault of one call.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Unavailable,
    LostBeforeEffect,
    LostAfterEffect,
    /// The response is lost, and the update takes effect during a later call.
    LostBeforeDelayedEffect,
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::Unavailable),
        1 => Just(Fault::LostBeforeEffect),
        2 => Just(Fault::LostAfterEffect),
        1 => Just(Fault::LostBeforeDelayedEffect),
    ]
}

/// A store with one object and a log of all its values.
#[derive(Default)]
struct FakeStore {
    object: Option<Object>,
    log: Vec<String>,
    delayed: Vec<StoreCall>,
}

impl FakeStore {
    fn call(&mut self, call: &StoreCall, fault: Fault) -> StoreResponse {
        match fault {
            Fault::None => self.apply(call),
            Fault::Unavailable => StoreResponse::Unavailable,
            Fault::LostBeforeEffect => StoreResponse::Lost,
            Fault::LostAfterEffect => {
                self.apply(call);
                StoreResponse::Lost
            }
            Fault::LostBeforeDelayedEffect => {
                self.delayed.push(call.clone());
                StoreResponse::Lost
            }
        }
    }

    fn apply(&mut self, call: &StoreCall) -> StoreResponse {
        let StoreCall::Update {
            expected, value, ..
        } = call
        else {
            return self
                .object
                .clone()
                .map_or(StoreResponse::Absent, StoreResponse::Found);
        };
        let version = self.object.as_ref().map(|object| object.version);
        let expected_version = match expected {
            Expected::Absent => None,
            Expected::Version(version) => Some(*version),
        };
        if version != expected_version {
            return StoreResponse::Conflict;
        }
        let version = Version(version.map_or(1, |version| version.0 + 3));
        let value = value.clone();
        self.log.push(value.clone());
        self.object = Some(Object { version, value });
        StoreResponse::Updated(version)
    }

    fn apply_delayed(&mut self) {
        for call in std::mem::take(&mut self.delayed) {
            self.apply(&call);
        }
    }

    fn stamps(&self) -> Vec<SheetStamp> {
        let objects = self
            .log
            .iter()
            .map(|text| SheetObject::from_text(text).unwrap());
        objects.map(|object| object.stamp).collect()
    }
}

fn sheet() -> Sheet {
    let text = format!(
        "customer,atelier,1,{},\noperation,answer,chat,yes,0,10\n\
         endpoint,m1,chat,model,rennes,10.0.0.1:80,8,yes,no\n",
        "ab".repeat(32)
    );
    read_sheet("sheet.csv", text.as_bytes()).unwrap()
}

fn submission(index: u128) -> SheetSubmission {
    let attempt = Uuid::from_u128(index);
    let settings = ChangeSettings::default();
    SheetSubmission::new(sheet(), "planner", attempt, settings, Now::default())
}

/// A change in progress. Returns its first step for `None`, and the next step for each
/// response.
type Change<T> = Box<dyn FnMut(Option<&StoreResponse>) -> ChangeStep<T>>;

fn run_schedule<T>(
    store: &mut FakeStore,
    mut changes: Vec<Change<T>>,
    schedule: &[(usize, Fault, bool)],
) -> Vec<T> {
    let mut steps: Vec<ChangeStep<T>> = changes.iter_mut().map(|change| change(None)).collect();
    let fault_free = (0..changes.len())
        .cycle()
        .map(|index| (index, Fault::None, false));
    let actions = schedule.iter().copied().chain(fault_free.take(200));
    for (index, fault, apply_delayed) in actions {
        if apply_delayed {
            store.apply_delayed();
        }
        let index = index % changes.len();
        if let ChangeStep::Call { call, .. } = &steps[index] {
            let response = store.call(call, fault);
            steps[index] = changes[index](Some(&response));
        }
    }
    store.apply_delayed();
    let outcomes = steps.into_iter().map(|step| match step {
        ChangeStep::Done(outcome) => outcome,
        ChangeStep::Call { .. } => panic!("a change did not complete"),
    });
    outcomes.collect()
}

fn schedule() -> impl Strategy<Value = Vec<(usize, Fault, bool)>> {
    prop::collection::vec((0..4usize, any_fault(), any::<bool>()), 0..60)
}

fn runner() -> TestRunner {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]))
}

fn accepted_number(store: &FakeStore, attempt: u128) -> Option<u64> {
    let attempt = Uuid::from_u128(attempt);
    let stamps = store.stamps();
    let own: Vec<_> = stamps
        .iter()
        .filter(|stamp| stamp.attempt == attempt)
        .collect();
    assert!(own.len() <= 1, "a submission was accepted twice");
    own.first().map(|stamp| stamp.number)
}

#[test]
fn reported_outcomes_match_the_store_despite_races_and_lost_responses() {
    runner()
        .run(&schedule(), |schedule| {
            let mut store = FakeStore::default();
            let mut changes: Vec<Change<_>> = Vec::new();
            for index in 0..4 {
                let mut submission = submission(index);
                changes.push(Box::new(move |response| match response {
                    None => submission.start(),
                    Some(response) => submission.receive_response(response),
                }));
            }
            let outcomes = run_schedule(&mut store, changes, &schedule);
            let numbers: Vec<u64> = store.stamps().iter().map(|stamp| stamp.number).collect();
            prop_assert!(numbers.iter().copied().eq(1..=numbers.len() as u64));
            for (index, outcome) in (0..).zip(&outcomes) {
                let accepted = accepted_number(&store, index);
                match outcome {
                    SubmitOutcome::Accepted { number, .. } => {
                        prop_assert_eq!(accepted, Some(*number));
                    }
                    SubmitOutcome::LostRace { winner } => {
                        prop_assert_eq!(accepted, None);
                        prop_assert!(store.stamps().contains(winner));
                    }
                    SubmitOutcome::Unavailable => prop_assert_eq!(accepted, None),
                    SubmitOutcome::Unknown => {}
                    SubmitOutcome::Refused { reason } => panic!("refused: {reason}"),
                }
            }
            Ok(())
        })
        .unwrap();
}

/// Submits without checking for its own attempt: it treats a lost response as a failure and
/// submits the sheet as a new update.
fn submit_naively(store: &mut FakeStore, faults: &[Fault], attempt: u128) {
    let mut faults = faults.iter().copied();
    for _ in 0..8 {
        let current = store.object.clone();
        let object = current
            .as_ref()
            .map(|object| SheetObject::from_text(&object.value).unwrap());
        let stamp = SheetStamp {
            number: object.as_ref().map_or(0, |object| object.stamp.number) + 1,
            submitted_by: "planner".to_owned(),
            attempt: Uuid::from_u128(attempt),
            unix_ms: 0,
        };
        let text = SheetObject::replacing(object.as_ref(), stamp, &sheet())
            .to_text()
            .unwrap();
        let version = current.map(|object| object.version);
        let call = StoreCall::Update {
            name: SheetObject::NAME.to_owned(),
            expected: version.map_or(Expected::Absent, Expected::Version),
            value: text,
        };
        let response = store.call(&call, faults.next().unwrap_or(Fault::None));
        if matches!(response, StoreResponse::Updated(_)) {
            return;
        }
    }
}

#[test]
fn lost_response_makes_a_naive_submitter_submit_twice_but_not_this_one() {
    let faults = [Fault::LostAfterEffect, Fault::None];
    let mut store = FakeStore::default();
    submit_naively(&mut store, &faults, 1);
    assert_eq!(store.stamps().len(), 2);

    let mut store = FakeStore::default();
    let mut submission = submission(1);
    let mut step = submission.start();
    let mut faults = [Fault::None, Fault::LostAfterEffect].into_iter();
    while let ChangeStep::Call { call, .. } = step {
        let response = store.call(&call, faults.next().unwrap_or(Fault::None));
        step = submission.receive_response(&response);
    }
    let number = 1;
    let replaced_by = None;
    assert_eq!(
        step,
        ChangeStep::Done(SubmitOutcome::Accepted {
            number,
            replaced_by
        })
    );
    assert_eq!(store.stamps().len(), 1);
}

#[test]
fn number_known_to_the_submitter_is_not_reused() {
    let mut submission = SheetSubmission::new(
        Sheet {
            number: 7,
            ..sheet()
        },
        "planner",
        Uuid::from_u128(1),
        ChangeSettings::default(),
        Now::default(),
    );
    submission.start();
    submission.receive_response(&StoreResponse::Absent);
    let step = submission.receive_response(&StoreResponse::Updated(Version(1)));
    let number = 8;
    let replaced_by = None;
    assert_eq!(
        step,
        ChangeStep::Done(SubmitOutcome::Accepted {
            number,
            replaced_by
        })
    );
}

#[test]
fn unreadable_object_is_refused_and_not_overwritten() {
    let mut submission = submission(1);
    submission.start();
    let object = Object {
        version: Version(4),
        value: "{".to_owned(),
    };
    let step = submission.receive_response(&StoreResponse::Found(object));
    assert!(matches!(
        step,
        ChangeStep::Done(SubmitOutcome::Refused { .. })
    ));
}

fn entry(index: u8) -> MarkEntry {
    MarkEntry {
        endpoint: "m1".into(),
        incarnation: Some(u64::from(index / 2)),
        mark: if index.is_multiple_of(2) {
            Mark::Leaving
        } else {
            Mark::Stop
        },
        unix_ms: 1,
        by: "operator".to_owned(),
    }
}

#[test]
fn no_mark_is_lost_despite_races_and_lost_responses() {
    runner()
        .run(&schedule(), |schedule| {
            let mut store = FakeStore::default();
            let mut changes: Vec<Change<_>> = Vec::new();
            for index in 0..4 {
                let mut mark_submission =
                    MarkSubmission::new(entry(index), ChangeSettings::default());
                changes.push(Box::new(move |response| match response {
                    None => mark_submission.start(),
                    Some(response) => mark_submission.receive_response(response),
                }));
            }
            let outcomes = run_schedule(&mut store, changes, &schedule);
            let read = |text: &String| serde_json::from_str::<Marks>(text).unwrap();
            let log: Vec<Marks> = store.log.iter().map(read).collect();
            for pair in log.windows(2) {
                let kept = pair[0].entries.iter().all(|entry| pair[1].contains(entry));
                prop_assert!(kept, "a mark was removed");
            }
            let last = log.last().cloned().unwrap_or_default();
            for (index, outcome) in (0..).zip(&outcomes) {
                match outcome {
                    MarkOutcome::Accepted { .. } => prop_assert!(last.contains(&entry(index))),
                    MarkOutcome::Unavailable => prop_assert!(!last.contains(&entry(index))),
                    MarkOutcome::Unknown => {}
                    MarkOutcome::Refused { reason } => panic!("refused: {reason}"),
                }
            }
            Ok(())
        })
        .unwrap();
}
