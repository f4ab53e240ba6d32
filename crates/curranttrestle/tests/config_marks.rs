//! Adding a mark removes the marks of endpoints that the sheet no longer names, and no others.

mod support;

use std::collections::BTreeSet;

use curranttrestle::coordination::config::{
    ChangeSettings, ChangeStep, MarkOutcome, MarkSubmission, SheetSubmission, SubmitOutcome,
};
use curranttrestle::protocol::platform::{Expected, Object, StoreCall, StoreResponse, Version};
use curranttrestle::state::marks::{Mark, MarkEntry, Marks};
use curranttrestle::state::sheet::{Sheet, SheetObject, read_sheet};
use curranttrestle::state::{EndpointId, Now};
use indexmap::IndexMap;
use proptest::prelude::*;
use uuid::Uuid;

use support::deterministic_runner;

/// A store without faults.
#[derive(Default)]
struct FakeStore {
    objects: IndexMap<String, Object>,
}

impl FakeStore {
    fn call(&mut self, call: &StoreCall) -> StoreResponse {
        match call {
            StoreCall::Read { name } => {
                let object = self.objects.get(name).cloned();
                object.map_or(StoreResponse::Absent, StoreResponse::Found)
            }
            StoreCall::Update {
                name,
                expected,
                value,
            } => self.update(name, *expected, value),
            other => panic!("unexpected call {other:?}"),
        }
    }

    fn update(&mut self, name: &str, expected: Expected, value: &str) -> StoreResponse {
        let version = self.objects.get(name).map(|object| object.version);
        let expected_version = match expected {
            Expected::Absent => None,
            Expected::Version(version) => Some(version),
        };
        if version != expected_version {
            return StoreResponse::Conflict;
        }
        let version = Version(version.map_or(1, |version| version.0 + 1));
        let value = value.to_owned();
        let object = Object { version, value };
        self.objects.insert(name.to_owned(), object);
        StoreResponse::Updated(version)
    }

    fn marked_endpoints(&self) -> BTreeSet<EndpointId> {
        let Some(object) = self.objects.get(Marks::NAME) else {
            return BTreeSet::new();
        };
        let marks: Marks = serde_json::from_str(&object.value).unwrap();
        marks
            .entries
            .into_iter()
            .map(|entry| entry.endpoint)
            .collect()
    }

    fn sheet_endpoints(&self) -> BTreeSet<EndpointId> {
        let Some(object) = self.objects.get(SheetObject::NAME) else {
            return BTreeSet::new();
        };
        let object = SheetObject::from_text(&object.value).unwrap();
        object.sheet.endpoints.keys().cloned().collect()
    }

    fn submit(&mut self, endpoints: &BTreeSet<usize>, attempt: u128) {
        let attempt = Uuid::from_u128(attempt);
        let settings = ChangeSettings::default();
        let sheet = sheet(endpoints);
        let mut submission =
            SheetSubmission::new(sheet, "planner", attempt, settings, Now::default());
        let mut step = submission.start();
        while let ChangeStep::Call { call, .. } = step {
            step = submission.receive_response(&self.call(&call));
        }
        assert!(matches!(
            step,
            ChangeStep::Done(SubmitOutcome::Accepted { .. })
        ));
    }

    fn mark(&mut self, endpoint: &str) {
        let mut submission = mark_submission(endpoint.into());
        let mut step = submission.start();
        while let ChangeStep::Call { call, .. } = step {
            step = submission.receive_response(&self.call(&call));
        }
        assert!(matches!(
            step,
            ChangeStep::Done(MarkOutcome::Accepted { .. })
        ));
    }
}

fn endpoint(number: usize) -> EndpointId {
    EndpointId::new(&format!("m{number}"))
}

fn sheet(endpoints: &BTreeSet<usize>) -> Sheet {
    let mut lines = vec![
        format!("customer,atelier,1,{},", "ab".repeat(32)),
        "operation,answer,chat,yes,0,10".to_owned(),
    ];
    lines.extend(endpoints.iter().map(|number| {
        let port = 1_000 + number;
        format!("endpoint,m{number},chat,model,rennes,10.0.0.1:{port},8,yes,no")
    }));
    let text = lines.join("\n");
    read_sheet("sheet.csv", text.as_bytes()).unwrap()
}

