//! Writes changes, which are the only way to modify the configuration.

use std::io::ErrorKind;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use primrosehoist::state::change::{Change, Entry};
use primrosehoist::state::fleet::{Fleet, Version};

use crate::backoff::Backoff;
use crate::error::Error;
use crate::output::tell;
use crate::store::{Creation, Store};

/// The number of changes between two snapshots.
const SNAPSHOT_CHANGES: Version = 64;

/// The author and reason of a change, and its retry limit.
#[derive(Debug, Clone)]
pub(crate) struct Submission {
    /// The author of the change.
    pub(crate) author: String,
    /// The reason that the author gives.
    pub(crate) reason: String,
    /// How long the change is retried while the platform does not respond.
    pub(crate) settle_timeout: Duration,
}

/// Writes `entries` as the change after `fleet` and returns its version.
///
/// Retrying is safe: every attempt has the same version and nonce, so a conflict is resolved by
/// reading back the stored change and comparing its nonce.
///
/// # Errors
///
/// Fails if another change was accepted first, or if the platform does not confirm this one before
/// the retry limit.
pub(crate) fn submit(
    store: &Store,
    fleet: &Fleet,
    submission: &Submission,
    entries: Vec<Entry>,
) -> Result<Version, Error> {
    let change = Change {
        version: fleet.version + 1,
        author: submission.author.clone(),
        reason: submission.reason.clone(),
        time_ms: unix_ms(),
        nonce: format!("{:032x}", rand::random::<u128>()),
        entries,
    };
    // A command that is interrupted cannot say any more what became of the change.
    tell(format_args!(
        "writing version {} with nonce {}; if this is interrupted, `primrosehoist audit --since {}` tells \
         whether it was accepted",
        change.version, change.nonce, fleet.version
    ));
    write(store, &change, submission.settle_timeout)?;
    if change.version.is_multiple_of(SNAPSHOT_CHANGES) {
        let mut snapshot = fleet.clone();
        snapshot.apply(&change);
        if let Err(error) = store.write_snapshot(&snapshot) {
            tell(format_args!("the snapshot was not written: {error}"));
        }
    }
    Ok(change.version)
}

fn write(store: &Store, change: &Change, settle_timeout: Duration) -> Result<(), Error> {
    let deadline = Instant::now() + settle_timeout;
    let mut backoff = Backoff::new();
    let mut ambiguous = false;
    loop {
        let cause = match store.create(change) {
            Ok(Creation::Created) => return Ok(()),
            Ok(Creation::Exists) => match store.change(change.version) {
                Ok(Some(found)) if found.nonce == change.nonce => return Ok(()),
                Ok(Some(found)) => return Err(Error::Conflict(Box::new(found))),
                Ok(None) | Err(_) if !ambiguous => {
                    return Err(Error::ConflictUnread(change.version));
                }
                Ok(None) => Error::ConflictUnread(change.version),
                Err(error) => error,
            },
            Err(error) => {
                ambiguous |= may_have_written(&error);
                error
            }
        };
        if Instant::now() + backoff.delay_max() >= deadline {
            return Err(timeout_error(change, ambiguous, cause));
        }
        backoff.sleep();
    }
}

fn timeout_error(change: &Change, ambiguous: bool, cause: Error) -> Error {
    let cause = Box::new(cause);
    if ambiguous {
        Error::Ambiguous(change.version, change.nonce.clone(), cause)
    } else {
        Error::NotWritten(change.version, cause)
    }
}

/// Returns whether a create that failed with `error` may have taken effect.
fn may_have_written(error: &Error) -> bool {
    match error {
        Error::Call(_, _, cause) => cause.kind() != ErrorKind::ConnectionRefused,
        Error::Status(_, _, status, _) => *status >= 500,
        _ => true,
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
