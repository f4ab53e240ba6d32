//! Tests of parsing, writing and comparing sheets.

use std::fmt::Write as _;

use curranttrestle::state::sheet::{
    KeyDigest, Sheet, SheetDiff, SheetObject, SheetStamp, read_sheet, write_csv,
};
use indexmap::IndexMap;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use uuid::Uuid;

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]))
}

fn digest(key: &str) -> String {
    hex::encode(KeyDigest::of(key).0)
}

fn small_sheet() -> String {
    let (first, second) = (digest("first"), digest("second"));
    format!(
        "customer,name,share,key_digest,queue_limit\n\
         customer,atelier,3,{first},50\n\
         customer,pompiers,1,{second},\n\
         operation,answer,chat,yes,1,200.5\n\
         operation,book,desk,no,0,30\n\
         endpoint,m1,chat,model,rennes,10.0.0.1:80,8,yes,no\n\
         endpoint,d1,desk,service,brest,10.0.0.2:80,4,no,yes\n"
    )
}

fn read_findings(text: &str) -> Vec<String> {
    let findings = read_sheet("sheet.csv", text.as_bytes()).unwrap_err();
    findings.0.iter().map(ToString::to_string).collect()
}

#[test]
fn spreadsheet_export_parses_like_plain_csv() {
    let plain = read_sheet("sheet.csv", small_sheet().as_bytes()).unwrap();
    let mut export = String::from("\u{feff}# Feuille du matin, exportée;;;\r\n;;;\r\n\r\n");
    for line in small_sheet().lines() {
        let line = line.replace("200.5", "200,5;");
        let cells: Vec<&str> = if line.contains("200,5") {
            vec!["operation", "answer", "chat", "yes", "1", "200,5"]
        } else {
            line.split(',').collect()
        };
        writeln!(export, "\"{}\";;;\r", cells.join("\";\"")).unwrap();
    }
    assert_eq!(
        read_sheet("sheet.csv", export.as_bytes()),
        Ok(plain.clone())
    );
    let tabs = small_sheet().replace(',', "\t");
    assert_eq!(read_sheet("sheet.csv", tabs.as_bytes()), Ok(plain.clone()));
    assert_eq!(plain.customers[0].queue_limit_or(200), 50);
    assert_eq!(plain.customers[1].queue_limit_or(200), 200);
}

#[test]
fn header_sets_column_order() {
    let key = digest("first");
    let reordered = small_sheet().replace(
        &format!("customer,atelier,3,{key},50"),
        &format!("customer,share,name,key_digest\ncustomer,3,atelier,{key}"),
    );
    let reordered = reordered.replace("customer,pompiers,1,", "customer,1,pompiers,");
    let sheet = read_sheet("sheet.csv", reordered.as_bytes()).unwrap();
    assert_eq!(sheet.customers.keys().next().unwrap().as_str(), "atelier");
    assert_eq!(sheet.customers[0].share, 3);
}