fn mark_submission(endpoint: EndpointId) -> MarkSubmission {
    let entry = MarkEntry {
        endpoint,
        incarnation: None,
        mark: Mark::Leaving,
        unix_ms: 0,
        by: "operator".to_owned(),
    };
    // Conflicts count as failures too, and must not end a change here.
    let settings = ChangeSettings {
        max_failures: 1_000,
        ..ChangeSettings::default()
    };
    MarkSubmission::new(entry, settings)
}

#[test]
fn marks_object_stays_small_as_endpoints_are_replaced() {
    let mut store = FakeStore::default();
    for day in 0..300 {
        store.submit(&(day..day + 3).collect(), day as u128 + 1);
        store.mark(endpoint(day).as_str());
        assert!(store.marked_endpoints().len() <= 2, "day {day}");
        assert!(store.marked_endpoints().contains(&endpoint(day)));
    }
}

#[test]
fn marks_are_kept_without_a_sheet() {
    let mut store = FakeStore::default();
    store.mark("m1");
    store.mark("m2");
    assert_eq!(store.marked_endpoints().len(), 2);
}

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Action {
    /// Submits a sheet with these endpoints.
    Submit(BTreeSet<usize>),
    /// Starts to mark an endpoint, if the sheet names it.
    StartMark(usize),
    /// Performs the next call of a change in progress.
    Advance(usize),
}

fn any_action() -> impl Strategy<Value = Action> {
    prop_oneof![
        1 => prop::collection::btree_set(0_usize..6, 1..6).prop_map(Action::Submit),
        2 => (0_usize..6).prop_map(Action::StartMark),
        6 => any::<usize>().prop_map(Action::Advance),
    ]
}

/// Changes in progress, each with its endpoint and next step.
type InProgress = Vec<(EndpointId, MarkSubmission, ChangeStep<MarkOutcome>)>;

/// Performs the next call of a change. Returns its endpoint once the mark is accepted.
fn advance(
    store: &mut FakeStore,
    in_progress: &mut InProgress,
    index: usize,
) -> Option<EndpointId> {
    let count = in_progress.len();
    let (_, submission, step) = in_progress.get_mut(index.checked_rem(count)?)?;
    let ChangeStep::Call { call, .. } = &*step else {
        return None;
    };
    *step = submission.receive_response(&store.call(call));
    if let ChangeStep::Call { .. } = step {
        return None;
    }
    let (endpoint, _, step) = in_progress.swap_remove(index % count);
    assert!(matches!(
        step,
        ChangeStep::Done(MarkOutcome::Accepted { .. })
    ));
    Some(endpoint)
}

#[test]
fn mark_is_kept_while_the_sheet_names_its_endpoint() {
    deterministic_runner(200)
        .run(&prop::collection::vec(any_action(), 1..120), |actions| {
            let mut store = FakeStore::default();
            store.submit(&(0..6).collect(), 1);
            let mut in_progress = InProgress::new();
            // The marked endpoints that every sheet since has named.
            let mut required_marks = BTreeSet::new();
            for (number, next) in actions.into_iter().enumerate() {
                match next {
                    Action::Submit(endpoints) => store.submit(&endpoints, number as u128 + 2),
                    Action::StartMark(number)
                        if store.sheet_endpoints().contains(&endpoint(number)) =>
                    {
                        let mut submission = mark_submission(endpoint(number));
                        let step = submission.start();
                        in_progress.push((endpoint(number), submission, step));
                    }
                    Action::StartMark(_) => {}
                    Action::Advance(index) => {
                        required_marks.extend(advance(&mut store, &mut in_progress, index));
                    }
                }
                required_marks = &required_marks & &store.sheet_endpoints();
                prop_assert!(required_marks.is_subset(&store.marked_endpoints()));
            }
            Ok(())
        })
        .unwrap();
}
