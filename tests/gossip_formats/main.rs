//! Two builds side by side: what the build of 89bc9de sent is understood, and what this one sends is
//! understood by that one, which ignores all bytes after a datagram.
//!
//! `recorded-89bc9de.hex` holds the messages of `sample`, one a line, as the encoder of that commit wrote them.

mod sample;

use bincode::config;
use primrosehoist::coordination::gossip::Datagram;
use primrosehoist::coordination::share::{Account, Entry, Report};
use primrosehoist::coordination::shutdown::Phase;
use primrosehoist::protocol::gossip::{
    DATAGRAM_BYTES_MAX, Error, Message, decode, decode_message, encode, encode_message,
    push_extension, push_phase,
};
use primrosehoist_property::check;

const RECORDED: &str = include_str!("recorded-89bc9de.hex");

/// The kind of an extension of a later build.
const UNKNOWN_KIND: u8 = 200;

fn recorded() -> Vec<Vec<u8>> {
    let lines = RECORDED.lines();
    lines
        .map(|line| hex::decode(line).expect("the record is in hex"))
        .collect()
}

/// Decodes a message by the rule of 89bc9de.
fn decode_formerly(bytes: &[u8]) -> Datagram {
    assert!(bytes.starts_with(&[0x70, 8]));
    let limited = config::standard().with_limit::<60_000>();
    let ((_magic, datagram), _length): (([u8; 2], Datagram), usize) =
        bincode::serde::decode_from_slice(bytes, limited).expect("the former build understands it");
    datagram
}

fn uses() -> Report {
    let entry = |number: u32| Entry {
        account: Account::new(&format!("workspace-{number}"), u64::from(number)),
        asked: number * 1000,
        got: number as u8,
    };
    (1..=16).map(entry).collect()
}

#[test]
fn messages_of_the_former_build_are_understood() {
    let (recorded, expected) = (recorded(), sample::messages());
    assert_eq!(recorded.len(), expected.len());
    for (bytes, expected) in recorded.iter().zip(expected) {
        let message = decode_message(bytes).expect("the message is understood");
        assert_eq!(message.datagram, expected);
        assert_eq!(message.uses, None);
        assert_eq!(message.phase, Phase::Serving);
        assert_eq!(decode(bytes), Ok(expected));
    }
}

#[test]
fn the_former_build_understands_messages_with_and_without_extensions() {
    for (recorded, datagram) in recorded().into_iter().zip(sample::messages()) {
        let plain = encode_message(&datagram, None).expect("the message can be encoded");
        assert_eq!(
            plain, recorded,
            "without extensions, the bytes are the same"
        );
        let mut extended = encode_message(&datagram, Some(&uses())).expect("it can be encoded");
        assert!(extended.starts_with(&plain) && extended.len() > plain.len());
        push_extension(&mut extended, UNKNOWN_KIND, &[1, 2, 3]);
        push_phase(&mut extended, Phase::Stopping);
        assert_eq!(decode_formerly(&extended), datagram);
        let message = decode_message(&extended).expect("this build understands it");
        let (uses, phase) = (Some(uses()), Phase::Stopping);
        let expected = Message {
            datagram,
            uses,
            phase,
        };
        assert_eq!(message, expected);
    }
}

#[test]
fn extensions_of_unknown_kinds_are_skipped() {
    for datagram in sample::messages() {
        let mut bytes = encode(&datagram).expect("the message can be encoded");
        push_extension(&mut bytes, UNKNOWN_KIND, &[9; 300]);
        let known = encode_message(&datagram, Some(&uses())).expect("it can be encoded");
        let plain = encode(&datagram).expect("the message can be encoded");
        bytes.extend(&known[plain.len()..]);
        let message = decode_message(&bytes).expect("the message is understood");
        assert_eq!(message.uses, Some(uses()));
        assert_eq!(message.datagram, datagram);
    }
}

#[test]
fn a_malformed_extension_costs_only_itself() {
    for datagram in sample::messages() {
        let whole = encode_message(&datagram, Some(&uses())).expect("it can be encoded");
        let plain = encode(&datagram).expect("the message can be encoded");
        for length in plain.len()..whole.len() {
            let message = decode_message(&whole[..length]).expect("the datagram is complete");
            assert_eq!(message.datagram, datagram);
            assert_eq!(message.uses, None, "cut off after {length} bytes");
        }
        // A list that is said to be longer than its bytes.
        let mut garbled = plain.clone();
        push_extension(&mut garbled, whole[plain.len()], &[250, 7]);
        push_phase(&mut garbled, Phase::Starting);
        let phase = garbled.len() - 1;
        garbled[phase] = 77;
        let message = decode_message(&garbled).expect("the datagram is complete");
        assert_eq!(
            message,
            Message {
                datagram,
                uses: None,
                phase: Phase::Serving,
            }
        );
    }
}

#[test]
fn an_extension_that_does_not_fit_is_left_out() {
    let mut bytes = vec![0; DATAGRAM_BYTES_MAX - 10];
    push_extension(&mut bytes, UNKNOWN_KIND, &[1; 8]);
    assert_eq!(bytes.len(), DATAGRAM_BYTES_MAX - 10);
    push_extension(&mut bytes, UNKNOWN_KIND, &[1; 7]);
    assert_eq!(bytes.len(), DATAGRAM_BYTES_MAX);
    assert_eq!(decode_message(&[0x70, 7, 0]), Err(Error::Incompatible));
}

#[test]
fn arbitrary_bytes_never_panic() {
    let recorded = recorded();
    check(2000, |random| {
        let plain = random.choose(&recorded)?;
        let mut bytes = plain.clone();
        bytes.extend(random.arbitrary::<Vec<u8>>()?);
        let message = decode_message(&bytes).expect("the datagram is complete");
        assert_eq!(Ok(message.datagram), decode(plain));
        let changed = random.choose_index(bytes.len())?;
        bytes[changed] = random.arbitrary()?;
        let garbled = decode_message(&bytes).map(|message| message.datagram);
        assert_eq!(garbled, decode(&bytes));
        let mut arbitrary = vec![0x70, 8];
        arbitrary.extend(random.arbitrary::<Vec<u8>>()?);
        let found = decode_message(&arbitrary).map(|message| message.datagram);
        assert_eq!(found, decode(&arbitrary));
        Ok(())
    });
}
