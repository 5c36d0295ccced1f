//! Owners of streams and memory, and memory held outside of streams.

use std::sync::Arc;

use http::HeaderMap;
use serde::Serialize;

use crate::reply;

/// The owner of a stream, a reservation or an export.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Owner {
    /// The host name from `X-Holder`; empty if absent.
    pub(crate) holder: Arc<str>,
    /// The fencing epoch from `X-Fencing-Epoch`; 0 if absent or invalid.
    pub(crate) epoch: u64,
}

impl Owner {
    /// Reads the owner from the headers of a request.
    pub(crate) fn of(headers: &HeaderMap) -> Owner {
        let epoch = reply::header(headers, "x-fencing-epoch");
        Owner {
            holder: reply::header(headers, "x-holder").unwrap_or_default(),
            epoch: epoch.and_then(|text| text.parse().ok()).unwrap_or(0),
        }
    }
}

/// Memory held outside of a stream.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Claim {
    /// The id of the reservation or the handle of the export.
    pub(crate) id: Arc<str>,
    /// The owner.
    #[serde(flatten)]
    pub(crate) owner: Owner,
    /// The size in tokens.
    pub(crate) tokens: u64,
    /// The number of tokens that hold imported KV cache.
    #[serde(skip)]
    pub(crate) imported: u64,
}
