//! Compares the merged quarantine state with a reference implementation that evaluates all
//! reports at once.

#[path = "support/mod.rs"]
mod support;

use curranttrestle::coordination::quarantine::{
    Admission, Quarantine, QuarantineOptions, RequestDigest,
};
use curranttrestle::protocol::peer::{EndpointCrash, Suspicion, Suspicions};
use curranttrestle::state::EndpointId;
use indexmap::IndexMap;
use proptest::prelude::*;

use support::{START_UNIX_MS, deterministic_runner, now_at};

fn suspicion() -> impl Strategy<Value = Suspicion> {
    let crash =
        (0..5_000_u64, 0..3_usize, any::<bool>()).prop_map(|(ms, number, alone)| EndpointCrash {
            seen_unix_ms: START_UNIX_MS + ms,
            endpoint: EndpointId::new(&format!("m{number}")),
            alone,
        });
    let crashes = prop::collection::vec(crash, 1..5);
    let time = prop_oneof![Just(0), (0..5_000_u64).prop_map(|ms| START_UNIX_MS + ms)];
    (0..3_u8, crashes, time.clone(), time).prop_map(|(digest, crashes, cleared, finished)| {
        Suspicion {
            digest: [digest; 16],
            deaths: crashes,
            cleared_unix_ms: cleared,
            finished_unix_ms: finished,
        }
    })
}

/// Computes the admission of a request from all reports, without incremental state.
fn reference_admission(
    reports: &[Suspicion],
    digest: &RequestDigest,
    options: &QuarantineOptions,
) -> Admission {
    let matching: Vec<&Suspicion> = reports
        .iter()
        .filter(|report| report.digest == *digest)
        .collect();
    let cleared = matching
        .iter()
        .map(|report| report.cleared_unix_ms)
        .max()
        .unwrap_or_default();
    let has_finished = matching.iter().any(|report| report.finished_unix_ms > 0);
    let mut crashes: Vec<&EndpointCrash> =
        matching.iter().flat_map(|report| &report.deaths).collect();
    crashes.retain(|crash| crash.seen_unix_ms > cleared);
    crashes.sort();
    let mut counted: IndexMap<&EndpointId, Vec<u64>> = IndexMap::new();
    for crash in &crashes {
        let seen = counted.entry(&crash.endpoint).or_default();
        if seen
            .iter()
            .all(|first| crash.seen_unix_ms > first + options.crash_dedup_ms)
        {
            seen.push(crash.seen_unix_ms);
        }
    }
    let count: usize = counted.values().map(Vec::len).sum();
    match count {
        0 => Admission::Unrestricted,
        _ if crashes.iter().any(|crash| crash.alone) => Admission::Refused,
        1 if has_finished => Admission::Unrestricted,
        1 => Admission::Exclusive,
        _ if has_finished => Admission::Exclusive,
        _ => Admission::Refused,
    }
}

#[test]
fn merged_state_does_not_depend_on_the_order_of_reports() {
    let all = prop::collection::vec(suspicion(), 1..6).prop_shuffle();
    deterministic_runner(512)
        .run(&all, |reports| {
            let options = QuarantineOptions::default();
            let now = now_at(6_000);
            let mut forward = Quarantine::new(options);
            let mut backward = Quarantine::new(options);
            for report in &reports {
                forward.receive(
                    &Suspicions {
                        suspects: vec![report.clone()],
                    },
                    now,
                );
            }
            for report in reports.iter().rev().chain(&reports) {
                backward.receive(
                    &Suspicions {
                        suspects: vec![report.clone()],
                    },
                    now,
                );
            }
            for digest in [[0; 16], [1; 16], [2; 16]] {
                let expected = reference_admission(&reports, &digest, &options);
                prop_assert_eq!(forward.admission(&digest, now), expected);
                prop_assert_eq!(backward.admission(&digest, now), expected);
                // All reports expire after `refuse_ms`.
                let later = now.plus_ms(options.refuse_ms);
                prop_assert_eq!(forward.admission(&digest, later), Admission::Unrestricted);
            }
            Ok(())
        })
        .unwrap();
}
