//! Frames between daemons: `bincode`, each after its length as four big-endian bytes.
//!
//! An exchange is one `h2` request. The caller sends one [`Request`] and, for a dispatch, the body
//! as raw `h2` data after it. The callee answers [`Reply`] frames until the exchange ends.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::protocol::outcome::Failure;
use crate::state::change::Change;
use crate::state::fleet::Version;
use crate::state::name;

pub use crate::coordination::heartbeat::{Heartbeat, Relay};
pub use crate::coordination::poison::{Report, Standing};
pub use crate::coordination::promise::{Answer, Holding, Promise, Takeover};

/// The version of the frames. A peer of another version is refused.
pub const VERSION: u16 = 1;

/// The longest accepted frame, in bytes.
pub const FRAME_BYTES_MAX: usize = 4 << 20;

/// Opens an exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Tells the callee that the caller lives, and what it knows.
    Heartbeat(Heartbeat),
    /// Asks for the changes that follow a version.
    Changes(Version),
    /// Asks the callee to run a request on an upstream that it holds.
    Dispatch(Dispatch),
    /// Asks the callee not to take the upstream from its holder for a while.
    Promise(Promise),
    /// Tells the callee that the caller takes an upstream over.
    Takeover(Takeover),
    /// Tells the callee which requests end upstreams.
    Poison(Poison),
}

/// Answers an exchange; a dispatch is answered by several.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Answers a heartbeat.
    Heartbeat(Heartbeat),
    /// Answers a question for changes. `snapshot` is set when the log no longer reaches back.
    Changes {
        /// The serialized fleet to start from, if the changes do not suffice.
        snapshot: Option<Bytes>,
        /// The changes, oldest first.
        changes: Vec<Change>,
    },
    /// The holder admitted the request and sends it to the upstream now.
    Sent {
        /// Milliseconds that the request waited in the holder's queue.
        queued_ms: u64,
    },
    /// The head of the upstream's answer.
    Head {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: String,
    },
    /// A part of the upstream's answer: a whole SSE event, or bytes of a plain answer.
    Part {
        /// The position of this part in the answer, from zero.
        index: u64,
        /// The bytes to hand on.
        data: Bytes,
    },
    /// The answer is whole.
    End,
    /// The request failed at the holder or at the upstream.
    Failed(Failure),
    /// Whether the callee gives the promise or accepts the takeover.
    Answer(Answer),
    /// The upstream died while it ran the request; a failure follows.
    Died(Standing),
    /// The callee took note.
    Noted,
}

impl Reply {
    /// Returns whether the exchange ends with this reply.
    pub fn is_last(&self) -> bool {
        !matches!(
            self,
            Self::Sent { .. } | Self::Head { .. } | Self::Part { .. } | Self::Died(_)
        )
    }
}

/// Requests that are suspected to end upstreams, or are quarantined and not yet part of the
/// configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poison {
    /// The configuration version in force at the sender.
    pub version: Version,
    /// The requests, at most [`REPORTS_MAX`](crate::coordination::poison::REPORTS_MAX).
    pub reports: Vec<Report>,
}

/// A request to run on one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The request, the same over all attempts.
    pub request: String,
    /// This attempt; the upstream sees it as its request id.
    pub attempt: String,
    /// The workspace that asks.
    pub workspace: name::Workspace,
    /// The half that the workspace belongs to.
    pub half: name::Half,
    /// The upstream to run it.
    pub upstream: name::Upstream,
    /// The configuration version that the sender decided by.
    pub version: Version,
    /// Milliseconds until the time limit of the request, from when the frame was sent.
    pub remaining_ms: u64,
    /// The HTTP method.
    pub method: String,
    /// The path and query for the upstream.
    pub path: String,
    /// The content type of the body.
    pub content_type: String,
    /// Whether the answer is a stream of SSE events.
    pub stream: bool,
    /// The length of the body in bytes.
    pub body_bytes: u64,
    /// The expected prompt length in tokens.
    pub prompt_tokens: u64,
    /// The longest answer in tokens.
    pub answer_tokens: u64,
    /// Whether the request is suspected to end upstreams and must run alone.
    pub suspect: bool,
    /// The digest of the content.
    pub fingerprint: String,
    /// The first part that is still wanted. Above zero, the attempt resumes a stream.
    pub resume_from: u64,
}
