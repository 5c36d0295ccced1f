//! Datagrams between daemons: what each gave to upstreams, and how new its picture is.
//!
//! Each notice holds all that its sender has to say, so a datagram that is lost or late does no
//! harm, and nothing is sent again. A stream of a connection would deliver old notices late.

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

/// The longest time between two notices.
const NOTICE_EVERY: Duration = Duration::from_millis(250);

/// The shortest time between two notices.
const NOTICE_GAP_MIN: Duration = Duration::from_millis(5);

/// How long changes that free places wait for others to share their notice.
const NOTICE_GAP: Duration = Duration::from_millis(25);

/// Daemons up to which notices are not spaced further.
const SMALL_FLEET: u32 = 16;

/// The largest factor by which notices are spaced.
const SPACING_MAX: u32 = 6;

/// Silence after which a daemon gets notices only now and then.
const SILENT: Duration = Duration::from_secs(3);

/// How often a silent daemon gets a notice: one of so many.
const SILENT_SHARE: u64 = 20;

/// What is known of another daemon.
#[derive(Debug, Clone)]
struct Heard {
    member: Member,
    /// When it was last heard.
    at: Instant,
    horizon: Versions,
}

/// The other daemons.
#[derive(Debug)]
pub(crate) struct Peers {
    own: IpAddr,
    port: u16,
    heard: Mutex<Map<IpAddr, Heard>>,
}

impl Peers {
    /// Creates the list of peers of the daemon at `own`; all use the same `port`.
    pub(crate) fn new(own: IpAddr, port: u16) -> Self {
        Self {
            own,
            port,
            heard: Mutex::default(),
        }
    }

    /// Adds the daemon on `host` at `address`.
    pub(crate) fn add(&self, host: &str, address: IpAddr) {
        if address == self.own {
            return;
        }
        let mut heard = self.heard.lock();
        heard.entry(address).or_insert_with(|| {
            log::info!(host, address:%; "daemon found");
            Heard {
                member: Member {
                    host: Arc::from(host),
                    zone: Arc::from(""),
                    status: Status::Idle,
                },
                at: Instant::now(),
                horizon: Versions::default(),
            }
        });
    }

    /// Returns the names of all daemons, those that may be gone included, with `own`.
    fn names(&self, own: &Arc<str>) -> Vec<Arc<str>> {
        let heard = self.heard.lock();
        let others = heard.values().map(|heard| Arc::clone(&heard.member.host));
        others.chain([Arc::clone(own)]).collect()
    }

    /// Returns by how much notices are further apart than in a small fleet.
    fn spacing(&self) -> u32 {
        let daemons = self.heard.lock().len() as u32;
        (daemons / SMALL_FLEET).clamp(1, SPACING_MAX)
    }

    fn hear(&self, address: IpAddr, notice: &Message) {
        let heard = Heard {
            member: Member {
                host: Arc::clone(&notice.host),
                zone: Arc::clone(&notice.zone),
                status: notice.standing,
            },
            at: Instant::now(),
            horizon: notice.versions,
        };
        self.heard.lock().insert(address, heard);
    }

    /// Returns the address of a live daemon that knows something that `own` does not, one of
    /// `zone` if there is one.
    pub(crate) fn ahead_of(&self, own: &Versions, zone: &str) -> Option<SocketAddr> {
        let heard = self.heard.lock();
        let ahead: Vec<_> = heard
            .iter()
            .filter(|(_, heard)| heard.at.elapsed() < SILENT && heard.horizon.is_ahead_of(own))
            .collect();
        let near: Vec<_> = ahead
            .iter()
            .filter(|(_, heard)| heard.member.zone.as_ref() == zone)
            .copied()
            .collect();
        let choice = if near.is_empty() { ahead } else { near };
        let index = rand::random_range(0..choice.len().max(1));
        choice
            .get(index)
            .map(|(address, _)| SocketAddr::new(**address, self.port))
    }

