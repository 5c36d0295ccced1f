//! Exchanges gossip messages with the other daemons over UDP: the load that each puts on upstreams,
//! and the versions of platform state that it has.
//!
//! Each message holds the complete state of its sender, so a lost or late datagram does no harm and
//! none is retransmitted. TCP would deliver outdated messages late instead of dropping them.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use primrosehoist::coordination::watchers::{self, Member, Status};
use primrosehoist::protocol::gossip::{DATAGRAM_BYTES_MAX, Message, Versions};
use primrosehoist::state::map::Map;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout};

use super::context::Context;

/// The longest time between two messages in a small fleet.
const MESSAGE_INTERVAL_MAX: Duration = Duration::from_millis(250);

/// The shortest time between two messages.
const MESSAGE_INTERVAL_MIN: Duration = Duration::from_millis(5);

/// How long changes that free capacity wait to be coalesced into one message.
const COALESCE_DELAY: Duration = Duration::from_millis(25);

/// The number of other daemons per step of the spacing factor. Messages are spaced further apart
/// from twice this number on.
const PEERS_PER_SPACING_STEP: u32 = 16;

/// The largest spacing factor.
const SPACING_FACTOR_MAX: u32 = 6;

/// The silence after which a daemon counts as gone and gets messages only occasionally.
const SILENCE_MAX: Duration = Duration::from_secs(3);

/// A silent daemon gets every nth message.
const SILENT_MESSAGE_PERIOD: u64 = 20;

/// The state of another daemon.
#[derive(Debug, Clone)]
struct Peer {
    member: Member,
    /// When its last message was received.
    last_heard: Instant,
    versions: Versions,
}

/// The other daemons.
#[derive(Debug)]
pub(crate) struct Peers {
    own_address: IpAddr,
    port: u16,
    by_address: Mutex<Map<IpAddr, Peer>>,
}

impl Peers {
    /// Creates the peers of the daemon at `own_address`; all daemons use the same `port`.
    pub(crate) fn new(own_address: IpAddr, port: u16) -> Self {
        Self {
            own_address,
            port,
            by_address: Mutex::default(),
        }
    }

    /// Adds the daemon on `host` at `address`.
    pub(crate) fn add(&self, host: &str, address: IpAddr) {
        if address == self.own_address {
            return;
        }
        let mut peers = self.by_address.lock();
        peers.entry(address).or_insert_with(|| {
            log::info!(host, address:%; "daemon discovered");
            Peer {
                member: Member {
                    host: Arc::from(host),
                    zone: Arc::from(""),
                    status: Status::Idle,
                },
                last_heard: Instant::now(),
                versions: Versions::default(),
            }
        });
    }

    /// Returns the hosts of all known daemons, including silent ones and `own`.
    fn hosts(&self, own: &Arc<str>) -> Vec<Arc<str>> {
        let peers = self.by_address.lock();
        let others = peers.values().map(|peer| Arc::clone(&peer.member.host));
        others.chain([Arc::clone(own)]).collect()
    }

    /// Returns the factor by which messages are further apart than in a small fleet.
    fn spacing(&self) -> u32 {
        let daemons = self.by_address.lock().len() as u32;
        (daemons / PEERS_PER_SPACING_STEP).clamp(1, SPACING_FACTOR_MAX)
    }

    fn update(&self, address: IpAddr, message: &Message) {
        let peer = Peer {
            member: Member {
                host: Arc::clone(&message.host),
                zone: Arc::clone(&message.zone),
                status: message.status,
            },
            last_heard: Instant::now(),
            versions: message.versions,
        };
        self.by_address.lock().insert(address, peer);
    }

    /// Returns the address of a random live daemon that has newer state than `own`, preferably in
    /// `zone`.
    pub(crate) fn ahead_of(&self, own: &Versions, zone: &str) -> Option<SocketAddr> {
        let peers = self.by_address.lock();
        let ahead: Vec<_> = peers
            .iter()
            .filter(|(_, peer)| {
                peer.last_heard.elapsed() < SILENCE_MAX && peer.versions.is_ahead_of(own)
            })
            .collect();
        let same_zone: Vec<_> = ahead
            .iter()
            .filter(|(_, peer)| peer.member.zone.as_ref() == zone)
            .copied()
            .collect();
        let candidates = if same_zone.is_empty() {
            ahead
        } else {
            same_zone
        };
        let index = rand::random_range(0..candidates.len().max(1));
        candidates
            .get(index)
            .map(|(address, _)| SocketAddr::new(**address, self.port))
    }

