//! Exchanges gossip with the other daemons over UDP: the load that each puts on upstreams, and the
//! versions of platform state that it has.
//!
//! A lost or late datagram does no harm and none is retransmitted. TCP would deliver outdated
//! messages late instead of dropping them. What is sent to whom, and when, is decided by
//! [`primrosehoist::coordination::gossip`].

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::gossip::{Exchange, Info, Outgoing, QUERY_INTERVAL, View};
use primrosehoist::coordination::share::Report;
use primrosehoist::coordination::watchers;
use primrosehoist::protocol::gossip::{self, DATAGRAM_BYTES_MAX, Datagram, Message};
use primrosehoist::state::map::Map;
use primrosehoist::state::occupancy::Key;
use primrosehoist::state::roster::Roster;
use primrosehoist_platform::daemon;
use tokio::time::{Instant, sleep, timeout};

use super::context::Context;
use super::permit;
use super::rejections::Reason;
use super::share;
use super::upstream_changes;
use super::{registration, store_sync};
use crate::startup;

/// The longest time between two messages in a small fleet.
const MESSAGE_INTERVAL_MAX: Duration = Duration::from_millis(250);

/// The shortest time between two messages.
const MESSAGE_INTERVAL_MIN: Duration = Duration::from_millis(5);

/// How long changes that free capacity wait to be coalesced into one message.
const COALESCE_DELAY: Duration = Duration::from_millis(25);

/// The interval between checks whether the fleet has become large enough for queries.
const QUERY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The shortest interval between two lists of the daemons, which are requested when messages come
/// from unknown addresses.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

type InfoFn<'a> = &'a dyn Fn() -> Info;
type RecentFn<'a> = &'a dyn Fn() -> Map<Key, u32>;
type ZoneFn<'a> = &'a dyn Fn(Key) -> Option<Arc<str>>;

/// Returns what this daemon tells of itself.
pub(super) fn info(context: &Context, roster: &Roster, now: Instant) -> Info {
    let crashes = context.crashes.lock();
    let (recent, absolutions) = (crashes.recent(now), crashes.recent_absolutions(now));
    drop(crashes);
    let cut_off = context.is_cut_off();
    let avoided = if cut_off {
        Vec::new()
    } else {
        context.health.lock().avoided(now)
    };
    Info {
        status: context.member().status,
        cut_off,
        avoided,
        leaving: roster.leaving(),
        limits: roster.recent_limits(now),
        crashes: recent,
        absolutions,
        versions: *context.versions.lock(),
    }
}

fn recent_sends(context: &Context, now: Instant) -> Map<Key, u32> {
    let sends = context.allowance.lock().recent_sends(now);
    let sends = sends.into_iter();
    sends.map(|(id, count)| (Key::from(&*id), count)).collect()
}

/// Calls `action` with the exchange and the state on which its messages depend.
fn with_exchange<A, T>(context: &Context, now: Instant, action: A) -> T
where
    A: FnOnce(&mut Exchange, &mut View<'_, InfoFn<'_>, RecentFn<'_>, ZoneFn<'_>>) -> T,
{
    let mut exchange = context.exchange.lock();
    let roster = context.roster.lock();
    let mut occupancy = context.occupancy.lock();
    let info: InfoFn<'_> = &|| info(context, &roster, now);
    let recent: RecentFn<'_> = &|| recent_sends(context, now);
    let zone_of: ZoneFn<'_> = &|key| roster.zone(key).cloned();
    let mut view = View {
        occupancy: &mut occupancy,
        info,
        recent,
        zone_of,
    };
    action(&mut exchange, &mut view)
}

