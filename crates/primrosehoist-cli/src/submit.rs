//! Writes a change: the one way in which the configuration is changed.

use std::io::ErrorKind;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use primrosehoist::state::change::{Change, Entry};
use primrosehoist::state::fleet::{Fleet, Version};

use crate::error::Error;
use crate::store::{Created, Store};

/// How long the platform is tried for when its answers are lost.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The pause before the second try; it doubles with each further one.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// The longest pause between two tries.
const PAUSE_MAX: Duration = Duration::from_secs(2);
/// The number of changes between two snapshots.
const SNAPSHOT_CHANGES: Version = 64;

/// Who changes the configuration, and why.
#[derive(Debug, Clone)]
pub(crate) struct Signature {
    /// Who makes the change.
    pub(crate) author: String,
    /// Why, in the author's words.
    pub(crate) reason: String,
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
    write(store, &change)?;
    if change.version.is_multiple_of(SNAPSHOT_CHANGES) {
        let mut newest = fleet.clone();
        newest.apply(&change);
        if let Err(error) = store.write_snapshot(&newest) {
            eprintln!("primrosehoist: the snapshot was not written: {error}");
        }
    }
    Ok(change.version)
}

fn write(store: &Store, change: &Change) -> Result<(), Error> {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    let mut pause = PAUSE_MIN;
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
        if Instant::now() + pause >= deadline {
            return Err(give_up(change, unsure, cause));
        }
        thread::sleep(pause.mul_f64(rand::random_range(0.5..=1.0)));
        pause = (pause * 2).min(PAUSE_MAX);
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