    /// Returns the live daemons.
    fn members(&self) -> Vec<Member> {
        let peers = self.by_address.lock();
        let live = peers
            .values()
            .filter(|peer| peer.last_heard.elapsed() < SILENCE_MAX);
        live.map(|peer| peer.member.clone()).collect()
    }

    /// Returns the destinations of message `number`.
    fn targets(&self, number: u64) -> Vec<SocketAddr> {
        let include_silent = number.is_multiple_of(SILENT_MESSAGE_PERIOD);
        let peers = self.by_address.lock();
        let live = peers
            .iter()
            .filter(|(_, peer)| include_silent || peer.last_heard.elapsed() < SILENCE_MAX);
        live.map(|(address, _)| SocketAddr::new(*address, self.port))
            .collect()
    }
}

/// Binds the socket for messages.
///
/// # Errors
///
/// Returns an error if the socket cannot be bound.
pub(crate) async fn bind(address: IpAddr, port: u16) -> io::Result<UdpSocket> {
    UdpSocket::bind(SocketAddr::new(address, port)).await
}

/// Sends messages soon after each change and periodically, for as long as the process runs.
pub(crate) async fn send(context: Arc<Context>, peers: Arc<Peers>, socket: Arc<UdpSocket>) {
    for number in 1.. {
        wait_until_due(&context, peers.spacing()).await;
        let now = Instant::now();
        let recent = {
            let mut allowance = context.allowance.lock();
            allowance.set_daemons(peers.hosts(&context.settings.host));
            allowance.recent_sends(now)
        };
        let report = {
            let mut occupancy = context.occupancy.lock();
            occupancy.expire(now);
            occupancy.report(recent)
        };
        for id in context.roster.lock().expire(now) {
            log::info!(upstream = id.as_ref(); "upstream still missing from the store; removed");
        }
        let own = context.member();
        let follows = watchers::should_follow(&own, &peers.members());
        context.set_follows_store(follows);
        let message = Message {
            host: Arc::clone(&own.host),
            zone: Arc::clone(&own.zone),
            status: own.status,
            sequence: (context.started_ms, number),
            versions: *context.versions.lock(),
            report,
            avoided: context.health.lock().avoided(now),
            crashes: context.crashes.lock().recent(now),
        };
        match message.encode() {
            Ok(bytes) => {
                for target in peers.targets(number) {
                    if let Err(error) = socket.send_to(&bytes, target).await {
                        log::debug!(target:%, error:%; "failed to send gossip");
                    }
                }
            }
            Err(error) => log::error!(error:%; "failed to encode gossip"),
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

/// Receives and applies messages for as long as the process runs.
pub(crate) async fn receive(context: Arc<Context>, peers: Arc<Peers>, socket: Arc<UdpSocket>) {
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
        match Message::try_from(&buffer[..length]) {
            Ok(message) => {
                peers.update(sender.ip(), &message);
                context.record_contact();
                apply(&context, message);
            }
            Err(error) => log::warn!(sender:%, error:%; "invalid gossip dropped"),
        }
    }
}

fn apply(context: &Context, message: Message) {
    let now = Instant::now();
    {
        let mut crashes = context.crashes.lock();
        for (fingerprint, id) in &message.crashes {
            crashes.record(*fingerprint, *id, now);
        }
    }
    context
        .health
        .lock()
        .record_warnings(&message.host, &message.avoided, now);
    context
        .occupancy
        .lock()
        .update_report(&message.host, message.sequence, message.report, now);
    context.peer_versions.send_if_modified(|newest| {
        let before = *newest;
        *newest = newest.merge(&message.versions);
        *newest != before
    });
}
