//! Memory reserved at upstreams for a prompt that is too long for one of them.
//!
//! A reservation has a short lease that its owner renews while the request runs. If the owner
//! dies or is suspended, the leases lapse by themselves, so nobody has to look for memory that
//! was left behind. All tickets of a request are taken in the order of the upstreams' ids, or
//! none is kept.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use primrosehoist::state::roster::Upstream;
use primrosehoist::transport::http::upstream::{Gate, Options};
use primrosehoist_platform::reservation;
use serde_json::Value;
use tokio::task::AbortHandle;
use tokio::time::{interval, timeout};

use super::context::Context;
use super::flight::Flight;
use super::job::Job;

/// The lease of a reservation. Shorter than the time within which memory that nobody uses any
/// more must be free.
pub(crate) const LEASE: Duration = Duration::from_secs(3);

/// The time between two renewals. Two may fail before a lease lapses.
const RENEW_EVERY: Duration = Duration::from_millis(900);

/// The longest time for an order. Upstreams answer in milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// How often the end of a reservation is tried. The lease ends it if all fail.
const RELEASE_TRIES: u32 = 3;

/// Numbers the reservations of the process.
static NEXT: AtomicU64 = AtomicU64::new(0);

#[derive(Debug, Clone)]
struct Ticket {
    upstream: Arc<Upstream>,
    id: String,
    tokens: u64,
}

/// Memory that a request may use. Dropping it releases the memory.
pub(crate) struct Reservation {
    context: Arc<Context>,
    /// In the order of the helpers.
    tickets: Vec<Ticket>,
    renewal: AbortHandle,
}

impl Reservation {
    /// Reserves the memory that `flight` needs at its helpers, or none.
    pub(crate) async fn acquire(
        context: &Arc<Context>,
        job: &Job,
        flight: &Flight,
    ) -> Option<Self> {
        let tickets: Vec<Ticket> = flight
            .tickets
            .iter()
            .zip(&flight.helpers)
            .map(|(tokens, helper)| Ticket {
                upstream: Arc::clone(helper),
                id: name(context),
                tokens: *tokens,
            })
            .collect();
        let mut order: Vec<&Ticket> = tickets.iter().collect();
        order.sort_by(|one, other| one.upstream.id.cmp(&other.upstream.id));
        // Created before the first order, so that a cancelled request releases what it has.
        let reservation = Self {
            context: Arc::clone(context),
            tickets: tickets.clone(),
            renewal: tokio::spawn(renew(Arc::clone(context), tickets.clone())).abort_handle(),
        };
        for ticket in order {
            let granted = reserve(context, ticket).await;
            log::info!(
                request = job.said.id.as_str(),
                upstream = ticket.upstream.id.as_ref(),
                ticket = ticket.id.as_str(),
                tokens = ticket.tokens,
                granted;
                "memory reserved"
            );
            if !granted {
                return None;
            }
        }
        Some(reservation)
    }

    /// Returns the ticket for the helper with this index.
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

/// Returns a name that tells the owner, its start and the reservation apart from all others.
fn name(context: &Context) -> String {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{}.{}.{number}", context.settings.host, context.started_ms)
}

async fn renew(context: Arc<Context>, tickets: Vec<Ticket>) {
    let mut renewals = interval(RENEW_EVERY);
    renewals.tick().await;
    loop {
        renewals.tick().await;
        for ticket in &tickets {
            if !reserve(&context, ticket).await {
                log::warn!(
                    upstream = ticket.upstream.id.as_ref(),
                    ticket = ticket.id.as_str();
                    "reservation not renewed"
                );
            }
        }
    }
}

async fn reserve(context: &Context, ticket: &Ticket) -> bool {
    let body = reservation::reserve(&ticket.id, ticket.tokens, LEASE);
    matches!(send(context, ticket, &body).await, Some(StatusCode::OK))
}

async fn release(context: Arc<Context>, ticket: Ticket) {
    for _ in 0..RELEASE_TRIES {
        let body = reservation::release(&ticket.id);
        if let Some(status) = send(&context, &ticket, &body).await {
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
        "memory not released; its lease ends it"
    );
}

/// Gives an order and returns the status of its answer, if it was answered.
async fn send(context: &Context, ticket: &Ticket, body: &Value) -> Option<StatusCode> {
    let body = Full::new(Bytes::from(body.to_string())).map_err(|never| match never {});
    let mut request = Request::new(body.boxed_unsync());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(reservation::PATH);
    *request.headers_mut() = reservation::headers(&ticket.upstream.id);
    let address = ticket.upstream.address;
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    let gate = Arc::new(Gate::new(Arc::default(), |_begun| true));
    let pool = context.pool(address);
    let answered = async {
        let mut exchange = pool.send_with(&Options::default(), request, &gate).await?;
        let status = exchange.response.status();
        let rest = exchange.response.body_mut().collect().await;
        if rest.is_ok() {
            pool.release(exchange);
        }
        Ok::<_, primrosehoist::transport::http::upstream::Error>(status)
    };
    match timeout(ORDER_TIMEOUT, answered).await {
        Ok(Ok(status)) => Some(status),
        Ok(Err(error)) => {
            log::info!(upstream = ticket.upstream.id.as_ref(), error:%; "order not answered");
            None
        }
        Err(_elapsed) => {
            log::info!(upstream = ticket.upstream.id.as_ref(); "order not answered in time");
            None
        }
    }
}
