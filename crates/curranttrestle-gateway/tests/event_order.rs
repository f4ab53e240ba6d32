//! Events that are in order, repeated or missing, in one read or over several.

use bytes::Bytes;
use curranttrestle_gateway::front::event_order::EventOrder;

fn events(ids: &[u64]) -> String {
    let events: Vec<String> = ids.iter().map(|id| format!("id: {id}\nx: y\n\n")).collect();
    events.concat()
}

/// What is forwarded of these reads after event `last_id`, and the first gap.
fn forwarded(last_id: Option<u64>, reads: &[&[u64]]) -> (String, Option<u64>) {
    let mut order = EventOrder::after(last_id);
    let mut text = Vec::new();
    for ids in reads {
        let accepted = order.accept(&events(ids).into());
        text.extend_from_slice(&accepted.bytes);
        if accepted.gap_before.is_some() {
            return (String::from_utf8(text).unwrap(), accepted.gap_before);
        }
    }
    (String::from_utf8(text).unwrap(), None)
}

#[test]
fn repeated_event_takes_others_of_its_read_with_it() {
    let cases: [&[&[u64]]; 5] = [
        &[&[1, 2], &[2, 3, 4]],
        &[&[1, 1, 2, 3, 4]],
        &[&[1, 2, 3, 2, 4]],
        &[&[1, 2, 1, 3, 2, 4, 4]],
        &[&[1, 2, 3, 4], &[1, 2, 3, 4]],
    ];
    for reads in cases {
        let expected = (events(&[1, 2, 3, 4]), None);
        assert_eq!(forwarded(None, reads), expected, "{reads:?}");
    }
}

#[test]
fn event_after_a_gap_is_forwarded() {
    let cases: [&[&[u64]]; 3] = [&[&[1, 2, 4]], &[&[1, 2], &[4, 5]], &[&[1, 1, 2, 4, 3]]];
    for reads in cases {
        let expected = (events(&[1, 2]), Some(4));
        assert_eq!(forwarded(None, reads), expected, "{reads:?}");
    }
    let firsts = [
        (None, 2),
        (Some(3), 5),
        (Some(3), u64::MAX),
        (Some(u64::MAX - 2), u64::MAX),
    ];
    for (last_id, first) in firsts {
        let expected = (String::new(), Some(first));
        assert_eq!(forwarded(last_id, &[&[first]]), expected, "{last_id:?}");
    }
}

#[test]
fn event_without_an_id_is_dropped_or_counted() {
    let text = ": alive\n\nid: 1\r\ndata: a\r\n\r\ndata: b\n\nid: x\n\nid:2\ndata: id: 9\n\n";
    let mut order = EventOrder::after(None);
    let accepted = order.accept(&text.into());
    assert_eq!(&accepted.bytes[..], text.as_bytes());
    let accepted = order.accept(&": alive\n\nid: 2\n\ndata: b\n\nid: 3\n\n".into());
    let expected = b": alive\n\ndata: b\n\nid: 3\n\n";
    assert_eq!(&accepted.bytes[..], expected);
    assert_eq!((accepted.repeated, order.last_id()), (1, Some(3)));
}

/// Instances with 0.12 cores forward every part of every stream.
#[test]
fn events_are_copied_unless_repeated_ones_lie_between_them() {
    for (ids, range) in [
        (&[1, 2, 3][..], 0..3),
        (&[0, 0, 1, 2], 2..4),
        (&[1, 2, 9], 0..2),
    ] {
        let read = Bytes::from(events(ids));
        let length = events(&[1]).len();
        let mut order = EventOrder::after(Some(0));
        let accepted = order.accept(&read);
        let expected = read.slice(range.start * length..range.end * length);
        assert_eq!(accepted.bytes, expected, "{ids:?}");
        assert_eq!(accepted.bytes.as_ptr(), expected.as_ptr(), "{ids:?}");
    }
}
