use curranttrestle::coordination::gateway::endpoint_load::{
    EndpointKey, LoadOptions, LoadTracker, SentRequest,
};
use curranttrestle::coordination::gateway::placement::{
    Choice, PlacementContext, PlacementOptions, Room, choose_engine, choose_plain,
};
use curranttrestle::coordination::gateway::prompt_cache::{PromptCache, PromptCacheOptions};
use curranttrestle::state::Now;
use curranttrestle::state::gateway::{EndpointEntry, RequestHints};

use super::support::{ENGINE, at, entry, prompt};

struct Fleet {
    entries: Vec<EndpointEntry>,
    load: LoadTracker,
    cache: PromptCache,
    attempts: u64,
}

impl Fleet {
    fn new(count: u16) -> Self {
        Self {
            entries: (0..count).map(|index| entry("model", index)).collect(),
            load: LoadTracker::new(LoadOptions::default()),
            cache: PromptCache::new(PromptCacheOptions::default()),
            attempts: 0,
        }
    }

    fn choose(&self, hints: &RequestHints, now: Now) -> Choice {
        let context = PlacementContext {
            load: &self.load,
            cache: &self.cache,
            data_centre: "a",
            usable_fraction: 1.0,
        };
        let options = PlacementOptions::default();
        choose_engine(self.entries.iter(), ENGINE, hints, context, &options, now).unwrap()
    }

    /// Marks the shared parts as cached by the chosen engine.
    fn mark_cached(&mut self, choice: &Choice, hints: &RequestHints) {
        let key = EndpointKey::of(&choice.entry.endpoint);
        self.cache
            .record_use(key, hints.shared_parts(), choice.prefill_tokens, at(0));
    }

    fn send(&mut self, choice: &Choice, tokens: u64, now: Now) {
        self.attempts += 1;
        let sent = SentRequest {
            prefill_tokens: tokens,
            memory_tokens: tokens,
            predicted_ms: choice.predicted_ms,
        };
        let key = EndpointKey::of(&choice.entry.endpoint);
        self.load.record_start(self.attempts, key, sent, now);
    }
}

#[test]
fn all_gateways_send_a_part_to_the_same_engine() {
    let (one, other) = (Fleet::new(12), Fleet::new(12));
    for part in 0..50 {
        let hints = prompt(part, 3_780, 2_890);
        let chosen = one.choose(&hints, at(0)).entry;
        assert_eq!(chosen, other.choose(&hints, at(0)).entry);
    }
}

#[test]
fn losing_an_engine_moves_only_its_parts() {
    let fleet = Fleet::new(12);
    let mut smaller = Fleet::new(12);
    let lost = smaller.entries.remove(3);
    for part in 0..100 {
        let hints = prompt(part, 3_780, 2_890);
        let before = fleet.choose(&hints, at(0)).entry;
        let after = smaller.choose(&hints, at(0)).entry;
        assert!(before == after || before.endpoint == lost.endpoint);
    }
}

#[test]
fn another_engine_is_chosen_when_waiting_costs_more_than_prefilling_again() {
    let mut fleet = Fleet::new(12);
    let hints = prompt(7, 3_780, 2_890);
    let first = fleet.choose(&hints, at(0));
    assert_eq!(first.prefill_tokens, 2_890 + 3_780);
    fleet.mark_cached(&first, &hints);
    assert_eq!(fleet.choose(&hints, at(0)).prefill_tokens, 2_890);
    // Prefilling the part again is weighted as twice its 3,780 tokens.
    fleet.send(&first, 7_000, at(0));
    assert_eq!(fleet.choose(&hints, at(0)).entry, first.entry);
    fleet.send(&first, 1_500, at(0));
    let second = fleet.choose(&hints, at(0));
    assert_ne!(second.entry, first.entry);
    assert_eq!(second.prefill_tokens, 2_890 + 3_780);
    // Once it has the part cached, it is as good as the first.
    fleet.mark_cached(&second, &hints);
    assert_eq!(fleet.choose(&hints, at(0)).prefill_tokens, 2_890);
}

#[test]
fn a_part_counts_as_evicted_when_others_have_filled_the_memory() {
    let mut fleet = Fleet::new(1);
    let hints = prompt(7, 3_780, 2_890);
    let choice = fleet.choose(&hints, at(0));
    fleet.mark_cached(&choice, &hints);
    let key = EndpointKey::of(&choice.entry.endpoint);
    let cached = |fleet: &Fleet| {
        let shared = hints.shared_parts();
        fleet.cache.cached_tokens(key, shared, ENGINE.memory_tokens)
    };
    let others = prompt(8, 0, 100_000);
    fleet
        .cache
        .record_use(key, others.shared_parts(), 200_000, at(1));
    assert_eq!(cached(&fleet), 3_780);
    fleet
        .cache
        .record_use(key, others.shared_parts(), 100_000, at(2));
    assert_eq!(cached(&fleet), 0);
}

