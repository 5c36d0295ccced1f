//! The answers to a request, and why there is none.

use std::sync::Arc;

use http::{HeaderMap, StatusCode};
use primrosehoist::protocol::handover::Outcome;
use primrosehoist::state::roster::Upstream;
use primrosehoist::transport::http::Payload;
use primrosehoist::transport::http::body::Buffered;
use primrosehoist::transport::http::upstream::{Exchange, Pool};

use super::placement::Placement;

/// A response whose head has been received.
pub(crate) struct Response {
    /// Where the request runs; `None` if another daemon placed it.
    pub(crate) placement: Option<Placement>,
    pub(crate) exchange: Exchange,
    pub(crate) pool: Arc<Pool>,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) closes_connection: bool,
}

/// A response with its complete body.
#[derive(Debug, Clone)]
pub(crate) struct BufferedResponse {
    /// The upstream that answered, if it is known.
    pub(crate) upstream: Option<Arc<str>>,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Buffered,
}

/// The answer to a request, and what became of the request.
pub(crate) struct Answer {
    pub(crate) response: http::Response<Payload>,
    pub(crate) outcome: Outcome,
    /// The upstream that answered, if it is known.
    pub(crate) upstream: Option<Arc<str>>,
    /// Why no upstream answered.
    pub(crate) reason: &'static str,
}

/// Why a request has no successful response.
#[derive(Debug)]
pub(crate) enum Unanswered {
    /// The request did not run and will not run.
    NotRun(&'static str),
    /// This daemon, to which the request was handed, is cut off itself. The request did not run here,
    /// and another daemon may take it: the answer is [`Outcome::Busy`].
    CutOff,
    /// The request may have run.
    Uncertain(&'static str),
    /// The deadline passed; the request may have run if `true`.
    Expired(bool),
    /// An upstream returned an error response.
    Reported(Box<BufferedResponse>),
}

impl Response {
    /// Returns the upstream that this daemon has placed the request on.
    pub(crate) fn upstream(&self) -> Option<&Arc<Upstream>> {
        self.placement.as_ref().map(|placement| &placement.upstream)
    }

    /// Returns the id of the upstream that this daemon has placed the request on.
    pub(crate) fn upstream_id(&self) -> &str {
        self.upstream().map_or("", |upstream| upstream.id.as_ref())
    }

    /// Returns the connection to the pool after the body has been read completely.
    pub(crate) fn return_connection(self) {
        if !self.closes_connection {
            self.pool.release(self.exchange);
        }
    }
}
