//! Records how claimed calls ended.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::backoff;
use primrosehoist::coordination::claim::{End, Record};
use primrosehoist::protocol::platform::CLAIMS;
use primrosehoist::transport::platform::Error;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use super::{BACKOFF_FIRST, Claim};
use crate::node::Node;

/// The time after which attempts to record the end of a claim stop.
const RECORD_TIMEOUT: Duration = Duration::from_secs(10);

/// The longest backoff between two attempts.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// The number of reads that find no record before a creation with a lost answer is considered
/// not performed.
const MISSING_READS_MAX: u32 = 4;

/// The longest time that the response to a caller is delayed for the release of its key.
const RELEASE_WAIT_MAX: Duration = Duration::from_millis(500);

/// Releases the claim of a call that certainly did not run.
pub(crate) fn release(node: &Arc<Node>, claim: Claim) {
    record(node, claim, End::NotRun);
}

/// Records the end of a claimed call. Waits up to [`RELEASE_WAIT_MAX`] for a release, so that a
/// resend finds the key free.
pub(crate) async fn finish(node: &Arc<Node>, claim: Claim, end: End) {
    let releases = end == End::NotRun;
    let recorded = record(node, claim, end);
    if releases {
        // A slower release continues in its own task.
        let _result = timeout(RELEASE_WAIT_MAX, recorded).await;
    }
}

fn record(node: &Arc<Node>, claim: Claim, end: End) -> JoinHandle<()> {
    let node = Arc::clone(node);
    let guard = node.progress.enter();
    tokio::spawn(async move {
        let _guard = guard;
        write(&node, claim, end).await;
    })
}

async fn write(node: &Node, mut claim: Claim, end: End) {
    let ended = claim.record.ended(end);
    let deadline = Instant::now() + RECORD_TIMEOUT;
    let mut failures = 0;
    let mut known = !claim.metadata.resource_version.is_empty();
    while Instant::now() < deadline {
        if known {
            let replaced = node.platform.replace(CLAIMS, &claim.metadata, &ended).await;
            if replaced.is_ok() {
                return;
            }
        }
        known = match refresh(node, &mut claim).await {
            Ok(true) => true,
            Ok(false) => return,
            Err(Error::NotFound { .. }) if failures >= MISSING_READS_MAX => return,
            Err(_) => false,
        };
        failures += 1;
        sleep(backoff::full_jitter(failures, BACKOFF_FIRST, BACKOFF_MAX)).await;
    }
    log::warn!(claim = claim.metadata.name.as_str(); "end of a claim was not recorded");
}

/// Updates the metadata of `claim` from the platform. Returns whether its record is unchanged.
async fn refresh(node: &Node, claim: &mut Claim) -> Result<bool, Error> {
    let object = node.platform.get(CLAIMS, &claim.metadata.name).await?;
    claim.metadata = object.metadata;
    let record = serde_json::from_value::<Record>(object.spec);
    Ok(record.is_ok_and(|record| record == claim.record))
}