#[test]
fn uses_that_a_peer_reports_several_times_count_once() {
    let (mut local, mut remote) = (Fleet::new(1), Fleet::new(1));
    let hints = prompt(7, 3_780, 2_890);
    let choice = remote.choose(&hints, at(0));
    let key = EndpointKey::of(&choice.entry.endpoint);
    let first_batch = {
        remote.mark_cached(&choice, &hints);
        remote.cache.report(100, at(0))
    };
    remote.cache.record_use(key, &[], 150_000, at(100));
    let second_batch = remote.cache.report(100, at(100));
    assert_eq!(second_batch.uses.len(), 2);
    for batch in [&first_batch, &second_batch, &second_batch, &second_batch] {
        local.cache.apply_report(1, batch);
    }
    assert_eq!(local.choose(&hints, at(100)).prefill_tokens, 2_890);
    assert_eq!(remote.cache.report(100, at(1_000)).uses.len(), 0);
}

#[test]
fn requests_of_a_peer_count_until_they_are_processed() {
    let mut fleet = Fleet::new(12);
    let mut peer = Fleet::new(12);
    let hints = prompt(7, 3_780, 2_890);
    let first = fleet.choose(&hints, at(0));
    peer.send(&first, 20_000, at(0));
    fleet.load.apply_report(1, &peer.load.report(), at(0));
    assert_ne!(fleet.choose(&hints, at(0)).entry, first.entry);
    // At 40 tokens per millisecond the engine has processed them by then.
    assert_eq!(fleet.choose(&hints, at(500)).entry, first.entry);
}

/// Guards against counting the updates of many peers as processed in parallel: one engine
/// processes all of them one after the other.
#[test]
fn requests_of_many_peers_are_processed_one_after_the_other() {
    let mut fleet = Fleet::new(1);
    let hints = prompt(7, 0, 2_890);
    let first = fleet.choose(&hints, at(0));
    for number in 0..20 {
        let mut peer = Fleet::new(1);
        peer.send(&first, 2_000, at(0));
        fleet.load.apply_report(number, &peer.load.report(), at(0));
    }
    let key = EndpointKey::of(&first.entry.endpoint);
    // 40,000 tokens take a second at 40 tokens per millisecond.
    let waiting = fleet.load.view(key, at(100)).waiting_tokens;
    assert!((35_000.0..=37_000.0).contains(&waiting), "{waiting}");
}

#[test]
fn an_engine_without_free_memory_is_not_chosen() {
    let mut fleet = Fleet::new(2);
    let hints = prompt(7, 3_780, 2_890);
    let first = fleet.choose(&hints, at(0));
    for _ in 0..3 {
        fleet.send(&first, 70_000, at(0));
    }
    for number in 1..=3 {
        fleet.load.record_first_event(number, at(1));
    }
    let second = fleet.choose(&hints, at(1));
    assert_ne!(second.entry, first.entry);
    assert_eq!(second.room, Room::Free);
}

#[test]
fn the_slowness_of_an_engine_is_predicted_and_decays() {
    let mut fleet = Fleet::new(1);
    let hints = prompt(7, 3_780, 2_890);
    let first = fleet.choose(&hints, at(0));
    fleet.mark_cached(&first, &hints);
    let usual = fleet.choose(&hints, at(0)).predicted_ms;
    for round in 0..20_u64 {
        let choice = fleet.choose(&hints, at(round * 100));
        fleet.send(&choice, 2_890, at(round * 100));
        fleet
            .load
            .record_first_event(fleet.attempts, at(round * 100 + 500));
        fleet.load.record_end(fleet.attempts);
    }
    assert!(fleet.choose(&hints, at(2_400)).predicted_ms > usual * 3.0);
    assert!(fleet.choose(&hints, at(22_400)).predicted_ms < usual * 1.1);
}

#[test]
fn a_plain_request_goes_to_the_least_loaded_endpoint() {
    let mut fleet = Fleet::new(3);
    let mut chosen = Vec::new();
    for _ in 0..3 {
        let context = PlacementContext {
            load: &fleet.load,
            cache: &fleet.cache,
            data_centre: "a",
            usable_fraction: 1.0,
        };
        let options = PlacementOptions::default();
        let choice = choose_plain(fleet.entries.iter(), context, &options, at(0)).unwrap();
        fleet.send(&choice, 0, at(0));
        chosen.push(choice.entry.endpoint);
    }
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), 3);
}
