//! Compares the frame assembler with a naive model that knows the complete response.

use curranttrestle::protocol::endpoint::{Frame, StreamLine};
use curranttrestle::transport::endpoint::InterruptCause;
use curranttrestle::transport::frames::FrameAssembler;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ATTEMPT: &str = "router-1.1.1";

fn frame(attempt: &str, offset: usize, text: &str) -> StreamLine {
    StreamLine::Frame(Frame {
        attempt: attempt.to_owned(),
        offset: offset as u64,
        text: text.to_owned(),
        tokens_total: 0,
    })
}

fn done(length: usize) -> StreamLine {
    StreamLine::Done {
        attempt: ATTEMPT.to_owned(),
        length: length as u64,
        tokens_total: 7,
    }
}

fn drain(assembler: &mut FrameAssembler) -> String {
    std::iter::from_fn(|| assembler.next_chunk())
        .map(|chunk| chunk.text)
        .collect()
}

/// Returns how many bytes were sent from the beginning of the response up to the first gap.
fn naive_length(response: &str, sent: &[(usize, usize)]) -> usize {
    let is_sent = |byte: &usize| sent.iter().any(|(from, to)| (*from..*to).contains(byte));
    (0..response.len()).take_while(is_sent).count()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_frames_yield_the_response_up_to_the_first_gap(
        frames in vec((0_usize..40, 1_usize..20, any::<bool>()), 0..30)
    ) {
        let response: String = ('a'..='z').cycle().take(40).collect();
        let mut assembler = FrameAssembler::new(ATTEMPT, 0);
        let mut sent = Vec::new();
        let mut delivered = String::new();
        for (from, length, is_own_attempt) in frames {
            let to = (from + length).min(response.len());
            let attempt = if is_own_attempt { ATTEMPT } else { "other" };
            assembler.accept(frame(attempt, from, &response[from..to]));
            if is_own_attempt {
                sent.push((from, to));
            }
            delivered.push_str(&drain(&mut assembler));
            let expected_length = naive_length(&response, &sent);
            prop_assert_eq!(&delivered, &response[..expected_length]);
            prop_assert_eq!(assembler.offset(), expected_length as u64);
        }
        assembler.accept(done(response.len()));
        let is_complete = delivered.len() == response.len();
        prop_assert_eq!(assembler.finished(), is_complete.then_some(7));
    }
}

#[test]
fn dropped_and_early_frames_are_counted() {
    let mut assembler = FrameAssembler::new(ATTEMPT, 0);
    assembler.accept(frame(ATTEMPT, 0, "ab"));
    assert_eq!(drain(&mut assembler), "ab");
    assembler.accept(frame(ATTEMPT, 0, "ab"));
    assembler.accept(frame("other", 2, "xy"));
    assembler.accept(frame(ATTEMPT, 4, "ef"));
    assembler.accept(frame(ATTEMPT, 1, "bcd"));
    assert_eq!(drain(&mut assembler), "cdef");
    let counters = assembler.counters();
    let counted = (counters.duplicate, counters.other_attempt, counters.early);
    assert_eq!(counted, (1, 1, 1));
}

#[test]
fn a_resumed_response_begins_at_its_offset() {
    let mut assembler = FrameAssembler::new(ATTEMPT, 3);
    assembler.accept(frame(ATTEMPT, 0, "abcde"));
    assert_eq!(drain(&mut assembler), "de");
    assembler.accept(done(5));
    assert_eq!(assembler.finished(), Some(7));
}

#[test]
fn too_many_early_frames_are_reported_as_a_gap() {
    let mut assembler = FrameAssembler::new(ATTEMPT, 0);
    for offset in 1..100 {
        assembler.accept(frame(ATTEMPT, offset, "x"));
    }
    assert_eq!(assembler.interrupt_cause(), Some(InterruptCause::Gap));
}

#[test]
fn a_response_longer_than_announced_or_split_within_a_character_is_malformed() {
    let mut overlong = FrameAssembler::new(ATTEMPT, 0);
    overlong.accept(frame(ATTEMPT, 0, "abc"));
    drain(&mut overlong);
    overlong.accept(done(2));
    assert_eq!(overlong.interrupt_cause(), Some(InterruptCause::Malformed));
    let mut split = FrameAssembler::new(ATTEMPT, 1);
    split.accept(frame(ATTEMPT, 0, "é"));
    assert_eq!(drain(&mut split), "");
    assert_eq!(split.interrupt_cause(), Some(InterruptCause::Malformed));
}
