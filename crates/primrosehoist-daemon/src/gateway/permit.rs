//! Obtains permits for requests to upstreams that name a limit, and hands them out.
//!
//! Who hands out the permits of an upstream, and at what rate, is decided by
//! [`primrosehoist::coordination::permit`].

use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use primrosehoist::coordination::gossip::{Datagram, Outgoing};
use primrosehoist::coordination::permit::{self, Ledger, Message, Permit, Query, Reply};
use primrosehoist::state::map::Map;
use primrosehoist::state::occupancy::Key;
use primrosehoist::state::rate;
use primrosehoist::state::roster::Upstream;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout};

use super::context::Context;
use super::gossip;
use super::job::Job;
use super::placement::Placement;

/// The timeout of a query to the daemon that hands out permits. Most reply within milliseconds.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// How long an upstream is passed over after a query without a reply.
const UNANSWERED_WAIT: Duration = Duration::from_millis(300);

/// The permits that this daemon hands out, and its queries to others.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    ledger: Mutex<Ledger>,
    /// The queries without a reply, by number.
    pending: Mutex<Map<u64, oneshot::Sender<Reply>>>,
    queries: AtomicU64,
}

impl Permits {
    /// Returns the number of a new query, and the receiver of its reply.
    fn expect_reply(&self) -> (u64, oneshot::Receiver<Reply>) {
        let number = self.queries.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let mut pending = self.pending.lock();
        // Requests that were cancelled do not remove theirs.
        pending.retain(|_, sender| !sender.is_closed());
        pending.insert(number, sender);
        (number, receiver)
    }

    /// Removes an upstream that no longer exists.
    pub(crate) fn remove(&self, upstream: &str) {
        self.ledger.lock().remove(Key::from(upstream));
    }
}

/// Obtains the permits for the upstreams of `placement` that name a limit, and waits until all are
/// valid. Returns whether they are within `wait_max`.
pub(crate) async fn acquire(
    context: &Context,
    job: &Job,
    placement: &Placement,
    wait_max: Duration,
) -> bool {
    let mut valid_at = None;
    for upstream in placement.helpers.iter().chain([&placement.upstream]) {
        let limit = context.roster.lock().limit(upstream, Instant::now());
        let Some(limit) = limit else { continue };
        let permit = request(context, upstream, limit, wait_max).await;
        log::info!(
            request = job.request.id.as_str(),
            upstream = upstream.id.as_ref(),
            permit:?;
            "limited upstream"
        );
        match permit {
            Permit::Granted(wait) => valid_at = valid_at.max(Some(Instant::now() + wait)),
            Permit::Denied(_) => return false,
        }
    }
    if let Some(valid_at) = valid_at {
        sleep_until(valid_at).await;
    }
    true
}

/// Requests a permit and records when the next one is expected.
async fn request(
    context: &Context,
    upstream: &Upstream,
    limit: rate::Report,
    wait_max: Duration,
) -> Permit {
    let now = Instant::now();
    let issuer = {
        let exchange = context.exchange.lock();
        exchange.peers.first_in_rank(&upstream.id, now)
    };
    let permit = match issuer {
        None => Some(draw(context, &limit, wait_max, now)),
        Some(issuer) => query(context, issuer, limit, wait_max).await,
    };
    let outcome = match permit {
        Some(Permit::Granted(_)) => "granted",
        Some(Permit::Denied(_)) => "denied",
        None => "unanswered",
    };
    context.metrics.permit(outcome);
    let permit = permit.unwrap_or(Permit::Denied(wait_max + UNANSWERED_WAIT));
    let rate = limit.limit.map_or(f64::INFINITY, rate::Limit::per_second);
    let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(wait_max);
    let next = match permit {
        Permit::Granted(wait) => wait + interval.min(wait_max),
        Permit::Denied(wait) => wait,
    };
    let mut roster = context.roster.lock();
    roster.expect_permit(upstream, Instant::now() + next);
    permit
}

/// Draws a permit that this daemon hands out.
fn draw(context: &Context, limit: &rate::Report, wait_max: Duration, now: Instant) -> Permit {
    let (heard, others) = context.exchange.lock().peers.heard_count(now);
    let Some(newest) = context.roster.lock().newest_limit(limit, now) else {
        return Permit::Granted(Duration::ZERO);
    };
    let rate = permit::rate(newest, heard, others);
    let mut ledger = context.permits.ledger.lock();
    ledger.draw(limit.upstream, rate, wait_max, now)
}

/// Queries the daemon at `issuer` for a permit; returns its reply, if there is one.
async fn query(
    context: &Context,
    issuer: IpAddr,
    limit: rate::Report,
    patience: Duration,
) -> Option<Permit> {
    context.gossip.get()?;
    let permits = &context.permits;
    let (number, receiver) = permits.expect_reply();
    let message = Message::Query(Query {
        number,
        patience,
        limit,
    });
    let outgoing = Outgoing {
        targets: vec![issuer],
        datagram: Datagram::Permit(message),
    };
    let replied = async {
        gossip::transmit(context, &outgoing).await;
        receiver.await
    };
    let reply = timeout(QUERY_TIMEOUT, replied).await;
    permits.pending.lock().remove(&number);
    if let Ok(Ok(reply)) = reply {
        return Some(reply.permit.within_bounds());
    }
    log::info!(issuer:%; "no reply to a query for a permit");
    None
}

/// Handles a message on permits; returns the reply to its sender, if it requires one.
pub(super) fn respond(context: &Context, message: Message, now: Instant) -> Option<Message> {
    match message {
        Message::Query(query) => {
            let number = query.number;
            let permit = draw(context, &query.limit, query.patience, now);
            Some(Message::Reply(Reply { number, permit }))
        }
        Message::Reply(reply) => {
            let pending = context.permits.pending.lock().remove(&reply.number);
            if let Some(sender) = pending {
                // The request may have been given up meanwhile.
                drop(sender.send(reply));
            }
            None
        }
    }
}
