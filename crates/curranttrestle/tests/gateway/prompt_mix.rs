//! Checks from the callers' side how many long and short requests begin within their targets when
//! engines serve both.

use curranttrestle::coordination::gateway::prompt_mix::Steering;
use curranttrestle::state::gateway::EndpointEntry;

use super::mixed_load::{Fleet, HURRIED_LONG, Kind, LONG, MEDIUM, NO_FAULT, ON, SHORT, simulate};
use super::support::entry;

/// The part of the requests that must begin within their target: 95 % of those that the engines
/// have capacity for.
fn required(load: f64) -> f64 {
    0.95 * (1.0 / load).min(1.0)
}

/// Checks a mix at 60, 85 and 110 % of the prefill capacity. The shared prompts that engines
/// prefill again come on top. Without the module, too few short requests begin in time from the load
/// `fails_from`.
fn check_mix(label: &str, kinds: [Kind; 2], fails_from: f64) {
    for load in [0.6, 0.85, 1.1] {
        let label = format!("{label} | {load}");
        let off = simulate(&label, kinds, None, |_| load, NO_FAULT);
        let on = simulate(&label, kinds, ON(), |_| load, NO_FAULT);
        assert_eq!(off.effects, 0);
        let required = required(load);
        assert!(on.short >= required, "{label}: {} short", on.short);
        assert!(
            off.short < required || load < fails_from,
            "{label}: {}",
            off.short
        );
        // Long requests may lose at most a tenth, and never starve.
        assert!(
            on.long >= off.long - 0.1,
            "{label}: {}, {}",
            on.long,
            off.long
        );
        assert!(on.long >= required / 3.0, "{label}: {} long", on.long);
        assert!(
            load > 0.6 || on.long >= required,
            "{label}: {} long",
            on.long
        );
    }
}

/// Guards against short prompts that miss their target behind long ones which could wait.
#[test]
fn short_prompts_with_the_shorter_target_begin_in_time_beside_long_ones() {
    check_mix(
        "172 + 543 in 300 ms, 6,300 + 2,890 in 600 ms",
        [LONG, SHORT],
        0.85,
    );
}

#[test]
fn medium_prompts_begin_in_time_beside_long_ones() {
    check_mix(
        "568 + 1,800 in 400 ms, 6,300 + 2,890 in 500 ms",
        [HURRIED_LONG, MEDIUM],
        1.1,
    );
}

/// Guards against a preference for short prompts whatever their target: here the long ones have
/// less time to spare.
#[test]
fn long_prompts_with_the_shorter_target_are_not_delayed_further() {
    let kinds = [
        Kind {
            target_ms: 300,
            ..LONG
        },
        Kind {
            target_ms: 1_000,
            ..SHORT
        },
    ];
    for load in [0.6, 0.85, 1.1] {
        let label = format!("172 + 543 in 1,000 ms, 6,300 + 2,890 in 300 ms | {load}");
        let off = simulate(&label, kinds, None, |_| load, NO_FAULT);
        let on = simulate(&label, kinds, ON(), |_| load, NO_FAULT);
        assert!(on.short >= required(load), "{label}: {} short", on.short);
        assert!(
            on.long >= off.long - 0.05,
            "{label}: {}, {}",
            on.long,
            off.long
        );
        assert!(on.long >= required(load) / 3.0, "{label}: {} long", on.long);
    }
}

/// Guards against long prompts that are shut out by a backlog of short ones.
#[test]
fn long_prompts_do_not_starve_when_short_ones_alone_are_most_of_an_overload() {
    let kinds = [
        Kind {
            token_fraction: 0.4,
            ..LONG
        },
        Kind {
            token_fraction: 0.6,
            events: (5, 10),
            ..SHORT
        },
    ];
    let on = simulate("mostly short | 1.1", kinds, ON(), |_| 1.1, NO_FAULT);
    assert!(on.long >= required(1.1) / 3.0, "{} long", on.long);
    assert!(on.short >= required(1.1) / 3.0, "{} short", on.short);
}

#[test]
fn both_kinds_are_served_while_demand_rises_and_falls() {
    let phases = [0.5, 0.8, 1.1, 0.8, 0.5];
    let load = |now_ms: u64| phases[usize::try_from(now_ms / 3_000 % 5).unwrap()];
    let mean_required = phases.map(required).iter().sum::<f64>() / 5.0;
    let off = simulate("0.5 to 1.1 | 0.74", [LONG, SHORT], None, load, NO_FAULT);
    let on = simulate("0.5 to 1.1 | 0.74", [LONG, SHORT], ON(), load, NO_FAULT);
    assert!(on.short >= mean_required, "{} short", on.short);
    assert!(off.short < mean_required, "{} short without", off.short);
    assert!(
        on.long >= off.long - 0.1,
        "{}, {} without",
        on.long,
        off.long
    );
}

#[test]
fn both_kinds_begin_in_time_when_an_engine_is_lost_or_a_gateway_is_cut_off() {
    let lost = |fleet: &mut Fleet| fleet.lose_engine(3);
    let cut_off = |fleet: &mut Fleet| fleet.cut_off = Some(2);
    let outcomes = [
        simulate("engine lost | 0.7", [LONG, SHORT], ON(), |_| 0.7, lost),
        simulate(
            "gateway cut off | 0.7",
            [LONG, SHORT],
            ON(),
            |_| 0.7,
            cut_off,
        ),
    ];
    for outcome in outcomes {
        assert!(outcome.short >= required(0.7), "{} short", outcome.short);
        assert!(outcome.long >= required(0.7), "{} long", outcome.long);
    }
}

/// Guards against changed decisions where nothing calls for them: one kind, or long prompts whose
/// prefill is a small part of all targets.
#[test]
fn nothing_changes_unless_long_prompts_take_a_large_part_of_a_target() {
    let alike = Kind {
        token_fraction: 0.5,
        ..LONG
    };
    let patient = [LONG, SHORT].map(|kind| Kind {
        target_ms: 2_000,
        ..kind
    });
    for kinds in [[alike, alike], patient] {
        let on = simulate("not mixed | 0.6", kinds, ON(), |_| 0.6, NO_FAULT);
        assert_eq!(on.effects, 0);
    }
}

/// Guards against a refusal while an idle engine exists that is not among the top-ranked ones.
#[test]
fn an_idle_engine_takes_a_request_that_would_be_refused_elsewhere() {
    let steering = Steering {
        max_wait_ms: 50.0,
        widen_wait_ms: f64::INFINITY,
        further_candidates: 4,
        seed: 0,
    };
    let entries: Vec<EndpointEntry> = (0..9).map(|index| entry("model", index)).collect();
    let ranked: Vec<(u64, &EndpointEntry)> = (0..).zip(&entries).collect();
    for idle in [0, 7] {
        let is_idle = |entry: &EndpointEntry| entry == &entries[idle];
        let wait_ms = |entry: &EndpointEntry| if is_idle(entry) { 0.0 } else { 60.0 };
        let selected = Steering::select(Some(steering), ranked.clone(), 4, wait_ms, is_idle);
        assert_eq!(selected, [(idle, &entries[idle])]);
        let usual = Steering::select(None, ranked.clone(), 4, wait_ms, is_idle);
        assert_eq!(usual.len(), 4);
    }
}
