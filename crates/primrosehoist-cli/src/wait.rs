//! Waits until a version is in force at all daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel;
use primrosehoist::protocol::status::Status;
use primrosehoist::state::fleet::Version;
use serde::Serialize;

use crate::admin::Admin;
use crate::error::Error;
use crate::store::Store;

/// The pause between two rounds of status requests.
const POLL_PAUSE: Duration = Duration::from_millis(200);

/// The maximum number of concurrent status requests.
const REQUESTS_MAX: usize = 64;

/// The role, in the platform's list, of hosts that run daemons.
const ENTRY_ROLE: &str = "entry";

/// The rollout state of an accepted change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Rollout {
    /// The daemons at the version or a later one.
    pub(crate) obeyed: Vec<String>,
    /// All other daemons, with the reason.
    pub(crate) missing: Vec<Missing>,
}

/// A daemon that is behind or does not respond.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Missing {
    /// The host name, or the admin address if the daemon does not respond.
    pub(crate) daemon: String,
    /// The version it is at, or the error of the request.
    pub(crate) state: String,
}

impl Rollout {
    /// Returns whether all known daemons, and at least one, are at the version.
    pub(crate) fn is_complete(&self) -> bool {
        self.missing.is_empty() && !self.obeyed.is_empty()
    }
}

/// Polls `daemons` until all of them, and all members that they report, are at `version`.
///
/// Returns the result of the last round when `limit` has passed.
pub(crate) fn wait(
    admin: &Admin,
    daemons: &[SocketAddr],
    version: Version,
    limit: Duration,
) -> Rollout {
    let deadline = Instant::now() + limit;
    loop {
        let rollout = poll(admin, daemons, version);
        if rollout.is_complete() || Instant::now() + POLL_PAUSE >= deadline {
            return rollout;
        }
        thread::sleep(POLL_PAUSE);
    }
}

/// Returns the admin addresses of the daemons in the platform's list of hosts.
///
/// # Errors
///
/// Fails if the platform does not respond.
pub(crate) fn listed_daemons(store: &Store) -> Result<Vec<SocketAddr>, Error> {
    let hosts = store.hosts()?.into_iter();
    let daemons = hosts.filter(|host| host.role == ENTRY_ROLE);
    let admins = daemons.filter_map(|host| host.admin);
    Ok(admins.filter_map(|admin| admin.parse().ok()).collect())
}

/// The response of one daemon to a status request.
pub(crate) struct Response {
    /// The admin address of the daemon.
    pub(crate) address: SocketAddr,
    /// The status, or the error of the request.
    pub(crate) status: Result<Status, Error>,
}

/// Requests the status of all daemons concurrently; responses are in the order of `daemons`.
pub(crate) fn statuses(admin: &Admin, daemons: &[SocketAddr]) -> Vec<Response> {
    let (requests, queue) = channel::unbounded();
    let (results, responses) = channel::unbounded();
    for request in daemons.iter().copied().enumerate() {
        // The send succeeds, because this function holds a receiver.
        let _sent = requests.send(request);
    }
    drop(requests);
    thread::scope(|scope| {
        for _ in 0..daemons.len().min(REQUESTS_MAX) {
            let (queue, results) = (queue.clone(), results.clone());
            scope.spawn(move || {
                for (position, address) in queue {
                    let status = admin.status(address);
                    let _sent = results.send((position, Response { address, status }));
                }
            });
        }
    });
    drop(results);
    let mut responses: Vec<(usize, Response)> = responses.into_iter().collect();
    responses.sort_unstable_by_key(|(position, _)| *position);
    responses
        .into_iter()
        .map(|(_, response)| response)
        .collect()
}

fn poll(admin: &Admin, daemons: &[SocketAddr], version: Version) -> Rollout {
    evaluate(&statuses(admin, daemons), version)
}

fn evaluate(responses: &[Response], version: Version) -> Rollout {
    let mut rollout = Rollout::default();
    let mut versions: BTreeMap<&str, Version> = BTreeMap::new();
    for response in responses {
        match &response.status {
            Ok(status) => {
                record(&mut versions, status.host.as_str(), status.version);
                for member in &status.members {
                    record(&mut versions, member.host.as_str(), member.version);
                }
            }
            Err(error) => rollout.missing.push(Missing {
                daemon: response.address.to_string(),
                state: error.to_string(),
            }),
        }
    }
    for (host, found) in versions {
        let daemon = host.to_owned();
        if found >= version {
            rollout.obeyed.push(daemon);
        } else {
            rollout.missing.push(Missing {
                daemon,
                state: format!("at version {found}"),
            });
        }
    }
    rollout
}

fn record<'a>(versions: &mut BTreeMap<&'a str, Version>, host: &'a str, version: Version) {
    let entry = versions.entry(host).or_default();
    *entry = version.max(*entry);
}
