//! The encoding of gossip between daemons, which is sent as datagrams.
//!
//! A message is [`MAGIC`], a [`Datagram`] and any number of extensions, each with a kind, a length and as
//! many bytes. Builds before extensions ignore what follows the datagram, and later ones skip the kinds
//! that they do not know, so that several builds run side by side.

use std::iter;

use bincode::config;
use quick_error::quick_error;

pub use crate::coordination::gossip::Datagram;
use crate::coordination::share;
use crate::coordination::shutdown::Phase;

/// The maximum size of a datagram, in bytes.
pub const DATAGRAM_BYTES_MAX: usize = 60_000;

/// The magic number of this version of the format, at the start of every datagram.
const MAGIC: [u8; 2] = [0x70, 8];

/// The kind of the extension with the use of engines by workspace.
const KIND_USE: u8 = 1;

/// The kind of the extension with the phase of the sender, which is left out while it takes requests.
const KIND_PHASE: u8 = 2;

/// The bytes of an extension besides its content: its kind and its length.
const EXTENSION_HEAD_BYTES: usize = 3;

/// A message between daemons.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// What all builds since 89bc9de understand.
    pub datagram: Datagram,
    /// The recent use of engines by workspace, if the message tells it.
    pub uses: Option<share::Report>,
    /// Whether the sender takes requests of clients.
    pub phase: Phase,
}

quick_error! {
    /// An error from encoding or decoding a [`Datagram`] or a
    /// [`Snapshot`](crate::protocol::snapshot::Snapshot).
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The bytes cannot be decoded.
        Malformed(cause: String) { display("malformed message: {}", cause) }
        /// The bytes belong to another protocol or to another version of this one.
        Incompatible { display("not a gossip message of this version") }
        /// The message is too large for a datagram.
        TooLarge(bytes: usize) { display("a message of {} bytes is too large", bytes) }
    }
}

/// Encodes a message.
///
/// # Errors
///
/// Returns an error if the message cannot be encoded or is larger than [`DATAGRAM_BYTES_MAX`].
pub fn encode(datagram: &Datagram) -> Result<Vec<u8>, Error> {
    let bytes = bincode::serde::encode_to_vec((MAGIC, datagram), config::standard())
        .map_err(|cause| Error::Malformed(cause.to_string()))?;
    if bytes.len() > DATAGRAM_BYTES_MAX {
        return Err(Error::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Encodes a datagram with the extension of `uses`, if there are some. An extension that does not fit is left out.
///
/// # Errors
///
/// Returns an error if the datagram cannot be encoded or is larger than [`DATAGRAM_BYTES_MAX`].
pub fn encode_message(datagram: &Datagram, uses: Option<&share::Report>) -> Result<Vec<u8>, Error> {
    let mut bytes = encode(datagram)?;
    if let Some(uses) = uses {
        let content = bincode::serde::encode_to_vec(uses, config::standard())
            .map_err(|cause| Error::Malformed(cause.to_string()))?;
        push_extension(&mut bytes, KIND_USE, &content);
    }
    Ok(bytes)
}

/// Returns whether a message has what its sender tells of itself.
pub fn has_info(datagram: &Datagram) -> bool {
    match datagram {
        Datagram::State(_) | Datagram::Query(_) | Datagram::Summary(_) => true,
        Datagram::Delta(_) | Datagram::Update(_) | Datagram::Permit(_) => false,
    }
}

/// Appends the phase of the sender to a message, unless it takes requests.
pub fn push_phase(message: &mut Vec<u8>, phase: Phase) {
    if phase != Phase::Serving {
        push_extension(message, KIND_PHASE, &[phase.into()]);
    }
}

/// Appends an extension to a message, unless it does not fit.
pub fn push_extension(message: &mut Vec<u8>, kind: u8, content: &[u8]) {
    let total = message.len() + EXTENSION_HEAD_BYTES + content.len();
    if let Ok(length) = u16::try_from(content.len())
        && total <= DATAGRAM_BYTES_MAX
    {
        message.push(kind);
        message.extend(length.to_le_bytes());
        message.extend(content);
    }
}

/// Decodes the datagram of a message.
///
/// # Errors
///
/// Returns an error if the bytes are not a message of this version.
pub fn decode(bytes: &[u8]) -> Result<Datagram, Error> {
    decode_prefix(bytes).map(|(datagram, _length)| datagram)
}

/// Decodes a message with its extensions. Those of unknown kinds and malformed ones are ignored.
///
/// # Errors
///
/// Returns an error if the bytes do not begin with a datagram of this version.
pub fn decode_message(bytes: &[u8]) -> Result<Message, Error> {
    let (datagram, length) = decode_prefix(bytes)?;
    let (mut uses, mut phase) = (None, Phase::Serving);
    for (kind, content) in extensions(&bytes[length..]) {
        let applied = match kind {
            KIND_USE => decode_uses(content).map(|found| uses = Some(found)),
            KIND_PHASE => decode_phase(content).map(|found| phase = found),
            _ => Ok(()),
        };
        if let Err(error) = applied {
            log::debug!(kind, error:%; "malformed extension of gossip ignored");
        }
    }
    Ok(Message {
        datagram,
        uses,
        phase,
    })
}

/// Returns a datagram and its length, in bytes.
fn decode_prefix(bytes: &[u8]) -> Result<(Datagram, usize), Error> {
    if !bytes.starts_with(&MAGIC) {
        return Err(Error::Incompatible);
    }
    let limited = config::standard().with_limit::<DATAGRAM_BYTES_MAX>();
    let ((_magic, datagram), length): (([u8; 2], Datagram), usize) =
        bincode::serde::decode_from_slice(bytes, limited)
            .map_err(|cause| Error::Malformed(cause.to_string()))?;
    Ok((datagram, length))
}

/// Returns the kind and the content of each extension up to the first that is cut off.
fn extensions(mut rest: &[u8]) -> impl Iterator<Item = (u8, &[u8])> {
    iter::from_fn(move || {
        let [kind, low, high, after @ ..] = rest else {
            if !rest.is_empty() {
                log::debug!(bytes = rest.len(); "cut off extension of gossip ignored");
            }
            rest = &[];
            return None;
        };
        let length = usize::from(u16::from_le_bytes([*low, *high]));
        let Some((content, others)) = after.split_at_checked(length) else {
            log::debug!(kind, length; "cut off extension of gossip ignored");
            rest = &[];
            return None;
        };
        rest = others;
        Some((*kind, content))
    })
}

fn decode_phase(content: &[u8]) -> Result<Phase, Error> {
    let [code, ..] = content else {
        return Err(Error::Malformed("the phase is missing".to_owned()));
    };
    Phase::try_from(*code).map_err(|cause| Error::Malformed(cause.to_string()))
}

fn decode_uses(content: &[u8]) -> Result<share::Report, Error> {
    let limited = config::standard().with_limit::<DATAGRAM_BYTES_MAX>();
    let (uses, _length): (share::Report, usize) =
        bincode::serde::decode_from_slice(content, limited)
            .map_err(|cause| Error::Malformed(cause.to_string()))?;
    Ok(uses)
}
