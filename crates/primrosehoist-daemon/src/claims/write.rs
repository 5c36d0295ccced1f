//! Records the end of claims.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::backoff;
use primrosehoist::coordination::claim::{End, Record};
use primrosehoist::protocol::platform::CLAIMS;
use primrosehoist::transport::platform::Error;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use super::{Claim, PAUSE_FIRST};
use crate::node::Node;

/// For how long the end of a claim is tried to be recorded.
const RECORD_TIME_MAX: Duration = Duration::from_secs(10);

/// The longest pause between two tries.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// Reads that find nothing after which a creation without an answer is taken as not performed.
const MISSING_MAX: u32 = 4;

/// How long the answer to a caller waits for the release of its key.
const RELEASE_WAIT: Duration = Duration::from_millis(500);

/// Releases a claim of a call that surely did not run.
pub(crate) fn release(node: &Arc<Node>, claim: Claim) {
    record(node, claim, End::NotRun);
}

/// Records the end of a claimed call. Waits a moment for a release, so that a resend finds the
/// key free.
pub(crate) async fn finish(node: &Arc<Node>, claim: Claim, end: End) {
    let releases = end == End::NotRun;
    let recorded = record(node, claim, end);
    if releases {
        // A release that takes longer goes on by itself.
        let _waited = timeout(RELEASE_WAIT, recorded).await;
    }
}

fn record(node: &Arc<Node>, claim: Claim, end: End) -> JoinHandle<()> {
    let node = Arc::clone(node);
    let running = node.progress.enter();
    tokio::spawn(async move {
        let _running = running;
        write(&node, claim, end).await;
    })
}

async fn write(node: &Node, mut claim: Claim, end: End) {
    let ended = claim.record.ended(end);
    let give_up = Instant::now() + RECORD_TIME_MAX;
    let mut failures = 0;
    let mut known = !claim.metadata.resource_version.is_empty();
    while Instant::now() < give_up {
        if known {
            let replaced = node.platform.replace(CLAIMS, &claim.metadata, &ended).await;
            if replaced.is_ok() {
                return;
            }
        }
        known = match read(node, &mut claim).await {
            Ok(true) => true,
            Ok(false) => return,
            Err(Error::NotFound { .. }) if failures >= MISSING_MAX => return,
            Err(_) => false,
        };
        failures += 1;
        sleep(backoff::full_jitter(failures, PAUSE_FIRST, PAUSE_MAX)).await;
    }
    log::warn!(claim = claim.metadata.name.as_str(); "the end of a claim was not recorded");
}

/// Reads whether the claim still stands as it was made.
async fn read(node: &Node, claim: &mut Claim) -> Result<bool, Error> {
    let object = node.platform.get(CLAIMS, &claim.metadata.name).await?;
    claim.metadata = object.metadata;
    let record = serde_json::from_value::<Record>(object.spec);
    Ok(record.is_ok_and(|record| record == claim.record))
}