#[test]
fn all_findings_are_reported_together_with_line_and_column() {
    let key = digest("first");
    let text = format!(
        "# comment\n\
         \n\
         customer,atelier,0,{key},50,stray\n\
         customer,atelier,2,{key},x\n\
         customer,l'eau,2,12,\n\
         tenant,a,b\n\
         operation,book,desk,maybe,300,-1\n\
         operation,book,nowhere,no,3,1\n\
         endpoint,m1,chat,model,rennes,10.0.0.1,8,yes,no\n\
         endpoint,m2,chat,service,rennes,10.0.0.2:80,0\n\
         endpoint,m3,desk,service,rennes,10.0.0.2:80,1,perhaps,no\n\
         endpoint,m4,desk,service\n"
    );
    let expected = [
        "sheet.csv:3:3 (share): must be from 1 to 1000000, not \"0\"",
        "sheet.csv:3:6: \"stray\" belongs to no column",
        "sheet.csv:4:2 (name): duplicates the value in line 3",
        "sheet.csv:4:4 (key_digest): duplicates the value in line 3",
        "sheet.csv:4:5 (queue_limit): must be from 1 to 1000000, not \"x\"",
        "sheet.csv:5:2 (name): \"l'eau\" may only contain letters, digits, '-', '_' and '.'",
        "sheet.csv:5:4 (key_digest): must be a SHA-256 digest: 64 hexadecimal digits",
        "sheet.csv:6:1 (kind): \"tenant\" is not customer, operation or endpoint",
        "sheet.csv:7:4 (idempotent): must be yes or no, not \"maybe\"",
        "sheet.csv:7:5 (priority): must be from 0 to 255, not \"300\"",
        "sheet.csv:7:6 (expected_cost): must be above 0 and at most 1000000000, not \"-1\"",
        "sheet.csv:8:2 (name): duplicates the value in line 7",
        "sheet.csv:8:3 (pool): no endpoint belongs to pool \"nowhere\"",
        "sheet.csv:9:6 (address): \"10.0.0.1\" is not an address of the form IP:port with a \
         specific IP address and a port above 0",
        "sheet.csv:10:4 (kind): \"service\" differs from \"model\" in line 9, the kind of pool chat",
        "sheet.csv:10:7 (slots): must be from 1 to 10000, not \"0\"",
        "sheet.csv:11:6 (address): duplicates the value in line 10",
        "sheet.csv:11:8 (checks_fencing): must be yes or no, not \"perhaps\"",
        "sheet.csv:12:5 (data_centre): is missing",
        "sheet.csv:12:6 (address): is missing",
        "sheet.csv:12:7 (slots): is missing",
    ];
    assert_eq!(read_findings(&text), expected);
}

#[test]
fn invalid_inputs_are_reported_as_findings() {
    let empty = [
        "sheet.csv: has no customer rows",
        "sheet.csv: has no operation rows",
        "sheet.csv: has no endpoint rows",
    ];
    assert_eq!(read_findings(""), empty);
    assert!(read_findings(&"#".repeat(1_000_001))[0].contains("the limit is 1000000"));
    let utf16 = read_sheet("sheet.csv", b"\xFF\xFEc\0").unwrap_err();
    assert!(utf16.to_string().contains("UTF-16"));
    let latin1 = read_sheet("sheet.csv", b"customer,caf\xE9,1\n").unwrap_err();
    assert!(
        latin1
            .to_string()
            .contains("sheet.csv:1:2: is not valid UTF-8")
    );
    let open_quote = read_findings("# note,\"open\ncustomer,a,1\n");
    assert!(
        open_quote
            .iter()
            .any(|line| line.contains("closing quote missing"))
    );
    let wrong_header = read_findings("customer,name,shares,name\n");
    assert!(
        wrong_header
            .iter()
            .any(|line| line.contains("1:3 (shares): unknown column"))
    );
    assert!(
        wrong_header
            .iter()
            .any(|line| line.contains("1:4 (name): duplicate column"))
    );
}

#[test]
fn sheet_too_large_for_the_store_is_reported() {
    let mut text = small_sheet();
    for index in 0..11_000 {
        writeln!(text, "customer,c{index},1,{},", digest(&index.to_string())).unwrap();
    }
    assert!(text.len() < 1_000_000);
    let found = read_findings(&text);
    assert_eq!(found.len(), 1);
    assert!(found[0].contains("bytes in the store"), "{found:?}");
}

#[test]
fn parser_does_not_panic_on_arbitrary_bytes() {
    let any_bytes = prop::collection::vec(any::<u8>(), 0..400);
    runner(300)
        .run(&any_bytes, |bytes| {
            let _ = read_sheet("sheet.csv", &bytes);
            Ok(())
        })
        .unwrap();
    let mutation = (
        any::<prop::sample::Index>(),
        any::<prop::sample::Index>(),
        ".{0,4}",
    );
    runner(300)
        .run(&prop::collection::vec(mutation, 0..5), |mutations| {
            let mut bytes = small_sheet().into_bytes();
            for (start, length, text) in mutations {
                let start = start.index(bytes.len());
                let end = (start + length.index(9)).min(bytes.len());
                bytes.splice(start..end, text.bytes());
                bytes.push(b'\n');
            }
            if let Ok(sheet) = read_sheet("sheet.csv", &bytes) {
                let again = read_sheet("sheet.csv", write_csv(&sheet).as_bytes());
                prop_assert_eq!(again, Ok(sheet));
            }
            Ok(())
        })
        .unwrap();
}

