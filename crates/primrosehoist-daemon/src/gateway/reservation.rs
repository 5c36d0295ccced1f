//! Reserves memory at other upstreams for a prompt that is too long for one.
//!
//! A reservation has a short lease that its owner renews while the request runs. If the owner dies
//! or is suspended, the leases expire, so no cleanup of orphaned memory is needed. The tickets of a
//! request are acquired in the order of the upstream ids, and all are released if one fails.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use primrosehoist::state::rate;
use primrosehoist::state::roster::Upstream;
use primrosehoist::transport::http::upstream::{Gate, Options};
use primrosehoist_platform::{header as platform_header, reservation};
use serde_json::Value;
use tokio::task::AbortHandle;
use tokio::time::{Instant, interval, timeout};

use super::context::Context;
use super::job::Job;
use super::placement::Placement;

/// The lease of a reservation. Shorter than the time within which orphaned memory must be free.
pub(crate) const LEASE: Duration = Duration::from_secs(3);

/// The interval between renewals. Two may fail before a lease expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);

/// The timeout of a request to reserve or release memory. Upstreams respond within milliseconds.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum number of attempts to release a reservation. If all fail, its lease expires.
const RELEASE_ATTEMPTS_MAX: u32 = 3;

/// The number of the next ticket of this process.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

#[derive(Debug, Clone)]
struct Ticket {
    upstream: Arc<Upstream>,
    id: String,
    tokens: u64,
}

/// Memory reserved for a request. Dropping it releases the memory.
pub(crate) struct Reservation {
    context: Arc<Context>,
    /// In the order of the helpers.
    tickets: Vec<Ticket>,
    renewal: AbortHandle,
}

impl Reservation {
    /// Reserves the memory that `placement` needs at its helpers.
    ///
    /// # Errors
    ///
    /// Releases the acquired part if one helper refuses or does not answer; returns that helper if it
    /// does not answer.
    pub(crate) async fn acquire(
        context: &Arc<Context>,
        job: &Job,
        placement: &Placement,
    ) -> Result<Self, Option<Arc<Upstream>>> {
        let tickets: Vec<Ticket> = placement
            .tickets
            .iter()
            .zip(&placement.helpers)
            .map(|(tokens, helper)| Ticket {
                upstream: Arc::clone(helper),
                id: ticket_id(context),
                tokens: *tokens,
            })
            .collect();
        let mut by_upstream: Vec<&Ticket> = tickets.iter().collect();
        by_upstream.sort_by(|left, right| left.upstream.id.cmp(&right.upstream.id));
        // Created before the first request, so that a cancelled request releases what it acquired.
        let reservation = Self {
            context: Arc::clone(context),
            tickets: tickets.clone(),
            renewal: tokio::spawn(renew(Arc::clone(context), tickets.clone())).abort_handle(),
        };
        for ticket in by_upstream {
            let status = reserve(context, ticket).await;
            let granted = status == Some(StatusCode::OK);
            log::info!(
                request = job.request.id.as_str(),
                upstream = ticket.upstream.id.as_ref(),
                ticket = ticket.id.as_str(),
                tokens = ticket.tokens,
                granted;
                "memory reservation"
            );
            if !granted {
                let is_silent = status.is_none();
                return Err(is_silent.then(|| Arc::clone(&ticket.upstream)));
            }
        }
        Ok(reservation)
    }

    /// Returns the ticket for the helper at `index`.
    pub(crate) fn ticket(&self, index: usize) -> Option<&str> {
        self.tickets.get(index).map(|ticket| ticket.id.as_str())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.renewal.abort();
        for ticket in self.tickets.drain(..) {
            tokio::spawn(release(Arc::clone(&self.context), ticket));
        }
    }
}

/// Returns a ticket id that is unique across daemons and their restarts.
fn ticket_id(context: &Context) -> String {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    reservation::id(&context.settings.host, context.started_ms, number)
}

async fn renew(context: Arc<Context>, tickets: Vec<Ticket>) {
    let mut renewals = interval(RENEW_INTERVAL);
    renewals.tick().await;
    loop {
        renewals.tick().await;
        for ticket in &tickets {
            if reserve(&context, ticket).await != Some(StatusCode::OK) {
                log::warn!(
                    upstream = ticket.upstream.id.as_ref(),
                    ticket = ticket.id.as_str();
                    "failed to renew reservation"
                );
            }
        }
    }
}

async fn reserve(context: &Context, ticket: &Ticket) -> Option<StatusCode> {
    let body = reservation::reserve(&ticket.id, ticket.tokens, LEASE);
    send_request(context, ticket, &body).await
}

async fn release(context: Arc<Context>, ticket: Ticket) {
    for _ in 0..RELEASE_ATTEMPTS_MAX {
        let body = reservation::release(&ticket.id);
        if let Some(status) = send_request(&context, &ticket, &body).await {
            log::info!(
                upstream = ticket.upstream.id.as_ref(),
                ticket = ticket.id.as_str(),
                status = status.as_u16();
                "memory released"
            );
            return;
        }
    }
    log::warn!(
        upstream = ticket.upstream.id.as_ref(),
        ticket = ticket.id.as_str();
        "failed to release memory; its lease will expire"
    );
}

/// Sends a request to reserve or release memory and returns the status of the response, if there was one.
async fn send_request(context: &Context, ticket: &Ticket, body: &Value) -> Option<StatusCode> {
    let body = Full::new(Bytes::from(body.to_string())).map_err(|never| match never {});
    let mut request = Request::new(body.boxed_unsync());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(reservation::PATH);
    *request.headers_mut() = match reservation::headers(&ticket.upstream.id) {
        Ok(headers) => headers,
        Err(error) => {
            log::error!(upstream = ticket.upstream.id.as_ref(), error:%; "reservation request not sent");
            return None;
        }
    };
    let address = ticket.upstream.address;
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    let gate = Arc::new(Gate::new(Arc::default(), |_sent| true));
    let pool = context.pool(address);
    let exchanged = async {
        let exchange = pool
            .send_with(&Options::single_use(), request, &gate)
            .await?;
        let status = exchange.response.status();
        if platform_header::is_leaving(exchange.response.headers()) {
            context.note_leaving(&ticket.upstream);
        }
        let notice = platform_header::named_limit(status, exchange.response.headers());
        if let rate::Notice::Limited(_) = notice {
            context.note_limit(&ticket.upstream, notice, Instant::now());
        }
        Ok::<_, primrosehoist::transport::http::upstream::Error>(status)
    };
    match timeout(REQUEST_TIMEOUT, exchanged).await {
        Ok(Ok(status)) => Some(status),
        Ok(Err(error)) => {
            log::info!(upstream = ticket.upstream.id.as_ref(), error:%; "reservation request failed");
            None
        }
        Err(_elapsed) => {
            log::info!(upstream = ticket.upstream.id.as_ref(); "reservation request timed out");
            None
        }
    }
}
