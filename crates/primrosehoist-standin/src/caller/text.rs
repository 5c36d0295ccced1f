//! Prompt texts, generated in pieces so that they need not be held in memory.

use std::sync::Arc;

use bytes::Bytes;
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::reply::hex;

/// The size of a generated piece, in bytes.
const PIECE_BYTES: usize = 16 * 1024;
/// The alphabet of generated texts.
const LETTERS: &[u8; 32] = b"abcdefghijklmnop rstuvwxyzaeiou ";

/// The text of a prompt.
#[derive(Debug, Clone)]
pub(crate) enum Text {
    /// A text read from a file.
    Literal(Arc<str>),
    /// Pseudorandom letters.
    Generated {
        /// The seed; texts with different seeds have no piece in common.
        seed: u64,
        /// The length in bytes.
        bytes: usize,
    },
}

impl Text {
    /// Returns the text in pieces, escaped for a JSON string.
    pub(crate) fn pieces(&self) -> Box<dyn Iterator<Item = Bytes> + Send> {
        match self {
            Text::Literal(text) => Box::new(std::iter::once(escaped(text))),
            Text::Generated { seed, bytes } => Box::new(generated(*seed, *bytes)),
        }
    }

    /// Returns the length in bytes when escaped for a JSON string.
    pub(crate) fn escaped_bytes(&self) -> usize {
        match self {
            Text::Literal(text) => escaped(text).len(),
            Text::Generated { bytes, .. } => *bytes,
        }
    }

    /// Returns the expected response to the text.
    pub(crate) fn answer(&self) -> Answer {
        let mut digest = Sha256::new();
        match self {
            Text::Literal(text) => digest.update(text.as_bytes()),
            Text::Generated { .. } => self.pieces().for_each(|piece| digest.update(&piece)),
        }
        Answer { digest }
    }
}

fn escaped(text: &str) -> Bytes {
    let quoted = Value::from(text).to_string();
    Bytes::copy_from_slice(&quoted.as_bytes()[1..quoted.len() - 1])
}

fn generated(seed: u64, bytes: usize) -> impl Iterator<Item = Bytes> + Send {
    let mut state = mix(seed);
    let starts = (0..bytes).step_by(PIECE_BYTES);
    starts.map(move |start| {
        let length = PIECE_BYTES.min(bytes - start);
        let mut piece = Vec::with_capacity(length + 12);
        while piece.len() < length {
            state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
            push_letters(&mut piece, mix(state));
        }
        piece.truncate(length);
        Bytes::from(piece)
    })
}

/// Appends twelve letters, each chosen by five bits.
fn push_letters(piece: &mut Vec<u8>, mut bits: u64) {
    for _ in 0..12 {
        piece.push(LETTERS[(bits & 31) as usize]);
        bits >>= 5;
    }
}

/// Mixes the bits of a counter with the finalizer of `SplitMix64`.
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// The response that an engine stand-in generates for a text.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    digest: Sha256,
}

impl Answer {
    /// Returns token `index` of the response.
    pub(crate) fn token(&self, index: u64) -> String {
        let mut digest = self.digest.clone();
        digest.update(index.to_string().as_bytes());
        let mut text = hex(&digest.finalize()[..4]);
        text.push(' ');
        text
    }
}
