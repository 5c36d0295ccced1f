//! Owners of work and memory, and what they own beside streams.

use std::sync::Arc;

use http::HeaderMap;
use serde::Serialize;

use crate::reply;

/// Who owns a stream, a reservation or an export.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Owner {
    /// The host name of the holder; empty if none was given.
    pub(crate) holder: Arc<str>,
    /// The fencing epoch; 0 if none was given.
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

/// Memory that is owned outside of a stream.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Claim {
    /// The id of a reservation or the handle of an export.
    pub(crate) id: Arc<str>,
    /// The owner.
    #[serde(flatten)]
    pub(crate) owner: Owner,
    /// The size in tokens.
    pub(crate) tokens: u64,
    /// How many of the tokens hold imported KV cache.
    #[serde(skip)]
    pub(crate) imported: u64,
}