/// Generates a sheet with a random subset of ten customers, operations and endpoints, in random
/// order.
fn any_sheet() -> impl Strategy<Value = Sheet> {
    let rows = || prop::collection::vec((0..10u16, 1..4u32), 0..10);
    (rows(), rows(), rows(), 1..100u64).prop_map(|(customers, operations, endpoints, number)| {
        let mut text = small_sheet();
        let mut push = |line: String| writeln!(text, "{line}").unwrap();
        for (index, share) in customers.into_iter().collect::<IndexMap<_, _>>() {
            push(format!(
                "customer,c{index},{share},{},",
                digest(&index.to_string())
            ));
        }
        for (index, cost) in operations.into_iter().collect::<IndexMap<_, _>>() {
            push(format!("operation,o{index},chat,yes,0,{cost}.7"));
        }
        for (index, slots) in endpoints.into_iter().collect::<IndexMap<_, _>>() {
            push(format!(
                "endpoint,e{index},chat,model,vannes,10.0.1.{index}:80,{slots},no,no"
            ));
        }
        let sheet = read_sheet("sheet.csv", text.as_bytes()).unwrap();
        Sheet { number, ..sheet }
    })
}

#[test]
fn diff_applied_to_old_sheet_gives_new_sheet() {
    runner(300)
        .run(
            &(any_sheet(), any_sheet(), any_sheet()),
            |(old, new, other)| {
                let diff = SheetDiff::between(&old, &new);
                let bytes = postcard::to_stdvec(&diff).unwrap();
                let received: SheetDiff = postcard::from_bytes(&bytes).unwrap();
                let outcome = received.apply(&old);
                prop_assert_eq!(outcome.as_ref(), Ok(&new));
                // Compare the order as well, which map equality ignores.
                let names = |sheet: &Sheet| sheet.customers.keys().cloned().collect::<Vec<_>>();
                prop_assert_eq!(names(&outcome.unwrap()), names(&new));
                if let Ok(wrong) = received.apply(&other) {
                    prop_assert_eq!(wrong.digest(), new.digest());
                }
                Ok(())
            },
        )
        .unwrap();
}

#[test]
fn diff_report_has_one_line_per_row() {
    let old = read_sheet("sheet.csv", small_sheet().as_bytes()).unwrap();
    let text = small_sheet().replace("atelier,3", "atelier,5").replace(
        "operation,book,desk,no,0,30\n",
        "operation,stock,desk,yes,2,10\n",
    );
    let new = read_sheet("sheet.csv", text.as_bytes()).unwrap();
    let diff = SheetDiff::between(&old, &new);
    assert_eq!(
        diff.report(&old).to_string(),
        "~ customer atelier share=3->5\n\
         - operation book\n\
         + operation stock pool=desk idempotent=yes priority=2 expected_cost=10\n"
    );
    let none = SheetDiff::between(&old, &old);
    assert_eq!(none.report(&old).to_string(), "no changes\n");
}

#[test]
fn stored_object_keeps_sheet_and_history() {
    let sheet = read_sheet("sheet.csv", small_sheet().as_bytes()).unwrap();
    let stamp = |number| SheetStamp {
        number,
        submitted_by: "planner".to_owned(),
        attempt: Uuid::from_u128(u128::from(number)),
        unix_ms: 5,
    };
    let mut object = SheetObject::replacing(None, stamp(1), &sheet);
    for number in 2..=40 {
        object = SheetObject::replacing(Some(&object), stamp(number), &sheet);
    }
    let text = object.to_text().unwrap();
    let read = SheetObject::from_text(&text).unwrap();
    assert_eq!(read, object);
    assert_eq!(read.sheet.digest(), object.sheet.digest());
    assert_eq!(read.sheet.number, 40);
    assert_eq!(
        read.stamp_of_attempt(Uuid::from_u128(39)).unwrap().number,
        39
    );
    assert!(read.stamp_of_attempt(Uuid::from_u128(1)).is_none());
    assert!(SheetObject::from_text(&text.replace("\"share\":3", "\"share\":0")).is_err());
    assert!(SheetObject::from_text("{}").is_err());
}
