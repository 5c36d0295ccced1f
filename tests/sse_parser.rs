//! The parser of server-sent events and the check of their sequence.

use primrosehoist::protocol::sse::{DONE, EVENT_BYTES_MAX, Error, Event, Parser, Sequence, Step};
use primrosehoist_property::arbitrary::{self, Unstructured};
use primrosehoist_property::check;

fn chunk(attempt: &str, index: u64, last: bool) -> String {
    let finish = if last { "\"length\"" } else { "null" };
    format!(
        "id: {index}\ndata: {{\"id\":\"{attempt}\",\"choices\":[{{\"finish_reason\":{finish}}}]}}\n\n"
    )
}

fn answer(attempt: &str, events: u64) -> String {
    let mut text: String = (0..events)
        .map(|index| chunk(attempt, index, index + 1 == events))
        .collect();
    text.push_str("data: [DONE]\n\n");
    text
}

fn parse(pieces: &[&[u8]]) -> Result<(Vec<Event>, bool), Error> {
    let mut parser = Parser::default();
    let mut events = Vec::new();
    for piece in pieces {
        parser.push(piece);
        while let Some(event) = parser.next_event()? {
            events.push(event);
        }
    }
    Ok((events, parser.is_partial()))
}

fn pieces<'a>(u: &mut Unstructured<'_>, mut bytes: &'a [u8]) -> arbitrary::Result<Vec<&'a [u8]>> {
    let mut pieces = Vec::new();
    while !bytes.is_empty() {
        let length = if u.is_empty() {
            bytes.len()
        } else {
            u.int_in_range(1..=bytes.len().min(40))?
        };
        let (piece, rest) = bytes.split_at(length);
        pieces.push(piece);
        bytes = rest;
    }
    Ok(pieces)
}

/// Passes the events in `text` to a sequence. Returns the indices of the parts and whether the
/// stream is complete.
fn accept_all(attempt: &str, from: u64, text: &str) -> Result<(Vec<u64>, bool), Error> {
    let (events, partial) = parse(&[text.as_bytes()])?;
    assert!(!partial);
    let mut sequence = Sequence::new(attempt, from);
    let mut parts = Vec::new();
    for event in events {
        if let Step::Part { index, .. } = sequence.accept(event)? {
            parts.push(index);
        }
    }
    Ok((parts, sequence.is_done()))
}

#[test]
fn events_do_not_depend_on_chunk_boundaries() {
    check(900, |u| {
        let text = answer("a-1", u.int_in_range(1..=6)?).replace('\n', u.choose(&["\n", "\r\n"])?);
        let whole = parse(&[text.as_bytes()]);
        let cut = parse(&pieces(u, text.as_bytes())?);
        assert_eq!(whole, cut);
        Ok(())
    });
}

#[test]
fn raw_events_equal_the_received_bytes() {
    let text = answer("a-1", 5);
    let (events, partial) = parse(&[text.as_bytes()]).expect("valid events");
    let raw: Vec<u8> = events.iter().flat_map(|event| event.raw.to_vec()).collect();
    assert_eq!(raw, text.as_bytes());
    assert!(!partial);
}

#[test]
fn a_truncated_answer_is_never_complete() {
    check(2_000, |u| {
        let text = answer("a-1", u.int_in_range(1..=4)?);
        let cut = u.int_in_range(0..=text.len() - 1)?;
        let (events, partial) = parse(&[&text.as_bytes()[..cut]]).expect("a prefix is valid");
        let mut sequence = Sequence::new("a-1", 0);
        for event in events {
            sequence.accept(event).expect("the events are in order");
        }
        assert!(!sequence.is_done() || partial || cut + 1 >= text.len());
        if cut + 1 < text.len() {
            assert!(!sequence.is_done());
        }
        Ok(())
    });
}

#[test]
fn arbitrary_bytes_are_rejected_or_skipped_without_a_panic() {
    check(1_500, |u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let cut = pieces(u, &bytes)?;
        if let Ok((events, _)) = parse(&cut) {
            let mut sequence = Sequence::new("a-1", 0);
            for event in events {
                assert!(sequence.accept(event).is_err());
            }
        }
        Ok(())
    });
}

#[test]
fn malformed_events_are_rejected() {
    let cases: [(&[u8], Error); 5] = [
        (b"id: x\ndata: {}\n\n", Error::InvalidId),
        (b"id: 3\n\n", Error::MissingData),
        (b"hello\n\n", Error::UnknownField),
        (b"what: ever\n\n", Error::UnknownField),
        (b"data: \xff\n\n", Error::Encoding),
    ];
    for (bytes, expected) in cases {
        assert_eq!(parse(&[bytes]), Err(expected));
    }
}

#[test]
fn an_event_without_an_end_is_rejected() {
    let piece = vec![b'x'; 1 << 16];
    let mut parser = Parser::default();
    let mut result = Ok(None);
    for _ in 0..=EVENT_BYTES_MAX >> 16 {
        parser.push(&piece);
        result = parser.next_event();
    }
    assert_eq!(result, Err(Error::TooLong));
}

#[test]
fn comments_are_skipped_and_data_lines_are_joined() {
    let (events, _) = parse(&[b": hi\n\n\ndata: a\n: x\ndata:b\n\n"]).expect("valid events");
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].data, "a\nb");
    assert_eq!(events[0].id, None);
}

#[test]
fn only_the_events_of_the_attempt_in_order_are_accepted() {
    let first = chunk("a-1", 0, false);
    let last = chunk("a-1", 1, true);
    let done = format!("data: {DONE}\n\n");
    let cases = [
        (format!("{first}{last}{done}"), Ok((vec![0, 1], true))),
        (format!("{first}{last}"), Ok((vec![0, 1], false))),
        (format!("{first}{done}"), Err(Error::Truncated)),
        (done.clone(), Err(Error::Truncated)),
        (
            format!("{first}{first}"),
            Err(Error::OutOfOrder(1, Some(0))),
        ),
        (last.clone(), Err(Error::OutOfOrder(0, Some(1)))),
        (format!("{first}{last}{done}{done}"), Err(Error::AfterEnd)),
        (
            format!("{first}{last}{}", chunk("a-1", 2, false)),
            Err(Error::AfterEnd),
        ),
        (chunk("b-1", 0, false), Err(Error::WrongAttempt)),
        ("id: 0\ndata: {\n\n".to_owned(), Err(Error::InvalidChunk)),
        (
            format!("{first}{last}id: 2\n{done}"),
            Err(Error::OutOfOrder(2, Some(2))),
        ),
        (
            first.replace("id: 0\n", ""),
            Err(Error::OutOfOrder(0, None)),
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(accept_all("a-1", 0, &text), expected, "{text}");
    }
}

#[test]
fn a_resumed_stream_starts_at_the_next_event() {
    let rest = format!("{}data: [DONE]\n\n", chunk("a-1", 7, true));
    assert_eq!(accept_all("a-1", 7, &rest), Ok((vec![7], true)));
    assert_eq!(
        accept_all("a-1", 6, &rest),
        Err(Error::OutOfOrder(6, Some(7)))
    );
}
