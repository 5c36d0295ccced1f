//! Tests of the splitting of streams into events.

use primrosehoist::protocol::event::{Splitter, id};

#[test]
fn events_are_the_same_however_they_are_cut() {
    arbtest::arbtest(|u| {
        let count = u.int_in_range(0..=20)?;
        let ending = *u.choose(&["\n\n", "\n\r\n"])?;
        let events: Vec<String> = (0..count)
            .map(|id| format!("id: {id}\ndata: {}{ending}", "x".repeat(id * 7)))
            .collect();
        let rest = "id: 99\nda";
        let bytes = events.concat() + rest;
        let mut left = bytes.as_bytes();
        let mut splitter = Splitter::default();
        let mut found = Vec::new();
        while !left.is_empty() {
            let length = u.int_in_range(1..=left.len().min(40))?;
            let (piece, more) = left.split_at(length);
            splitter.push(piece);
            left = more;
            while let Some(event) = splitter.next_event().expect("events are short") {
                found.push(String::from_utf8_lossy(&event).into_owned());
            }
        }
        assert_eq!(found, events);
        assert_eq!(splitter.rest(), rest.as_bytes());
        Ok(())
    });
}

#[test]
fn an_event_that_never_ends_is_refused() {
    let mut splitter = Splitter::default();
    splitter.push(&vec![b'x'; (1 << 20) + 1]);
    assert!(splitter.next_event().is_err());
}

#[test]
fn ids() {
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