    /// Returns the daemons that were heard recently.
    fn members(&self) -> Vec<Member> {
        let heard = self.heard.lock();
        let live = heard.values().filter(|heard| heard.at.elapsed() < SILENT);
        live.map(|heard| heard.member.clone()).collect()
    }

    /// Returns where notice number `number` goes.
    fn targets(&self, number: u64) -> Vec<SocketAddr> {
        let rare = number.is_multiple_of(SILENT_SHARE);
        let heard = self.heard.lock();
        let live = heard
            .iter()
            .filter(|(_, heard)| rare || heard.at.elapsed() < SILENT);
        live.map(|(address, _)| SocketAddr::new(*address, self.port))
            .collect()
    }
}

/// Opens the socket for notices.
///
/// # Errors
///
/// Returns an error if the port cannot be used.
pub(crate) async fn open(address: IpAddr, port: u16) -> io::Result<UdpSocket> {
    UdpSocket::bind(SocketAddr::new(address, port)).await
}

/// Sends notices for as long as the process runs: soon after a change, and now and then.
pub(crate) async fn send(context: Arc<Context>, peers: Arc<Peers>, socket: Arc<UdpSocket>) {
    for number in 1.. {
        await_news(&context, peers.spacing()).await;
        let now = Instant::now();
        let recent = {
            let mut allowance = context.allowance.lock();
            allowance.set_daemons(peers.names(&context.settings.host));
            allowance.recent_sends(now)
        };
        let report = {
            let mut occupancy = context.occupancy.lock();
            occupancy.expire(now);
            occupancy.report(recent)
        };
        for id in context.roster.lock().expire(now) {
            log::info!(upstream = id.as_ref(); "upstream still missing; taken as gone");
        }
        let own = context.member();
        let follows = watchers::should_follow(&own, &peers.members());
        context.set_follows(follows);
        let notice = Message {
            host: Arc::clone(&own.host),
            zone: Arc::clone(&own.zone),
            standing: own.status,
            sequence: (context.started_ms, number),
            versions: *context.horizon.lock(),
            report,
            avoided: context.trust.lock().avoided(now),
            crashes: context.crashes.lock().recent(now),
        };
        match notice.encode() {
            Ok(bytes) => {
                for target in peers.targets(number) {
                    if let Err(error) = socket.send_to(&bytes, target).await {
                        log::debug!(target:%, error:%; "notice not sent");
                    }
                }
            }
            Err(error) => log::error!(error:%; "notice not sent"),
        }
        sleep(NOTICE_GAP_MIN).await;
    }
}

/// Waits until a notice is due. Others must know at once of places that are taken, or they take
/// them too; changes that free places, or that are small, share a notice.
async fn await_news(context: &Context, spacing: u32) {
    let quiet = NOTICE_EVERY * spacing.min(2);
    let share = async {
        let _changed = timeout(quiet, context.changed.notified()).await;
        sleep(NOTICE_GAP * spacing).await;
    };
    tokio::select! {
        () = share => {}
        () = context.urgent.notified() => {}
    }
}

/// Takes in notices for as long as the process runs.
pub(crate) async fn receive(context: Arc<Context>, peers: Arc<Peers>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:%; "notice not received");
                sleep(NOTICE_GAP).await;
                continue;
            }
        };
        match Message::try_from(&buffer[..length]) {
            Ok(notice) => {
                peers.hear(sender.ip(), &notice);
                context.in_contact();
                hear(&context, notice);
            }
            Err(error) => log::warn!(sender:%, error:%; "datagram left out"),
        }
    }
}

fn hear(context: &Context, notice: Message) {
    let now = Instant::now();
    {
        let mut crashes = context.crashes.lock();
        for (fingerprint, id) in &notice.crashes {
            crashes.record(*fingerprint, *id, now);
        }
    }
    context
        .trust
        .lock()
        .record_warnings(&notice.host, &notice.avoided, now);
    context
        .occupancy
        .lock()
        .update_report(&notice.host, notice.sequence, notice.report, now);
    context.heard.send_if_modified(|heard| {
        let before = *heard;
        *heard = heard.merge(&notice.versions);
        *heard != before
    });
}
