//! Waits until a version is in force.

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

/// The pause between two rounds of questions.
const POLL_PAUSE: Duration = Duration::from_millis(200);

/// The most daemons that are asked at once.
const ASKERS_MAX: usize = 64;

/// The role of hosts that run daemons, in the platform's list.
const ENTRY_ROLE: &str = "entry";

/// What became of an accepted change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Force {
    /// The daemons at the version or above.
    pub(crate) obeyed: Vec<String>,
    /// The daemons that are not, with the reason.
    pub(crate) missing: Vec<Missing>,
}

/// A daemon that is not known to be at a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Missing {
    /// The host name, or the admin address of one that does not answer.
    pub(crate) daemon: String,
    /// What is known of it.
    pub(crate) state: String,
}

impl Force {
    /// Returns whether every known daemon is at the version.
    pub(crate) fn everywhere(&self) -> bool {
        self.missing.is_empty() && !self.obeyed.is_empty()
    }
}

/// Asks `daemons` until all of them, and all that they hear of, are at `version`.
///
/// Returns the last round of answers when `limit` has passed.
pub(crate) fn wait(
    admin: &Admin,
    daemons: &[SocketAddr],
    version: Version,
    limit: Duration,
) -> Force {
    let deadline = Instant::now() + limit;
    loop {
        let force = ask(admin, daemons, version);
        if force.everywhere() || Instant::now() + POLL_PAUSE >= deadline {
            return force;
        }
        thread::sleep(POLL_PAUSE);
    }
}

/// Returns the admin addresses of the daemons in the platform's list of hosts.
///
/// # Errors
///
/// Fails if the platform does not answer.
pub(crate) fn listed(store: &Store) -> Result<Vec<SocketAddr>, Error> {
    let hosts = store.hosts()?.into_iter();
    let daemons = hosts.filter(|host| host.role == ENTRY_ROLE);
    let admins = daemons.filter_map(|host| host.admin);
    Ok(admins.filter_map(|admin| admin.parse().ok()).collect())
}

/// The answer of one daemon.
pub(crate) struct Answer {
    /// The admin address that was asked.
    pub(crate) address: SocketAddr,
    /// The status, or why there is none.
    pub(crate) status: Result<Status, Error>,
}

/// Asks all daemons for their status, many at once; answers in the order of `daemons`.
pub(crate) fn statuses(admin: &Admin, daemons: &[SocketAddr]) -> Vec<Answer> {
    let (questions, waiting) = channel::unbounded();
    let (answered, answers) = channel::unbounded();
    for question in daemons.iter().copied().enumerate() {
        // Sending succeeds, because this function keeps the receiver.
        let _sent = questions.send(question);
    }
    drop(questions);
    thread::scope(|scope| {
        for _ in 0..daemons.len().min(ASKERS_MAX) {
            let (waiting, answered) = (waiting.clone(), answered.clone());
            scope.spawn(move || {
                for (position, address) in waiting {
                    let status = admin.status(address);
                    let _sent = answered.send((position, Answer { address, status }));
                }
            });
        }
    });
    drop(answered);
    let mut answers: Vec<(usize, Answer)> = answers.into_iter().collect();
    answers.sort_unstable_by_key(|(position, _)| *position);
    answers.into_iter().map(|(_, answer)| answer).collect()
}

fn ask(admin: &Admin, daemons: &[SocketAddr], version: Version) -> Force {
    judge(&statuses(admin, daemons), version)
}

fn judge(answers: &[Answer], version: Version) -> Force {
    let mut force = Force::default();
    let mut known: BTreeMap<&str, Version> = BTreeMap::new();
    for answer in answers {
        match &answer.status {
            Ok(status) => {
                raise(&mut known, status.host.as_str(), status.version);
                for member in &status.members {
                    raise(&mut known, member.host.as_str(), member.version);
                }
            }
            Err(error) => force.missing.push(Missing {
                daemon: answer.address.to_string(),
                state: error.to_string(),
            }),
        }
    }
    for (host, found) in known {
        let daemon = host.to_owned();
        if found >= version {
            force.obeyed.push(daemon);
        } else {
            force.missing.push(Missing {
                daemon,
                state: format!("at version {found}"),
            });
        }
    }
    force
}

fn raise<'a>(known: &mut BTreeMap<&'a str, Version>, host: &'a str, version: Version) {
    let entry = known.entry(host).or_default();
    *entry = version.max(*entry);
}
