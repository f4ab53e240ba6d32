//! Adding marks removes those of endpoints that the sheet no longer names, and no others.

mod support;

use std::collections::BTreeSet;

use curranttrestle::coordination::config::{
    ChangeSettings, MarkOutcome, Marking, Step, Submission, SubmitOutcome,
};
use curranttrestle::protocol::platform::{Expected, Object, StoreAnswer, StoreCall, Version};
use curranttrestle::state::marks::{Mark, MarkEntry, Marks};
use curranttrestle::state::sheet::{Sheet, SheetObject, read_sheet};
use curranttrestle::state::{EndpointId, Now};
use indexmap::IndexMap;
use proptest::prelude::*;
use uuid::Uuid;

use support::runner;

/// A store that never fails.
#[derive(Default)]
struct FakeStore {
    objects: IndexMap<String, Object>,
}

impl FakeStore {
    fn call(&mut self, call: &StoreCall) -> StoreAnswer {
        match call {
            StoreCall::Read { name } => {
                let object = self.objects.get(name).cloned();
                object.map_or(StoreAnswer::Absent, StoreAnswer::Found)
            }
            StoreCall::Update {
                name,
                expected,
                value,
            } => self.update(name, *expected, value),
            other => panic!("{other:?} is not expected"),
        }
    }

    fn update(&mut self, name: &str, expected: Expected, value: &str) -> StoreAnswer {
        let version = self.objects.get(name).map(|object| object.version);
        let wanted = match expected {
            Expected::Absent => None,
            Expected::Version(version) => Some(version),
        };
        if version != wanted {
            return StoreAnswer::Conflict;
        }
        let version = Version(version.map_or(1, |version| version.0 + 1));
        let value = value.to_owned();
        let object = Object { version, value };
        self.objects.insert(name.to_owned(), object);
        StoreAnswer::Updated(version)
    }

    fn marked(&self) -> BTreeSet<EndpointId> {
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

    fn named(&self) -> BTreeSet<EndpointId> {
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
        let mut submission = Submission::new(sheet, "planner", attempt, settings, Now::default());
        let mut step = submission.start();
        while let Step::Call { call, .. } = step {
            step = submission.answer(&self.call(&call));
        }
        assert!(matches!(step, Step::Done(SubmitOutcome::Accepted { .. })));
    }

    fn mark(&mut self, endpoint: &str) {
        let mut marking = marking(endpoint.into());
        let mut step = marking.start();
        while let Step::Call { call, .. } = step {
            step = marking.answer(&self.call(&call));
        }
        assert!(matches!(step, Step::Done(MarkOutcome::Accepted { .. })));
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

fn marking(endpoint: EndpointId) -> Marking {
    let entry = MarkEntry {
        endpoint,
        incarnation: None,
        mark: Mark::Leaving,
        unix_ms: 0,
        by: "operator".to_owned(),
    };
    // Conflicts are not failures of the store, but they count.
    let settings = ChangeSettings {
        most_failures: 1_000,
        ..ChangeSettings::default()
    };
    Marking::new(entry, settings)
}

#[test]
fn the_object_never_fills_when_endpoints_come_and_go() {
    let mut store = FakeStore::default();
    for day in 0..300 {
        store.submit(&(day..day + 3).collect(), day as u128 + 1);
        store.mark(endpoint(day).as_str());
        assert!(store.marked().len() <= 2, "day {day}");
        assert!(store.marked().contains(&endpoint(day)));
    }
}

#[test]
fn without_a_sheet_no_mark_is_removed() {
    let mut store = FakeStore::default();
    store.mark("m1");
    store.mark("m2");
    assert_eq!(store.marked().len(), 2);
}

/// What happens next in a run.
#[derive(Clone, Debug)]
enum Move {
    /// A sheet that names these endpoints is accepted.
    Submit(BTreeSet<usize>),
    /// An operator begins to mark an endpoint that the sheet names.
    Begin(usize),
    /// One of the changes under way makes its next call.
    Step(usize),
}

fn any_move() -> impl Strategy<Value = Move> {
    prop_oneof![
        1 => prop::collection::btree_set(0_usize..6, 1..6).prop_map(Move::Submit),
        2 => (0_usize..6).prop_map(Move::Begin),
        6 => any::<usize>().prop_map(Move::Step),
    ]
}

/// Changes under way, each with its endpoint and next step.
type UnderWay = Vec<(EndpointId, Marking, Step<MarkOutcome>)>;

/// Makes the next call of a change; returns its endpoint when the mark is accepted.
fn advance(store: &mut FakeStore, under_way: &mut UnderWay, index: usize) -> Option<EndpointId> {
    let count = under_way.len();
    let (_, marking, step) = under_way.get_mut(index.checked_rem(count)?)?;
    let Step::Call { call, .. } = &*step else {
        return None;
    };
    *step = marking.answer(&store.call(call));
    if let Step::Call { .. } = step {
        return None;
    }
    let (endpoint, _, step) = under_way.swap_remove(index % count);
    assert!(matches!(step, Step::Done(MarkOutcome::Accepted { .. })));
    Some(endpoint)
}

#[test]
fn a_mark_stays_while_the_sheet_names_its_endpoint() {
    runner(200)
        .run(&prop::collection::vec(any_move(), 1..120), |moves| {
            let mut store = FakeStore::default();
            store.submit(&(0..6).collect(), 1);
            let mut under_way = UnderWay::new();
            // Endpoints marked and named by every sheet since.
            let mut must_stay = BTreeSet::new();
            for (number, next) in moves.into_iter().enumerate() {
                match next {
                    Move::Submit(endpoints) => store.submit(&endpoints, number as u128 + 2),
                    Move::Begin(number) if store.named().contains(&endpoint(number)) => {
                        let mut marking = marking(endpoint(number));
                        let step = marking.start();
                        under_way.push((endpoint(number), marking, step));
                    }
                    Move::Begin(_) => {}
                    Move::Step(index) => {
                        must_stay.extend(advance(&mut store, &mut under_way, index));
                    }
                }
                must_stay = &must_stay & &store.named();
                prop_assert!(must_stay.is_subset(&store.marked()));
            }
            Ok(())
        })
        .unwrap();
}
