//! The assembler of frames against a naive one that knows the whole answer.

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

/// How many bytes of the answer are known from its beginning without a gap.
fn naive_length(answer: &str, sent: &[(usize, usize)]) -> usize {
    let known = |byte: &usize| sent.iter().any(|(from, to)| (*from..*to).contains(byte));
    (0..answer.len()).take_while(known).count()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_frames_give_the_answer_up_to_its_first_gap(
        pieces in vec((0_usize..40, 1_usize..20, any::<bool>()), 0..30)
    ) {
        let answer: String = ('a'..='z').cycle().take(40).collect();
        let mut assembler = FrameAssembler::new(ATTEMPT, 0);
        let mut sent = Vec::new();
        let mut delivered = String::new();
        for (from, length, own) in pieces {
            let to = (from + length).min(answer.len());
            let attempt = if own { ATTEMPT } else { "other" };
            assembler.accept(frame(attempt, from, &answer[from..to]));
            if own {
                sent.push((from, to));
            }
            delivered.push_str(&drain(&mut assembler));
            let known = naive_length(&answer, &sent);
            prop_assert_eq!(&delivered, &answer[..known]);
            prop_assert_eq!(assembler.offset(), known as u64);
        }
        assembler.accept(done(answer.len()));
        let whole = delivered.len() == answer.len();
        prop_assert_eq!(assembler.finished(), whole.then_some(7));
    }
}

#[test]
fn dropped_frames_are_counted() {
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
fn a_resumed_answer_begins_at_its_offset() {
    let mut assembler = FrameAssembler::new(ATTEMPT, 3);
    assembler.accept(frame(ATTEMPT, 0, "abcde"));
    assert_eq!(drain(&mut assembler), "de");
    assembler.accept(done(5));
    assert_eq!(assembler.finished(), Some(7));
}

#[test]
fn a_missing_frame_is_not_waited_for_without_end() {
    let mut assembler = FrameAssembler::new(ATTEMPT, 0);
    for offset in 1..100 {
        assembler.accept(frame(ATTEMPT, offset, "x"));
    }
    assert_eq!(assembler.fault(), Some(InterruptCause::Gap));
}

#[test]
fn an_answer_longer_than_announced_or_cut_in_a_character_is_malformed() {
    let mut long = FrameAssembler::new(ATTEMPT, 0);
    long.accept(frame(ATTEMPT, 0, "abc"));
    drain(&mut long);
    long.accept(done(2));
    assert_eq!(long.fault(), Some(InterruptCause::Malformed));
    let mut cut = FrameAssembler::new(ATTEMPT, 1);
    cut.accept(frame(ATTEMPT, 0, "é"));
    assert_eq!(drain(&mut cut), "");
    assert_eq!(cut.fault(), Some(InterruptCause::Malformed));
}
