//! Tests that a change of the configuration takes effect in time although the daemons that bring it to
//! the others fail, with real daemon processes and stand-ins for the store and the runners.

mod common;

use std::cmp::Reverse;
use std::net::{TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use common::platform::{Deployment, Request, configuration, send, wait_until};
use primrosehoist::coordination::gossip::{Datagram, Info, State};
use primrosehoist::coordination::{rendezvous, watchers};
use primrosehoist::protocol::gossip;
use primrosehoist::state::versions::Versions;
use serde_json::json;

/// `ConfigApplyMs` in the settings of the daemons.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

const LINK_PORT: u16 = 7340;

/// Changes the configuration to `version`, whose only key is the returned one.
fn change(deployment: &Deployment, version: u64) -> &'static str {
    const KEYS: [&str; 4] = ["key-a", "key-b", "key-c", "key-d"];
    let key = KEYS[version as usize % KEYS.len()];
    let mut next = configuration(version);
    next["Tenants"][0]["ApiKeys"] = json!([key]);
    deployment.configure(&next);
    key
}

/// Asserts that the daemons in `indices` accept `key`.
fn assert_in_force<I>(deployment: &Deployment, indices: I, key: &'static str)
where
    I: IntoIterator<Item = usize>,
{
    for index in indices {
        let request = Request {
            key,
            ..Request::new("GET", "/look/1")
        };
        let response = send(&deployment.daemons[index].ingress, &request);
        assert_eq!(response.status, 200, "daemon {index}: {response:?}");
    }
}

/// Daemons that report to the last daemon of a deployment, and accept connections without answering.
struct SilentPeers {
    version: Arc<AtomicU64>,
    _listeners: Vec<TcpListener>,
}

impl SilentPeers {
    fn start(deployment: &Deployment, count: u8) -> Self {
        let version = Arc::new(AtomicU64::new(0));
        let target = deployment.daemons.last().expect("a daemon");
        let ip = target.ingress.split(':').next().expect("an address");
        let (network, _host) = ip.rsplit_once('.').expect("an address");
        let mut listeners = Vec::new();
        for index in 0..count {
            let (host, own) = (
                format!("silent-{index}"),
                format!("{network}.{}", 120 + index),
            );
            deployment.put("daemons", &host, &json!({"Address": own, "Zone": "zone-a"}));
            let address = (own.as_str(), LINK_PORT);
            listeners.push(TcpListener::bind(address).expect("failed to listen"));
            let socket = UdpSocket::bind(address).expect("failed to bind");
            let (version, target) = (Arc::downgrade(&version), ip.to_owned());
            std::thread::spawn(move || {
                let mut number = 0;
                while let Some(version) = version.upgrade() {
                    number += 1;
                    let datagram = state(&host, number, version.load(Ordering::Relaxed));
                    let bytes = gossip::encode(&datagram).expect("failed to encode");
                    let sent = socket.send_to(&bytes, (target.as_str(), LINK_PORT));
                    sent.expect("failed to send");
                    drop(version);
                    std::thread::sleep(Duration::from_millis(100));
                }
            });
            wait_until("the daemon is discovered", || {
                let log = std::fs::read_to_string(target_log(deployment));
                log.expect("failed to read the log")
                    .contains(&format!("silent-{index}"))
            });
        }
        Self {
            version,
            _listeners: listeners,
        }
    }

    /// Reports that all have applied `version` of the configuration.
    fn report(&self, version: u64) {
        self.version.store(version, Ordering::Relaxed);
    }
}

fn target_log(deployment: &Deployment) -> std::path::PathBuf {
    deployment.daemons.last().expect("a daemon").log.clone()
}

fn state(host: &str, number: u64, version: u64) -> Datagram {
    Datagram::State(State {
        host: Arc::from(host),
        zone: Arc::from("zone-a"),
        sequence: (1, number),
        info: Info {
            versions: Versions {
                configuration: version,
                ..Versions::default()
            },
            ..Info::default()
        },
        load: Vec::new(),
    })
}

#[test]
fn daemons_that_do_not_answer_do_not_delay_a_change() {
    let deployment = Deployment::ready(2);
    let peers = SilentPeers::start(&deployment, 3);
    deployment.set_store_faults(&json!({"mode": "silent", "also_only": true}));
    // The pending watch returns this change; the next one gets no answer.
    change(&deployment, 2);
    std::thread::sleep(CONFIG_APPLY);
    for version in 3..7 {
        peers.report(version);
        let key = change(&deployment, version);
        std::thread::sleep(CONFIG_APPLY);
        assert_in_force(&deployment, [1], key);
    }
}

/// Starts a large fleet in which exactly the daemons that follow the store use its second address, and
/// returns the indices of the followers and of the others.
fn large_fleet() -> (Deployment, Vec<usize>, Vec<usize>) {
    const DAEMONS: u8 = 18;
    let mut ranked: Vec<u8> = (0..DAEMONS).collect();
    ranked.sort_by_key(|index| Reverse(rendezvous::weight("store", &format!("frontend-{index}"))));
    let (followers, others) = ranked.split_at(watchers::FOLLOWERS_PER_ZONE);
    let deployment = Deployment::ready_with(DAEMONS, |index| followers.contains(&index));
    let indices = |list: &[u8]| list.iter().map(|index| usize::from(*index)).collect();
    // A daemon that starts before it knows the others follows the store for a while.
    wait_until("only the followers follow the store", || {
        others.iter().all(|index| {
            let log = std::fs::read_to_string(&deployment.daemons[usize::from(*index)].log);
            let log = log.expect("failed to read the log");
            log.rfind("\"follows\":false") > log.rfind("\"follows\":true")
        })
    });
    (deployment, indices(followers), indices(others))
}

#[test]
fn store_that_falls_silent_to_all_followers_does_not_delay_a_change() {
    let (deployment, followers, others) = large_fleet();
    deployment.set_store_faults(&json!({"mode": "silent", "also_only": true}));
    // The pending watches return this change; the next ones get no answer.
    change(&deployment, 2);
    let silent_since = Instant::now();
    std::thread::sleep(Duration::from_millis(300));
    let key = change(&deployment, 3);
    std::thread::sleep(CONFIG_APPLY);
    assert!(silent_since.elapsed() < CONFIG_APPLY + Duration::from_secs(1));
    assert_in_force(&deployment, others.into_iter().chain(followers), key);
}

#[test]
fn loss_of_all_followers_does_not_delay_a_change() {
    let (deployment, followers, others) = large_fleet();
    for follower in followers {
        let process = deployment.daemons[follower].process.as_ref();
        process.expect("the daemon runs").pause();
    }
    let key = change(&deployment, 2);
    std::thread::sleep(CONFIG_APPLY);
    assert_in_force(&deployment, others, key);
}
