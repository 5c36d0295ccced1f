//! Writes a change: the one way in which the configuration is changed.

use std::io::ErrorKind;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use primrosehoist::state::change::{Change, Entry};
use primrosehoist::state::fleet::{Fleet, Version};

use crate::backoff::Backoff;
use crate::error::Error;
use crate::store::{Created, Store};

/// The number of changes between two snapshots.
const SNAPSHOT_CHANGES: Version = 64;

/// Who changes the configuration, why, and with how much patience.
#[derive(Debug, Clone)]
pub(crate) struct Signature {
    /// Who makes the change.
    pub(crate) author: String,
    /// Why, in the author's words.
    pub(crate) reason: String,
    /// How long the platform is tried for when its answers are lost.
    pub(crate) settle: Duration,
}

/// Writes `entries` as the change after `fleet` and returns its version.
///
/// Writing the same change again is safe: its number and nonce stay the same, so a conflict is
/// settled by reading back whose change stands there.
///
/// # Errors
///
/// Fails if another change came first, or if the platform does not say what became of this one.
pub(crate) fn submit(
    store: &Store,
    fleet: &Fleet,
    signature: &Signature,
    entries: Vec<Entry>,
) -> Result<Version, Error> {
    let change = Change {
        version: fleet.version + 1,
        author: signature.author.clone(),
        reason: signature.reason.clone(),
        time_ms: unix_ms(),
        nonce: format!("{:032x}", rand::random::<u128>()),
        entries,
    };
    write(store, &change, signature.settle)?;
    if change.version.is_multiple_of(SNAPSHOT_CHANGES) {
        let mut newest = fleet.clone();
        newest.apply(&change);
        if let Err(error) = store.write_snapshot(&newest) {
            eprintln!("primrosehoist: the snapshot was not written: {error}");
        }
    }
    Ok(change.version)
}

fn write(store: &Store, change: &Change, settle: Duration) -> Result<(), Error> {
    let deadline = Instant::now() + settle;
    let mut backoff = Backoff::new();
    let mut unsure = false;
    loop {
        let cause = match store.create(change) {
            Ok(Created::Yes) => return Ok(()),
            Ok(Created::Exists) => match store.change(change.version) {
                Ok(Some(found)) if found.nonce == change.nonce => return Ok(()),
                Ok(Some(found)) => return Err(Error::LostRace(Box::new(found))),
                Ok(None) | Err(_) if !unsure => return Err(Error::LostRaceUnread(change.version)),
                Ok(None) => Error::LostRaceUnread(change.version),
                Err(error) => error,
            },
            Err(error) => {
                unsure |= may_have_written(&error);
                error
            }
        };
        if Instant::now() + backoff.pause() >= deadline {
            return Err(give_up(change, unsure, cause));
        }
        backoff.sleep();
    }
}

fn give_up(change: &Change, unsure: bool, cause: Error) -> Error {
    let cause = Box::new(cause);
    if unsure {
        Error::Unknown(change.version, change.nonce.clone(), cause)
    } else {
        Error::NotWritten(change.version, cause)
    }
}

/// Returns whether a failed create may have taken effect.
fn may_have_written(error: &Error) -> bool {
    match error {
        Error::Call(_, _, cause) => cause.kind() != ErrorKind::ConnectionRefused,
        Error::Answer(_, _, status, _) => *status >= 500,
        _ => true,
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