/// Sends messages soon after each change and periodically, for as long as the process runs.
pub(crate) async fn send(context: Arc<Context>) {
    let mut generation = None;
    loop {
        let spacing = context.exchange.lock().peers.spacing();
        wait_until_due(&context, spacing).await;
        let now = Instant::now();
        upstream_changes::expire(&context, now);
        context.occupancy.lock().expire(now);
        {
            let exchange = context.exchange.lock();
            if generation != Some(exchange.peers.generation()) {
                generation = Some(exchange.peers.generation());
                let hosts = exchange.peers.hosts();
                context.allowance.lock().set_daemons(hosts);
            }
        }
        context.assign_store(now);
        context.metrics.serving_hosts(context.serving_hosts());
        let updates = std::mem::take(&mut *context.updates.lock());
        let (loads, updates) = with_exchange(&context, now, |exchange, view| {
            let loads = exchange.tell_load(view, now);
            let updates = updates.into_iter();
            let updates = updates.map(|update| exchange.tell_update(update, now));
            (loads, updates.collect::<Vec<_>>())
        });
        if let Some((near, far)) = loads.split_last() {
            for outgoing in far {
                transmit(&context, outgoing).await;
            }
            let uses = match &near.datagram {
                Datagram::State(_) => share::report(&context, now),
                _ => None,
            };
            transmit_with(&context, near, uses.as_ref()).await;
        }
        for outgoing in &updates {
            transmit(&context, outgoing).await;
        }
        sleep(MESSAGE_INTERVAL_MIN).await;
    }
}

/// Waits until a message is due. Other daemons must learn of new load immediately, or they use the
/// same capacity; changes that free capacity, and small changes, are coalesced.
async fn wait_until_due(context: &Context, spacing: u32) {
    let interval = MESSAGE_INTERVAL_MAX * spacing.min(2);
    let coalesced = async {
        let _changed = timeout(interval, context.changed.notified()).await;
        sleep(COALESCE_DELAY * spacing).await;
    };
    tokio::select! {
        () = coalesced => {}
        () = context.urgent.notified() => {}
    }
}

pub(super) async fn transmit(context: &Context, outgoing: &Outgoing) {
    transmit_with(context, outgoing, None).await;
}

/// Sends a message with the `uses` of engines by workspace, if there are some. Until the port is bound,
/// messages are dropped.
async fn transmit_with(context: &Context, outgoing: &Outgoing, uses: Option<&Report>) {
    let Some(socket) = context.gossip.get() else {
        return;
    };
    let mut bytes = match gossip::encode_message(&outgoing.datagram, uses) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:%; "failed to encode gossip");
            return;
        }
    };
    if gossip::has_info(&outgoing.datagram) {
        gossip::push_phase(&mut bytes, context.phase());
    }
    let port = context.settings.link_ports.0;
    for target in &outgoing.targets {
        let target = SocketAddr::new(*target, port);
        if let Err(error) = socket.send_to(&bytes, target).await {
            log::debug!(target:%, error:%; "failed to send gossip");
        }
    }
    let count = outgoing.targets.len() as u64;
    context
        .metrics
        .gossip("sent", count, count * bytes.len() as u64);
}

/// Queries the summaries of other zones for as long as the process runs.
pub(crate) async fn query(context: Arc<Context>) {
    loop {
        let now = Instant::now();
        let random = rand::random::<f64>();
        let query = {
            let mut exchange = context.exchange.lock();
            let info = || info(&context, &context.roster.lock(), now);
            exchange.query(info, random, now)
        };
        let Some(query) = query else {
            sleep(QUERY_CHECK_INTERVAL).await;
            continue;
        };
        transmit(&context, &query).await;
        sleep(QUERY_INTERVAL).await;
    }
}

/// Receives and applies messages for as long as the process runs, once the port can be bound.
pub(crate) async fn receive(context: Arc<Context>) {
    let settings = &context.settings;
    let address = SocketAddr::new(settings.address, settings.link_ports.0);
    let bind = || startup::wait_for(move || startup::bind_udp(address));
    let socket = context.gossip.get_or_init(bind).await;
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:%; "failed to receive gossip");
                sleep(COALESCE_DELAY).await;
                continue;
            }
        };
        context.metrics.gossip("received", 1, length as u64);
        match gossip::decode_message(&buffer[..length]) {
            Ok(message) => {
                if let Some(reply) = apply(&context, sender.ip(), message) {
                    let reply = Outgoing {
                        targets: vec![sender.ip()],
                        datagram: reply,
                    };
                    transmit(&context, &reply).await;
                }
            }
            Err(error) => {
                if let Some(unlogged) = context.reject(Reason::Gossip) {
                    log::warn!(sender:%, error:%, unlogged; "invalid gossip dropped");
                }
            }
        }
    }
}

