//! Tests of splitting streams into events.

use primrosehoist::protocol::event::{Splitter, id};
use primrosehoist_property::check;

#[test]
fn events_do_not_depend_on_chunk_boundaries() {
    check(850, |u| {
        let count = u.int_in_range(0..=20)?;
        let ending = *u.choose(&["\n\n", "\n\r\n"])?;
        let events: Vec<String> = (0..count)
            .map(|id| format!("id: {id}\ndata: {}{ending}", "x".repeat(id * 7)))
            .collect();
        let remainder = "id: 99\nda";
        let bytes = events.concat() + remainder;
        let mut unread = bytes.as_bytes();
        let mut splitter = Splitter::default();
        let mut found = Vec::new();
        while !unread.is_empty() {
            let length = u.int_in_range(1..=unread.len().min(40))?;
            let (piece, rest) = unread.split_at(length);
            splitter.push(piece);
            unread = rest;
            while let Some(event) = splitter.next_event().expect("events are short") {
                found.push(String::from_utf8_lossy(&event).into_owned());
            }
        }
        assert_eq!(found, events);
        assert_eq!(splitter.remainder(), remainder.as_bytes());
        Ok(())
    });
}

#[test]
fn an_event_without_an_end_is_rejected() {
    let mut splitter = Splitter::default();
    splitter.push(&vec![b'x'; (1 << 20) + 1]);
    assert!(splitter.next_event().is_err());
}

#[test]
fn only_numeric_ids_are_returned() {
    let cases: [(&[u8], Option<u64>); 6] = [
        (b"id: 7\ndata: a\n\n", Some(7)),
        (b"id:7\r\ndata: a\r\n\r\n", Some(7)),
        (b"data: a\nid: 8\n\n", Some(8)),
        (b"x-weight-versions: 3\nid: 9\ndata: a\n\n", Some(9)),
        (b"id: x\n\n", None),
        (b"data: id: 7\n\n", None),
    ];
    for (event, expected) in cases {
        assert_eq!(id(event), expected, "{}", String::from_utf8_lossy(event));
    }
}
