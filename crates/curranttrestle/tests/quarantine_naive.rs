//! What is known of suspected requests, against a naive version.

#[path = "support/mod.rs"]
mod support;

use curranttrestle::coordination::quarantine::{
    Admission, Quarantine, QuarantineOptions, RequestDigest,
};
use curranttrestle::protocol::peer::{EndpointDeath, Suspicion, Suspicions};
use curranttrestle::state::EndpointId;
use indexmap::IndexMap;
use proptest::prelude::*;

use support::{START_UNIX_MS, at, runner};

fn suspicion() -> impl Strategy<Value = Suspicion> {
    let death =
        (0..5_000_u64, 0..3_usize, any::<bool>()).prop_map(|(ms, number, alone)| EndpointDeath {
            seen_unix_ms: START_UNIX_MS + ms,
            endpoint: EndpointId::new(&format!("m{number}")),
            alone,
        });
    let deaths = prop::collection::vec(death, 1..5);
    let time = prop_oneof![Just(0), (0..5_000_u64).prop_map(|ms| START_UNIX_MS + ms)];
    (0..3_u8, deaths, time.clone(), time).prop_map(|(digest, deaths, cleared, finished)| {
        Suspicion {
            digest: [digest; 16],
            deaths,
            cleared_unix_ms: cleared,
            finished_unix_ms: finished,
        }
    })
}

/// The verdict from all that was ever said, read anew each time.
fn naive_admission(
    said: &[Suspicion],
    digest: &RequestDigest,
    options: &QuarantineOptions,
) -> Admission {
    let about: Vec<&Suspicion> = said.iter().filter(|said| said.digest == *digest).collect();
    let cleared = about
        .iter()
        .map(|said| said.cleared_unix_ms)
        .max()
        .unwrap_or_default();
    let has_finished = about.iter().any(|said| said.finished_unix_ms > 0);
    let mut deaths: Vec<&EndpointDeath> = about.iter().flat_map(|said| &said.deaths).collect();
    deaths.retain(|death| death.seen_unix_ms > cleared);
    deaths.sort();
    let mut counted: IndexMap<&EndpointId, Vec<u64>> = IndexMap::new();
    for death in &deaths {
        let seen = counted.entry(&death.endpoint).or_default();
        if seen
            .iter()
            .all(|first| death.seen_unix_ms > first + options.same_death_ms)
        {
            seen.push(death.seen_unix_ms);
        }
    }
    let count: usize = counted.values().map(Vec::len).sum();
    match count {
        0 => Admission::Free,
        _ if deaths.iter().any(|death| death.alone) => Admission::Refused,
        1 if has_finished => Admission::Free,
        1 => Admission::Alone,
        _ if has_finished => Admission::Alone,
        _ => Admission::Refused,
    }
}

#[test]
fn what_is_known_does_not_depend_on_the_order_in_which_it_comes() {
    let all = prop::collection::vec(suspicion(), 1..6).prop_shuffle();
    runner(512)
        .run(&all, |said| {
            let options = QuarantineOptions::default();
            let now = at(6_000);
            let mut forward = Quarantine::new(options);
            let mut backward = Quarantine::new(options);
            for one in &said {
                forward.receive(
                    &Suspicions {
                        suspects: vec![one.clone()],
                    },
                    now,
                );
            }
            for one in said.iter().rev().chain(&said) {
                backward.receive(
                    &Suspicions {
                        suspects: vec![one.clone()],
                    },
                    now,
                );
            }
            for digest in [[0; 16], [1; 16], [2; 16]] {
                let expected = naive_admission(&said, &digest, &options);
                prop_assert_eq!(forward.admission(&digest, now), expected);
                prop_assert_eq!(backward.admission(&digest, now), expected);
                // It is forgotten in the end.
                let later = now.plus_ms(options.refuse_ms);
                prop_assert_eq!(forward.admission(&digest, later), Admission::Free);
            }
            Ok(())
        })
        .unwrap();
}