/// Applies a message; returns the answer to its sender, if it requires one.
fn apply(context: &Context, sender: IpAddr, message: Message) -> Option<Datagram> {
    let now = Instant::now();
    let Message {
        datagram,
        uses,
        phase,
    } = message;
    let has_info = gossip::has_info(&datagram);
    let (received, became_cut_off) = with_exchange(context, now, |exchange, view| {
        let was_cut_off = exchange.peers.is_cut_off(sender);
        let received = exchange.receive(sender, datagram, view, now);
        if has_info {
            exchange.peers.set_phase(sender, phase);
        }
        let became_cut_off = !was_cut_off && exchange.peers.is_cut_off(sender);
        (received, became_cut_off)
    });
    if became_cut_off {
        context.record_cut_off_peer();
    }
    let received = match received {
        Ok(received) => received,
        Err(error) => {
            log::debug!(error:%; "gossip dropped");
            context.unknown_sender.notify_one();
            return None;
        }
    };
    context.record_contact();
    if let Some(uses) = &uses {
        context.shares.lock().hear(&received.host, uses, now);
    }
    if let Some(info) = &received.info {
        apply_info(context, &received.host, info, now);
    }
    if let Some(update) = &received.update {
        upstream_changes::apply_update(context, update, now);
    }
    let permit = received
        .permit
        .and_then(|message| permit::respond(context, message, now));
    received.reply.or(permit.map(Datagram::Permit))
}

/// Applies what the daemon on `host` tells of itself and of upstreams.
pub(super) fn apply_info(context: &Context, host: &Arc<str>, info: &Info, now: Instant) {
    let mut crashes = context.crashes.lock();
    crashes.apply(&info.crashes, &info.absolutions, now);
    drop(crashes);
    for upstream in context.roster.lock().apply_leaving(&info.leaving) {
        log::info!(upstream = upstream.id.as_ref(), host = host.as_ref(); "upstream is leaving, as another daemon reports");
    }
    for upstream in context.roster.lock().apply_limits(&info.limits, now) {
        log::info!(upstream = upstream.id.as_ref(), host = host.as_ref(); "limit of upstream changed, as another daemon reports");
    }
    let mut health = context.health.lock();
    health.record_warnings(host, &info.avoided, now);
    drop(health);
    context.record_era(info.versions.upstreams.era);
    context.peer_versions.send_if_modified(|newest| {
        let before = *newest;
        *newest = newest.merge(&info.versions);
        *newest != before
    });
}

/// Lists the daemons again whenever messages come from addresses that are not known, and now and then while
/// their list is cut, for as long as the process runs.
pub(crate) async fn refresh(context: Arc<Context>) {
    loop {
        let requested = context.unknown_sender.notified();
        if context.obstacles.is_cut(daemon::KIND) {
            let requested = timeout(store_sync::CUT_LIST_PERIOD, requested);
            // They are listed in any case.
            let _timed_out = requested.await.is_err();
        } else {
            requested.await;
        }
        match context.store.load().list_stale(daemon::KIND).await {
            Ok(list) => {
                registration::add_daemons(&context, &list.objects);
                store_sync::record_list(&context, daemon::KIND, list.cut.as_ref());
            }
            Err(error) => log::info!(error:%; "failed to list the daemons"),
        }
        sleep(REFRESH_INTERVAL.mul_f64(0.5 + rand::random::<f64>())).await;
    }
}

/// Returns whether the daemon should follow the store, given the daemons that it knows.
pub(crate) fn should_follow(context: &Context, now: Instant) -> bool {
    let exchange = context.exchange.lock();
    let members = exchange.peers.members(watchers::SILENCE_MAX, now);
    drop(exchange);
    watchers::should_follow(&context.member(), &members)
}
