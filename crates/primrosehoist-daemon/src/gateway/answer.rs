//! The answers to a request, and why there is none.

use std::sync::Arc;

use http::{HeaderMap, StatusCode};
use primrosehoist::state::roster::Upstream;
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
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Buffered,
}

/// Why a request has no successful response.
#[derive(Debug)]
pub(crate) enum Unanswered {
    /// The request did not run and will not run.
    NotRun(&'static str),
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
