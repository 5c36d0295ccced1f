//! Frames between daemons: `bincode`, each prefixed with its length as four big-endian bytes.
//!
//! An exchange is one `h2` request. The caller sends one [`Request`], followed by the body as raw
//! `h2` data if it is a dispatch. The callee answers with [`Reply`] frames until the exchange
//! ends.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::protocol::outcome::Failure;
use crate::state::change::Change;
use crate::state::fleet::Version;
use crate::state::name;

pub use crate::coordination::heartbeat::{Heartbeat, Relay};
pub use crate::coordination::poison::{Report, Standing};
pub use crate::coordination::promise::{Answer, Holding, Promise, Takeover};

/// The version of the frame format. A peer of another version is rejected.
pub const VERSION: u16 = 1;

/// The maximum length of a frame, in bytes.
pub const FRAME_BYTES_MAX: usize = 4 << 20;

/// Opens an exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Reports that the caller is alive, with its current state.
    Heartbeat(Heartbeat),
    /// Requests the configuration changes after a version.
    Changes(Version),
    /// Runs a request on an upstream that the callee holds.
    Dispatch(Dispatch),
    /// Reserves memory for a shard of a prompt at an upstream that the callee holds.
    ///
    /// The reservation lasts as long as the exchange. [`Reply::Admitted`] confirms it.
    Reserve(Dispatch),
    /// Asks the callee to promise not to take upstreams over from their holder for a limited time.
    Promise(Promise),
    /// Announces that the caller takes upstreams over, or probes whether it may.
    Takeover(Takeover),
    /// Reports requests that crash upstreams.
    Poison(Poison),
}

/// A frame of the callee's answer. A dispatch is answered by several.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The callee's own heartbeat, in answer to a heartbeat.
    Heartbeat(Heartbeat),
    /// The changes after the requested version. `snapshot` is set if the log no longer reaches
    /// back that far.
    Changes {
        /// The serialized fleet to apply the changes to.
        snapshot: Option<Bytes>,
        /// The changes, oldest first.
        changes: Vec<Change>,
    },
    /// The holder admitted the request and now sends it to the upstream.
    Admitted {
        /// The time that the request waited in the holder's queue, in milliseconds.
        queued_ms: u64,
    },
    /// The head of the upstream's response.
    Head {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: String,
    },
    /// A part of the upstream's response body: one complete SSE event, or bytes of a response that
    /// is not a stream of events.
    Part {
        /// The position of this part in the response, from zero.
        index: u64,
        /// The bytes to forward.
        data: Bytes,
    },
    /// The response is complete.
    End,
    /// The request failed at the holder or at the upstream.
    Failed(Failure),
    /// The callee's vote on a promise or a takeover.
    Answer(Answer),
    /// The upstream crashed while it ran the request. A failure follows.
    Crashed(Standing),
    /// The callee received the report.
    Acknowledged,
}

impl Reply {
    /// Returns whether this reply ends the exchange.
    pub fn is_last(&self) -> bool {
        !matches!(
            self,
            Self::Admitted { .. } | Self::Head { .. } | Self::Part { .. } | Self::Crashed(_)
        )
    }
}

/// Requests that are suspected of crashing upstreams, or whose quarantine is not yet part of the
/// configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poison {
    /// The sender's configuration version.
    pub version: Version,
    /// The requests, at most [`REPORTS_MAX`](crate::coordination::poison::REPORTS_MAX).
    pub reports: Vec<Report>,
}

/// A request to run on one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The request id, which all attempts share.
    pub request: String,
    /// The id of this attempt, sent to the upstream as the request id.
    pub attempt: String,
    /// The workspace of the caller.
    pub workspace: name::Workspace,
    /// The half that the workspace belongs to.
    pub half: name::Half,
    /// The upstream to run the request on.
    pub upstream: name::Upstream,
    /// The configuration version that the sender chose the upstream by.
    pub version: Version,
    /// The time left until the deadline when the frame was sent, in milliseconds.
    pub remaining_ms: u64,
    /// The HTTP method.
    pub method: String,
    /// The path and query to request from the upstream.
    pub path: String,
    /// The content type of the request body.
    pub content_type: String,
    /// Whether the response is a stream of SSE events.
    pub stream: bool,
    /// The length of the request body, in bytes.
    pub body_bytes: u64,
    /// The estimated prompt length, in tokens.
    pub prompt_tokens: u64,
    /// The maximum length of the answer, in tokens.
    pub answer_tokens: u64,
    /// Whether the request is suspected of crashing upstreams and must run alone.
    pub suspect: bool,
    /// The digest of the request's content.
    pub fingerprint: String,
    /// The index of the first part to return. If above zero, the attempt resumes a stream.
    pub resume_from: u64,
    /// The shard of the prompt that the upstream holds, if several upstreams answer together.
    pub shard: Option<Shard>,
}

impl Dispatch {
    /// Returns the number of prompt tokens in the upstream's shard.
    pub fn shard_tokens(&self) -> u64 {
        let count = self.shard.map_or(1, |shard| shard.count.max(1));
        self.prompt_tokens.div_ceil(count)
    }
}

/// One of several equal shards of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The index of the shard. The upstream of shard 0 answers.
    pub index: u64,
    /// The number of shards.
    pub count: u64,
}
